//! Snapshots of the configuration state, and positions that survive the loss of the log.

use std::fmt;

use dogwoodway_types::{Configuration, LogOffset};
use serde::{Deserialize, Serialize};

use crate::{AuditTrail, BaseVersion, ConfigRecord, ConfigState, SnapshotKind, SnapshotPart};

/// Bits of a position that hold the offset on the log; the epoch is above them.
const OFFSET_BITS: u32 = 40;

/// Longest text of one part, in bytes.
const PART_BYTES: usize = 64 << 10;

/// A place in the history of the configuration: epochs in order, and offsets within an epoch.
///
/// A log that comes back empty starts its offsets anew; the next epoch keeps positions growing. In
/// epoch 0 a position is equal to the offset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Number of times that the log was lost.
    pub epoch: u32,
    /// Offset on the log.
    pub offset: LogOffset,
}

impl Position {
    /// Packs the position into one number that orders in the same way.
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

    /// Undoes [`Position::pack`].
    pub fn unpack(packed: LogOffset) -> Position {
        let offset = LogOffset(packed.0 & ((1 << OFFSET_BITS) - 1));
        Position { epoch: (packed.0 >> OFFSET_BITS) as u32, offset }
    }
}

/// The reason why a snapshot is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The text does not have the hash that the snapshot names.
    HashMismatch,
    /// The text is no configuration state.
    InvalidText(String),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::HashMismatch => write!(f, "the snapshot's text does not match its hash"),
            SnapshotError::InvalidText(e) => write!(f, "the snapshot's text is not valid: {e}"),
        }
    }
}

impl std::error::Error for SnapshotError {}

/// A configuration state as text with its hash, to be sent or appended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Hash of the text, in hexadecimal digits.
    pub hash: String,
    /// The state as JSON.
    pub text: String,
}

/// The records of a log that a snapshot includes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotCoverage {
    /// Offset of the last one.
    pub offset: LogOffset,
    /// Hash of the last one, in hexadecimal digits, if it is still on the log.
    pub anchor: Option<String>,
}

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
    /// Takes a snapshot of a state.
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
        Snapshot { hash: hash_of(&text), text }
    }

    /// Checks the hash and returns the state.
    ///
    /// # Errors
    ///
    /// Fails if the hash does not match or the text is no state.
    pub fn state(&self) -> Result<ConfigState, SnapshotError> {
        if hash_of(&self.text) != self.hash {
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
            run: Vec::new(),
        })
    }

    /// Cuts the snapshot into records that are to be appended as one group.
    ///
    /// The log is in `epoch` from then on. `covers` tells which records of this log the state
    /// includes, if it includes all up to some offset. `nonce` is drawn anew for each append.
    pub fn into_records(
        self,
        kind: SnapshotKind,
        epoch: u32,
        covers: Option<SnapshotCoverage>,
        nonce: u64,
    ) -> Vec<ConfigRecord> {
        let (covers, anchor) = covers.map_or((None, None), |c| (Some(c.offset), c.anchor));
        let mut texts = Vec::new();
        let mut rest = self.text.as_str();
        while !rest.is_empty() {
            let cut = rest.floor_char_boundary(PART_BYTES);
            let (text, tail) = rest.split_at(cut);
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

    /// Puts the parts of one snapshot together again.
    pub(crate) fn from_parts(parts: &[SnapshotPart]) -> Snapshot {
        let hash = parts.first().map(|part| part.hash.clone()).unwrap_or_default();
        Snapshot { hash, text: parts.iter().map(|part| part.text.as_str()).collect() }
    }
}

fn hash_of(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}
