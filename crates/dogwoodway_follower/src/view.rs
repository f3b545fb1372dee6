//! What a node knows of the configuration and of the log.

use std::{collections::VecDeque, sync::Arc};

use dogwoodway_control::{ConfigState, Snapshot, SnapshotCoverage, SnapshotKind};
use dogwoodway_log::{LogRecord, ReadAnswer};
use dogwoodway_types::LogOffset;
use serde_json::Value;

use crate::seed::{Assembler, Found, apply, hash_of, replay};

/// Records after the newest snapshot that make a new one due.
const MAX_UNCOVERED_RECORDS: u64 = 200;

/// Records whose hashes are kept to check snapshots.
const MAX_RECENT_RECORDS: usize = 2 * MAX_UNCOVERED_RECORDS as usize;

/// The state that a node serves under.
pub type ActiveState = Arc<ConfigState>;

/// What a node would append to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotAction {
    /// Nothing before the newest snapshot is old.
    Refresh,
    /// A snapshot, before the records that the newest one rests on are dropped.
    RefreshSoon,
    /// The held state, which the log has lost in whole or in part.
    Restore,
    /// The held state, in place of records that were dropped before any snapshot covered them;
    /// changes that follow the missing records cannot be judged and are passed over.
    Rebase,
}

/// What a node knows; decides what an answer of the log means.
///
/// The state that the log alone gives and the state that the node holds are kept apart: the node
/// takes the log's state over only if that lacks nothing that the node holds, so that it never
/// serves under an older configuration than before.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    on_log: ConfigState,
    held: Option<ActiveState>,
    /// Records that cannot be judged until a snapshot is found among them.
    unseeded: Option<Vec<LogRecord>>,
    /// Offset before the first of `unseeded`.
    unseeded_after: LogOffset,
    /// Offsets and hashes of the last records read.
    recent: VecDeque<(LogOffset, String)>,
    /// Offset up to which the newest snapshot on the log covers all records.
    covered: LogOffset,
    snapshots_seen: u64,
    assembler: Assembler,
    oldest: LogOffset,
    is_caught_up: bool,
}

impl ConfigView {
    /// Returns the state that the node serves under.
    pub fn active(&self) -> Option<&ActiveState> {
        self.held.as_ref()
    }

    /// Returns the offset to read from next.
    pub fn next_offset(&self) -> LogOffset {
        LogOffset(self.last_read().0 + 1)
    }

    /// Returns the offset of the last record read, if there was one; it has to be read again after
    /// each read, so that a log that was lost and has grown since is noticed.
    pub fn verify_offset(&self) -> Option<LogOffset> {
        Some(self.last_read()).filter(|_| !self.recent.is_empty())
    }

    /// Tells whether the log was read to its end.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Returns how many snapshots were read.
    pub fn snapshots_seen(&self) -> u64 {
        self.snapshots_seen
    }

    /// Takes in an answer to a read from [`ConfigView::next_offset`] on, and one to a later read of the
    /// record at [`ConfigView::verify_offset`].
    pub fn apply_read(&mut self, answer: &ReadAnswer, check: Option<&ReadAnswer>) {
        let next = self.next_offset();
        let is_other = answer.next < next || answer.oldest < self.oldest;
        if is_other || check.is_some_and(|check| !self.is_same_log(check)) {
            self.forget_log();
            return;
        }
        if answer.oldest > next || (next.0 == 1 && answer.oldest.0 > 1) {
            self.forget_log();
            self.unseeded = Some(Vec::new());
            self.oldest = answer.oldest;
            self.unseeded_after = LogOffset(answer.oldest.0 - 1);
        }
        self.oldest = answer.oldest;
        self.take(&answer.records);
        self.is_caught_up = self.next_offset() >= answer.next;
        if self.is_caught_up {
            self.adopt();
        }
    }

    /// Takes in a peer's state; the one with the higher position is held.
    pub fn apply_peer_state(&mut self, state: ConfigState) {
        let is_newer = |held: &ActiveState| state.applied > held.applied && state.includes(held);
        if state.initialized && self.held.as_ref().is_none_or(is_newer) {
            self.held = Some(Arc::new(state));
        }
    }

    /// Tells what this node should append, if the log stays as it is.
    pub fn pending_action(&self) -> Option<SnapshotAction> {
        let held = self.held.as_ref()?;
        if !self.is_caught_up || self.on_log.is_in_snapshot() {
            return None;
        }
        if self.unseeded.is_some() {
            return Some(SnapshotAction::Rebase);
        }
        if !self.is_adoptable(held) {
            return Some(SnapshotAction::Restore);
        }
        let offset = self.on_log.position().offset.0;
        let is_dropping = self.oldest.0 > 1 && self.covered < self.oldest;
        match is_dropping || offset > self.covered.0 + MAX_UNCOVERED_RECORDS {
            true => Some(SnapshotAction::RefreshSoon),
            false => Some(SnapshotAction::Refresh),
        }
    }

    /// Returns the records that fulfil a wish; `nonce` is drawn anew each time.
    pub fn records_for(&self, wish: SnapshotAction, nonce: u64) -> Vec<Value> {
        let Some(held) = &self.held else { return Vec::new() };
        let later = held.position().epoch + 1;
        let anchor = self.last_hash();
        let covers = |offset| Some(SnapshotCoverage { offset, anchor });
        let records = match wish {
            SnapshotAction::Refresh | SnapshotAction::RefreshSoon => {
                let at = self.on_log.position();
                let snapshot = Snapshot::new(&self.on_log);
                snapshot.into_records(SnapshotKind::Refresh, at.epoch, covers(at.offset), nonce)
            }
            SnapshotAction::Restore => {
                let epoch = self.on_log.position().epoch.max(later);
                Snapshot::new(held).into_records(SnapshotKind::Restore, epoch, None, nonce)
            }
            SnapshotAction::Rebase => {
                let at = self.last_read();
                let snapshot = Snapshot::new(&held.rebased(later, at));
                snapshot.into_records(SnapshotKind::Rebase, later, covers(at), nonce)
            }
        };
        records.iter().filter_map(|record| serde_json::to_value(record).ok()).collect()
    }

    fn take(&mut self, records: &[LogRecord]) {
        for record in records {
            self.recent.push_back((record.offset, hash_of(record)));
            if self.recent.len() > MAX_RECENT_RECORDS {
                self.recent.pop_front();
            }
            match &mut self.unseeded {
                Some(unseeded) => unseeded.push(record.clone()),
                None => apply(&mut self.on_log, record),
            }
            if let Some(found) = self.assembler.take(record) {
                self.note_snapshot(&found);
            }
        }
        if let Some(state) = self.unseeded.as_ref().and_then(|records| replay(records)) {
            self.on_log = state;
            self.unseeded = None;
        }
    }

    fn note_snapshot(&mut self, found: &Found) {
        self.snapshots_seen += 1;
        let Some(covers) = found.covers else { return };
        let anchor = self.recent.iter().find(|(at, _)| *at == covers).map(|(_, hash)| hash);
        if found.anchor.is_none() || found.anchor.as_ref() == anchor {
            self.covered = self.covered.max(covers);
        }
    }

    fn adopt(&mut self) {
        if self.unseeded.is_some() || !self.on_log.initialized {
            return;
        }
        if self.held.as_ref().is_none_or(|held| self.is_adoptable(held)) {
            self.held = Some(Arc::new(self.on_log.clone()));
        }
    }

    fn last_hash(&self) -> Option<String> {
        self.recent.back().map(|(_, hash)| hash.clone())
    }

    fn is_adoptable(&self, held: &ActiveState) -> bool {
        self.on_log.initialized
            && self.on_log.applied >= held.applied
            && self.on_log.configuration.offset >= held.configuration.offset
            && self.on_log.includes(held)
    }

    /// Returns the offset of the last record read, or the one before the first.
    fn last_read(&self) -> LogOffset {
        match self.unseeded.as_ref().map(|records| records.last()) {
            Some(Some(record)) => record.offset,
            Some(None) => self.unseeded_after,
            None => self.on_log.position().offset,
        }
    }

    /// Tells whether the last record read is still on the log.
    fn is_same_log(&self, check: &ReadAnswer) -> bool {
        let last = self.last_read();
        let record = check.records.first().filter(|record| record.offset == last);
        record.map(hash_of) == self.last_hash()
    }

    /// Begins to read the log anew; what is held stays.
    fn forget_log(&mut self) {
        let held = self.held.take();
        let snapshots_seen = self.snapshots_seen;
        *self = ConfigView { held, snapshots_seen, ..ConfigView::default() };
    }
}
