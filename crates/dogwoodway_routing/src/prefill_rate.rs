//! Measures the prefill speed of an engine.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Assumed prefill time per prompt token in nanoseconds, before anything was measured.
const ASSUMED_NS_PER_TOKEN: f64 = 50_000.0;

/// Busy time after which a measurement counts half. Idle time does not age measurements.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Weight of the assumed speed, as the busy time that it stands for.
const ASSUMED_BUSY_TIME: Duration = Duration::from_millis(200);

/// Prefill speed: prompt tokens computed per time in which at least one prompt was being prefilled.
///
/// Prompts share the engine with each other and with decoding, so the duration of a single prefill
/// says little about its speed. The sums over all of them do.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    /// Decayed sum of computed tokens.
    tokens: f64,
    /// Decayed sum of busy time, in seconds.
    busy_s: f64,
    /// Prompts that are being prefilled.
    prefilling: u32,
    updated_at: Timestamp,
}

impl Default for PrefillRate {
    fn default() -> PrefillRate {
        let busy_s = ASSUMED_BUSY_TIME.as_secs_f64();
        let tokens = busy_s * 1e9 / ASSUMED_NS_PER_TOKEN;
        PrefillRate { tokens, busy_s, prefilling: 0, updated_at: Timestamp::default() }
    }
}

impl PrefillRate {
    /// Records that a prompt was passed to the engine.
    pub fn begin(&mut self, now: Timestamp) {
        self.advance(now);
        self.prefilling += 1;
    }

    /// Records the end of a prefill that computed `tokens` tokens, 0 if it was cancelled.
    ///
    /// ```
    /// use dogwoodway_routing::prefill_rate::PrefillRate;
    /// use dogwoodway_types::Timestamp;
    ///
    /// let mut rate = PrefillRate::default();
    /// for second in 0..60 {
    ///     rate.begin(Timestamp::from_millis(second * 1_000));
    ///     rate.end(Timestamp::from_millis(second * 1_000 + 500), 5_000);
    /// }
    /// assert!((95_000..105_000).contains(&rate.ns_per_token()));
    /// ```
    pub fn end(&mut self, now: Timestamp, tokens: u32) {
        self.advance(now);
        self.prefilling = self.prefilling.saturating_sub(1);
        self.tokens += f64::from(tokens);
    }

    /// Returns the prefill time per prompt token, in nanoseconds.
    pub fn ns_per_token(&self) -> u32 {
        (self.busy_s * 1e9 / self.tokens.max(1.0)) as u32
    }

    /// Ages the measurement and adds the busy time since the last update.
    fn advance(&mut self, now: Timestamp) {
        if self.prefilling > 0 {
            let busy_s = (now - self.updated_at).as_secs_f64();
            let decay = (-busy_s / HALF_LIFE.as_secs_f64()).exp2();
            self.tokens *= decay;
            self.busy_s = self.busy_s * decay + busy_s;
        }
        self.updated_at = self.updated_at.max(now);
    }
}
