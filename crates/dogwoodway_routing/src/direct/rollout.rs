//! The order in which engines load new weights.
//!
//! The load pattern that this answers: new weights are named in the middle of a peak. Requests on
//! old weights are worth less and less, an engine that loads serves nobody, and engines that load
//! together slow each other down. So a share of the engines loads at a time, the idle ones first;
//! the rest serves on.

use dogwoodway_types::{ModelName, WeightsVersion};

use crate::direct::fleet::BackendKey;

/// Engines of which one may be out of service for new weights. Engines finish what they run before
/// they load, so that only some of those ordered load at the same time.
const ENGINES_PER_LOAD: usize = 3;

/// Engines that may load together in the smallest fleet.
const MIN_CONCURRENT_LOADS: usize = 4;

/// An engine as the roll-out sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineWeights {
    /// The engine.
    pub server: BackendKey,
    /// Model that it runs.
    pub model: ModelName,
    /// Version that it serves.
    pub serving: WeightsVersion,
    /// Newest version that was named.
    pub newest: WeightsVersion,
    /// Whether an order for it was sent and has not ended.
    pub is_loading: bool,
    /// Whether it can be ordered: reachable, and not leaving.
    pub is_available: bool,
    /// Requests that it runs.
    pub running: u32,
}

/// Returns how many of `engines` engines may load together.
///
/// ```
/// use dogwoodway_routing::direct::rollout::max_concurrent_loads;
///
/// assert_eq!([9, 18, 38, 41].map(max_concurrent_loads), [4, 6, 12, 13]);
/// ```
pub fn max_concurrent_loads(engines: usize) -> usize {
    (engines / ENGINES_PER_LOAD).max(MIN_CONCURRENT_LOADS)
}

/// Names the engines to order now: those on the oldest weights first, then those with the least to
/// finish.
///
/// ```
/// use dogwoodway_routing::direct::rollout::{EngineWeights, engines_to_load};
/// use dogwoodway_types::{ModelName, WeightsVersion};
///
/// let engine = EngineWeights {
///     server: Default::default(),
///     model: ModelName::try_from("m").unwrap(),
///     serving: WeightsVersion(1),
///     newest: WeightsVersion(2),
///     is_loading: false,
///     is_available: true,
///     running: 0,
/// };
/// assert_eq!(engines_to_load(&[engine.clone()]).len(), 1);
/// assert!(engines_to_load(&[EngineWeights { serving: WeightsVersion(2), ..engine }]).is_empty());
/// ```
pub fn engines_to_load(engines: &[EngineWeights]) -> Vec<&EngineWeights> {
    let loading = engines.iter().filter(|engine| engine.is_loading).count();
    let room = max_concurrent_loads(engines.len()).saturating_sub(loading);
    let is_due = |engine: &&EngineWeights| {
        engine.serving < engine.newest && !engine.is_loading && engine.is_available
    };
    let mut due: Vec<_> = engines.iter().filter(is_due).collect();
    due.sort_by_key(|engine| (engine.serving, engine.running));
    due.truncate(room);
    due
}
