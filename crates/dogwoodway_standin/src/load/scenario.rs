//! Scenarios of the load tool.

use dogwoodway_types::{ClassName, ModelName};
use serde::Deserialize;

/// One scenario, as written in a YAML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the arrival order and of all choices.
    pub seed: u64,
    /// Seconds over which requests arrive.
    pub seconds: u32,
    /// Seconds at the start that are not measured.
    pub warmup_s: u32,
    /// Model to ask for.
    pub model: ModelName,
    /// Requests per second that are taken for full load.
    pub capacity_rps: f64,
    /// The processes to start.
    pub fleet: FleetSizes,
    /// Relative share of each team's traffic; team `i` has the bearer key `sk-team-i`.
    pub team_weights: Vec<f64>,
    /// Tokens in each team's system prompt.
    pub system_tokens: u32,
    /// Catalogues or districts of each team.
    pub catalogues: usize,
    /// Tokens in each catalogue.
    pub catalogue_tokens: u32,
    /// Exponent of the Zipf distribution over a team's catalogues.
    pub skew: f64,
    /// Second at which the popularity of catalogues is turned around, if at all.
    #[serde(default)]
    pub shift_at_s: Option<f64>,
    /// Kinds of requests.
    pub classes: Vec<ClassLoad>,
    /// Faults in the order of their times.
    #[serde(default)]
    pub faults: Vec<FaultAt>,
}

/// The processes of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSizes {
    /// Entries.
    pub entries: usize,
    /// Model engines.
    pub engines: usize,
    /// Arguments of each engine stand-in.
    pub engine_args: String,
}

/// One kind of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// Traffic class.
    pub name: ClassName,
    /// Share of the requests.
    pub share: f64,
    /// Tokens in the case at hand.
    pub case_tokens: u32,
    /// Tokens to generate.
    pub answer_tokens: u32,
    /// Milliseconds to the first token beyond which an answer does not count for goodput.
    pub first_token_limit_ms: u32,
}

/// A fault and its time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultAt {
    /// Seconds after the start.
    pub at_s: f64,
    /// The fault.
    pub kind: FaultKind,
}

/// Faults that a scenario can set.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An engine crashes and comes back with an empty cache.
    Crash {
        /// Index of the engine.
        engine: usize,
    },
    /// The log refuses all calls.
    LogDown,
    /// The log is back.
    LogUp,
}
