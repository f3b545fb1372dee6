//! What routers know of crashes, and which requests they refuse.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use clap::ValueEnum;
use dogwoodway_routing::part_blame::{
    BLAME_THRESHOLD, EngineCrash, PartBlame, PartKey, PartNotice, PartRun, PartStatus,
};
use dogwoodway_types::{EngineIncarnation, RequestFingerprint, Timestamp};

/// How routers decide which requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum PolicyKind {
    /// None is refused. This is also what blame of whole requests comes to, if no two are alike.
    NoBlame,
    /// Those with a part that was in three crashes, whatever was answered.
    CrashCount,
    /// Those with a part that [`PartBlame`] blames.
    PartBlame,
}

impl PolicyKind {
    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::NoBlame => "no blame",
            PolicyKind::CrashCount => "count of crashes",
            PolicyKind::PartBlame => "part blame",
        }
    }
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permission {
    Run,
    /// Once, and not again if it is lost.
    RunOnce,
    Refuse,
}

/// State of one router.
pub(super) enum Policy {
    NoBlame,
    CrashCount { crashes: HashMap<PartKey, HashSet<EngineIncarnation>>, outgoing: Vec<PartNotice> },
    PartBlame(Box<PartBlame>),
}

/// A request that an engine had not answered completely when it crashed.
pub(super) struct LostRun<'a> {
    pub(super) parts: &'a [PartKey],
    pub(super) request: RequestFingerprint,
    pub(super) lead: Duration,
}

impl Policy {
    pub(super) fn new(kind: PolicyKind, router: u64, routers: u32) -> Policy {
        match kind {
            PolicyKind::NoBlame => Policy::NoBlame,
            PolicyKind::CrashCount => {
                Policy::CrashCount { crashes: HashMap::new(), outgoing: Vec::new() }
            }
            PolicyKind::PartBlame => Policy::PartBlame(Box::new(PartBlame::new(router, routers))),
        }
    }

    pub(super) fn permission(&mut self, now: Timestamp, parts: &[PartKey]) -> Permission {
        match self {
            Policy::NoBlame => Permission::Run,
            Policy::CrashCount { crashes, .. } => {
                let is_blamed = |part: &PartKey| {
                    crashes.get(part).is_some_and(|engines| engines.len() >= BLAME_THRESHOLD)
                };
                if parts.iter().any(is_blamed) { Permission::Refuse } else { Permission::Run }
            }
            Policy::PartBlame(blame) => match blame.status(now, parts) {
                PartStatus::Clear => Permission::Run,
                PartStatus::Suspect => Permission::RunOnce,
                PartStatus::Trial(part) => {
                    blame.start_trial(now, part);
                    Permission::RunOnce
                }
                PartStatus::Quarantined { .. } => Permission::Refuse,
            },
        }
    }

    pub(super) fn record_crash(
        &mut self,
        now: Timestamp,
        engine: EngineIncarnation,
        lost: &[LostRun<'_>],
    ) {
        let mut crash = EngineCrash { engine, crashed_at: now, runs: Vec::new() };
        for run in lost {
            let runs = PartRun::of_request(run.parts, run.request, run.lead);
            crash.merge(&EngineCrash { engine, crashed_at: now, runs });
        }
        match self {
            Policy::NoBlame => {}
            Policy::CrashCount { outgoing, .. } => {
                let notice = PartNotice::Crashed { crash, contrasted: Vec::new() };
                outgoing.push(notice.clone());
                self.apply(now, &notice);
            }
            Policy::PartBlame(blame) => blame.record_crash(now, crash),
        }
    }

    pub(super) fn record_answer(
        &mut self,
        now: Timestamp,
        parts: &[PartKey],
        started_at: Timestamp,
    ) {
        if let Policy::PartBlame(blame) = self {
            blame.record_answer(now, parts, started_at);
        }
    }

    pub(super) fn apply(&mut self, now: Timestamp, notice: &PartNotice) {
        match self {
            Policy::NoBlame => {}
            Policy::CrashCount { crashes, .. } => {
                let PartNotice::Crashed { crash, .. } = notice else { return };
                for run in &crash.runs {
                    crashes.entry(run.part).or_default().insert(crash.engine);
                }
            }
            Policy::PartBlame(blame) => blame.apply(now, notice),
        }
    }

    pub(super) fn take_notices(&mut self, now: Timestamp) -> Vec<PartNotice> {
        match self {
            Policy::NoBlame => Vec::new(),
            Policy::CrashCount { outgoing, .. } => std::mem::take(outgoing),
            Policy::PartBlame(blame) => {
                // Evaluates what has arrived, as an update of a router does.
                blame.quarantined(now);
                blame.take_notices()
            }
        }
    }
}
