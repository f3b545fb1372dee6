//! How fast an engine's link for KV cache is, against what its service states.
//!
//! The load pattern that this answers: links turn slow for some seconds, and a request that waits
//! for its prefix must not make its engine look slow. Where fetching takes several times as long as
//! reading, the engine is told to read instead; the finding fades, so that fetching is tried again.

use dogwoodway_types::Timestamp;

/// Share of the newest measurement in the mean: a few slow fetches are enough.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Largest factor that is believed.
const MAX_FACTOR: f64 = 50.0;

/// Time in which a finding fades to a third, in milliseconds: links are slow for seconds.
const DECAY_TIME_MS: f64 = 4_000.0;

/// The pace of one engine's link.
///
/// ```
/// use dogwoodway_routing::direct::link_slowdown::LinkSlowdown;
/// use dogwoodway_types::Timestamp;
///
/// let at = Timestamp::from_millis;
/// let mut pace = LinkSlowdown::default();
/// assert_eq!(pace.factor(at(0)), 1.0);
/// for n in 0..20 {
///     pace.record(at(n), 200.0, 20.0);
/// }
/// assert!(pace.factor(at(20)) > 8.0);
/// assert!(pace.factor(at(30_000)) < 1.1);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkSlowdown {
    excess: f64,
    updated_at: Timestamp,
}

impl LinkSlowdown {
    /// Takes in how long a fetch took, against the time that the stated speed gives, in
    /// milliseconds.
    pub fn record(&mut self, now: Timestamp, took_ms: f64, stated_ms: f64) {
        let factor = (took_ms / stated_ms.max(f64::MIN_POSITIVE)).clamp(1.0, MAX_FACTOR);
        let excess = self.factor(now) - 1.0;
        self.excess = excess + (factor - 1.0 - excess) * SAMPLE_WEIGHT;
        self.updated_at = now;
    }

    /// Returns the factor by which fetches take longer than stated.
    pub fn factor(&self, now: Timestamp) -> f64 {
        let age_ms = (now - self.updated_at).as_secs_f64() * 1e3;
        1.0 + self.excess * (-age_ms / DECAY_TIME_MS).exp()
    }
}
