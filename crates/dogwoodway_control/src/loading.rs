//! Which weights a backend server is to load, and the slots that keep many from loading at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dogwoodway_types::{
    AvailabilityZone, BackendServerName, Configuration, ModelName, Timestamp, WeightsVersion,
};
use serde::{Deserialize, Serialize};

/// Time for which a slot is held after its claim was read last.
pub const SLOT_DURATION_MS: u64 = 10_000;

/// A model at one weights version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelWeights {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: WeightsVersion,
}

/// Returns the weights that a backend server is to load, `None` if what it has loaded is to stay.
///
/// Selectors that match the server's labels and name a model and a version ask for these weights. What
/// is loaded stays as long as one of them asks for it; else the highest version of the loaded model
/// is taken, and of another model only if none of the loaded one is asked for.
///
/// ```
/// use std::collections::BTreeMap;
/// use dogwoodway_control::loading::{ModelWeights, desired_weights};
/// use dogwoodway_types::{BackendServerName, Configuration, ModelName, WeightsVersion};
///
/// let loaded = ModelWeights { model: ModelName::try_from("m").unwrap(), version: WeightsVersion(1) };
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
    let (mut wanted, mut any_version) = (BTreeSet::new(), false);
    for selector in matching {
        match (&selector.model, selector.version) {
            (Some(model), Some(version)) => {
                wanted.insert(ModelWeights { model: model.clone(), version });
            }
            (Some(model), None) => any_version |= *model == loaded.model,
            (None, _) => {}
        }
    }
    let best = wanted.iter().rfind(|weights| weights.model == loaded.model);
    if wanted.contains(loaded) || (any_version && best.is_none()) {
        return None;
    }
    best.or_else(|| wanted.last()).cloned()
}

/// A claim of a loading slot; the same claim appended again keeps its place and renews it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlotClaim {
    /// Identifies the claim.
    pub id: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    id: u64,
    ends_at: Timestamp,
}

/// Claims of loading slots in the log's order. The first few are held, the others wait.
///
/// Slots save time only: two readers may differ for a moment on who holds one.
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
    slots: Vec<Slot>,
}

impl LoadingSlots {
    /// Takes in a claim read from the log.
    pub fn apply_claim(&mut self, now: Timestamp, claim: SlotClaim) {
        self.slots.retain(|slot| slot.ends_at > now);
        let ends_at = now + Duration::from_millis(SLOT_DURATION_MS);
        match self.slots.iter_mut().find(|slot| slot.id == claim.id) {
            Some(slot) => slot.ends_at = ends_at,
            None => self.slots.push(Slot { id: claim.id, ends_at }),
        }
    }

    /// Takes in a release read from the log.
    pub fn apply_release(&mut self, claim: SlotClaim) {
        self.slots.retain(|slot| slot.id != claim.id);
    }

    /// Tells whether a claim is among the first `limit`.
    pub fn is_held(&self, now: Timestamp, id: u64, limit: usize) -> bool {
        let mut live = self.slots.iter().filter(|slot| slot.ends_at > now);
        live.position(|slot| slot.id == id).is_some_and(|place| place < limit)
    }

    /// Returns when a claim ends unless it is renewed, `None` for an unknown or ended one.
    pub fn expires_at(&self, now: Timestamp, id: u64) -> Option<Timestamp> {
        let slot = self.slots.iter().find(|slot| slot.id == id && slot.ends_at > now);
        slot.map(|slot| slot.ends_at)
    }
}
