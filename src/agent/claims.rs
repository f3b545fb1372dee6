//! Claims the idempotency keys of requests that must run at most once, and runs claimed attempts.

use std::{collections::HashMap, sync::Arc, time::Duration};

use dogwoodway_control::{
    AppendOutcome, AttemptOutcome, ClaimAttempt, ClaimDecision, ClaimReadResponse, ClaimRecord,
    ClaimRefusal, Claimer, LogCall, RecordedResponse,
};
use dogwoodway_log::{LogError, LogRecord, PlatformLog, ReadResponse, StreamName};
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

use crate::{agent::attempt::FinalFrames, metrics_server};

/// Maximum number of records in one read.
const MAX_READ_RECORDS: u32 = 1_000;

/// Delay between ticks once a key was claimed, and between checks whether all claims are flushed.
const TICK_MS: u64 = 20;

/// Delay between ticks before the first claim. An agent whose requests carry no idempotency keys,
/// such as one of a model engine, keeps this delay.
const IDLE_TICK_MS: u64 = 100;

/// Number of ticks between two evictions of expired claims.
const EVICTION_TICKS: u64 = 500;

/// Delay after which the caller of a refused request is told to retry.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The claims of an agent; only this actor changes them.
#[derive(Actor)]
pub(crate) struct ClaimsActor {
    agent: AgentIncarnation,
    log: Arc<dyn PlatformLog>,
    /// State of the claim protocol, for each partition in which a key was claimed.
    partitions: HashMap<ClaimPartition, Claimer>,
    /// Attempts whose decision has not been made.
    undecided: HashMap<AttemptId, oneshot::Sender<ClaimDecision>>,
    ticks: u64,
}

impl ClaimsActor {
    /// Starts the actor.
    pub(crate) fn start(
        agent: AgentIncarnation,
        log: Arc<dyn PlatformLog>,
    ) -> ActorRef<ClaimsActor> {
        let (partitions, undecided) = (HashMap::new(), HashMap::new());
        let actor = ClaimsActor::spawn(ClaimsActor { agent, log, partitions, undecided, ticks: 0 });
        let ticking = actor.clone();
        tokio::spawn(async move {
            while let Ok(pause_ms) = ticking.ask(Tick).await {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        });
        actor
    }

    /// Makes the next call to the log, if one is due, and sends out the decisions made so far.
    fn advance(&mut self, partition: ClaimPartition, actor: &ActorRef<ClaimsActor>) {
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
                        LogResult::Read(log.read(stream, from, MAX_READ_RECORDS, 0).await)
                    }
                };
                let _ = actor.tell(LogCallFinished { partition, result }).await;
            });
        }
        for (attempt, decision) in claimer.take_decisions() {
            if let Some(tx) = self.undecided.remove(&attempt) {
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
        Ok(response) => AppendOutcome::Appended(response.first),
        Err(LogError::Unknown(_)) => AppendOutcome::Unknown,
        Err(LogError::Unavailable(_)) => AppendOutcome::NotAppended,
    }
}

fn decode(response: ReadResponse) -> ClaimReadResponse {
    let record = |record: LogRecord| match serde_json::from_value(record.data) {
        Ok(claim) => Some((record.offset, claim)),
        Err(e) => {
            log::error!("the claim record at offset {} is invalid: {e}", record.offset);
            None
        }
    };
    ClaimReadResponse {
        oldest: response.oldest,
        next: response.next,
        records: response.records.into_iter().filter_map(record).collect(),
    }
}

/// Requests the claim of an attempt's key; the decision on the attempt is sent through `tx`.
struct RequestClaim {
    attempt: ClaimAttempt,
    tx: oneshot::Sender<ClaimDecision>,
}

impl Message<RequestClaim> for ClaimsActor {
    type Reply = ();

    async fn handle(&mut self, msg: RequestClaim, cx: &mut Context<Self, Self::Reply>) {
        let partition = msg.attempt.request.key.partition();
        let agent = self.agent;
        self.undecided.insert(msg.attempt.attempt, msg.tx);
        let claimer = self.partitions.entry(partition).or_insert_with(|| Claimer::new(agent));
        claimer.claim(Timestamp::now(), msg.attempt);
        self.advance(partition, cx.actor_ref());
    }
}

/// Reports the outcome of an attempt whose decision was to run.
struct AttemptFinished {
    key: ClaimKey,
    outcome: AttemptOutcome,
}

impl Message<AttemptFinished> for ClaimsActor {
    type Reply = ();

    async fn handle(&mut self, msg: AttemptFinished, cx: &mut Context<Self, Self::Reply>) {
        let partition = msg.key.partition();
        if let Some(claimer) = self.partitions.get_mut(&partition) {
            claimer.finish(Timestamp::now(), msg.key, msg.outcome);
        }
        self.advance(partition, cx.actor_ref());
    }
}

enum LogResult {
    Appended(AppendOutcome),
    Read(Result<ReadResponse, LogError>),
}

/// Reports the result of a call to the log.
struct LogCallFinished {
    partition: ClaimPartition,
    result: LogResult,
}

impl Message<LogCallFinished> for ClaimsActor {
    type Reply = ();

    async fn handle(&mut self, msg: LogCallFinished, cx: &mut Context<Self, Self::Reply>) {
        let Some(claimer) = self.partitions.get_mut(&msg.partition) else { return };
        let now = Timestamp::now();
        match msg.result {
            LogResult::Appended(outcome) => claimer.append_finished(now, outcome),
            LogResult::Read(Ok(response)) => claimer.read_finished(now, &decode(response)),
            LogResult::Read(Err(e)) => {
                log::warn!(partition = msg.partition.0; "reading claims from the log failed: {e}");
                claimer.read_failed(now);
            }
        }
        self.advance(msg.partition, cx.actor_ref());
    }
}

/// Handles time limits and due calls to the log; replies with the delay in milliseconds before the
/// next tick.
struct Tick;

impl Message<Tick> for ClaimsActor {
    type Reply = u64;

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self, Self::Reply>) -> u64 {
        self.ticks += 1;
        let now = Timestamp::now();
        let partitions: Vec<_> = self.partitions.keys().copied().collect();
        for partition in partitions {
            let Some(claimer) = self.partitions.get_mut(&partition) else { continue };
            if self.ticks.is_multiple_of(EVICTION_TICKS) {
                claimer.evict_expired(now);
            }
            if !claimer.is_idle() {
                claimer.expire(now);
                self.advance(partition, cx.actor_ref());
            }
        }
        if self.partitions.is_empty() { IDLE_TICK_MS } else { TICK_MS }
    }
}

/// Gets whether all claims and outcomes were appended to the log.
pub(crate) struct IsFlushed;

impl Message<IsFlushed> for ClaimsActor {
    type Reply = bool;

    async fn handle(&mut self, _: IsFlushed, _: &mut Context<Self, Self::Reply>) -> bool {
        self.partitions.values().all(Claimer::is_idle)
    }
}

/// Claims an attempt's key, and runs the attempt if its claim is the first one of the key.
///
/// Otherwise the recorded response of the earlier attempt is returned, or the attempt is refused.
pub(crate) async fn run_claimed<F, Fut>(
    claims: &ActorRef<ClaimsActor>,
    claim: ClaimRequest,
    req: StartRequest,
    run: F,
) -> FinalFrames
where
    F: FnOnce(StartRequest) -> Fut,
    Fut: Future<Output = FinalFrames>,
{
    let (start_before, deadline) = (req.start_before, req.deadline);
    let attempt = ClaimAttempt { attempt: req.attempt, request: claim, start_before, deadline };
    let (tx, rx) = oneshot::channel();
    let _ = claims.tell(RequestClaim { attempt, tx }).await;
    let decision = rx.await.unwrap_or(ClaimDecision::Refuse(ClaimRefusal::LogUnavailable));
    match decision {
        ClaimDecision::Run => {}
        ClaimDecision::Replay(recorded) => return replay(recorded),
        ClaimDecision::Refuse(refusal) => return refused(refusal),
    }
    let frames = match Timestamp::now() > start_before {
        true => refused(ClaimRefusal::TooLate),
        false => run(req).await,
    };
    let _ =
        claims.tell(AttemptFinished { key: claim.key, outcome: attempt_outcome(&frames) }).await;
    frames
}

/// Waits until all claims and outcomes were appended to the log, or until `limit` has passed.
pub(crate) async fn flush(claims: &ActorRef<ClaimsActor>, limit: Duration) {
    let flushed = async {
        while let Ok(false) = claims.ask(IsFlushed).await {
            tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        }
    };
    let _ = tokio::time::timeout(limit, flushed).await;
}

fn attempt_outcome(frames: &FinalFrames) -> AttemptOutcome {
    match (&frames.last, &frames.response) {
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

fn replay(recorded: RecordedResponse) -> FinalFrames {
    let RecordedResponse { status, content_type, body } = recorded;
    let response = FrameKind::Response { status, content_type, body: body.into_bytes() };
    let last = FrameKind::End { finish: FinishReason::Stop, usage: Usage::default() };
    FinalFrames { response: Some(response), last }
}

fn refused(refusal: ClaimRefusal) -> FinalFrames {
    let retry_at = Some(Timestamp::now() + RETRY_DELAY);
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
    FinalFrames { response: None, last: FrameKind::Error { outcome, backend_lost: false } }
}
