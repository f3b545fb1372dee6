//! The measured speed of an engine's prompt computation.

use std::time::Duration;

use dogwoodway_types::Timestamp;

/// Nanoseconds for one prompt token before anything was measured.
const ASSUMED_NS_PER_TOKEN: f64 = 50_000.0;

/// Busy time after which a measurement counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Weight of the assumption, as busy time.
const ASSUMED_FOR: Duration = Duration::from_millis(200);

/// Prompt tokens computed over the time in which prompts were computed.
///
/// Prompts share the engine with each other and with decoding, so the time of a single prompt
/// says little; the sum over all of them does.
#[derive(Clone, Copy, Debug)]
pub struct PrefillRate {
    tokens: f64,
    busy_s: f64,
    computing: u32,
    since: Timestamp,
}

impl Default for PrefillRate {
    fn default() -> PrefillRate {
        let busy_s = ASSUMED_FOR.as_secs_f64();
        let tokens = busy_s * 1e9 / ASSUMED_NS_PER_TOKEN;
        PrefillRate { tokens, busy_s, computing: 0, since: Timestamp::default() }
    }
}

impl PrefillRate {
    /// Notes that the engine was given a prompt.
    pub fn begin(&mut self, now: Timestamp) {
        self.pass(now);
        self.computing += 1;
    }

    /// Notes that a prompt was computed, or given up with `tokens` 0.
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
        self.pass(now);
        self.computing = self.computing.saturating_sub(1);
        self.tokens += f64::from(tokens);
    }

    /// Returns the nanoseconds for one token.
    pub fn ns_per_token(&self) -> u32 {
        (self.busy_s * 1e9 / self.tokens.max(1.0)) as u32
    }

    fn pass(&mut self, now: Timestamp) {
        if self.computing > 0 {
            let busy_s = (now - self.since).as_secs_f64();
            let kept = (-busy_s / HALF_LIFE.as_secs_f64()).exp2();
            self.tokens *= kept;
            self.busy_s = self.busy_s * kept + busy_s;
        }
        self.since = self.since.max(now);
    }
}
