//! When a router reads the platform's store, and when it relies on what others have read.
//!
//! The load pattern that this answers: hundreds of routers follow the same configuration and the
//! same list of servers, while the store bounds the calls of all of them together. Two routers, the
//! watchers, read all the time and tell how far they have read, and how long ago. The others read
//! when a watcher has seen more than they have, and by themselves when the watchers' word is old:
//! so that each router's knowledge is as fresh as its own reading would make it, also while the
//! watchers are cut off.

use std::time::Duration;

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

/// Time since which another router's word is no longer told, in milliseconds.
const MAX_REPORTED_AGE_MS: u64 = 2_000;

/// How two marks of a feed compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevisionOrder {
    /// A higher mark is newer, such as the end of a log.
    Ascending,
    /// Marks are only equal or not, such as the digest of a list.
    Unordered,
}

/// What a router tells of a feed that it has read itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReport {
    /// Stands for what it read.
    #[serde(rename = "mark")]
    pub revision: u64,
    /// Milliseconds since it read that.
    pub age_ms: u32,
}

/// How long a router relies on others for a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedLimits {
    /// Age of another router's word up to which it counts, in milliseconds.
    pub max_report_age_ms: u64,
    /// Longest time between two readings of the router's own, in milliseconds.
    pub max_read_interval_ms: u64,
}

/// What a router knows of one feed of the store.
///
/// ```
/// use dogwoodway_routing::direct::feed::{Feed, FeedLimits, RevisionOrder, FeedReport};
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
    /// When the router read the feed itself.
    read_at: Timestamp,
    /// When what it knows was known to hold.
    verified_at: Timestamp,
    is_behind: bool,
}

impl Feed {
    /// Builds the state of a feed that was not read.
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

    /// Notes that the router has read the feed.
    pub fn record_read(&mut self, now: Timestamp, mark: u64) {
        self.revision = Some(mark);
        self.read_at = now;
        self.verified_at = now;
        self.is_behind = false;
    }

    /// Takes in what another router has read; returns whether the router is now behind.
    pub fn apply_report(&mut self, now: Timestamp, told: &FeedReport) -> bool {
        let Some(mark) = self.revision else { return false };
        let seen_at = now.earlier_by(Duration::from_millis(u64::from(told.age_ms)));
        let is_known = match self.order {
            RevisionOrder::Ascending => told.revision <= mark,
            RevisionOrder::Unordered => told.revision == mark,
        };
        if is_known {
            self.verified_at = self.verified_at.max(seen_at);
            return false;
        }
        // Of two lists that differ, the one read later counts.
        let is_news = self.order == RevisionOrder::Ascending || seen_at > self.read_at;
        let was_behind = self.is_behind;
        self.is_behind |= is_news;
        self.is_behind && !was_behind
    }

    /// Returns what the router tells others of its own reading, unless that is long ago.
    pub fn report(&self, now: Timestamp) -> Option<FeedReport> {
        let age_ms = (now - self.read_at).as_millis() as u64;
        let mark = self.revision.filter(|_| age_ms < MAX_REPORTED_AGE_MS)?;
        Some(FeedReport { revision: mark, age_ms: age_ms as u32 })
    }

    /// Returns when the router reads the feed next, unless it is a watcher: those read all the time.
    pub fn next_read_at(&self) -> Timestamp {
        if self.is_behind || self.revision.is_none() {
            return Timestamp::default();
        }
        let rely_until = self.verified_at + Duration::from_millis(self.limits.max_report_age_ms);
        rely_until.min(self.read_at + Duration::from_millis(self.limits.max_read_interval_ms))
    }

    /// Returns when what the router knows was last known to hold.
    pub fn verified_at(&self) -> Timestamp {
        self.verified_at
    }
}
