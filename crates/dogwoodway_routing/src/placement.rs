//! Prefix-aware placement of a prompt: which backend servers to probe and which of them to choose.
//!
//! An entry keeps no index of the servers' prefix caches. Instead, rendezvous hashing of the
//! deepest shared prefix of the prompt yields its *preferred servers*, which are the most likely to
//! have it cached. Their agents are probed for the cached length and the expected queueing time,
//! and the server with the lowest cost is chosen.

use std::time::Duration;

use dogwoodway_types::{PieceHash, PrefixChain};

use crate::rendezvous::{self, Server, mix};

/// Maximum number of servers that are probed for one placement.
pub const MAX_PROBES: usize = 4;

/// Number of preferred servers among the probed servers; they come first in [`probe_targets`].
pub const PREFERRED_PROBES: usize = 3;

/// Maximum number of preferred servers of a prefix, however much traffic it has.
const MAX_PREFERRED_SERVERS: usize = 32;

/// Time to the deadline per unit of the recomputation weight: with 1.5 s left the weight is 1, with
/// 15 s it is 10.
const SLACK_PER_RECOMPUTE_WEIGHT_MS: u64 = 1_500;

/// Lowest and highest recomputation weight, in multiples of the prefill time.
const RECOMPUTE_WEIGHTS: (u64, u64) = (1, 10);

/// Returns the hash at the end of the deepest level that other prompts are likely to share.
///
/// That is the last level but one, since the last message is usually specific to the request, or
/// the only level. Returns `None` for an empty prompt.
///
/// ```
/// use dogwoodway_routing::placement::shared_level;
/// use dogwoodway_types::{PieceHash, PrefixChain};
///
/// let hashes = [1, 2, 3].map(PieceHash).to_vec();
/// let chain = PrefixChain { hashes, tokens: vec![10; 3], levels: vec![0, 1, 2] };
/// assert_eq!(shared_level(&chain), Some(PieceHash(2)));
/// ```
pub fn shared_level(chain: &PrefixChain) -> Option<PieceHash> {
    let level = match chain.levels.as_slice() {
        [] => return None,
        [only] => *only,
        [.., level, _] => *level,
    };
    chain.hashes.get(level as usize).copied()
}

/// Returns the servers to probe, as indices into `servers`: preferred servers first, then a
/// fallback.
///
/// `preferred_count` is the number of preferred servers that the traffic of the prefix requires;
/// fewer than [`PREFERRED_PROBES`] count as that many. If there are more, `seed` selects the ones
/// to probe. The fallback is chosen from all servers by `seed` alone, for the case that all
/// preferred servers are busy; requests with different seeds get different fallbacks and so do not
/// overload a single one.
///
/// ```
/// use dogwoodway_routing::{placement::probe_targets, rendezvous::{Server, ServerKey}};
/// use dogwoodway_types::PieceHash;
///
/// let servers: Vec<_> = (0..9).map(|n| Server { key: ServerKey(n), weight: 1 }).collect();
/// let probes = probe_targets(PieceHash(1), 1, &servers, 42);
/// assert!(probes.len() >= 2 && probes.len() <= 4);
/// ```
pub fn probe_targets(
    key: PieceHash,
    preferred_count: usize,
    servers: &[Server],
    seed: u64,
) -> Vec<usize> {
    let preferred_count = preferred_count.clamp(1, MAX_PREFERRED_SERVERS);
    let preferred = rendezvous::top_servers(key, servers, preferred_count.max(PREFERRED_PROBES));
    let mut probes = match preferred.len() <= PREFERRED_PROBES {
        true => preferred,
        false => sample(&preferred, PREFERRED_PROBES, seed),
    };
    if let Some(count) = u64::try_from(servers.len()).ok().filter(|n| *n > 0) {
        let fallback = (mix(seed ^ 0x5bd1) % count) as usize;
        if !probes.contains(&fallback) {
            probes.push(fallback);
        }
    }
    probes
}

/// A probed server, as described by its agent's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Predicted microseconds until the engine would start prefilling the prompt.
    pub wait_us: u64,
    /// Prompt tokens that are not cached and would have to be computed.
    pub uncached_tokens: u32,
    /// Measured prefill time per prompt token, in nanoseconds.
    pub prefill_ns: u32,
    /// Whether it is a preferred server, which later requests for the prefix will probe again.
    pub is_preferred: bool,
}

impl Candidate {
    /// Returns the cost of choosing this server, in microseconds.
    ///
    /// It is the predicted time to the first token plus the weighted prefill time, since prefill
    /// also delays the other requests on the engine. The weight grows with `slack`, the time to the
    /// deadline: a request with little time left may recompute its prefix on an idle server, one
    /// with much time waits for a server that has it cached.
    pub fn cost_us(&self, slack: Duration) -> u64 {
        let prefill_us = self.prefill_us();
        let slack_ms = u64::try_from(slack.as_millis()).unwrap_or(u64::MAX);
        let weight = (slack_ms / SLACK_PER_RECOMPUTE_WEIGHT_MS)
            .clamp(RECOMPUTE_WEIGHTS.0, RECOMPUTE_WEIGHTS.1);
        self.wait_us + prefill_us + prefill_us * weight
    }

    fn prefill_us(&self) -> u64 {
        u64::from(self.uncached_tokens) * u64::from(self.prefill_ns) / 1_000
    }

    /// Returns whether the first token is predicted within half of the time to the deadline.
    fn is_in_time(&self, slack: Duration) -> bool {
        u128::from(self.wait_us + self.prefill_us()) <= slack.as_micros() / 2
    }
}

/// Returns the index of the candidate with the lowest cost, the first one among equals.
///
/// `slack` is the time to the request's deadline. Later requests do not probe a server that is not
/// a preferred server, so a prefix computed there is not reused; such a server is considered only
/// if no preferred server is predicted to be in time.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::placement::{Candidate, choose};
///
/// let (prefill_ns, is_preferred) = (50_000, true);
/// let idle = Candidate { wait_us: 0, uncached_tokens: 4_000, prefill_ns, is_preferred };
/// let cached = Candidate { wait_us: 50_000, uncached_tokens: 10, prefill_ns, is_preferred };
/// assert_eq!(choose(&[idle, cached], Duration::from_secs(5)), Some(1));
/// ```
pub fn choose(candidates: &[Candidate], slack: Duration) -> Option<usize> {
    let all = 0..candidates.len();
    let has_preferred = candidates.iter().any(|c| c.is_preferred && c.is_in_time(slack));
    all.filter(|&i| candidates[i].is_preferred || !has_preferred)
        .min_by_key(|&i| candidates[i].cost_us(slack))
}

/// Chooses `n` of the items pseudo-randomly by `seed`.
fn sample(items: &[usize], n: usize, seed: u64) -> Vec<usize> {
    let mut items = items.to_vec();
    for i in 0..n.min(items.len()) {
        let rest = (items.len() - i) as u64;
        let other = i + (mix(seed.wrapping_add(i as u64)) % rest) as usize;
        items.swap(i, other);
    }
    items.truncate(n);
    items
}
