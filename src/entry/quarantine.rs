//! Actor that quarantines requests which crash engines, in agreement with the other entries.
//!
//! Every entry appends the crashes that it observes to the log stream `quarantine` and reads what
//! the others append, so that a request is not tried again through another entry.

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

/// Maximum number of requests that are tracked.
const MAX_TRACKED_REQUESTS: usize = 10_000;

/// Maximum time in milliseconds that one read waits for a new record.
const MAX_READ_WAIT_MS: u64 = 5_000;

/// Delay in milliseconds after a failed read.
const READ_RETRY_DELAY_MS: u64 = 500;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: u32 = 500;

/// A record of the log stream `quarantine`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum QuarantineRecord {
    /// An engine crashed while it ran a request.
    Crash(Crash),
    /// A suspect request was answered, which clears it.
    Answered(RequestFingerprint),
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
    log: Arc<dyn PlatformLog>,
}

impl QuarantineActor {
    /// Starts the actor and the task that reads the records of all entries from the log.
    pub(crate) fn start(log: Arc<dyn PlatformLog>) -> ActorRef<QuarantineActor> {
        let table = Quarantine::new(MAX_TRACKED_REQUESTS);
        let actor = QuarantineActor::spawn(QuarantineActor { table, log: log.clone() });
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
        }
        let quarantined = self.table.quarantined(now) as f64;
        metrics::gauge!(metrics_server::QUARANTINED_REQUESTS).set(quarantined);
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

/// Query for the quarantine status of a request.
pub(crate) struct GetStatus(pub(crate) RequestFingerprint);

impl Message<GetStatus> for QuarantineActor {
    type Reply = Box<QuarantineStatus>;

    async fn handle(&mut self, msg: GetStatus, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Box::new(self.table.status(Timestamp::now(), &msg.0))
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
        self.apply(msg.0);
        let log = self.log.clone();
        tokio::spawn(async move {
            let Ok(record) = serde_json::to_value(msg.0) else { return };
            if let Err(e) = log.append(StreamName::Quarantine, vec![record]).await {
                log::warn!(
                    "quarantine record not appended to the log, other entries will not see it: {e}"
                );
            }
        });
    }
}
