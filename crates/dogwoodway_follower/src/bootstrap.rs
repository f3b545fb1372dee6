//! Rebuilds the configuration state from a snapshot on a log whose first records were dropped.

use dogwoodway_control::{ConfigRecord, ConfigState, Snapshot, SnapshotPart};
use dogwoodway_log::LogRecord;
use dogwoodway_types::LogOffset;

/// Returns the state at the end of `records`, which must be consecutive, if they hold a snapshot to
/// which the records after its covered offset can be applied without a gap.
pub(crate) fn replay(records: &[LogRecord]) -> Option<ConfigState> {
    let first = records.first()?.offset;
    let mut assembler = SnapshotAssembler::default();
    let snapshots = records.iter().filter_map(|record| assembler.push(record));
    let bases =
        snapshots.filter(|found| found.is_base_for(first, records)).map(|found| found.state);
    let mut state = bases.max_by_key(|base| base.position())?;
    let base_offset = state.position().offset;
    for record in records.iter().filter(|record| record.offset > base_offset) {
        apply(&mut state, record);
    }
    Some(state)
}

/// Applies a record of the log to a state; a record that cannot be decoded is skipped.
pub(crate) fn apply(state: &mut ConfigState, record: &LogRecord) {
    match serde_json::from_value::<ConfigRecord>(record.data.clone()) {
        Ok(parsed) => drop(state.apply(record.offset, &parsed)),
        Err(e) => {
            log::error!(
                "skipped the invalid configuration record at offset {}: {e}",
                record.offset
            );
            state.skip(record.offset);
        }
    }
}

/// Assembles snapshots from consecutive records that hold their parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotAssembler {
    parts: Vec<SnapshotPart>,
}

/// A complete snapshot found on the log.
pub(crate) struct LoggedSnapshot {
    /// Offset up to which the snapshot covers all records of the log; absent if the snapshot gives
    /// none that fits its state.
    pub(crate) covers: Option<LogOffset>,
    /// Hash of the record at `covers`, in hexadecimal digits; absent if the writer did not have it.
    pub(crate) anchor: Option<String>,
    /// The decoded state.
    pub(crate) state: ConfigState,
}

impl SnapshotAssembler {
    /// Adds the next record; returns a snapshot if the record is the last part of one.
    pub(crate) fn push(&mut self, record: &LogRecord) -> Option<LoggedSnapshot> {
        let Ok(ConfigRecord::Snapshot(part)) = serde_json::from_value(record.data.clone()) else {
            self.parts.clear();
            return None;
        };
        if part.part == 0 || part.part as usize != self.parts.len() {
            self.parts.clear();
        }
        if part.part as usize != self.parts.len() {
            return None;
        }
        self.parts.push(part.clone());
        if part.part + 1 < part.parts {
            return None;
        }
        let text = self.parts.drain(..).map(|part| part.text).collect();
        let state = Snapshot { hash: part.hash, text }.state().ok()?;
        let at = state.position().offset;
        let covers = part.covers.filter(|covers| *covers == at && *covers < record.offset);
        Some(LoggedSnapshot { covers, anchor: part.anchor, state })
    }
}

impl LoggedSnapshot {
    /// Returns whether the records after the covered offset can be applied to the state without a
    /// gap. `first` is the offset of the first of `records`.
    fn is_base_for(&self, first: LogOffset, records: &[LogRecord]) -> bool {
        let Some(covers) = self.covers else { return false };
        let Some(anchor) = &self.anchor else { return covers.0 + 1 >= first.0 };
        let record = records.iter().find(|record| record.offset == covers);
        record.is_some_and(|record| record_hash(record) == *anchor)
    }
}

/// Returns the hash of a record's content, in hexadecimal digits.
pub(crate) fn record_hash(record: &LogRecord) -> String {
    blake3::hash(record.data.to_string().as_bytes()).to_hex().to_string()
}
