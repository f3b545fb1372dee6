//! Types shared by all crates: identifiers, time, outcomes, the configuration model and prompt
//! prefixes.
//!
//! Nothing here does I/O, except that [`Timestamp::now`] reads the clock. Names and key hashes are
//! validated by `TryFrom` when they are parsed or deserialized, so their values are always valid.

mod config;
mod grant;
mod id;
mod idempotency;
mod outcome;
mod position;
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
        RequestId, RouteName, RouterName, SelectorName, ServiceName, SoftwareVersion, TeamName,
        Token, WeightsVersion,
    },
    idempotency::{CLAIM_PARTITIONS, ClaimKey, ClaimPartition, ClaimRequest, RequestFingerprint},
    outcome::{NotRunReason, Outcome},
    position::{LogPosition, StoreEra},
    prefix::{PIECE_TOKENS, PieceHash, PrefixChain, estimate_tokens},
    time::Timestamp,
    work::{ChatMessage, ChatWork, FinishReason, Frame, FrameKind, ServiceWork, Usage, Work},
};

/// The types that most users of this crate import.
pub mod prelude {
    pub use crate::{
        AttemptId, AvailabilityZone, BackendServerName, Configuration, Frame, FrameKind, LogOffset,
        ModelName, NotRunReason, Outcome, PrefixChain, Priority, RequestId, TeamName, Timestamp,
        WeightsVersion, Work,
    };
}
