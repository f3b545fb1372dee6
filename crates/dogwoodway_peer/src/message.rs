//! Requests and replies exchanged between entries and agents.

use std::collections::BTreeMap;

use dogwoodway_types::{
    AgentIncarnation, AttemptId, AvailabilityZone, BackendServerName, ClaimRequest,
    EngineIncarnation, Frame, LogOffset, ModelName, NotRunReason, PieceHash, Priority, RequestId,
    SoftwareVersion, TeamName, Timestamp, WeightsVersion, Work,
};
use serde::{Deserialize, Serialize};

/// Kind and current state of the backend server that an agent serves requests for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendKind {
    /// A model engine.
    Engine {
        /// Incarnation of the engine, `None` while it cannot be reached.
        incarnation: Option<EngineIncarnation>,
        /// Model that the engine last reported as loaded.
        model: ModelName,
        /// Version of the model's weights, as last reported.
        version: WeightsVersion,
        /// Version of the engine's software, which only a restart changes.
        software: SoftwareVersion,
    },
    /// A plain service, whose state is not monitored.
    Service,
}

/// Identity and state of an agent and its backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentDescription {
    /// Name of the backend server, from the agent's settings.
    pub name: BackendServerName,
    /// Zone that the agent runs in, from its settings.
    pub zone: AvailabilityZone,
    /// Incarnation of the agent; another one after each restart.
    pub incarnation: AgentIncarnation,
    /// Labels of the backend server, from the agent's settings.
    pub labels: BTreeMap<String, String>,
    /// Kind and current state of the backend server.
    pub kind: BackendKind,
    /// Whether the agent refuses new attempts because it or its VM is shutting down.
    pub leaving: bool,
    /// Packed [`Position`](dogwoodway_control::Position) of the configuration in force at the
    /// agent.
    pub config_offset: LogOffset,
}

/// Asks an agent how soon it could run a request and how much of its prompt is cached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// Piece hashes of the prompt, from its start; empty for plain services.
    pub hashes: Vec<PieceHash>,
    /// Scheduling priority of the request.
    pub priority: Priority,
    /// Packed [`Position`](dogwoodway_control::Position) of the configuration that the entry routes
    /// by; an agent whose configuration is older fetches the newer one.
    pub config_offset: LogOffset,
}

/// Reply to a [`ProbeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// Number of pieces from the start of the prompt that the engine has cached or is computing.
    pub matched: u32,
    /// Number of attempts that are running or queued.
    pub load: u32,
    /// Predicted time until the backend server would start on the request, in microseconds.
    pub wait_us: u64,
    /// Measured prefill time per prompt token, in nanoseconds.
    pub prefill_ns: u32,
    /// Whether the agent accepts new attempts.
    pub accepting: bool,
    /// Incarnation of the agent.
    pub agent: AgentIncarnation,
    /// Kind and current state of the backend server.
    pub kind: BackendKind,
    /// Packed [`Position`](dogwoodway_control::Position) of the configuration in force at the
    /// agent.
    pub config_offset: LogOffset,
}

/// Asks an agent to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Id of the attempt; starting the same attempt again has no effect.
    pub attempt: AttemptId,
    /// Id of the request that the attempt belongs to.
    pub request: RequestId,
    /// Team that the request is billed to.
    pub team: TeamName,
    /// Scheduling priority of the request.
    pub priority: Priority,
    /// Latest time at which the attempt may start, by the agent's clock.
    pub start_before: Timestamp,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Timestamp,
    /// Packed [`Position`](dogwoodway_control::Position) of the configuration that the entry routed
    /// by; the agent refuses the attempt if its own configuration is newer.
    pub config_offset: LogOffset,
    /// Incarnation of the agent that the attempt was routed to; any other refuses it.
    pub agent: AgentIncarnation,
    /// Incarnation of the engine that the attempt was routed to; absent for plain services.
    pub engine: Option<EngineIncarnation>,
    /// Idempotency key to claim before the attempt runs; absent if the request has none or may be
    /// repeated.
    pub claim: Option<ClaimRequest>,
    /// Whether an engine crashed while it ran the request. An agent runs at most one such attempt
    /// at a time, so that a crash shows which request is to blame.
    pub is_suspect: bool,
    /// Work to pass to the backend server.
    pub work: Work,
}

/// Reply to a [`StartRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartReply {
    /// The attempt is running, queued or has already ended; its frames can be read.
    Accepted,
    /// The attempt has not run and never will.
    NotRun {
        /// Why the agent refused the attempt.
        reason: NotRunReason,
        /// Earliest time at which a retry may succeed, `None` if there is none or it is not known.
        retry_at: Option<Timestamp>,
    },
    /// The request arrived after the retention time of attempts; an earlier copy may have run.
    Forgotten,
}

/// Reply to a request for the frames of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FramesReply {
    /// The frames from the requested one on; empty if none arrived in time.
    Frames {
        /// Attempt that the frames belong to.
        attempt: AttemptId,
        /// The frames, in the order of their sequence numbers.
        frames: Vec<Frame>,
    },
    /// The attempt is not known to the agent, or is no longer retained.
    NoAttempt,
}

/// Reply to the question whether an attempt has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleReply {
    /// The attempt has not started and never will, even if its start arrives later.
    NotStarted,
    /// The attempt was accepted and may have ended since; its frames can be read.
    Started,
    /// The agent has restarted: the attempt was sent to another incarnation, so its state is
    /// unknown.
    OtherIncarnation,
    /// The question arrived after the retention time of attempts; the attempt may have run.
    Forgotten,
}
