//! Selects the weights that a backend server is to load, and limits how many servers load at the
//! same time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dogwoodway_types::{
    AvailabilityZone, BackendServerName, Configuration, ModelName, Timestamp, WeightsVersion,
};
use serde::{Deserialize, Serialize};

/// Time in milliseconds for which a loading slot is held after its claim was last read.
pub const SLOT_DURATION_MS: u64 = 10_000;

/// One version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelWeights {
    /// Name of the model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: WeightsVersion,
}

/// Returns the weights that a backend server is to load, `None` if it keeps the loaded ones.
///
/// A selector that matches the server's labels requests the model and version that it names. The
/// loaded weights stay as long as a matching selector requests them. Otherwise the highest
/// requested version of the loaded model is chosen, and another model only if no version of the
/// loaded model is requested. A selector that names the loaded model without a version lets it stay
/// if no selector requests a version of it.
///
/// ```
/// use std::collections::BTreeMap;
/// use dogwoodway_control::loading::{ModelWeights, desired_weights};
/// use dogwoodway_types::{BackendServerName, Configuration, ModelName, WeightsVersion};
///
/// let model = ModelName::try_from("m").unwrap();
/// let loaded = ModelWeights { model, version: WeightsVersion(1) };
/// let server = BackendServerName::try_from("worker-1").unwrap();
/// let zone = "zone-1".parse().unwrap();
/// let cfg = Configuration::default();
/// assert_eq!(desired_weights(&cfg, &server, &zone, &BTreeMap::new(), &loaded), None);
/// ```
pub fn desired_weights(
    cfg: &Configuration,
    server: &BackendServerName,
    zone: &AvailabilityZone,
    own_labels: &BTreeMap<String, String>,
    loaded: &ModelWeights,
) -> Option<ModelWeights> {
    let matching = cfg.selectors.values().filter(|s| cfg.is_eligible(s, server, zone, own_labels));
    let (mut requested, mut any_version) = (BTreeSet::new(), false);
    for selector in matching {
        match (&selector.model, selector.version) {
            (Some(model), Some(version)) => {
                requested.insert(ModelWeights { model: model.clone(), version });
            }
            (Some(model), None) => any_version |= *model == loaded.model,
            (None, _) => {}
        }
    }
    let best = requested.iter().rfind(|weights| weights.model == loaded.model);
    if requested.contains(loaded) || (any_version && best.is_none()) {
        return None;
    }
    best.or_else(|| requested.last()).cloned()
}

/// A claim of a loading slot. Appending the same claim again renews it, and it keeps its place in
/// the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlotClaim {
    /// Random id of the claim; the same in renewals and in the release.
    pub id: u64,
}

#[derive(Clone, Copy, Debug)]
struct SlotEntry {
    id: u64,
    expires_at: Timestamp,
}

/// The queue of loading slot claims, in log order. The first claims hold a slot, the others wait.
///
/// The slots only limit concurrent loading and do not affect correctness: two readers may briefly
/// disagree on who holds one.
///
/// ```
/// use dogwoodway_control::loading::{LoadingSlots, SlotClaim};
/// use dogwoodway_types::Timestamp;
///
/// let (now, mut slots) = (Timestamp::from_millis(1), LoadingSlots::default());
/// slots.apply_claim(now, SlotClaim { id: 1 });
/// slots.apply_claim(now, SlotClaim { id: 2 });
/// assert!(slots.is_held(now, 1, 1) && !slots.is_held(now, 2, 1));
/// slots.apply_release(SlotClaim { id: 1 });
/// assert!(slots.is_held(now, 2, 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadingSlots {
    queue: Vec<SlotEntry>,
}

impl LoadingSlots {
    /// Applies a claim read from the log, and drops expired ones.
    pub fn apply_claim(&mut self, now: Timestamp, claim: SlotClaim) {
        self.queue.retain(|slot| slot.expires_at > now);
        let expires_at = now + Duration::from_millis(SLOT_DURATION_MS);
        match self.queue.iter_mut().find(|slot| slot.id == claim.id) {
            Some(slot) => slot.expires_at = expires_at,
            None => self.queue.push(SlotEntry { id: claim.id, expires_at }),
        }
    }

    /// Applies a release read from the log.
    pub fn apply_release(&mut self, claim: SlotClaim) {
        self.queue.retain(|slot| slot.id != claim.id);
    }

    /// Returns whether a claim holds one of `limit` slots.
    pub fn is_held(&self, now: Timestamp, id: u64, limit: usize) -> bool {
        let mut unexpired = self.queue.iter().filter(|slot| slot.expires_at > now);
        unexpired.position(|slot| slot.id == id).is_some_and(|position| position < limit)
    }

    /// Returns the time at which a claim expires unless it is renewed, `None` if it is unknown or
    /// has expired.
    pub fn expires_at(&self, now: Timestamp, id: u64) -> Option<Timestamp> {
        let slot = self.queue.iter().find(|slot| slot.id == id && slot.expires_at > now);
        slot.map(|slot| slot.expires_at)
    }
}
