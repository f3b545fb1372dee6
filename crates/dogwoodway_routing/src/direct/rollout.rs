//! Rollout of new weights: which engines load them, and in which order.
//!
//! New weights may be published in the middle of a peak. Requests on old weights lose value over
//! time, an engine that loads serves no requests, and engines that load at the same time slow each
//! other down. Therefore only a share of the engines loads at a time, starting with the idle ones,
//! while the others keep serving.

use dogwoodway_types::{ModelName, WeightsVersion};

use crate::direct::fleet::BackendKey;

/// Number of engines for each one that may be out of service for loading. Engines finish their
/// running requests before they load, so only some of those that were ordered load at the same
/// time.
const ENGINES_PER_LOAD: usize = 3;

/// Engines that may load concurrently even in the smallest fleet.
const MIN_CONCURRENT_LOADS: usize = 4;

/// State of one model's weights on an engine, as far as the rollout depends on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineWeights {
    /// Key of the engine.
    pub server: BackendKey,
    /// Model that the weights belong to.
    pub model: ModelName,
    /// Version that the engine serves.
    pub serving: WeightsVersion,
    /// Newest published version, or the one that the engine serves if none is known.
    pub newest: WeightsVersion,
    /// Whether the engine is loading, or is being ordered to.
    pub is_loading: bool,
    /// Whether the engine was ordered to load and did not answer. It may carry out the order at any
    /// time, and serves until then.
    pub has_unanswered_order: bool,
    /// Whether requests may no longer be placed on the weights that the engine serves.
    pub is_out_of_use: bool,
    /// Whether the engine can be ordered to load: reachable, listed and not draining.
    pub is_available: bool,
    /// Requests in flight at the engine, of all known routers.
    pub running: u32,
}

/// Returns how many of `engines` engines may load concurrently.
///
/// ```
/// use dogwoodway_routing::direct::rollout::max_concurrent_loads;
///
/// assert_eq!([9, 18, 38, 41].map(max_concurrent_loads), [4, 6, 12, 13]);
/// ```
pub fn max_concurrent_loads(engines: usize) -> usize {
    (engines / ENGINES_PER_LOAD).max(MIN_CONCURRENT_LOADS)
}

/// Returns the engines to order now: those on the oldest weights first, and among these the ones
/// with the fewest requests to finish. Engines that requests may no longer be placed on are all
/// ordered, since they serve nothing meanwhile.
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
///     has_unanswered_order: false,
///     is_out_of_use: false,
///     is_available: true,
///     running: 0,
/// };
/// assert_eq!(engines_to_load(&[engine.clone()]).len(), 1);
/// assert!(engines_to_load(&[EngineWeights { serving: WeightsVersion(2), ..engine }]).is_empty());
/// ```
pub fn engines_to_load(engines: &[EngineWeights]) -> Vec<&EngineWeights> {
    let loading = engines.iter().filter(|engine| engine.is_loading).count();
    let max_new_loads = max_concurrent_loads(engines.len()).saturating_sub(loading);
    let is_due = |engine: &&EngineWeights| {
        engine.serving < engine.newest
            && !engine.is_loading
            && !engine.has_unanswered_order
            && engine.is_available
    };
    let (mut due, mut serving): (Vec<_>, Vec<_>) =
        engines.iter().filter(is_due).partition(|engine| engine.is_out_of_use);
    serving.sort_by_key(|engine| (engine.serving, engine.running));
    serving.truncate(max_new_loads);
    due.extend(serving);
    due
}
