//! Measures each prefix's share of the traffic, so that hot prefixes are spread over more servers.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{PieceHash, Timestamp};

/// Half-life of a request's weight in the traffic of its prefix.
pub const HALF_LIFE: Duration = Duration::from_secs(2);

/// Maximum number of tracked prefixes.
const MAX_TRACKED_PREFIXES: usize = 4_096;

/// Largest part of a server's fair share of the traffic that one prefix may take on each of its
/// preferred servers.
const MAX_PART_OF_SERVER_SHARE: f64 = 0.5;

/// Exponentially decaying request count.
#[derive(Clone, Copy, Debug)]
struct DecayingCount {
    count: f64,
    updated_at: Timestamp,
}

impl DecayingCount {
    fn value_at(self, now: Timestamp) -> f64 {
        let half_lives = (now - self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.count * (-half_lives).exp2()
    }

    fn increment(&mut self, now: Timestamp) {
        self.count = self.value_at(now) + 1.0;
        self.updated_at = self.updated_at.max(now);
    }
}

/// Recent requests by prefix, bounded in size.
#[derive(Clone, Debug, Default)]
pub struct PrefixTraffic {
    total: Option<DecayingCount>,
    prefixes: HashMap<PieceHash, DecayingCount>,
}

impl PrefixTraffic {
    /// Records a request for a prefix and returns over how many of `servers` servers the prefix
    /// should be spread, at least 1. The result is meant for
    /// [`probe_targets`](crate::placement::probe_targets).
    ///
    /// ```
    /// use dogwoodway_routing::prefix_traffic::PrefixTraffic;
    /// use dogwoodway_types::{PieceHash, Timestamp};
    ///
    /// let mut traffic = PrefixTraffic::default();
    /// let mut preferred_count = 0;
    /// for i in 0..100 {
    ///     let now = Timestamp::from_millis(i * 10);
    ///     preferred_count = traffic.record_request(now, PieceHash(1), 9);
    /// }
    /// assert_eq!(preferred_count, 9);
    /// ```
    pub fn record_request(&mut self, now: Timestamp, prefix: PieceHash, servers: usize) -> usize {
        let zero = DecayingCount { count: 0.0, updated_at: now };
        let total = self.total.get_or_insert(zero);
        total.increment(now);
        let total = total.count;
        if self.prefixes.len() >= MAX_TRACKED_PREFIXES && !self.prefixes.contains_key(&prefix) {
            self.evict_least_requested(now);
        }
        let requests = self.prefixes.entry(prefix).or_insert(zero);
        requests.increment(now);
        // The current request is left out. Otherwise the first requests after an idle period would
        // have a large share and spread their prefixes.
        let share = (requests.count - 1.0).max(0.0) / total.max(1.0);
        let preferred_count = (share * servers as f64 / MAX_PART_OF_SERVER_SHARE).ceil() as usize;
        preferred_count.clamp(1, servers.max(1))
    }

    /// Returns the number of tracked prefixes.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Removes the half of the prefixes that had the fewest recent requests.
    fn evict_least_requested(&mut self, now: Timestamp) {
        let mut counts: Vec<f64> =
            self.prefixes.values().map(|requests| requests.value_at(now)).collect();
        let middle = counts.len() / 2;
        let (_, median, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.prefixes.retain(|_, requests| requests.value_at(now) > median);
    }
}
