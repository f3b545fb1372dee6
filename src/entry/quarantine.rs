//! Actor that quarantines requests, and messages of prompts, which crash engines, in agreement with the
//! other entries.
//!
//! Every entry appends the crashes that it observes to the log stream `quarantine` and reads what
//! the others append, so that a request is not tried again through another entry.

use std::{sync::Arc, time::Duration};

use dogwoodway_log::{PlatformLog, StreamName};
use dogwoodway_routing::{
    part_blame::{EngineCrash, PartBlame, PartKey, PartNotice, PartRun, PartStatus},
    quarantine::{Quarantine, QuarantineStatus},
};
use dogwoodway_types::{EngineIncarnation, LogOffset, RequestFingerprint, Timestamp};
use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    message::{Context, Message},
};
use serde::{Deserialize, Serialize};

use crate::metrics_server;

/// Maximum number of requests that are tracked.
const MAX_TRACKED_REQUESTS: usize = 10_000;

/// Number of entries among which the trials of messages in quarantine are spread.
const ASSUMED_ENTRIES: u32 = 16;

/// Maximum time in milliseconds that one read waits for a new record.
const MAX_READ_WAIT_MS: u64 = 5_000;

/// Delay in milliseconds after a failed read.
const READ_RETRY_DELAY_MS: u64 = 500;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: u32 = 500;

/// A record of the log stream `quarantine`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum QuarantineRecord {
    /// An engine crashed while it ran a request.
    Crash(Crash),
    /// A suspect request was answered, which clears it.
    Answered(RequestFingerprint),
    /// Evidence of messages that crash engines, by the clock of the entry that wrote it.
    Part(PartNotice),
}

/// A crash of an engine while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Crash {
    /// When the crash was detected, by the clock of the entry that detected it.
    pub(crate) at: Timestamp,
    /// The request that the engine was running.
    pub(crate) request: RequestFingerprint,
    /// Incarnation of the engine that crashed.
    pub(crate) engine: EngineIncarnation,
}

/// Owner of the quarantine table.
#[derive(Actor)]
pub(crate) struct QuarantineActor {
    table: Quarantine,
    part_blame: PartBlame,
    log: Arc<dyn PlatformLog>,
}

impl QuarantineActor {
    /// Starts the actor and the task that reads the records of all entries from the log.
    pub(crate) fn start(log: Arc<dyn PlatformLog>) -> ActorRef<QuarantineActor> {
        let table = Quarantine::new(MAX_TRACKED_REQUESTS);
        let part_blame = PartBlame::new(rand::random(), ASSUMED_ENTRIES);
        let actor = QuarantineActor::spawn(QuarantineActor { table, part_blame, log: log.clone() });
        tokio::spawn(follow(log, actor.clone()));
        actor
    }

    fn apply(&mut self, record: QuarantineRecord) {
        let now = Timestamp::now();
        match record {
            QuarantineRecord::Crash(crash) => {
                // The clock of another entry may run ahead, which must not prolong a quarantine.
                self.table.record_crash(crash.at.min(now), crash.request, crash.engine);
            }
            QuarantineRecord::Answered(request) => {
                self.table.record_answer(&request);
            }
            QuarantineRecord::Part(notice) => self.part_blame.apply(now, &notice.until(now)),
        }
        let quarantined = self.table.quarantined(now) as f64;
        metrics::gauge!(metrics_server::QUARANTINED_REQUESTS).set(quarantined);
    }
}

impl QuarantineActor {
    /// Appends records to the log for the other entries, in the background.
    fn append(&self, records: Vec<QuarantineRecord>) {
        let log = self.log.clone();
        tokio::spawn(async move {
            let records: Result<Vec<_>, _> = records.iter().map(serde_json::to_value).collect();
            let appended = match records {
                Ok(records) => {
                    let appended = log.append(StreamName::Quarantine, records).await;
                    appended.map(|_| ()).map_err(|e| e.to_string())
                }
                Err(e) => Err(e.to_string()),
            };
            if let Err(e) = appended {
                log::warn!(
                    "quarantine records not appended to the log, other entries will not see them: {e}"
                );
            }
        });
    }

    /// Appends new evidence of messages to the log.
    fn append_notices(&mut self) {
        // An entry asks before it knows whether an agent accepts the request, so that others do not wait
        // for its trials.
        let mut notices = self.part_blame.take_notices();
        notices.retain(|notice| !notice.is_about_trial());
        if !notices.is_empty() {
            self.append(notices.into_iter().map(QuarantineRecord::Part).collect());
        }
    }

    fn part_status(&mut self, now: Timestamp, parts: &[PartKey]) -> QuarantineStatus {
        let status = self.part_blame.status(now, parts);
        match status {
            PartStatus::Clear => QuarantineStatus::Clear,
            PartStatus::Suspect => QuarantineStatus::Suspect,
            PartStatus::Trial(part) => {
                log::info!(part:% = part; "trial of a message in quarantine");
                self.part_blame.start_trial(now, part);
                QuarantineStatus::Suspect
            }
            PartStatus::Quarantined { part, until } => {
                log::info!(part:% = part; "request refused for a message in quarantine");
                QuarantineStatus::Quarantined { until }
            }
        }
    }
}

async fn follow(log: Arc<dyn PlatformLog>, actor: ActorRef<QuarantineActor>) {
    let mut from = LogOffset(1);
    loop {
        match log.read(StreamName::Quarantine, from, MAX_READ_RECORDS, MAX_READ_WAIT_MS).await {
            Ok(response) => {
                // A log that lost its records starts again at its first offset, so the position
                // must not stay beyond its end.
                from = from.min(response.next).max(response.oldest);
                for record in response.records {
                    from = LogOffset(record.offset.0 + 1);
                    let Ok(record) = serde_json::from_value(record.data) else { continue };
                    if actor.tell(ApplyRecord(record)).await.is_err() {
                        return;
                    }
                }
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(READ_RETRY_DELAY_MS)).await,
        }
    }
}

/// Query for the quarantine status of a request. The trial of a message counts as started.
pub(crate) struct GetStatus {
    pub(crate) request: RequestFingerprint,
    /// Messages that other prompts may share, in order.
    pub(crate) parts: Arc<[PartKey]>,
}

impl Message<GetStatus> for QuarantineActor {
    type Reply = Box<QuarantineStatus>;

    async fn handle(&mut self, msg: GetStatus, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = Timestamp::now();
        Box::new(match self.table.status(now, &msg.request) {
            status @ QuarantineStatus::Quarantined { .. } => status,
            QuarantineStatus::Suspect => match self.part_status(now, &msg.parts) {
                QuarantineStatus::Clear => QuarantineStatus::Suspect,
                status => status,
            },
            QuarantineStatus::Clear => self.part_status(now, &msg.parts),
        })
    }
}

/// Command to apply a record that was read from the log.
struct ApplyRecord(QuarantineRecord);

impl Message<ApplyRecord> for QuarantineActor {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyRecord, _: &mut Context<Self, ()>) {
        self.apply(msg.0);
    }
}

/// Command to apply a record of this entry and to append it to the log for the other entries.
pub(crate) struct PublishRecord(pub(crate) QuarantineRecord);

impl Message<PublishRecord> for QuarantineActor {
    type Reply = ();

    async fn handle(&mut self, msg: PublishRecord, _: &mut Context<Self, ()>) {
        self.apply(msg.0.clone());
        self.append(vec![msg.0]);
    }
}

/// Records that an engine crashed while it ran an attempt at a prompt.
pub(crate) struct RecordPartCrash {
    pub(crate) engine: EngineIncarnation,
    pub(crate) crashed_at: Timestamp,
    /// When the attempt began.
    pub(crate) started_at: Timestamp,
    pub(crate) request: RequestFingerprint,
    /// Messages that other prompts may share, in order.
    pub(crate) parts: Arc<[PartKey]>,
}

impl Message<RecordPartCrash> for QuarantineActor {
    type Reply = ();

    async fn handle(&mut self, msg: RecordPartCrash, _: &mut Context<Self, ()>) {
        let RecordPartCrash { engine, crashed_at, started_at, request, parts } = msg;
        let runs = PartRun::of_request(&parts, request, crashed_at - started_at);
        self.part_blame.record_crash(crashed_at, EngineCrash { engine, crashed_at, runs });
        self.append_notices();
    }
}

/// Records the complete answer of an attempt at a prompt.
pub(crate) struct RecordPartAnswer {
    /// When the attempt began.
    pub(crate) started_at: Timestamp,
    pub(crate) request: RequestFingerprint,
    /// Key of the model.
    pub(crate) model: PartKey,
    /// Messages that other prompts may share, in order.
    pub(crate) parts: Arc<[PartKey]>,
}

impl Message<RecordPartAnswer> for QuarantineActor {
    type Reply = ();

    async fn handle(&mut self, msg: RecordPartAnswer, _: &mut Context<Self, ()>) {
        let whole = msg.parts.first().map(|part| part.of_request(msg.request));
        let model = whole.is_none().then_some(msg.model);
        let parts: Vec<_> = msg.parts.iter().copied().chain(whole).chain(model).collect();
        self.part_blame.record_answer(Timestamp::now(), &parts, msg.started_at);
        self.append_notices();
    }
}

/// Records that the answer of an attempt at a prompt goes on.
pub(crate) struct RecordPartProgress {
    /// When the attempt began.
    pub(crate) started_at: Timestamp,
    /// Until when the answer is known to have gone on.
    pub(crate) alive_at: Timestamp,
    /// Messages that other prompts may share, in order.
    pub(crate) parts: Arc<[PartKey]>,
}

impl Message<RecordPartProgress> for QuarantineActor {
    type Reply = ();

    async fn handle(&mut self, msg: RecordPartProgress, _: &mut Context<Self, ()>) {
        self.part_blame.record_progress(msg.alive_at, &msg.parts, msg.started_at);
        self.append_notices();
    }
}
