//! Versions of the software that the servers of a service run.
//!
//! During a release, servers of several versions serve side by side. The events that two versions
//! write do not fit together, so a stream goes on only at the version that began it.

use std::{collections::BTreeMap, time::Duration};

use dogwoodway_types::{ServiceName, SoftwareVersion, Timestamp};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a software version of one service: a hash of both names.
///
/// ```
/// use dogwoodway_routing::direct::software::SoftwareTag;
/// use dogwoodway_types::{ServiceName, SoftwareVersion};
///
/// let (llm, desk) = (ServiceName::try_from("llm").unwrap(), ServiceName::try_from("desk").unwrap());
/// let version = SoftwareVersion::from("v1");
/// assert_ne!(SoftwareTag::new(&llm, &version), SoftwareTag::new(&desk, &version));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SoftwareTag(u32);

impl SoftwareTag {
    /// Hashes the name of a service and one of its software versions.
    pub fn new(service: &ServiceName, version: &SoftwareVersion) -> SoftwareTag {
        // A service's name contains no space, so that the text is unambiguous.
        let text = format!("{service} {version}");
        SoftwareTag((xxh3_64(text.as_bytes()) >> 32) as u32)
    }
}

/// Time for which streams may last, attempts of their clients included, until the routes are known.
pub const DEFAULT_STREAM_LIFETIME: Duration = Duration::from_secs(30);

/// Longest time for which streams are taken to last.
const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Time between two observations of the list of servers.
pub const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an observation after which the history begins anew, since the process stood still.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(4);

/// Time for which the last observation of a version is kept.
const KEPT: Duration = MAX_STREAM_LIFETIME.saturating_add(MAX_OBSERVATION_GAP);

/// The software versions of one service in the past.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::software::{SoftwareHistory, SoftwareTag};
/// use dogwoodway_types::{ServiceName, SoftwareVersion, Timestamp};
///
/// let service = ServiceName::try_from("llm").unwrap();
/// let v1 = SoftwareTag::new(&service, &SoftwareVersion::from("v1"));
/// let start = Timestamp::from_millis(1);
/// let mut history = SoftwareHistory::default();
/// history.observe(start, v1);
/// let lifetime = Duration::from_secs(30);
/// assert_eq!(history.sole(start, lifetime), None, "it was not observed for long enough");
/// let seconds = (1..=60).map(|n| start + Duration::from_secs(n));
/// seconds.for_each(|now| history.observe(now, v1));
/// assert_eq!(history.sole(start + Duration::from_secs(60), lifetime), Some(v1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// When the uninterrupted observation began; absent if it begins with the next one.
    since: Option<Timestamp>,
    /// When any version was last observed; absent if none was.
    observed_at: Option<Timestamp>,
    /// When each version was last observed.
    last_seen: BTreeMap<SoftwareTag, Timestamp>,
}

impl SoftwareHistory {
    /// Records that a server of this version is listed now.
    pub fn observe(&mut self, now: Timestamp, software: SoftwareTag) {
        if self.observed_at.is_none_or(|at| now - at > MAX_OBSERVATION_GAP) {
            self.interrupt();
        }
        self.since.get_or_insert(now);
        self.observed_at = Some(now);
        self.last_seen.insert(software, now);
        self.last_seen.retain(|_, seen_at| now - *seen_at <= KEPT);
    }

    /// Begins the history anew with the next observation: changes of the list of servers were missed,
    /// so that a version may have come and gone unseen.
    pub fn interrupt(&mut self) {
        self.since = None;
    }

    /// Returns when the uninterrupted observation began, if there is one.
    pub fn since(&self) -> Option<Timestamp> {
        self.since
    }

    /// Returns the version that was the only one for `stream_lifetime`, without a gap in which another
    /// one could have come and gone, if there is one.
    pub fn sole(&self, now: Timestamp, stream_lifetime: Duration) -> Option<SoftwareTag> {
        let counted = stream_lifetime.min(MAX_STREAM_LIFETIME) + MAX_OBSERVATION_GAP;
        let is_followed = self.observed_at.is_some_and(|at| now - at <= MAX_OBSERVATION_GAP);
        let mut recent = self.last_seen.iter().filter(|(_, seen_at)| now - **seen_at <= counted);
        match (recent.next(), recent.next()) {
            (Some((sole, _)), None) if is_followed => {
                self.since.is_some_and(|since| now - since >= counted).then_some(*sole)
            }
            _ => None,
        }
    }
}
