//! The actor that claims requests which must not run twice, and the run of a claimed attempt.

use std::{collections::HashMap, sync::Arc, time::Duration};

use dogwoodway_control::{
    AppendOutcome, AttemptOutcome, ClaimAttempt, ClaimDecision, ClaimReadResponse, ClaimRecord,
    ClaimRefusal, Claimer, LogCall, RecordedResponse,
};
use dogwoodway_log::{LogError, LogRecord, PlatformLog, ReadAnswer, StreamName};
use dogwoodway_peer::StartRequest;
use dogwoodway_types::{
    AgentIncarnation, AttemptId, ClaimKey, ClaimPartition, ClaimRequest, FinishReason, FrameKind,
    NotRunReason, Outcome, Timestamp, Usage,
};
use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    message::{Context, Message},
};
use tokio::sync::oneshot;

use crate::{agent::run::Ended, metrics_server};

/// Most records of one read.
const READ_RECORDS: u32 = 1_000;

const TICK_MS: u64 = 20;

/// Pause between ticks while nothing has been claimed, as beside a model engine.
const IDLE_TICK_MS: u64 = 100;

const SWEEP_TICKS: u64 = 500;

/// Time after which a refused request makes sense again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Claims keys for the agent; only this actor changes its claims.
#[derive(Actor)]
pub(crate) struct Claims {
    agent: AgentIncarnation,
    log: Arc<dyn PlatformLog>,
    partitions: HashMap<ClaimPartition, Claimer>,
    waiting: HashMap<AttemptId, oneshot::Sender<ClaimDecision>>,
    ticks: u64,
}

impl Claims {
    /// Starts the actor.
    pub(crate) fn start(agent: AgentIncarnation, log: Arc<dyn PlatformLog>) -> ActorRef<Claims> {
        let (partitions, waiting) = (HashMap::new(), HashMap::new());
        let actor = Claims::spawn(Claims { agent, log, partitions, waiting, ticks: 0 });
        let ticked = actor.clone();
        tokio::spawn(async move {
            while let Ok(pause_ms) = ticked.ask(Tick).await {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        });
        actor
    }

    fn pump(&mut self, partition: ClaimPartition, actor: &ActorRef<Claims>) {
        let Some(claimer) = self.partitions.get_mut(&partition) else { return };
        if let Some(call) = claimer.next_call(Timestamp::now()) {
            let (log, actor) = (self.log.clone(), actor.clone());
            tokio::spawn(async move {
                let stream = StreamName::Claims(partition);
                let result = match call {
                    LogCall::Append(records) => {
                        LogResult::Appended(append(&*log, stream, &records).await)
                    }
                    LogCall::Read(from) => {
                        LogResult::Read(log.read(stream, from, READ_RECORDS, 0).await)
                    }
                };
                let _ = actor.tell(LogAnswered { partition, result }).await;
            });
        }
        for (attempt, decision) in claimer.take_decisions() {
            if let Some(tx) = self.waiting.remove(&attempt) {
                let _ = tx.send(decision);
            }
        }
    }
}

async fn append(
    log: &dyn PlatformLog,
    stream: StreamName,
    records: &[ClaimRecord],
) -> AppendOutcome {
    let Ok(values) = records.iter().map(serde_json::to_value).collect() else {
        return AppendOutcome::NotAppended;
    };
    metrics::counter!(metrics_server::CLAIM_APPENDS).increment(1);
    match log.append(stream, values).await {
        Ok(answer) => AppendOutcome::Appended(answer.first),
        Err(LogError::Unknown(_)) => AppendOutcome::Unknown,
        Err(LogError::Unavailable(_)) => AppendOutcome::NotAppended,
    }
}

fn decode(answer: ReadAnswer) -> ClaimReadResponse {
    let record = |record: LogRecord| match serde_json::from_value(record.data) {
        Ok(claim) => Some((record.offset, claim)),
        Err(e) => {
            log::error!("record {} of the claims is invalid: {e}", record.offset);
            None
        }
    };
    ClaimReadResponse {
        oldest: answer.oldest,
        next: answer.next,
        records: answer.records.into_iter().filter_map(record).collect(),
    }
}

/// Asks for the decision on an attempt; it comes through `tx`.
struct Acquire {
    attempt: ClaimAttempt,
    tx: oneshot::Sender<ClaimDecision>,
}

impl Message<Acquire> for Claims {
    type Reply = ();

    async fn handle(&mut self, msg: Acquire, cx: &mut Context<Self, Self::Reply>) {
        let partition = msg.attempt.request.key.partition();
        let agent = self.agent;
        self.waiting.insert(msg.attempt.attempt, msg.tx);
        let claimer = self.partitions.entry(partition).or_insert_with(|| Claimer::new(agent));
        claimer.claim(Timestamp::now(), msg.attempt);
        self.pump(partition, cx.actor_ref());
    }
}

/// Tells how an attempt ended that was told to run.
struct Finished {
    key: ClaimKey,
    finish: AttemptOutcome,
}

impl Message<Finished> for Claims {
    type Reply = ();

    async fn handle(&mut self, msg: Finished, cx: &mut Context<Self, Self::Reply>) {
        let partition = msg.key.partition();
        if let Some(claimer) = self.partitions.get_mut(&partition) {
            claimer.finish(Timestamp::now(), msg.key, msg.finish);
        }
        self.pump(partition, cx.actor_ref());
    }
}

enum LogResult {
    Appended(AppendOutcome),
    Read(Result<ReadAnswer, LogError>),
}

/// Tells how a call to the log ended.
struct LogAnswered {
    partition: ClaimPartition,
    result: LogResult,
}

impl Message<LogAnswered> for Claims {
    type Reply = ();

    async fn handle(&mut self, msg: LogAnswered, cx: &mut Context<Self, Self::Reply>) {
        let Some(claimer) = self.partitions.get_mut(&msg.partition) else { return };
        let now = Timestamp::now();
        match msg.result {
            LogResult::Appended(appended) => claimer.append_finished(now, appended),
            LogResult::Read(Ok(answer)) => claimer.read_finished(now, &decode(answer)),
            LogResult::Read(Err(e)) => {
                log::warn!(partition = msg.partition.0; "claims could not be read: {e}");
                claimer.read_failed(now);
            }
        }
        self.pump(msg.partition, cx.actor_ref());
    }
}

/// Lets time pass; answers with the milliseconds until the next tick.
struct Tick;

impl Message<Tick> for Claims {
    type Reply = u64;

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self, Self::Reply>) -> u64 {
        self.ticks += 1;
        let now = Timestamp::now();
        let partitions: Vec<_> = self.partitions.keys().copied().collect();
        for partition in partitions {
            let Some(claimer) = self.partitions.get_mut(&partition) else { continue };
            if self.ticks.is_multiple_of(SWEEP_TICKS) {
                claimer.evict_expired(now);
            }
            if !claimer.is_idle() {
                claimer.expire(now);
                self.pump(partition, cx.actor_ref());
            }
        }
        if self.partitions.is_empty() { IDLE_TICK_MS } else { TICK_MS }
    }
}

/// Asks whether everything was appended that is to be remembered.
pub(crate) struct Flushed;

impl Message<Flushed> for Claims {
    type Reply = bool;

    async fn handle(&mut self, _: Flushed, _: &mut Context<Self, Self::Reply>) -> bool {
        self.partitions.values().all(Claimer::is_idle)
    }
}

/// Claims an attempt's key and runs the attempt if the claim is the first.
pub(crate) async fn run_claimed<F, Fut>(
    claims: &ActorRef<Claims>,
    claim: ClaimRequest,
    req: StartRequest,
    run: F,
) -> Ended
where
    F: FnOnce(StartRequest) -> Fut,
    Fut: Future<Output = Ended>,
{
    let (start_before, deadline) = (req.start_before, req.deadline);
    let attempt = ClaimAttempt { attempt: req.attempt, request: claim, start_before, deadline };
    let (tx, rx) = oneshot::channel();
    let _ = claims.tell(Acquire { attempt, tx }).await;
    let decision = rx.await.unwrap_or(ClaimDecision::Refuse(ClaimRefusal::LogUnavailable));
    match decision {
        ClaimDecision::Run => {}
        ClaimDecision::Replay(answer) => return replay(answer),
        ClaimDecision::Refuse(refusal) => return refused(refusal),
    }
    let ended = match Timestamp::now() > start_before {
        true => refused(ClaimRefusal::TooLate),
        false => run(req).await,
    };
    let _ = claims.tell(Finished { key: claim.key, finish: finish_of(&ended) }).await;
    ended
}

/// Waits until everything was appended that is to be remembered, or `limit` has passed.
pub(crate) async fn flush(claims: &ActorRef<Claims>, limit: Duration) {
    let flushed = async {
        while let Ok(false) = claims.ask(Flushed).await {
            tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        }
    };
    let _ = tokio::time::timeout(limit, flushed).await;
}

fn finish_of(ended: &Ended) -> AttemptOutcome {
    match (&ended.last, &ended.response) {
        (FrameKind::End { .. }, Some(FrameKind::Response { status, content_type, body })) => {
            let body = String::from_utf8(body.clone()).ok();
            let (status, content_type) = (*status, content_type.clone());
            AttemptOutcome::Completed(body.map(|body| RecordedResponse {
                status,
                content_type,
                body,
            }))
        }
        (FrameKind::End { .. }, _) => AttemptOutcome::Completed(None),
        (FrameKind::Error { outcome: Outcome::NotRun { .. }, .. }, _) => AttemptOutcome::NotRun,
        _ => AttemptOutcome::Unknown,
    }
}

fn replay(answer: RecordedResponse) -> Ended {
    let RecordedResponse { status, content_type, body } = answer;
    let response = FrameKind::Response { status, content_type, body: body.into_bytes() };
    let last = FrameKind::End { finish: FinishReason::Stop, usage: Usage::default() };
    Ended { response: Some(response), last }
}

fn refused(refusal: ClaimRefusal) -> Ended {
    let retry_at = Some(Timestamp::now() + RETRY_AFTER);
    let outcome = match refusal {
        ClaimRefusal::LogUnavailable => {
            Outcome::NotRun { reason: NotRunReason::LogUnavailable, retry_at }
        }
        ClaimRefusal::TooLate => Outcome::NotRun { reason: NotRunReason::DeadlinePassed, retry_at },
        ClaimRefusal::KeyReused => {
            Outcome::NotRun { reason: NotRunReason::KeyReused, retry_at: None }
        }
        ClaimRefusal::AlreadyStarted => {
            let message = "a request with this idempotency key was started; its end is not known";
            Outcome::Unknown { message: message.to_owned() }
        }
        ClaimRefusal::ResponseNotRecorded => {
            let message = "the request with this idempotency key has run; its answer is not kept";
            Outcome::Failed { message: message.to_owned() }
        }
    };
    Ended { response: None, last: FrameKind::Error { outcome, backend_lost: false } }
}
