//! Evidence of which prompt parts crash engines, shared with the other routers.

use std::time::Duration;

use dogwoodway_routing::part_blame::{
    EngineCrash, PartBlame, PartKey, PartNotice, PartStatus, QuarantinedPart,
};
use dogwoodway_types::Timestamp;

use crate::metric;

/// Number of updates in which each notice is sent to the other routers, of which some are lost.
const NOTICE_SENDS: u8 = 3;

/// Largest number of notices in one update.
const MAX_NOTICES: usize = 64;

/// Interval at which the evidence against parts in quarantine is sent again, for routers that have
/// just started, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 500;

/// Crashes from which on it is logged that an answer cleared a part. Most common parts are cleared of one.
const MIN_LOGGED_CRASHES: usize = 2;

/// Evidence of this router and of others.
pub(super) struct PartEvidence {
    blame: PartBlame,
    /// Notices to send, and in how many further updates.
    notices: Vec<(PartNotice, u8)>,
    next_summary_at: Timestamp,
    /// Parts in quarantine as last logged.
    logged: Vec<QuarantinedPart>,
    /// Parts without contrast as last logged.
    logged_held_back: Vec<PartKey>,
}

impl PartEvidence {
    pub(super) fn new(seed: u64, router_count: u32) -> PartEvidence {
        PartEvidence {
            blame: PartBlame::new(seed, router_count),
            notices: Vec::new(),
            next_summary_at: Timestamp::default(),
            logged: Vec::new(),
            logged_held_back: Vec::new(),
        }
    }

    pub(super) fn set_router_count(&mut self, routers: u32) {
        self.blame.set_router_count(routers);
    }

    pub(super) fn status(&mut self, now: Timestamp, parts: &[PartKey]) -> PartStatus {
        let status = self.blame.status(now, parts);
        self.log_changes(now);
        status
    }

    pub(super) fn start_trial(&mut self, now: Timestamp, part: PartKey) {
        log::info!(part:% = part; "trial of a prompt part in quarantine");
        self.blame.start_trial(now, part);
    }

    pub(super) fn cancel_trial(&mut self, part: PartKey) {
        self.blame.cancel_trial(part);
    }

    pub(super) fn record_crash(&mut self, now: Timestamp, crash: EngineCrash) {
        self.blame.record_crash(now, crash);
    }

    pub(super) fn record_answer(
        &mut self,
        now: Timestamp,
        parts: &[PartKey],
        started_at: Timestamp,
    ) {
        self.blame.record_answer(now, parts, started_at);
    }

    pub(super) fn record_progress(
        &mut self,
        alive_at: Timestamp,
        parts: &[PartKey],
        started_at: Timestamp,
    ) {
        self.blame.record_progress(alive_at, parts, started_at);
    }

    pub(super) fn apply(&mut self, now: Timestamp, notices: &[PartNotice]) {
        for notice in notices {
            self.blame.apply(now, notice);
        }
        self.log_changes(now);
    }

    /// Returns the notices to send now. If `repeats` is set, those with the evidence against parts in
    /// quarantine are among them at intervals.
    pub(super) fn take_notices(&mut self, now: Timestamp, repeats: bool) -> Vec<PartNotice> {
        self.log_changes(now);
        let new = self.blame.take_notices();
        self.notices.extend(new.into_iter().map(|notice| (notice, NOTICE_SENDS)));
        let excess = self.notices.len().saturating_sub(MAX_NOTICES);
        if excess > 0 {
            log::warn!(dropped = excess; "too many notices of crashed engines");
            self.notices.drain(..excess);
        }
        for (_, sends) in &mut self.notices {
            *sends -= 1;
        }
        let mut notices: Vec<_> = self.notices.iter().map(|(notice, _)| notice.clone()).collect();
        self.notices.retain(|(_, sends)| *sends > 0);
        if repeats && now >= self.next_summary_at {
            self.next_summary_at = now + Duration::from_millis(SUMMARY_INTERVAL_MS);
            notices.extend(self.blame.summary(now));
        }
        notices
    }

    /// Logs which parts have entered or left the quarantine.
    fn log_changes(&mut self, now: Timestamp) {
        let refutations = self.blame.take_refutations();
        for cleared in refutations.iter().filter(|cleared| cleared.crashes >= MIN_LOGGED_CRASHES) {
            log::info!(
                part:% = cleared.part, crashes = cleared.crashes,
                began_ms = (now - cleared.started_at).as_millis() as u64;
                "an answer cleared a prompt part of crashes"
            );
        }
        let held_back: Vec<_> = self.blame.held_back(now).iter().map(|held| held.part).collect();
        for part in held_back.iter().filter(|part| !self.logged_held_back.contains(part)) {
            log::warn!(part:% = part; "prompt part tried by one request at a time");
        }
        self.logged_held_back = held_back;
        let current = self.blame.quarantined(now);
        if current == self.logged {
            return;
        }
        for blamed in current {
            let known = self.logged.iter().find(|known| known.part == blamed.part);
            if known.is_none_or(|known| known.crashes != blamed.crashes) {
                log::warn!(
                    part:% = blamed.part, crashes = blamed.crashes,
                    tried_again_ms = (blamed.until - now).as_millis() as u64;
                    "prompt part quarantined"
                );
            }
        }
        for known in &self.logged {
            if !current.iter().any(|blamed| blamed.part == known.part) {
                log::info!(part:% = known.part; "prompt part no longer in quarantine");
            }
        }
        self.logged = current.to_vec();
        metrics::gauge!(metric::PARTS_QUARANTINED).set(self.logged.len() as f64);
    }
}
