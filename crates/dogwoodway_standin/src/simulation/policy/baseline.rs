//! Baselines, which place requests by simple rules.

use std::time::Duration;

use dogwoodway_routing::{
    direct::{
        admission::{self, QueuePressure},
        cost::RECOMPUTE_MS_PER_TOKEN,
    },
    rendezvous,
};
use dogwoodway_types::{PieceHash, Timestamp};

use crate::simulation::{
    arrivals::{Arrival, CLASSES},
    engine::{Engine, EngineRequest, prefill_tokens_per_ms},
    policy::{
        KvSource, NO_ENGINE_RETRY_MS, PlacementDecision, Policy, PolicyKind, engine_name,
        prompt_segments, shared_segments,
    },
    simulator::KvStore,
};

/// The policies other than that of the router. They use the actual state of the engines.
pub(super) struct BaselinePolicy {
    pub(super) kind: PolicyKind,
    pub(super) pressure: QueuePressure,
}

impl BaselinePolicy {
    /// Predicts for a request on an engine the time in the queue, the time for its prefill, and the
    /// cost of computing its shared prefix again, all in milliseconds.
    fn predict(engine: &Engine, request: &Arrival, store: &KvStore) -> (f64, f64, f64) {
        let segments = prompt_segments(request, engine.version);
        let fetchable_segments = store.contents.matched(shared_segments(&segments));
        let engine_request = EngineRequest {
            id: 0,
            priority: CLASSES[request.class].priority,
            segments,
            output_tokens: request.prompt.output_tokens,
            fetchable_segments,
            fetch_ms_per_token: 0.0,
        };
        let (_, prefill_tokens) = engine.fetch_and_prefill_tokens(&engine_request);
        let own = request.prompt.input_tokens - request.shared_tokens();
        let recomputed = prefill_tokens.saturating_sub(own);
        let wait_ms = engine.pending_prefill_tokens(u8::MAX) as f64 / prefill_tokens_per_ms();
        let prefill_ms = f64::from(prefill_tokens) / prefill_tokens_per_ms();
        (wait_ms, prefill_ms, f64::from(recomputed) * RECOMPUTE_MS_PER_TOKEN)
    }
}

impl Policy for BaselinePolicy {
    fn place(
        &mut self,
        now: Timestamp,
        request: &Arrival,
        engines: &[Engine],
        store: &KvStore,
    ) -> PlacementDecision {
        let is_usable = |engine: &Engine| engine.is_up && !engine.is_draining && !engine.is_loading;
        let usable: Vec<_> = (0..engines.len()).filter(|i| is_usable(&engines[*i])).collect();
        let Some(&first) = usable.first() else {
            return PlacementDecision::Refuse {
                retry_at: now + Duration::from_millis(NO_ENGINE_RETRY_MS),
            };
        };
        let engine = match self.kind {
            PolicyKind::Random => usable[request.draw as usize % usable.len()],
            PolicyKind::LeastLoaded => {
                usable.iter().copied().min_by_key(|i| engines[*i].request_count()).unwrap_or(first)
            }
            PolicyKind::Rendezvous => {
                let shared = &prompt_segments(request, 1)[0];
                let piece = PieceHash(u128::from(shared.key.0));
                let cost = |i: &usize| {
                    let key = rendezvous::ServerKey::new(&engine_name(*i));
                    rendezvous::cost(piece, rendezvous::Server { key, weight: 1 })
                };
                let by_cost = |a: &usize, b: &usize| cost(a).total_cmp(&cost(b));
                usable.iter().copied().min_by(by_cost).unwrap_or(first)
            }
            PolicyKind::Oracle | PolicyKind::Router => {
                let healthy = usable.iter().copied().filter(|i| !engines[*i].is_faulty);
                let cost = |i: &usize| {
                    let (wait, prefill, recompute) =
                        BaselinePolicy::predict(&engines[*i], request, store);
                    wait + prefill + recompute
                };
                let best = healthy.min_by(|a, b| cost(a).total_cmp(&cost(b))).unwrap_or(first);
                let (wait_ms, ..) = BaselinePolicy::predict(&engines[best], request, store);
                let class = &CLASSES[request.class];
                let expected_latency = request.expected_by - now;
                self.pressure.record(now, wait_ms);
                let pressure = &self.pressure;
                if let Some(after) =
                    admission::refuse_for_wait(wait_ms, expected_latency, class.priority, pressure)
                {
                    return PlacementDecision::Refuse { retry_at: now + after };
                }
                best
            }
        };
        let segments = prompt_segments(request, engines[engine].version);
        let shared = shared_segments(&segments);
        let saves = store.contents.matched(shared) < shared.len();
        PlacementDecision::Run {
            engine,
            fetch_from: Some(KvSource::Store),
            saves,
            request_key: None,
        }
    }
}
