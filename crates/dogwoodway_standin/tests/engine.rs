//! Batching and prefix cache of the engine stand-in.

use dogwoodway_engine::{EngineEvent, EngineRequest};
use dogwoodway_standin::{Batch, BatchLimits, CacheChange, PieceCache};
use dogwoodway_types::{AttemptId, ModelName, PieceHash, Priority, WeightsVersion};
use proptest::prelude::*;

const LIMITS: BatchLimits = BatchLimits { max_batch: 4, prefill_us: 10, decode_us: 100 };

fn request(id: u128, priority: u8, tokens: u32) -> EngineRequest {
    EngineRequest {
        request_id: AttemptId(id),
        model: ModelName::try_from("m").unwrap(),
        version: WeightsVersion(1),
        messages: Vec::new(),
        cache_keys: vec![PieceHash(id)],
        piece_tokens: vec![tokens],
        max_tokens: 2,
        resume_after: Vec::new(),
        priority: Priority(priority),
    }
}

/// Runs a batch until it is empty; returns the requests in the order of their first tokens, and the
/// total duration in microseconds.
fn run(batch: &mut Batch) -> (Vec<u128>, u64) {
    let (mut order, mut us) = (Vec::new(), 0);
    while let Some(plan) = batch.plan_step() {
        us += plan.duration_us;
        for (id, event) in batch.apply_step(&plan).0 {
            if matches!(event, EngineEvent::Token { index: 0, .. }) {
                order.push(id.0);
            }
        }
    }
    (order, us)
}

#[test]
fn urgent_prompt_overtakes_long_prompt_in_prefill() {
    let mut batch = Batch::new(LIMITS, 10);
    batch.submit(request(1, 1, 20_000));
    let plan = batch.plan_step().unwrap();
    batch.apply_step(&plan);
    batch.submit(request(2, 9, 500));
    assert_eq!(run(&mut batch).0, [2, 1]);
}

#[test]
fn only_uncached_prompt_tokens_take_prefill_time() {
    let mut batch = Batch::new(LIMITS, 10);
    batch.submit(request(1, 1, 1_000));
    let cold = run(&mut batch).1;
    batch.submit(request(1, 1, 1_000));
    let warm = run(&mut batch).1;
    assert_eq!(cold - warm, 10 * 1_000);
}

proptest! {
    #[test]
    fn cache_matches_naive_lru(pieces in prop::collection::vec(0..12u128, 0..80), capacity in 1..6usize) {
        let mut cache = PieceCache::new(capacity);
        let mut naive: Vec<u128> = Vec::new();
        for piece in pieces {
            let was_cached = naive.contains(&piece);
            naive.retain(|p| *p != piece);
            naive.push(piece);
            let evicted = (naive.len() > capacity).then(|| naive.remove(0));
            let mut expected = Vec::new();
            if !was_cached {
                expected.push(CacheChange::Stored(PieceHash(piece)));
            }
            expected.extend(evicted.map(|p| CacheChange::Evicted(PieceHash(p))));
            prop_assert_eq!(cache.insert(PieceHash(piece)), expected);
        }
    }
}
