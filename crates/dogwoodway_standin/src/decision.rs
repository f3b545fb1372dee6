//! Times of single routing decisions.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use dogwoodway_routing::{
    placement::{self, Candidate},
    prefix_traffic::PrefixTraffic,
    rendezvous::{Server, ServerKey},
};
use dogwoodway_types::{BackendServerName, PieceHash, Timestamp};
use serde::Serialize;

/// Prefixes that the decisions are for, more than the heat table tracks.
const PREFIXES: u64 = 10_000;

/// Time to the deadline in each decision.
const SLACK: Duration = Duration::from_secs(5);

/// Times of decisions with a number of servers.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DecisionTimes {
    /// Servers to choose from.
    pub servers: usize,
    /// Decisions made.
    pub decisions: u64,
    /// Mean nanoseconds of one decision.
    pub mean_ns: f64,
    /// Prefixes tracked at the end.
    pub tracked: usize,
}

/// Times decisions: hashing of names, heat, shortlist, and the choice among the replies.
pub fn measure_decisions(servers: usize, decisions: u64) -> DecisionTimes {
    let names: Vec<_> = (0..servers)
        .filter_map(|i| BackendServerName::try_from(format!("engine-{i}")).ok())
        .collect();
    let mut heat = PrefixTraffic::default();
    let begin = Instant::now();
    for i in 0..decisions {
        let prefix = i.wrapping_mul(0x9e37_79b9_7f4a_7c15) % PREFIXES;
        let key = PieceHash(u128::from(prefix).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let named = names.iter().map(|name| Server { key: ServerKey::new(name), weight: 1 });
        let servers: Vec<_> = named.collect();
        let width = heat.record_request(Timestamp::from_millis(i), key, servers.len());
        let probes = placement::probe_targets(key, width, &servers, i);
        let candidates: Vec<_> = probes
            .iter()
            .map(|&n| Candidate {
                wait_us: n as u64,
                uncached_tokens: 100,
                prefill_ns: 50_000,
                is_home: true,
            })
            .collect();
        black_box(placement::choose(&candidates, SLACK));
    }
    let mean_ns = begin.elapsed().as_nanos() as f64 / decisions as f64;
    DecisionTimes { servers, decisions, mean_ns, tracked: heat.len() }
}
