//! Benchmark of single placement decisions.

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

/// Number of different prefixes in the benchmark; more than [`PrefixTraffic`] tracks.
const PREFIXES: u64 = 10_000;

/// Time left to the deadline of each request.
const TIME_TO_DEADLINE: Duration = Duration::from_secs(5);

/// Mean time of a placement decision with a given number of servers.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DecisionTimes {
    /// Number of servers to choose from.
    pub servers: usize,
    /// Number of decisions made.
    pub decisions: u64,
    /// Mean time of one decision, in nanoseconds.
    pub mean_ns: f64,
    /// Number of prefixes that [`PrefixTraffic`] tracked at the end.
    pub tracked: usize,
}

/// Measures placement decisions: hashing of the server names, the prefix's traffic, the servers to
/// probe, and the choice among their answers.
pub fn measure_decisions(servers: usize, decisions: u64) -> DecisionTimes {
    let names: Vec<_> = (0..servers)
        .filter_map(|i| BackendServerName::try_from(format!("engine-{i}")).ok())
        .collect();
    let mut traffic = PrefixTraffic::default();
    let started_at = Instant::now();
    for i in 0..decisions {
        let prefix = i.wrapping_mul(0x9e37_79b9_7f4a_7c15) % PREFIXES;
        let key = PieceHash(u128::from(prefix).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let servers = names.iter().map(|name| Server { key: ServerKey::new(name), weight: 1 });
        let servers: Vec<_> = servers.collect();
        let preferred_count = traffic.record_request(Timestamp::from_millis(i), key, servers.len());
        let probes = placement::probe_targets(key, preferred_count, &servers, i);
        let candidates: Vec<_> = probes
            .iter()
            .map(|&index| Candidate {
                wait_us: index as u64,
                uncached_tokens: 100,
                prefill_ns: 50_000,
                is_preferred: true,
            })
            .collect();
        black_box(placement::choose(&candidates, TIME_TO_DEADLINE));
    }
    let mean_ns = started_at.elapsed().as_nanos() as f64 / decisions as f64;
    DecisionTimes { servers, decisions, mean_ns, tracked: traffic.len() }
}
