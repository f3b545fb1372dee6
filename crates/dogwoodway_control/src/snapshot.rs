//! Snapshots of the configuration state, and log positions that stay ordered after the log was
//! lost.

use std::fmt;

use dogwoodway_types::{Configuration, LogOffset};
use serde::{Deserialize, Serialize};

use crate::{AuditTrail, BaseVersion, ConfigRecord, ConfigState, SnapshotKind, SnapshotPart};

/// Number of low bits of a packed position that hold the log offset; the epoch is above them.
const OFFSET_BITS: u32 = 40;

/// Maximum size of the text of one part, in bytes.
const MAX_PART_BYTES: usize = 64 << 10;

/// A position in the history of the configuration, ordered by epoch and then by log offset.
///
/// A log that was lost restarts its offsets; the next epoch then keeps positions increasing. In
/// epoch 0 a packed position equals the offset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Number of times that the log was lost.
    pub epoch: u32,
    /// Offset of a record on the log.
    pub offset: LogOffset,
}

impl Position {
    /// Packs the position into one number with the same order.
    ///
    /// ```
    /// use dogwoodway_control::Position;
    /// use dogwoodway_types::LogOffset;
    ///
    /// let position = Position { epoch: 1, offset: LogOffset(2) };
    /// assert_eq!(Position::unpack(position.pack()), position);
    /// assert!(position.pack() > Position { epoch: 0, offset: LogOffset(99) }.pack());
    /// ```
    pub fn pack(self) -> LogOffset {
        LogOffset((u64::from(self.epoch) << OFFSET_BITS) | self.offset.0)
    }

    /// Reverses [`Position::pack`].
    pub fn unpack(packed: LogOffset) -> Position {
        let offset = LogOffset(packed.0 & ((1 << OFFSET_BITS) - 1));
        Position { epoch: (packed.0 >> OFFSET_BITS) as u32, offset }
    }
}

/// The reason for rejecting a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The text does not match the hash of the snapshot.
    HashMismatch,
    /// The text is not a serialized configuration state; holds the parser's message.
    InvalidText(String),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::HashMismatch => write!(f, "snapshot text does not match its hash"),
            SnapshotError::InvalidText(e) => {
                write!(f, "snapshot text is not a configuration state: {e}")
            }
        }
    }
}

impl std::error::Error for SnapshotError {}

/// A serialized configuration state with its hash, to be sent to a peer or appended to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// BLAKE3 hash of the text, in hexadecimal digits.
    pub hash: String,
    /// The state as JSON.
    pub text: String,
}

/// The range of log records that a snapshot includes: all up to an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotCoverage {
    /// Offset of the last record.
    pub offset: LogOffset,
    /// Hash of the last record, in hexadecimal digits; absent if the log has dropped it.
    pub anchor: Option<String>,
}

/// The serialized form of a [`ConfigState`].
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SnapshotText {
    configuration: Configuration,
    applied: LogOffset,
    #[serde(rename = "begun")]
    initialized: bool,
    versions: Vec<BaseVersion>,
    trail: AuditTrail,
}

impl Snapshot {
    /// Serializes a state.
    ///
    /// ```
    /// use dogwoodway_control::{ConfigState, Snapshot};
    ///
    /// let state = ConfigState::default();
    /// assert_eq!(Snapshot::new(&state).state().unwrap(), state);
    /// ```
    pub fn new(state: &ConfigState) -> Snapshot {
        let versions = state.versions().map(|(object, version)| BaseVersion { object, version });
        let text = SnapshotText {
            configuration: state.configuration.clone(),
            applied: state.applied,
            initialized: state.initialized,
            versions: versions.collect(),
            trail: state.trail.clone(),
        };
        let text = serde_json::to_string(&text).expect("names are the keys of all maps");
        Snapshot { hash: hash_hex(&text), text }
    }

    /// Checks the hash and deserializes the state.
    ///
    /// # Errors
    ///
    /// Fails if the hash does not match or the text is not a serialized state.
    pub fn state(&self) -> Result<ConfigState, SnapshotError> {
        if hash_hex(&self.text) != self.hash {
            return Err(SnapshotError::HashMismatch);
        }
        let text: SnapshotText = serde_json::from_str(&self.text)
            .map_err(|e| SnapshotError::InvalidText(e.to_string()))?;
        Ok(ConfigState {
            configuration: text.configuration,
            applied: text.applied,
            initialized: text.initialized,
            versions: text.versions.into_iter().map(|b| (b.object, b.version)).collect(),
            trail: text.trail,
            partial_snapshot: Vec::new(),
        })
    }

    /// Splits the snapshot into records that must be appended in one batch.
    ///
    /// `epoch` is the epoch of the log from the snapshot on. `coverage` tells up to which offset
    /// the state includes all records of this log, if it does. `nonce` must be drawn anew for each
    /// append.
    pub fn into_records(
        self,
        kind: SnapshotKind,
        epoch: u32,
        coverage: Option<SnapshotCoverage>,
        nonce: u64,
    ) -> Vec<ConfigRecord> {
        let (covers, anchor) = coverage.map_or((None, None), |c| (Some(c.offset), c.anchor));
        let mut texts = Vec::new();
        let mut rest = self.text.as_str();
        while !rest.is_empty() {
            let boundary = rest.floor_char_boundary(MAX_PART_BYTES);
            let (text, tail) = rest.split_at(boundary);
            texts.push(text.to_owned());
            rest = tail;
        }
        let parts = texts.len() as u32;
        let hash = &self.hash;
        let part = |(i, text): (usize, String)| {
            let (hash, anchor, part) = (hash.clone(), anchor.clone(), i as u32);
            let part = SnapshotPart { kind, hash, epoch, covers, anchor, nonce, part, parts, text };
            ConfigRecord::Snapshot(part)
        };
        texts.into_iter().enumerate().map(part).collect()
    }

    /// Joins the parts of one snapshot.
    pub(crate) fn from_parts(parts: &[SnapshotPart]) -> Snapshot {
        let hash = parts.first().map(|part| part.hash.clone()).unwrap_or_default();
        Snapshot { hash, text: parts.iter().map(|part| part.text.as_str()).collect() }
    }
}

fn hash_hex(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}
