//! The loads that are replayed.

use clap::ValueEnum;
use serde::Serialize;

/// Second at which the trouble of a pattern begins.
pub(super) const BEGINS_S: f64 = 6.0;

/// Second at which it ends.
pub(super) const ENDS_S: f64 = 14.0;

/// A load that routers must bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum LoadPattern {
    /// Nothing happens.
    #[serde(rename = "calm")]
    #[value(name = "calm")]
    Steady,
    /// 1.7 times as many requests for some seconds.
    Burst,
    /// One subject has a quarter of all requests.
    HotKey,
    /// No request gets through for two seconds; all come at once then.
    #[serde(rename = "herd-return")]
    #[value(name = "herd-return")]
    ThunderingHerd,
    /// Refused callers come back at once, three times.
    #[serde(rename = "repeat-at-once")]
    #[value(name = "repeat-at-once")]
    ImmediateRetries,
    /// A third of the engines is lost, with its KV cache, and comes back empty.
    #[serde(rename = "third-gone")]
    #[value(name = "third-gone")]
    EngineLoss,
    /// Some engines fail most of their requests within milliseconds.
    #[serde(rename = "grey-engines")]
    #[value(name = "grey-engines")]
    GrayFailures,
    /// Engines are emptied one after the other.
    #[serde(rename = "drained")]
    #[value(name = "drained")]
    RollingDrain,
    /// New weights are named in the middle of the peak.
    #[serde(rename = "new-weights")]
    #[value(name = "new-weights")]
    WeightsRollout,
    /// Comparisons are twice as long, and their lengths differ more.
    LargePrompts,
    /// Links for KV cache are ten times slower.
    SlowLinks,
}

impl LoadPattern {
    /// Returns the factor on the rate of requests.
    pub(super) fn load_factor(self, at_s: f64) -> f64 {
        match self {
            LoadPattern::Burst if (BEGINS_S..ENDS_S).contains(&at_s) => 1.7,
            _ => 1.0,
        }
    }

    /// Returns when a request that was due at `at_s` arrives.
    pub(super) fn arrives_at(self, at_s: f64) -> f64 {
        match self {
            // Callers come back within a fifth of a second.
            LoadPattern::ThunderingHerd if (BEGINS_S..BEGINS_S + 2.0).contains(&at_s) => {
                BEGINS_S + 2.0 + (at_s - BEGINS_S) / 10.0
            }
            _ => at_s,
        }
    }
}

/// What is replayed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct SimulationConfig {
    /// The load.
    pub pattern: LoadPattern,
    /// Requests, relative to what the engines can compute.
    pub load: f64,
    /// Engines.
    pub engines: usize,
    /// Routers.
    pub routers: usize,
    /// Milliseconds between two datagrams of a router; `None` for routers that tell nothing.
    pub gossip_ms: Option<u64>,
    /// Seconds of arrivals.
    pub seconds: f64,
    /// Seed of all that is random.
    pub seed: u64,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        SimulationConfig {
            pattern: LoadPattern::Steady,
            load: 0.6,
            engines: 9,
            routers: 4,
            gossip_ms: Some(23),
            seconds: 20.0,
            seed: 1,
        }
    }
}
