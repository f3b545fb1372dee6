//! Identifiers, time, outcomes, configuration model and prompt prefixes shared by all crates.
//!
//! Nothing here does I/O. Raw input is turned into checked types through `TryFrom`, so a value
//! of a type in this crate is valid by construction.

mod config;
mod grant;
mod id;
mod idempotency;
mod outcome;
mod prefix;
mod time;
mod work;

pub use crate::{
    config::{
        BackendLabels, ConfigEdit, ConfigError, Configuration, KeyHash, ObjectId, ObjectKind,
        Priority, Selector, Team, TrafficClass,
    },
    grant::{Grant, GrantRequest, GrantRole},
    id::{
        AgentIncarnation, AttemptId, AvailabilityZone, BackendServerName, ChangeId, ClassName,
        EngineIncarnation, EntryIncarnation, IdError, IdempotencyKey, LogOffset, ModelName,
        RequestId, RouteName, RouterName, SelectorName, ServiceName, TeamName, Token,
        WeightsVersion,
    },
    idempotency::{CLAIM_PARTITIONS, ClaimKey, ClaimPartition, ClaimRequest, RequestFingerprint},
    outcome::{NotRunReason, Outcome},
    prefix::{PIECE_TOKENS, PieceHash, PrefixChain, estimate_tokens},
    time::Timestamp,
    work::{ChatMessage, ChatWork, FinishReason, Frame, FrameKind, ServiceWork, Usage, Work},
};

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::{
        AttemptId, AvailabilityZone, BackendServerName, Configuration, Frame, FrameKind, LogOffset,
        ModelName, NotRunReason, Outcome, PrefixChain, Priority, RequestId, TeamName, Timestamp,
        WeightsVersion, Work,
    };
}
