//! Requests that crash backend servers, as all entries know them through the log.

use std::{sync::Arc, time::Duration};

use dogwoodway_log::{PlatformLog, StreamName};
use dogwoodway_routing::quarantine::{Quarantine, QuarantineStatus};
use dogwoodway_types::{EngineIncarnation, LogOffset, RequestFingerprint, Timestamp};
use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    message::{Context, Message},
};
use serde::{Deserialize, Serialize};

use crate::metrics_server;

/// Requests that are remembered.
const CAPACITY: usize = 10_000;

/// Longest wait of one read for a new record.
const READ_WAIT_MS: u64 = 5_000;

/// Pause after a failed read.
const RETRY_MS: u64 = 500;

/// Most records of one read.
const READ_RECORDS: u32 = 500;

/// A record of the stream `quarantine`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum QuarantineRecord {
    /// An engine crashed while it ran a request.
    Crash(Crash),
    /// A suspected request was answered.
    Answered(RequestFingerprint),
}

/// A crash of an engine while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Crash {
    /// When it was noticed, by the clock of the entry that noticed it.
    pub(crate) at: Timestamp,
    /// The request that ran.
    pub(crate) request: RequestFingerprint,
    /// The engine that crashed.
    pub(crate) engine: EngineIncarnation,
}

/// What an entry knows of crashes; only this actor changes it.
#[derive(Actor)]
pub(crate) struct QuarantineActor {
    table: Quarantine,
    log: Arc<dyn PlatformLog>,
}

impl QuarantineActor {
    /// Starts the actor, and a task that reads what other entries tell.
    pub(crate) fn start(log: Arc<dyn PlatformLog>) -> ActorRef<QuarantineActor> {
        let table = Quarantine::new(CAPACITY);
        let actor = QuarantineActor::spawn(QuarantineActor { table, log: log.clone() });
        tokio::spawn(follow(log, actor.clone()));
        actor
    }

    fn note(&mut self, record: QuarantineRecord) {
        let now = Timestamp::now();
        match record {
            QuarantineRecord::Crash(crash) => {
                // A clock that runs ahead must not prolong a quarantine.
                self.table.record_crash(crash.at.min(now), crash.request, crash.engine);
            }
            QuarantineRecord::Answered(request) => {
                self.table.record_answer(&request);
            }
        }
        let quarantined = self.table.quarantined(now) as f64;
        metrics::gauge!(metrics_server::QUARANTINED).set(quarantined);
    }
}

async fn follow(log: Arc<dyn PlatformLog>, actor: ActorRef<QuarantineActor>) {
    let mut from = LogOffset(1);
    loop {
        match log.read(StreamName::Quarantine, from, READ_RECORDS, READ_WAIT_MS).await {
            Ok(answer) => {
                // A log that came back empty starts again at its first offset.
                from = from.min(answer.next).max(answer.oldest);
                for record in answer.records {
                    from = LogOffset(record.offset.0 + 1);
                    let Ok(record) = serde_json::from_value(record.data) else { continue };
                    if actor.tell(SeeRecord(record)).await.is_err() {
                        return;
                    }
                }
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(RETRY_MS)).await,
        }
    }
}

/// Asks what is known against a request.
pub(crate) struct AskStanding(pub(crate) RequestFingerprint);

impl Message<AskStanding> for QuarantineActor {
    type Reply = Box<QuarantineStatus>;

    async fn handle(
        &mut self,
        msg: AskStanding,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Box::new(self.table.status(Timestamp::now(), &msg.0))
    }
}

/// Tells what an entry has put on the log.
struct SeeRecord(QuarantineRecord);

impl Message<SeeRecord> for QuarantineActor {
    type Reply = ();

    async fn handle(&mut self, msg: SeeRecord, _: &mut Context<Self, ()>) {
        self.note(msg.0);
    }
}

/// Notes what this entry saw, and tells the other entries through the log.
pub(crate) struct Note(pub(crate) QuarantineRecord);

impl Message<Note> for QuarantineActor {
    type Reply = ();

    async fn handle(&mut self, msg: Note, _: &mut Context<Self, ()>) {
        self.note(msg.0);
        let log = self.log.clone();
        tokio::spawn(async move {
            let Ok(record) = serde_json::to_value(msg.0) else { return };
            if let Err(e) = log.append(StreamName::Quarantine, vec![record]).await {
                log::warn!("a crash could not be told to the other entries: {e}");
            }
        });
    }
}
