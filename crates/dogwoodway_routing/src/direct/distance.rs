//! Distances between zones, by the regions that they belong to.

use std::collections::BTreeMap;

use dogwoodway_types::AvailabilityZone;

/// Distance between two VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same zone.
    SameZone,
    /// Different zones of the same region.
    SameRegion,
    /// Different regions.
    OtherRegion,
}

impl Distance {
    /// Returns the factor by which a transfer of KV cache takes longer than within a zone, as
    /// specified by the platform.
    pub fn transfer_factor(self) -> f64 {
        match self {
            Distance::SameZone => 1.0,
            Distance::SameRegion => 2.0,
            Distance::OtherRegion => 10.0,
        }
    }
}

/// Mapping from zones to regions.
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
    /// Returns the distance between two zones. A zone whose region is unknown counts as being in
    /// the same region as any other.
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
