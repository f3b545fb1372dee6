//! Messages between entries and agents.

use std::collections::BTreeMap;

use dogwoodway_types::{
    AgentIncarnation, AttemptId, AvailabilityZone, BackendServerName, ClaimRequest,
    EngineIncarnation, Frame, LogOffset, ModelName, NotRunReason, PieceHash, Priority, RequestId,
    TeamName, Timestamp, WeightsVersion, Work,
};
use serde::{Deserialize, Serialize};

/// What kind of backend server an agent stands beside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendKind {
    /// A model engine.
    Engine {
        /// Its incarnation, absent while the engine is down.
        incarnation: Option<EngineIncarnation>,
        /// Model loaded.
        model: ModelName,
        /// Weights version loaded.
        version: WeightsVersion,
    },
    /// A plain service.
    Service,
}

/// What an agent says of itself and its backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentDescription {
    /// The backend server.
    pub name: BackendServerName,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// The agent's incarnation.
    pub incarnation: AgentIncarnation,
    /// Labels from the agent's settings.
    pub labels: BTreeMap<String, String>,
    /// Kind and state of the backend server.
    pub kind: BackendKind,
    /// Whether the agent takes no new work.
    pub leaving: bool,
    /// Offset of the configuration that the agent applies.
    pub config_offset: LogOffset,
}

/// Asks an agent how it would serve a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// The prompt's pieces.
    pub hashes: Vec<PieceHash>,
    /// Priority of the request.
    pub priority: Priority,
    /// Configuration that the entry routes under.
    pub config_offset: LogOffset,
}

/// Answer to a [`ProbeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// Pieces of the prompt that the engine holds, from its start.
    pub matched: u32,
    /// Attempts running or waiting.
    pub load: u32,
    /// Predicted microseconds until the engine would begin the prompt.
    pub wait_us: u64,
    /// Measured nanoseconds to compute one prompt token.
    pub prefill_ns: u32,
    /// Whether a new attempt would be taken.
    pub accepting: bool,
    /// The agent's incarnation.
    pub agent: AgentIncarnation,
    /// Kind and state of the backend server.
    pub kind: BackendKind,
    /// Offset of the configuration that the agent applies.
    pub config_offset: LogOffset,
}

/// Asks an agent to run an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Identifies the attempt; a second start of the same attempt has no effect.
    pub attempt: AttemptId,
    /// The caller's request.
    pub request: RequestId,
    /// Team that it is billed to.
    pub team: TeamName,
    /// Priority.
    pub priority: Priority,
    /// The attempt must not start after this time, by the agent's clock.
    pub start_before: Timestamp,
    /// The answer is of no use after this time.
    pub deadline: Timestamp,
    /// Configuration that the entry routed under.
    pub config_offset: LogOffset,
    /// Agent that the attempt was routed to.
    pub agent: AgentIncarnation,
    /// Engine that the attempt was routed to; absent for plain services.
    pub engine: Option<EngineIncarnation>,
    /// What must be claimed before the start; absent if the request may be repeated or has no key.
    pub claim: Option<ClaimRequest>,
    /// Whether an engine crashed while it ran the request; no two suspects run on one engine.
    pub is_suspect: bool,
    /// What to run.
    pub work: Work,
}

/// Answer to a [`StartRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartReply {
    /// The attempt runs or waits; its frames can be read.
    Accepted,
    /// The attempt was not run and never will be.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When a retry makes sense.
        retry_at: Option<Timestamp>,
    },
    /// The start came so late that an earlier copy may have run and been forgotten.
    Forgotten,
}

/// Frames of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FramesReply {
    /// The frames from the one asked for on, possibly none yet.
    Frames {
        /// Attempt that they belong to.
        attempt: AttemptId,
        /// The frames, in order.
        frames: Vec<Frame>,
    },
    /// The agent knows no such attempt.
    NoAttempt,
}

/// Answer to the question what became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleReply {
    /// The attempt has not started and never will.
    NotStarted,
    /// The attempt was handed to the backend server; its frames can be read.
    Started,
    /// The question is for another incarnation of the agent.
    OtherIncarnation,
    /// The question came so late that the attempt may have run and been forgotten.
    Forgotten,
}
