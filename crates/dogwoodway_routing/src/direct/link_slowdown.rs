//! Measured slowdown of an engine's link for KV cache, relative to the speed that its service
//! states.
//!
//! Links become slow for some seconds at a time, and a request that waits for its prefix must not
//! make its engine look slow. Where fetching takes several times as long as computing, the engine
//! is told to compute instead. The measured slowdown decays over time, so that fetching is tried
//! again.

use dogwoodway_types::Timestamp;

/// Weight of the newest sample in the moving average; a few slow fetches are enough to notice.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Upper bound of the factor of one sample.
const MAX_FACTOR: f64 = 50.0;

/// Time constant of the decay, in milliseconds: after this time, about a third of the slowdown is
/// left. Links stay slow for seconds.
const DECAY_TIME_MS: f64 = 4_000.0;

/// Slowdown of one engine's link.
///
/// ```
/// use dogwoodway_routing::direct::link_slowdown::LinkSlowdown;
/// use dogwoodway_types::Timestamp;
///
/// let at = Timestamp::from_millis;
/// let mut slowdown = LinkSlowdown::default();
/// assert_eq!(slowdown.factor(at(0)), 1.0);
/// for n in 0..20 {
///     slowdown.record(at(n), 200.0, 20.0);
/// }
/// assert!(slowdown.factor(at(20)) > 8.0);
/// assert!(slowdown.factor(at(30_000)) < 1.1);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkSlowdown {
    excess: f64,
    updated_at: Timestamp,
}

impl LinkSlowdown {
    /// Records the time that a fetch took and the time that it takes at the stated speed, both in
    /// milliseconds.
    pub fn record(&mut self, now: Timestamp, measured_ms: f64, nominal_ms: f64) {
        let factor = (measured_ms / nominal_ms.max(f64::MIN_POSITIVE)).clamp(1.0, MAX_FACTOR);
        let excess = self.factor(now) - 1.0;
        self.excess = excess + (factor - 1.0 - excess) * SAMPLE_WEIGHT;
        self.updated_at = now;
    }

    /// Returns the factor by which fetches take longer than at the stated speed, at least 1.
    pub fn factor(&self, now: Timestamp) -> f64 {
        let age_ms = (now - self.updated_at).as_secs_f64() * 1e3;
        1.0 + self.excess * (-age_ms / DECAY_TIME_MS).exp()
    }
}
