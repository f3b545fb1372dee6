//! Which engines a router considers for a prompt when it cannot know what other routers do now.
//!
//! The load pattern behind this: a hundred routers place thousands of prompts per second on engines
//! whose load they know as of some ten milliseconds ago. If all of them take the engine that looks
//! cheapest, many take the same one at the same time, and queues grow there while others are idle.
//! Therefore a router considers all engines only if few prompts of other routers are on their way.
//! Otherwise it considers those that have the prompt's shared prefix cached, the one that all
//! routers prefer for it, and a random sample of the others. This also keeps the work of a
//! placement from growing with the number of engines.

use dogwoodway_types::Timestamp;

/// Age of what a router knows of the prompts of others, in milliseconds: a report and two digests,
/// and the network.
const REPORT_AGE_MS: f64 = 30.0;

/// Increase of that age for each router, in milliseconds, since digests are less frequent the more
/// routers there are.
const REPORT_AGE_PER_ROUTER_MS: f64 = 0.2;

/// Samples if each engine gets one prompt of another router within the age of the reports; the
/// fewer get one, the more are sampled.
const SAMPLES_AT_ONE_PROMPT: f64 = 4.0;

/// Fewest engines to sample.
const MIN_SAMPLES: f64 = 5.0;

/// Time constant of the mean rate of prompts, in milliseconds.
const RATE_WINDOW_MS: f64 = 1_000.0;

/// Exponentially weighted rate of the prompts that this router places.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptRate {
    per_ms: f64,
    updated_at: Timestamp,
}

impl PromptRate {
    /// Records one prompt.
    ///
    /// ```
    /// use dogwoodway_routing::direct::sampling::PromptRate;
    /// use dogwoodway_types::Timestamp;
    ///
    /// let mut rate = PromptRate::default();
    /// for n in 1..1_000 {
    ///     rate.record(Timestamp::from_millis(20 * n));
    /// }
    /// assert!((rate.per_ms() - 0.05).abs() < 0.005);
    /// ```
    pub fn record(&mut self, now: Timestamp) {
        let elapsed_ms = (now - self.updated_at).as_secs_f64() * 1e3;
        self.per_ms = self.per_ms * (-elapsed_ms / RATE_WINDOW_MS).exp() + 1.0 / RATE_WINDOW_MS;
        self.updated_at = now;
    }

    /// Returns the prompts per millisecond at the last record.
    pub fn per_ms(&self) -> f64 {
        self.per_ms
    }
}

/// Returns the share of the engines to sample for a prompt, from 0 to 1. `rate` is that of this
/// router, and each of the `routers`, this one included, is assumed to have the same.
///
/// ```
/// use dogwoodway_routing::direct::sampling::{PromptRate, sample_share};
/// use dogwoodway_types::Timestamp;
///
/// let mut rate = PromptRate::default();
/// (1..400).for_each(|n| rate.record(Timestamp::from_millis(50 * n)));
/// assert_eq!(sample_share(&rate, 1, 9), 1.0, "nobody else places prompts");
/// assert_eq!(sample_share(&rate, 4, 38), 1.0);
/// assert!(sample_share(&rate, 103, 180) < 0.1);
/// ```
pub fn sample_share(rate: &PromptRate, routers: u32, engines: usize) -> f64 {
    let age_ms = REPORT_AGE_MS + REPORT_AGE_PER_ROUTER_MS * f64::from(routers);
    let unseen_prompts = rate.per_ms() * f64::from(routers.saturating_sub(1)) * age_ms;
    let prompts_per_engine = unseen_prompts / engines.max(1) as f64;
    let samples = (SAMPLES_AT_ONE_PROMPT / prompts_per_engine.max(f64::EPSILON)).max(MIN_SAMPLES);
    (samples / engines.max(1) as f64).min(1.0)
}

/// Returns whether an engine is in the sample. `hash` mixes the engine with a number that is drawn
/// for each prompt.
pub fn is_sampled(hash: u64, share: f64) -> bool {
    // A double holds 53 bits exactly.
    ((hash >> 11) as f64) < share * (1_u64 << 53) as f64
}
