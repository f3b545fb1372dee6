//! A node's view of the configuration and of the log that holds it.

use std::{collections::VecDeque, sync::Arc};

use dogwoodway_control::{ConfigState, Snapshot, SnapshotCoverage, SnapshotKind};
use dogwoodway_log::{LogRecord, ReadResponse};
use dogwoodway_types::LogOffset;
use serde_json::Value;

use crate::bootstrap::{LoggedSnapshot, SnapshotAssembler, apply, record_hash, replay};

/// Number of records not covered by the latest snapshot above which a new one is needed soon.
const MAX_UNCOVERED_RECORDS: u64 = 200;

/// Number of latest records whose hashes are kept to check the anchors of snapshots.
const MAX_RECENT_RECORDS: usize = 2 * MAX_UNCOVERED_RECORDS as usize;

/// The configuration state in use at a node.
pub type ActiveState = Arc<ConfigState>;

/// The kind of snapshot that a node should append to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotAction {
    /// A periodic snapshot, while no other kind is needed.
    Refresh,
    /// A snapshot that is needed soon, before the log drops records that the latest one does not
    /// cover, or because too many records follow the latest one.
    RefreshSoon,
    /// The active state, of which the log has lost all or a part.
    Restore,
    /// The active state, in place of records that were dropped before any snapshot covered them.
    /// Changes after the missing records cannot be evaluated and are skipped.
    Rebase,
}

/// A node's view of the configuration and of the log.
///
/// The view keeps the state computed from the log and the active state separately. The log's state
/// becomes active only if it includes everything in the active state, so that a node never goes
/// back to an older configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    log_state: ConfigState,
    active: Option<ActiveState>,
    /// Records that cannot be applied until a snapshot among them gives a base; `None` if the state
    /// is up to date with the records read.
    pending: Option<Vec<LogRecord>>,
    /// Offset before the first record of `pending`.
    pending_after: LogOffset,
    /// Offsets and hashes of the latest records read.
    recent_hashes: VecDeque<(LogOffset, String)>,
    /// Offset up to which the latest snapshot on the log covers all records.
    covered: LogOffset,
    snapshots_seen: u64,
    assembler: SnapshotAssembler,
    /// Offset of the oldest record that the log keeps.
    oldest: LogOffset,
    is_caught_up: bool,
}

impl ConfigView {
    /// Returns the configuration state in use, `None` before the node has read or received one.
    pub fn active(&self) -> Option<&ActiveState> {
        self.active.as_ref()
    }

    /// Returns the offset from which to read next.
    pub fn next_offset(&self) -> LogOffset {
        LogOffset(self.last_read_offset().0 + 1)
    }

    /// Returns the offset of the last record read, if there was one.
    ///
    /// The record must be read again after each read, to detect a log that was lost and has grown
    /// past this offset since.
    pub fn verify_offset(&self) -> Option<LogOffset> {
        Some(self.last_read_offset()).filter(|_| !self.recent_hashes.is_empty())
    }

    /// Returns whether the log was read to its end.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Returns the number of snapshots read since the view was created.
    pub fn snapshots_seen(&self) -> u64 {
        self.snapshots_seen
    }

    /// Applies the result of a read from [`ConfigView::next_offset`] on. `verification` is the
    /// result of a later read of the record at [`ConfigView::verify_offset`].
    pub fn apply_read(&mut self, response: &ReadResponse, verification: Option<&ReadResponse>) {
        let next = self.next_offset();
        let has_restarted = response.next < next || response.oldest < self.oldest;
        if has_restarted || verification.is_some_and(|verification| !self.is_same_log(verification))
        {
            self.restart_reading();
            return;
        }
        if response.oldest > next || (next.0 == 1 && response.oldest.0 > 1) {
            self.restart_reading();
            self.pending = Some(Vec::new());
            self.oldest = response.oldest;
            self.pending_after = LogOffset(response.oldest.0 - 1);
        }
        self.oldest = response.oldest;
        self.apply_records(&response.records);
        self.is_caught_up = self.next_offset() >= response.next;
        if self.is_caught_up {
            self.activate_log_state();
        }
    }

    /// Applies a peer's state; it becomes active if it is newer than the active state and includes
    /// it.
    pub fn apply_peer_state(&mut self, state: ConfigState) {
        let is_newer =
            |active: &ActiveState| state.applied > active.applied && state.includes(active);
        if state.initialized && self.active.as_ref().is_none_or(is_newer) {
            self.active = Some(Arc::new(state));
        }
    }

    /// Returns the snapshot that this node should append, if the log stays as it is.
    pub fn pending_action(&self) -> Option<SnapshotAction> {
        let active = self.active.as_ref()?;
        if !self.is_caught_up || self.log_state.is_in_snapshot() {
            return None;
        }
        if self.pending.is_some() {
            return Some(SnapshotAction::Rebase);
        }
        if !self.log_state_supersedes(active) {
            return Some(SnapshotAction::Restore);
        }
        let offset = self.log_state.position().offset.0;
        let is_dropping = self.oldest.0 > 1 && self.covered < self.oldest;
        match is_dropping || offset > self.covered.0 + MAX_UNCOVERED_RECORDS {
            true => Some(SnapshotAction::RefreshSoon),
            false => Some(SnapshotAction::Refresh),
        }
    }

    /// Returns the records to append for an action; `nonce` must be drawn anew for each call.
    pub fn records_for(&self, action: SnapshotAction, nonce: u64) -> Vec<Value> {
        let Some(active) = &self.active else { return Vec::new() };
        let next_epoch = active.position().epoch + 1;
        let anchor = self.last_record_hash();
        let coverage = |offset| Some(SnapshotCoverage { offset, anchor });
        let records = match action {
            SnapshotAction::Refresh | SnapshotAction::RefreshSoon => {
                let at = self.log_state.position();
                let snapshot = Snapshot::new(&self.log_state);
                snapshot.into_records(SnapshotKind::Refresh, at.epoch, coverage(at.offset), nonce)
            }
            SnapshotAction::Restore => {
                let epoch = self.log_state.position().epoch.max(next_epoch);
                Snapshot::new(active).into_records(SnapshotKind::Restore, epoch, None, nonce)
            }
            SnapshotAction::Rebase => {
                let at = self.last_read_offset();
                let snapshot = Snapshot::new(&active.rebased(next_epoch, at));
                snapshot.into_records(SnapshotKind::Rebase, next_epoch, coverage(at), nonce)
            }
        };
        records.iter().filter_map(|record| serde_json::to_value(record).ok()).collect()
    }

    fn apply_records(&mut self, records: &[LogRecord]) {
        for record in records {
            self.recent_hashes.push_back((record.offset, record_hash(record)));
            if self.recent_hashes.len() > MAX_RECENT_RECORDS {
                self.recent_hashes.pop_front();
            }
            match &mut self.pending {
                Some(pending) => pending.push(record.clone()),
                None => apply(&mut self.log_state, record),
            }
            if let Some(snapshot) = self.assembler.push(record) {
                self.note_snapshot(&snapshot);
            }
        }
        if let Some(state) = self.pending.as_ref().and_then(|records| replay(records)) {
            self.log_state = state;
            self.pending = None;
        }
    }

    fn note_snapshot(&mut self, snapshot: &LoggedSnapshot) {
        self.snapshots_seen += 1;
        let Some(covers) = snapshot.covers else { return };
        let anchor = self.recent_hashes.iter().find(|(at, _)| *at == covers).map(|(_, hash)| hash);
        if snapshot.anchor.is_none() || snapshot.anchor.as_ref() == anchor {
            self.covered = self.covered.max(covers);
        }
    }

    /// Makes the log's state active if it includes everything in the active one.
    fn activate_log_state(&mut self) {
        if self.pending.is_some() || !self.log_state.initialized {
            return;
        }
        if self.active.as_ref().is_none_or(|active| self.log_state_supersedes(active)) {
            self.active = Some(Arc::new(self.log_state.clone()));
        }
    }

    fn last_record_hash(&self) -> Option<String> {
        self.recent_hashes.back().map(|(_, hash)| hash.clone())
    }

    /// Returns whether the log's state can replace the active state without going back.
    fn log_state_supersedes(&self, active: &ActiveState) -> bool {
        self.log_state.initialized
            && self.log_state.applied >= active.applied
            && self.log_state.configuration.offset >= active.configuration.offset
            && self.log_state.includes(active)
    }

    /// Returns the offset of the last record read, or the offset before the first one to read.
    fn last_read_offset(&self) -> LogOffset {
        match self.pending.as_ref().map(|records| records.last()) {
            Some(Some(record)) => record.offset,
            Some(None) => self.pending_after,
            None => self.log_state.position().offset,
        }
    }

    /// Returns whether the last record read is still on the log, unchanged.
    fn is_same_log(&self, verification: &ReadResponse) -> bool {
        let last = self.last_read_offset();
        let record = verification.records.first().filter(|record| record.offset == last);
        record.map(record_hash) == self.last_record_hash()
    }

    /// Starts reading the log from its beginning; the active state stays.
    fn restart_reading(&mut self) {
        let active = self.active.take();
        let snapshots_seen = self.snapshots_seen;
        *self = ConfigView { active, snapshots_seen, ..ConfigView::default() };
    }
}
