//! Deterministic state machines over the records of the platform log.
//!
//! They hold the configuration, the claims of idempotency keys, the lease on an engine and the
//! weight-loading slots. Each reader applies the same records in log order and reaches the same
//! state. Nothing here does I/O or reads a clock; callers pass in the current time.

mod claim;
mod claim_message;
mod claimer;
mod configuration;
mod record;
mod snapshot;
mod trail;
mod validate;
pub mod lease;
pub mod loading;

pub use crate::{
    claim::{
        Claim, ClaimCompletion, ClaimReadResponse, ClaimRecord, ClaimRelease, ClaimTable, KeyState,
        RecordedResponse,
    },
    claim_message::{
        AppendOutcome, AttemptOutcome, ClaimAttempt, ClaimDecision, ClaimRefusal, LogCall,
    },
    claimer::Claimer,
    configuration::ConfigState,
    record::{BaseVersion, ConfigChange, ConfigRecord, SnapshotKind, SnapshotPart, Verdict},
    snapshot::{Position, Snapshot, SnapshotCoverage, SnapshotError},
    trail::{AuditTrail, TrailEntry},
    validate::{Diagnostic, config_errors, config_warnings},
};

/// Types needed to publish or evaluate a configuration change.
pub mod prelude {
    pub use crate::{ConfigChange, ConfigRecord, ConfigState, Verdict};
}
