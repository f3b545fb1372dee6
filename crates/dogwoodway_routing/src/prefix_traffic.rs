//! How much of the traffic each prefix draws, so that hot prefixes are spread over more servers.

use std::{collections::HashMap, time::Duration};

use dogwoodway_types::{PieceHash, Timestamp};

/// Time in which an unused prefix cools to half.
pub const HALF_LIFE: Duration = Duration::from_secs(2);

/// Prefixes that are tracked at most.
const MAX_TRACKED: usize = 4_096;

/// Share of one server's part of the traffic that a prefix may draw before it is spread.
const SHARE_PER_SERVER: f64 = 0.5;

/// Decaying sum of weights.
#[derive(Clone, Copy, Debug)]
struct Decayed {
    sum: f64,
    at: Timestamp,
}

impl Decayed {
    fn at(self, now: Timestamp) -> f64 {
        let half_lives = (now - self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.sum * (-half_lives).exp2()
    }

    fn add(&mut self, now: Timestamp) {
        self.sum = self.at(now) + 1.0;
        self.at = self.at.max(now);
    }
}

/// Traffic by prefix, bounded in size.
#[derive(Clone, Debug, Default)]
pub struct PrefixTraffic {
    total: Option<Decayed>,
    prefixes: HashMap<PieceHash, Decayed>,
}

impl PrefixTraffic {
    /// Notes a request for a prefix and returns over how many servers of `servers` the prefix is
    /// to be spread, at least 1.
    ///
    /// ```
    /// use dogwoodway_routing::prefix_traffic::PrefixTraffic;
    /// use dogwoodway_types::{PieceHash, Timestamp};
    ///
    /// let mut heat = PrefixTraffic::default();
    /// let mut width = 0;
    /// for i in 0..100 {
    ///     width = heat.record_request(Timestamp::from_millis(i * 10), PieceHash(1), 9);
    /// }
    /// assert_eq!(width, 9);
    /// ```
    pub fn record_request(&mut self, now: Timestamp, prefix: PieceHash, servers: usize) -> usize {
        let fresh = Decayed { sum: 0.0, at: now };
        let total = self.total.get_or_insert(fresh);
        total.add(now);
        let total = total.sum;
        if self.prefixes.len() >= MAX_TRACKED && !self.prefixes.contains_key(&prefix) {
            self.forget_cold(now);
        }
        let heat = self.prefixes.entry(prefix).or_insert(fresh);
        heat.add(now);
        // One request more than seen, so that the first ones of a quiet router spread nothing.
        let share = (heat.sum - 1.0).max(0.0) / total.max(1.0);
        let width = (share * servers as f64 / SHARE_PER_SERVER).ceil() as usize;
        width.clamp(1, servers.max(1))
    }

    /// Returns the number of prefixes tracked.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Tells whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Forgets the colder half of the prefixes.
    fn forget_cold(&mut self, now: Timestamp) {
        let mut heats: Vec<f64> = self.prefixes.values().map(|heat| heat.at(now)).collect();
        let middle = heats.len() / 2;
        let (_, median, _) = heats.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.prefixes.retain(|_, heat| heat.at(now) > median);
    }
}
