//! When a router reads the platform's store, and when it relies on what other routers have read.
//!
//! Hundreds of routers follow the same configuration and the same list of servers, while the store
//! limits the rate of calls of all of them together. Therefore only two routers, the watchers, read
//! continuously and report which revision they have read, and how long ago. The others read when a
//! watcher reports a revision that they do not have, and by themselves when the reports are too
//! old. So each router is as up to date as if it read by itself, even while the watchers are cut
//! off.

use std::time::Duration;

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

/// Age from which a router no longer reports what it has read, in milliseconds.
const MAX_REPORTED_AGE_MS: u64 = 2_000;

/// How two revisions of a feed compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevisionOrder {
    /// A higher revision is newer, for example the end of a log.
    Ascending,
    /// Revisions are only equal or different, for example the digest of a list.
    Unordered,
}

/// What a router reports to others about a feed that it has read itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReport {
    /// Revision of the feed that the router read.
    #[serde(rename = "mark")]
    pub revision: u64,
    /// Milliseconds since that was known to be the newest one.
    pub age_ms: u32,
}

/// How long a router relies on the reports of others for a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedLimits {
    /// Age up to which a report of another router counts, in milliseconds.
    pub max_report_age_ms: u64,
    /// Longest time between two reads of the router's own, in milliseconds.
    pub max_read_interval_ms: u64,
}

/// What a router knows about one feed of the store.
///
/// ```
/// use dogwoodway_routing::direct::feed::{Feed, FeedLimits, FeedReport, RevisionOrder};
/// use dogwoodway_types::Timestamp;
///
/// let at = Timestamp::from_millis;
/// let limits = FeedLimits { max_report_age_ms: 1_400, max_read_interval_ms: 10_000 };
/// let mut feed = Feed::new(RevisionOrder::Ascending, limits);
/// feed.record_read(at(1_000), 7);
/// feed.apply_report(at(2_000), &FeedReport { revision: 7, age_ms: 300 });
/// assert_eq!(feed.next_read_at(), at(1_700 + 1_400));
/// assert!(feed.apply_report(at(2_100), &FeedReport { revision: 8, age_ms: 10 }));
/// assert!(feed.next_read_at() <= at(2_100));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Feed {
    order: RevisionOrder,
    limits: FeedLimits,
    revision: Option<u64>,
    /// When the router's own last read was known to be the newest state.
    read_at: Timestamp,
    /// When the known revision was last confirmed to be the newest.
    verified_at: Timestamp,
    /// Whether another router has reported a newer revision.
    is_behind: bool,
}

impl Feed {
    /// Creates the state of a feed that has not been read yet.
    pub fn new(order: RevisionOrder, limits: FeedLimits) -> Feed {
        Feed {
            order,
            limits,
            revision: None,
            read_at: Timestamp::default(),
            verified_at: Timestamp::default(),
            is_behind: false,
        }
    }

    /// Records that the router has read the feed, and the revision that it found. `current_at` is when
    /// that was the newest one, see [`current_at`].
    pub fn record_read(&mut self, current_at: Timestamp, revision: u64) {
        self.revision = Some(revision);
        self.read_at = current_at;
        self.verified_at = current_at;
        self.is_behind = false;
    }

    /// Applies the report of another router. Returns whether this router has just fallen behind.
    pub fn apply_report(&mut self, now: Timestamp, report: &FeedReport) -> bool {
        let Some(revision) = self.revision else { return false };
        let checked_at = now.earlier_by(Duration::from_millis(u64::from(report.age_ms)));
        let is_confirmed = match self.order {
            RevisionOrder::Ascending => report.revision <= revision,
            RevisionOrder::Unordered => report.revision == revision,
        };
        if is_confirmed {
            self.verified_at = self.verified_at.max(checked_at);
            return false;
        }
        // Of two different unordered revisions, the one read later is the newer.
        let is_newer = self.order == RevisionOrder::Ascending || checked_at > self.read_at;
        let was_behind = self.is_behind;
        self.is_behind |= is_newer;
        self.is_behind && !was_behind
    }

    /// Returns what to report to other routers; `None` if the router has not read the feed
    /// recently.
    pub fn report(&self, now: Timestamp) -> Option<FeedReport> {
        let age_ms = (now - self.read_at).as_millis() as u64;
        let revision = self.revision.filter(|_| age_ms < MAX_REPORTED_AGE_MS)?;
        Some(FeedReport { revision, age_ms: age_ms as u32 })
    }

    /// Returns when a router that is no watcher should read the feed next. Watchers read
    /// continuously.
    pub fn next_read_at(&self) -> Timestamp {
        if self.is_behind || self.revision.is_none() {
            return Timestamp::default();
        }
        let trusted_until = self.verified_at + Duration::from_millis(self.limits.max_report_age_ms);
        trusted_until.min(self.read_at + Duration::from_millis(self.limits.max_read_interval_ms))
    }

    /// Returns when the known revision was last confirmed to be the newest.
    pub fn verified_at(&self) -> Timestamp {
        self.verified_at
    }
}

/// Returns the last time at which the answer to a read is known to have been the newest state.
///
/// An answer may wait in the socket of a process that stands still, so that the time of its arrival
/// proves nothing. It is not older than the call, and a long poll that found nothing was answered at
/// the end of its wait at the earliest.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::feed::current_at;
/// use dogwoodway_types::Timestamp;
///
/// let (sent_at, wait) = (Timestamp::from_millis(1_000), Duration::from_millis(300));
/// let received_at = Timestamp::from_millis(9_000);
/// assert_eq!(current_at(sent_at, wait, true, received_at), sent_at);
/// assert_eq!(current_at(sent_at, wait, false, received_at), sent_at + wait);
/// ```
pub fn current_at(
    sent_at: Timestamp,
    wait: Duration,
    has_changes: bool,
    received_at: Timestamp,
) -> Timestamp {
    match has_changes {
        true => sent_at,
        false => (sent_at + wait).min(received_at),
    }
}

/// Since when the platform's store answers again, by the reads of all parts of the directory.
///
/// Each part retries by itself after a failure, and one may do so a second later than another. Entries that
/// expired during an outage are written again within a time that begins with the first answer.
///
/// ```
/// use dogwoodway_routing::direct::feed::StoreReach;
/// use dogwoodway_types::Timestamp;
///
/// let at = Timestamp::from_millis;
/// let mut reach = StoreReach::default();
/// reach.record_failure();
/// assert_eq!(reach.record_success(at(10_660)), at(10_660));
/// assert_eq!(reach.record_success(at(11_800)), at(10_660));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReach {
    reached_at: Option<Timestamp>,
}

impl StoreReach {
    /// Records a read that failed.
    pub fn record_failure(&mut self) {
        self.reached_at = None;
    }

    /// Records a read that succeeded. Returns when the first one succeeded since the last failure.
    pub fn record_success(&mut self, now: Timestamp) -> Timestamp {
        *self.reached_at.get_or_insert(now)
    }
}
