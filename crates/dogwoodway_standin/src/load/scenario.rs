//! Scenarios of the load tool, read from the YAML files in `scenarios/`.

use dogwoodway_types::{ClassName, ModelName};
use serde::Deserialize;

/// A workload, the fleet to run it on and the faults to inject meanwhile.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the random generator that draws the requests.
    pub seed: u64,
    /// Time span in which requests arrive, in seconds, the warm-up included.
    pub seconds: u32,
    /// Warm-up in seconds; requests that arrive in it are not measured.
    pub warmup_s: u32,
    /// Model that all requests are for.
    pub model: ModelName,
    /// Arrival rate that counts as full load, in requests per second.
    pub capacity_rps: f64,
    /// The processes that `scripts/load.sh` starts for a run.
    pub fleet: FleetSizes,
    /// Relative weight of each team's traffic; team `i` has the bearer key `sk-team-i`.
    pub team_weights: Vec<f64>,
    /// Length in tokens of the system prompt, which all requests of a team share.
    pub system_tokens: u32,
    /// Number of catalogues of each team. A catalogue is the second part of a prompt; a team's
    /// requests for the same catalogue share it.
    pub catalogues: usize,
    /// Length of each catalogue in tokens.
    pub catalogue_tokens: u32,
    /// Exponent of the Zipf distribution of requests over a team's catalogues.
    pub skew: f64,
    /// Time at which the popularity ranking of the catalogues is reversed, in seconds; never if
    /// left out.
    #[serde(default)]
    pub shift_at_s: Option<f64>,
    /// Request classes; [`LoadReport::per_second_ms`](crate::LoadReport::per_second_ms) covers only
    /// the first.
    pub classes: Vec<RequestClass>,
    /// Faults to inject; they must be ordered by time.
    #[serde(default)]
    pub faults: Vec<ScheduledFault>,
}

/// Numbers and arguments of the processes of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSizes {
    /// Number of entries.
    pub entries: usize,
    /// Number of engine stand-ins, each with its own agent.
    pub engines: usize,
    /// Command-line arguments of each engine stand-in.
    pub engine_args: String,
}

/// Size, share and latency target of the requests of one traffic class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the traffic class, which requests carry in the header `x-dogwoodway-class`.
    pub name: ClassName,
    /// Relative weight of the class among all requests.
    pub share: f64,
    /// Length in tokens of the case, the last part of a prompt, which no other request shares.
    pub case_tokens: u32,
    /// Number of tokens to generate.
    pub answer_tokens: u32,
    /// Maximum time to first token in milliseconds for an answer to count towards goodput.
    pub first_token_limit_ms: u32,
}

/// A fault and the time at which to inject it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// Time in seconds after the start of the run.
    pub at_s: f64,
    /// Fault to inject.
    pub kind: FaultKind,
}

/// Faults that a scenario can inject.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An engine crashes and restarts with an empty cache.
    Crash {
        /// Index of the engine; an index out of range is ignored.
        engine: usize,
    },
    /// The log starts to refuse all calls.
    LogDown,
    /// The log accepts calls again; all of its faults are reset.
    LogUp,
}
