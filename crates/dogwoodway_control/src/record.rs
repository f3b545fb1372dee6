//! Records of the configuration stream.

use dogwoodway_types::{ChangeId, ConfigEdit, LogOffset, ObjectId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::Diagnostic;

/// The version of one object that a change was made against.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BaseVersion {
    /// The object.
    pub object: ObjectId,
    /// Position of the change that wrote the version, 0 if the object did not exist.
    pub version: LogOffset,
}

/// A change of the configuration, as published by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Identifies the change; a second append of the same change has no effect.
    pub id: ChangeId,
    /// Who made it.
    pub author: String,
    /// When it was made, by the author's clock.
    pub made_at: Timestamp,
    /// Versions of all objects that it touches.
    pub bases: Vec<BaseVersion>,
    /// The edits, applied together or not at all.
    pub edits: Vec<ConfigEdit>,
}

/// What a snapshot is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SnapshotKind {
    /// SnapshotCoverage records that the log will drop; changes nothing.
    Refresh,
    /// Brings back what the log has lost, or begins a log.
    Restore,
    /// Stands for records that were dropped before any snapshot covered them, and replaces the
    /// state at all readers, so that they agree; one that knows more restores that.
    Rebase,
}

/// One part of a snapshot; the parts of a snapshot have consecutive offsets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPart {
    /// What the snapshot is for.
    pub kind: SnapshotKind,
    /// Hash of the whole text, in hexadecimal digits.
    pub hash: String,
    /// Epoch that the log is in from the snapshot on, unless it is in a later one already.
    pub epoch: u32,
    /// Offset on this log up to which the snapshot covers all records; absent if the state was
    /// read from an earlier log, or is merged only.
    pub covers: Option<LogOffset>,
    /// Hash of the record at `covers`, in hexadecimal digits: a snapshot that comes late to another
    /// log is known by it. Absent if that record was dropped already.
    pub anchor: Option<String>,
    /// Drawn by the writer, so that no two snapshots are equal and each record tells its log.
    pub nonce: u64,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// This part of the text.
    pub text: String,
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigRecord {
    /// A change to be judged.
    Change(ConfigChange),
    /// A part of a snapshot.
    Snapshot(SnapshotPart),
}

/// The verdict on a change, the same at every reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The change is in force from this position on.
    Accepted {
        /// Position of the change.
        offset: LogOffset,
    },
    /// Another change touched the same object first.
    Stale {
        /// The object.
        object: ObjectId,
        /// Position of the other change.
        changed_at: LogOffset,
        /// Author of the other change, if the trail still holds it.
        changed_by: Option<String>,
    },
    /// The change is invalid in itself or together with the configuration in force.
    Invalid {
        /// What is wrong, and where.
        #[serde(rename = "faults")]
        diagnostics: Vec<Diagnostic>,
    },
}
