//! The engine stand-in's batching and cache.

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

/// Runs a batch to its end; returns the requests in the order of their first tokens and the time.
fn run(batch: &mut Batch) -> (Vec<u128>, u64) {
    let (mut order, mut us) = (Vec::new(), 0);
    while let Some(plan) = batch.plan() {
        us += plan.cost_us;
        for (id, event) in batch.apply(&plan).0 {
            if matches!(event, EngineEvent::Token { index: 0, .. }) {
                order.push(id.0);
            }
        }
    }
    (order, us)
}

#[test]
fn urgent_prompt_is_computed_before_a_long_one_that_runs() {
    let mut batch = Batch::new(LIMITS, 10);
    batch.submit(request(1, 1, 20_000));
    let plan = batch.plan().unwrap();
    batch.apply(&plan);
    batch.submit(request(2, 9, 500));
    assert_eq!(run(&mut batch).0, [2, 1]);
}

#[test]
fn cached_prompt_costs_no_computation_and_a_cold_one_its_tokens() {
    let mut batch = Batch::new(LIMITS, 10);
    batch.submit(request(1, 1, 1_000));
    let cold = run(&mut batch).1;
    batch.submit(request(1, 1, 1_000));
    let warm = run(&mut batch).1;
    assert_eq!(cold - warm, 10 * 1_000);
}

proptest! {
    #[test]
    fn cache_equals_a_naive_one(pieces in prop::collection::vec(0..12u128, 0..80), size in 1..6usize) {
        let mut cache = PieceCache::new(size);
        let mut naive: Vec<u128> = Vec::new();
        for piece in pieces {
            let was_held = naive.contains(&piece);
            naive.retain(|p| *p != piece);
            naive.push(piece);
            let evicted = (naive.len() > size).then(|| naive.remove(0));
            let mut expected = Vec::new();
            if !was_held {
                expected.push(CacheChange::Stored(PieceHash(piece)));
            }
            expected.extend(evicted.map(|p| CacheChange::Evicted(PieceHash(p))));
            prop_assert_eq!(cache.keep(PieceHash(piece)), expected);
        }
    }
}
