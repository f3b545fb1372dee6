//! Finds a snapshot to start from on a log whose first records are gone.

use dogwoodway_control::{ConfigRecord, ConfigState, Snapshot, SnapshotPart};
use dogwoodway_log::LogRecord;
use dogwoodway_types::LogOffset;

/// Returns the state at the end of `records`, which follow each other without gaps, if one of them
/// is a snapshot that lacks none of the records before it.
pub(crate) fn replay(records: &[LogRecord]) -> Option<ConfigState> {
    let first = records.first()?.offset;
    let mut assembler = Assembler::default();
    let found = records.iter().filter_map(|record| assembler.take(record));
    let seeds = found.filter(|found| found.is_seed_for(first, records)).map(|found| found.state);
    let mut state = seeds.max_by_key(|seed| seed.position())?;
    let seeded_at = state.position().offset;
    for record in records.iter().filter(|record| record.offset > seeded_at) {
        apply(&mut state, record);
    }
    Some(state)
}

/// Applies a record of the log to a state.
pub(crate) fn apply(state: &mut ConfigState, record: &LogRecord) {
    match serde_json::from_value::<ConfigRecord>(record.data.clone()) {
        Ok(parsed) => drop(state.apply(record.offset, &parsed)),
        Err(e) => {
            log::error!("record {} of the configuration is invalid: {e}", record.offset);
            state.skip(record.offset);
        }
    }
}

/// Puts snapshots together from the records that hold their parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Assembler {
    run: Vec<SnapshotPart>,
}

/// A snapshot found on the log.
pub(crate) struct Found {
    /// Offset up to which it covers all records of this log, if it does.
    pub(crate) covers: Option<LogOffset>,
    /// Hash of the record at `covers`.
    pub(crate) anchor: Option<String>,
    /// Its state.
    pub(crate) state: ConfigState,
}

impl Assembler {
    /// Takes the next record; returns a snapshot if it is the last part of one.
    pub(crate) fn take(&mut self, record: &LogRecord) -> Option<Found> {
        let Ok(ConfigRecord::Snapshot(part)) = serde_json::from_value(record.data.clone()) else {
            self.run.clear();
            return None;
        };
        if part.part == 0 || part.part as usize != self.run.len() {
            self.run.clear();
        }
        if part.part as usize != self.run.len() {
            return None;
        }
        self.run.push(part.clone());
        if part.part + 1 < part.parts {
            return None;
        }
        let text = self.run.drain(..).map(|part| part.text).collect();
        let state = Snapshot { hash: part.hash, text }.state().ok()?;
        let at = state.position().offset;
        let covers = part.covers.filter(|covers| *covers == at && *covers < record.offset);
        Some(Found { covers, anchor: part.anchor, state })
    }
}

impl Found {
    /// Tells whether records can be applied to the state, the first of which is at `first`.
    fn is_seed_for(&self, first: LogOffset, records: &[LogRecord]) -> bool {
        let Some(covers) = self.covers else { return false };
        let Some(anchor) = &self.anchor else { return covers.0 + 1 >= first.0 };
        let record = records.iter().find(|record| record.offset == covers);
        record.is_some_and(|record| hash_of(record) == *anchor)
    }
}

/// Returns the hash of a record's content, in hexadecimal digits.
pub(crate) fn hash_of(record: &LogRecord) -> String {
    blake3::hash(record.data.to_string().as_bytes()).to_hex().to_string()
}
