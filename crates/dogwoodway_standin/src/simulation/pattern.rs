//! Load patterns and the parameters of a simulation.

use clap::ValueEnum;
use serde::Serialize;

/// Time at which the disturbance of a load pattern starts, in seconds of the simulation.
pub(super) const DISTURBANCE_START_S: f64 = 6.0;

/// Time at which the disturbance of a load pattern ends, in seconds of the simulation.
pub(super) const DISTURBANCE_END_S: f64 = 14.0;

/// The disturbance that a simulation applies to an otherwise steady load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum LoadPattern {
    /// No disturbance.
    #[serde(rename = "calm")]
    #[value(name = "calm")]
    Steady,
    /// 1.7 times the request rate for eight seconds.
    Burst,
    /// A quarter of the requests of each class have the same shared prefix.
    HotKey,
    /// No request arrives for two seconds; the delayed ones then arrive within a fifth of a second.
    #[serde(rename = "herd-return")]
    #[value(name = "herd-return")]
    ThunderingHerd,
    /// Refused callers ignore the requested delay and retry three times within 60 milliseconds.
    #[serde(rename = "repeat-at-once")]
    #[value(name = "repeat-at-once")]
    ImmediateRetries,
    /// A third of the engines crash, lose their KV cache and restart eight seconds later.
    #[serde(rename = "third-gone")]
    #[value(name = "third-gone")]
    EngineLoss,
    /// About a sixth of the engines fail most of their requests within milliseconds.
    #[serde(rename = "grey-engines")]
    #[value(name = "grey-engines")]
    GrayFailures,
    /// A third of the engines are drained, one every two seconds; each restarts three seconds
    /// later.
    #[serde(rename = "drained")]
    #[value(name = "drained")]
    RollingDrain,
    /// New weights are published three times under full traffic.
    #[serde(rename = "new-weights")]
    #[value(name = "new-weights")]
    WeightsRollout,
    /// Comparison prompts have on average twice as many unshared tokens, and vary more in length.
    LargePrompts,
    /// The links over which engines fetch KV cache are ten times slower.
    SlowLinks,
}

impl LoadPattern {
    /// Returns the factor by which the request rate differs from the steady one at `at_s` seconds.
    pub(super) fn arrival_rate_factor(self, at_s: f64) -> f64 {
        match self {
            LoadPattern::Burst if (DISTURBANCE_START_S..DISTURBANCE_END_S).contains(&at_s) => 1.7,
            _ => 1.0,
        }
    }

    /// Returns the time at which a request generated for `at_s` arrives, both in seconds.
    pub(super) fn arrival_time_s(self, at_s: f64) -> f64 {
        match self {
            // The requests of two seconds arrive within a fifth of a second.
            LoadPattern::ThunderingHerd
                if (DISTURBANCE_START_S..DISTURBANCE_START_S + 2.0).contains(&at_s) =>
            {
                DISTURBANCE_START_S + 2.0 + (at_s - DISTURBANCE_START_S) / 10.0
            }
            _ => at_s,
        }
    }
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct SimulationConfig {
    /// Disturbance of the load.
    pub pattern: LoadPattern,
    /// Request rate, relative to the rate at which all engines together can compute the unshared
    /// tokens of the prompts.
    pub load: f64,
    /// Number of engines.
    pub engines: usize,
    /// Number of routers.
    pub routers: usize,
    /// Interval between the gossip datagrams of a router, in milliseconds; `None` turns gossip off.
    pub gossip_ms: Option<u64>,
    /// Time during which requests arrive, in seconds.
    pub seconds: f64,
    /// Seed of all random numbers.
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
