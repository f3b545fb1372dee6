//! Compares the prefix index with a reference model, with cache events that are lost, duplicated or
//! from before a crash of the engine.

use dogwoodway_routing::prefix_index::{IndexEvent, PrefixIndex};
use dogwoodway_types::{EngineIncarnation, PieceHash};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Op {
    SetEngine(u64, usize),
    Insert(u64, Vec<u128>),
    Apply(u64, u64, bool, u128),
    Match(u64, Vec<u128>),
}

fn op() -> impl Strategy<Value = Op> {
    let pieces = || prop::collection::vec(0..10u128, 0..5);
    prop_oneof![
        1 => (0..3u64, 1..6usize).prop_map(|(e, n)| Op::SetEngine(e, n)),
        4 => (0..3u64, pieces()).prop_map(|(e, p)| Op::Insert(e, p)),
        6 => (0..3u64, 0..40u64, any::<bool>(), 0..10u128)
            .prop_map(|(e, seq, stored, p)| Op::Apply(e, seq, stored, p)),
        4 => (0..3u64, pieces()).prop_map(|(e, p)| Op::Match(e, p)),
    ]
}

/// Keeps the pieces in a list, least recently used first.
#[derive(Default)]
struct ReferenceModel {
    engine: u64,
    capacity: usize,
    next_event: u64,
    pieces: Vec<u128>,
}

impl ReferenceModel {
    fn touch(&mut self, piece: u128) {
        self.pieces.retain(|p| *p != piece);
        self.pieces.push(piece);
        self.trim();
    }

    fn trim(&mut self) {
        let excess = self.pieces.len().saturating_sub(self.capacity);
        self.pieces.drain(..excess);
    }
}

fn hashes(pieces: &[u128]) -> Vec<PieceHash> {
    pieces.iter().copied().map(PieceHash).collect()
}

proptest! {
    #[test]
    fn index_agrees_with_reference_model(ops in prop::collection::vec(op(), 0..120)) {
        let mut index = PrefixIndex::new(0);
        let mut model = ReferenceModel::default();
        for op in ops {
            match op {
                Op::SetEngine(engine, capacity) => {
                    index.set_engine(EngineIncarnation(engine), capacity);
                    if engine != model.engine {
                        model = ReferenceModel { engine, ..ReferenceModel::default() };
                    }
                    model.capacity = capacity;
                    model.trim();
                }
                Op::Insert(engine, pieces) => {
                    index.insert(EngineIncarnation(engine), &hashes(&pieces));
                    if engine == model.engine {
                        pieces.into_iter().for_each(|p| model.touch(p));
                    }
                }
                Op::Apply(engine, seq, stored, piece) => {
                    let (stored_event, evicted) =
                        (IndexEvent::Stored(PieceHash(piece)), IndexEvent::Evicted(PieceHash(piece)));
                    let event = if stored { stored_event } else { evicted };
                    index.apply(EngineIncarnation(engine), seq, event);
                    if engine == model.engine && seq >= model.next_event {
                        model.next_event = seq + 1;
                        match stored {
                            true if model.pieces.contains(&piece) => {}
                            true => model.touch(piece),
                            false => model.pieces.retain(|p| *p != piece),
                        }
                    }
                }
                Op::Match(engine, pieces) => {
                    let held = pieces.iter().take_while(|p| model.pieces.contains(p)).count();
                    let expected = if engine == model.engine { held as u32 } else { 0 };
                    prop_assert_eq!(index.matched(EngineIncarnation(engine), &hashes(&pieces)), expected);
                }
            }
        }
    }
}

#[test]
fn events_of_a_crashed_engine_are_ignored() {
    let (old, new) = (EngineIncarnation(1), EngineIncarnation(2));
    let mut index = PrefixIndex::new(10);
    index.set_engine(old, 10);
    index.insert(old, &[PieceHash(1)]);
    index.set_engine(new, 10);
    index.apply(old, 7, IndexEvent::Stored(PieceHash(1)));
    index.insert(old, &[PieceHash(1)]);
    assert_eq!(index.matched(new, &[PieceHash(1)]), 0);
    index.apply(new, 0, IndexEvent::Stored(PieceHash(1)));
    assert_eq!(index.matched(new, &[PieceHash(1)]), 1);
}
