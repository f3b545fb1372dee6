//! Placement of a prompt: which backend servers to probe, and which of them to take.

use dogwoodway_types::{BackendServerName, PieceHash};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Orders backend servers by rendezvous hashing, the same on every router: the first is the
/// prefix's home. Returns indices into `names`.
///
/// ```
/// use dogwoodway_routing::placement::rendezvous_order;
/// use dogwoodway_types::{BackendServerName, PieceHash};
///
/// let names = ["a", "b", "c"].map(|n| BackendServerName::try_from(n).unwrap());
/// let order = rendezvous_order(PieceHash(7), &names);
/// assert_eq!(order.len(), 3);
/// assert_eq!(order, rendezvous_order(PieceHash(7), &names));
/// ```
pub fn rendezvous_order(key: PieceHash, names: &[BackendServerName]) -> Vec<usize> {
    let seed = key.0 as u64 ^ (key.0 >> 64) as u64;
    let weight = |i: usize| xxh3_64_with_seed(names[i].as_str().as_bytes(), seed);
    let mut order: Vec<usize> = (0..names.len()).collect();
    order.sort_by_cached_key(|&i| std::cmp::Reverse(weight(i)));
    order
}

/// What a probe told about one candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Predicted microseconds until the engine would begin the prompt.
    pub wait_us: u64,
    /// Prompt tokens that it would have to compute.
    pub uncached_tokens: u32,
}

/// Microseconds to compute one prompt token, as assumed before it is measured.
const PREFILL_US_PER_TOKEN: u64 = 50;

/// Returns the candidate with the lowest predicted time to the first token; the earliest of equals.
///
/// ```
/// use dogwoodway_routing::placement::{Candidate, choose};
///
/// let far = Candidate { wait_us: 0, uncached_tokens: 4_000 };
/// let near = Candidate { wait_us: 50_000, uncached_tokens: 10 };
/// assert_eq!(choose(&[far, near]), Some(1));
/// ```
pub fn choose(candidates: &[Candidate]) -> Option<usize> {
    let cost = |c: &Candidate| c.wait_us + u64::from(c.uncached_tokens) * PREFILL_US_PER_TOKEN;
    (0..candidates.len()).min_by_key(|&i| cost(&candidates[i]))
}
