//! Record types of the configuration stream, in their serialized form.

use dogwoodway_types::{ChangeId, ConfigEdit, LogOffset, ObjectId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::Diagnostic;

/// The version of an object that a change is based on, for optimistic concurrency control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BaseVersion {
    /// The object that the change edits.
    pub object: ObjectId,
    /// Packed [`Position`](crate::Position) of the change that wrote the object last, 0 if the
    /// object never existed.
    pub version: LogOffset,
}

/// A configuration change published by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Idempotency key of the change: a record with an id that the audit trail still holds is not
    /// evaluated again.
    pub id: ChangeId,
    /// Name of the operator, as given by the publishing tool.
    pub author: String,
    /// Time of publishing by the author's clock; not used in evaluation.
    pub made_at: Timestamp,
    /// Base versions of all edited objects; a missing one makes the change invalid.
    pub bases: Vec<BaseVersion>,
    /// The edits, applied atomically.
    pub edits: Vec<ConfigEdit>,
}

/// The purpose of a snapshot, which decides how readers apply it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SnapshotKind {
    /// Covers records before log retention drops them; changes nothing at a reader that has applied
    /// those records.
    Refresh,
    /// Restores state that the log has lost, or initializes an empty log. Readers merge it: for
    /// each object the later version wins.
    Restore,
    /// Stands in for records that were dropped before any snapshot covered them. It replaces the
    /// state of all readers, so that they agree; a reader with newer versions then appends a
    /// [`SnapshotKind::Restore`].
    Rebase,
}

/// One part of a snapshot. A snapshot is valid only if its parts have consecutive offsets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPart {
    /// Purpose of the snapshot.
    pub kind: SnapshotKind,
    /// BLAKE3 hash of the whole snapshot text, in hexadecimal digits.
    pub hash: String,
    /// Epoch of the log from this snapshot on, unless the log is in a later epoch already.
    pub epoch: u32,
    /// Offset on this log up to which the snapshot covers all records. Absent if the state was
    /// read from an earlier log or the snapshot is only to be merged.
    pub covers: Option<LogOffset>,
    /// Hash of the record at `covers`, in hexadecimal digits. It detects a delayed snapshot that
    /// was meant for an earlier log. Absent if that record was dropped already.
    pub anchor: Option<String>,
    /// Random number drawn by the writer, so that no two snapshot records are equal and the hash
    /// of a record identifies its log.
    pub nonce: u64,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts of the snapshot.
    pub parts: u32,
    /// This part's section of the snapshot text.
    pub text: String,
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigRecord {
    /// A configuration change; every reader evaluates it and reaches the same verdict.
    Change(ConfigChange),
    /// One part of a snapshot of the state.
    Snapshot(SnapshotPart),
}

/// The result of evaluating a change, the same at every reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The change is in force from this position on.
    Accepted {
        /// Packed position of the change.
        offset: LogOffset,
    },
    /// An edited object no longer has the version that the change is based on.
    Stale {
        /// The first such object.
        object: ObjectId,
        /// Packed position of the change that wrote the object last.
        changed_at: LogOffset,
        /// Author of that change; absent if the audit trail no longer holds it.
        changed_by: Option<String>,
    },
    /// The change itself is malformed, or the configuration with it applied would be invalid.
    Invalid {
        /// The errors found.
        #[serde(rename = "faults")]
        diagnostics: Vec<Diagnostic>,
    },
}
