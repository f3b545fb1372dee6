//! How far apart zones are.

use std::collections::BTreeMap;

use dogwoodway_types::AvailabilityZone;

/// How far two VMs are apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same zone.
    SameZone,
    /// In different zones of a region.
    SameRegion,
    /// In different regions.
    OtherRegion,
}

impl Distance {
    /// Returns the factor by which a transfer of KV cache takes longer than within a zone, as the
    /// platform states it.
    pub fn transfer_factor(self) -> f64 {
        match self {
            Distance::SameZone => 1.0,
            Distance::SameRegion => 2.0,
            Distance::OtherRegion => 10.0,
        }
    }
}

/// The regions that zones belong to.
///
/// ```
/// use dogwoodway_routing::direct::distance::{Distance, Regions};
/// use dogwoodway_types::AvailabilityZone;
///
/// let zone = |name| AvailabilityZone::try_from(name).unwrap();
/// let regions = Regions::from_iter([(zone("a"), "east".to_owned()), (zone("b"), "west".to_owned())]);
/// assert_eq!(regions.distance(&zone("a"), &zone("b")), Distance::OtherRegion);
/// assert_eq!(regions.distance(&zone("a"), &zone("c")), Distance::SameRegion);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(BTreeMap<AvailabilityZone, String>);

impl FromIterator<(AvailabilityZone, String)> for Regions {
    fn from_iter<I>(zones: I) -> Regions
    where
        I: IntoIterator<Item = (AvailabilityZone, String)>,
    {
        Regions(zones.into_iter().collect())
    }
}

impl Regions {
    /// Returns how far two zones are apart; zones whose region is not known are taken to be in the
    /// same one.
    pub fn distance(&self, a: &AvailabilityZone, b: &AvailabilityZone) -> Distance {
        if a == b {
            return Distance::SameZone;
        }
        match (self.0.get(a), self.0.get(b)) {
            (Some(a), Some(b)) if a != b => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }
}
