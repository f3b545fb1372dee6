//! The prefix index against a naive one, with events that are lost, doubled and from before a
//! crash.

use dogwoodway_routing::prefix_index::{IndexEvent, PrefixIndex};
use dogwoodway_types::{EngineIncarnation, PieceHash};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Op {
    Observe(u64, usize),
    Insert(u64, Vec<u128>),
    Apply(u64, u64, bool, u128),
    Match(u64, Vec<u128>),
}

fn op() -> impl Strategy<Value = Op> {
    let pieces = || prop::collection::vec(0..10u128, 0..5);
    prop_oneof![
        1 => (0..3u64, 1..6usize).prop_map(|(e, n)| Op::Observe(e, n)),
        4 => (0..3u64, pieces()).prop_map(|(e, p)| Op::Insert(e, p)),
        6 => (0..3u64, 0..40u64, any::<bool>(), 0..10u128)
            .prop_map(|(e, seq, stored, p)| Op::Apply(e, seq, stored, p)),
        4 => (0..3u64, pieces()).prop_map(|(e, p)| Op::Match(e, p)),
    ]
}

/// Pieces in a list, the least recently used first.
#[derive(Default)]
struct Naive {
    engine: u64,
    size: usize,
    next_event: u64,
    pieces: Vec<u128>,
}

impl Naive {
    fn keep(&mut self, piece: u128) {
        self.pieces.retain(|p| *p != piece);
        self.pieces.push(piece);
        self.trim();
    }

    fn trim(&mut self) {
        let excess = self.pieces.len().saturating_sub(self.size);
        self.pieces.drain(..excess);
    }
}

fn hashes(pieces: &[u128]) -> Vec<PieceHash> {
    pieces.iter().copied().map(PieceHash).collect()
}

proptest! {
    #[test]
    fn index_equals_a_naive_one(ops in prop::collection::vec(op(), 0..120)) {
        let mut index = PrefixIndex::new(0);
        let mut naive = Naive::default();
        for op in ops {
            match op {
                Op::Observe(engine, size) => {
                    index.set_engine(EngineIncarnation(engine), size);
                    if engine != naive.engine {
                        naive = Naive { engine, ..Naive::default() };
                    }
                    naive.size = size;
                    naive.trim();
                }
                Op::Insert(engine, pieces) => {
                    index.insert(EngineIncarnation(engine), &hashes(&pieces));
                    if engine == naive.engine {
                        pieces.into_iter().for_each(|p| naive.keep(p));
                    }
                }
                Op::Apply(engine, seq, stored, piece) => {
                    let (stored_event, evicted) =
                        (IndexEvent::Stored(PieceHash(piece)), IndexEvent::Evicted(PieceHash(piece)));
                    let event = if stored { stored_event } else { evicted };
                    index.apply(EngineIncarnation(engine), seq, event);
                    if engine == naive.engine && seq >= naive.next_event {
                        naive.next_event = seq + 1;
                        match stored {
                            true if naive.pieces.contains(&piece) => {}
                            true => naive.keep(piece),
                            false => naive.pieces.retain(|p| *p != piece),
                        }
                    }
                }
                Op::Match(engine, pieces) => {
                    let held = pieces.iter().take_while(|p| naive.pieces.contains(p)).count();
                    let expected = if engine == naive.engine { held as u32 } else { 0 };
                    prop_assert_eq!(index.matched(EngineIncarnation(engine), &hashes(&pieces)), expected);
                }
            }
        }
    }
}

#[test]
fn nothing_of_a_crashed_engine_is_believed() {
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
