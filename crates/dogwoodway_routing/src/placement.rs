//! Placement of a prompt: which backend servers to probe, and which of them to take.
//!
//! A router keeps no index of cached pieces. Rendezvous hashing on the deepest shared level of the
//! prompt names the servers that are likely to hold it; their agents tell what they hold and how
//! long the prompt would wait; the lowest cost is taken.

use std::time::Duration;

use dogwoodway_types::{PieceHash, PrefixChain};

use crate::rendezvous::{self, Server, mix};

/// Servers that are probed for one placement.
pub const MAX_PROBES: usize = 4;

/// Probes of the servers that are likely to hold the prefix, the first ones of a probe_targets.
pub const HOME_PROBES: usize = 3;

/// Servers over which the hottest prefix is spread.
const MAX_WIDTH: usize = 32;

/// Time to the deadline for which computing a prompt again is priced at its own time.
const SLACK_PER_PRICE_MS: u64 = 1_500;

/// Lowest and highest price of computing a prompt again, in multiples of its own time.
const PRICES: (u64, u64) = (1, 10);

/// Returns the hash at the end of the deepest level that other prompts may share: the last one
/// before the case at hand.
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

/// Names the servers to probe, as indices into `servers`, the most likely holder first.
///
/// `width` is the number of servers over which the prefix is spread; a wide prefix gets some of
/// them, chosen by `seed`. One more server is chosen by `seed` alone, as a way out when all
/// holders are busy; requests with different seeds do not crowd on the same one.
///
/// ```
/// use dogwoodway_routing::{placement::probe_targets, rendezvous::{Server, ServerKey}};
/// use dogwoodway_types::PieceHash;
///
/// let servers: Vec<_> = (0..9).map(|n| Server { key: ServerKey(n), weight: 1 }).collect();
/// let probes = probe_targets(PieceHash(1), 1, &servers, 42);
/// assert!(probes.len() >= 2 && probes.len() <= 4);
/// ```
pub fn probe_targets(key: PieceHash, width: usize, servers: &[Server], seed: u64) -> Vec<usize> {
    let width = width.clamp(1, MAX_WIDTH);
    let homes = rendezvous::top_servers(key, servers, width.max(HOME_PROBES));
    let mut probes = match homes.len() <= HOME_PROBES {
        true => homes,
        false => sample(&homes, HOME_PROBES, seed),
    };
    if let Some(count) = u64::try_from(servers.len()).ok().filter(|n| *n > 0) {
        let free = (mix(seed ^ 0x5bd1) % count) as usize;
        if !probes.contains(&free) {
            probes.push(free);
        }
    }
    probes
}

/// What a probe told about one candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Predicted microseconds until the engine would begin the prompt.
    pub wait_us: u64,
    /// Prompt tokens that it would have to compute.
    pub uncached_tokens: u32,
    /// Measured nanoseconds to compute one prompt token.
    pub prefill_ns: u32,
    /// Whether later requests for the prefix will probe it too.
    pub is_home: bool,
}

impl Candidate {
    /// Returns the predicted time to the first token plus the price of recomputation, which
    /// others pay by waiting: a request with little time left may buy its first token with it, a
    /// patient one waits where its prefix is.
    pub fn cost_us(&self, slack: Duration) -> u64 {
        let prefill_us = self.prefill_us();
        let slack_ms = u64::try_from(slack.as_millis()).unwrap_or(u64::MAX);
        let price = (slack_ms / SLACK_PER_PRICE_MS).clamp(PRICES.0, PRICES.1);
        self.wait_us + prefill_us + prefill_us * price
    }

    fn prefill_us(&self) -> u64 {
        u64::from(self.uncached_tokens) * u64::from(self.prefill_ns) / 1_000
    }

    /// Tells whether the first token is predicted within half of the time left.
    fn is_in_time(&self, slack: Duration) -> bool {
        u128::from(self.wait_us + self.prefill_us()) <= slack.as_micros() / 2
    }
}

/// Returns the candidate with the lowest cost for a request with `slack` until its deadline; the
/// earliest of equals.
///
/// A prefix that is computed elsewhere than at its homes is not found again, so another server is
/// considered only when no home is predicted to be in time.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::placement::{Candidate, choose};
///
/// let (prefill_ns, is_home) = (50_000, true);
/// let far = Candidate { wait_us: 0, uncached_tokens: 4_000, prefill_ns, is_home };
/// let near = Candidate { wait_us: 50_000, uncached_tokens: 10, prefill_ns, is_home };
/// assert_eq!(choose(&[far, near], Duration::from_secs(5)), Some(1));
/// ```
pub fn choose(candidates: &[Candidate], slack: Duration) -> Option<usize> {
    let all = 0..candidates.len();
    let has_home = candidates.iter().any(|c| c.is_home && c.is_in_time(slack));
    all.filter(|&i| candidates[i].is_home || !has_home)
        .min_by_key(|&i| candidates[i].cost_us(slack))
}

/// Chooses `n` of the items by a seed.
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
