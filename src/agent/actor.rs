//! The actor that owns an agent's state.

mod drain;
mod watch;

use std::{collections::HashMap, sync::Arc};

use dogwoodway_engine::{CacheEvents, EngineStatus};
use dogwoodway_peer::{
    AgentDescription, BackendKind, FramesReply, ProbeReply, ProbeRequest, SettleReply, StartReply,
    StartRequest,
};
use dogwoodway_routing::{
    attempt::{AttemptTable, SettleOutcome, StartDecision},
    queue::{OfferOutcome, Refusal},
};
use dogwoodway_types::{
    AgentIncarnation, AttemptId, Configuration, EngineIncarnation, FrameKind, NotRunReason,
    Outcome, Timestamp, WeightsVersion, Work,
};
use kameo::{
    Actor,
    actor::ActorRef,
    message::{Context, Message},
};
use tokio::sync::oneshot;

pub(crate) use self::{
    drain::{AbortAll, IsDrained, StartDrain, VmListedLeaving},
    watch::{ConfigChanged, EngineStatusRead, SetLoading, Sweep},
};

use crate::{
    agent::{
        admission::Admission,
        attempt::{Backend, run_attempt},
        budgets::Budgets,
        claims::ClaimsActor,
        running_attempts::RunningAttempts,
    },
    settings::{AgentSettings, BackendServerKind},
};

/// Predicted wait in microseconds for each call that a plain service is already running.
const SERVICE_WAIT_US_PER_CALL: u64 = 2_000;

/// The state of an agent; only this actor changes it.
#[derive(Actor)]
pub(crate) struct AgentActor {
    settings: AgentSettings,
    backend: Backend,
    incarnation: AgentIncarnation,
    claims: ActorRef<ClaimsActor>,
    pub(super) config: Arc<Configuration>,
    /// Last status that the engine reported; kept while the engine cannot be reached.
    engine_status: Option<EngineStatus>,
    engine_reachable: bool,
    /// Whether this process is shutting down.
    draining: bool,
    /// Time until which new attempts are refused because the platform lists the VM as leaving.
    vm_leaving_until: Timestamp,
    /// Whether the engine is about to load other weights, or loads them.
    loading: bool,
    attempts: AttemptTable,
    /// The running or queued attempt of a request that is suspected of crashing engines; at most
    /// one is accepted at a time.
    active_suspect: Option<AttemptId>,
    running: RunningAttempts,
    /// Entries that wait for frames, by attempt.
    frame_waiters: HashMap<AttemptId, Vec<FrameWaiter>>,
    admission: Admission,
    /// Requests of the attempts that wait in the queue of `admission`.
    queued_requests: HashMap<AttemptId, StartRequest>,
    pub(super) budgets: Budgets,
}

/// An entry that waits for a frame with a sequence number of at least `from`.
struct FrameWaiter {
    from: u64,
    tx: oneshot::Sender<FramesReply>,
}

impl AgentActor {
    /// Creates the state of a new incarnation.
    pub(crate) fn new(
        settings: AgentSettings,
        backend: Backend,
        incarnation: AgentIncarnation,
        claims: ActorRef<ClaimsActor>,
    ) -> AgentActor {
        AgentActor {
            settings,
            backend,
            incarnation,
            claims,
            config: Arc::new(Configuration::default()),
            engine_status: None,
            engine_reachable: false,
            draining: false,
            vm_leaving_until: Timestamp::default(),
            loading: false,
            attempts: AttemptTable::default(),
            active_suspect: None,
            running: RunningAttempts::new(Timestamp::now()),
            frame_waiters: HashMap::new(),
            admission: Admission::new(),
            queued_requests: HashMap::new(),
            budgets: Budgets::default(),
        }
    }

    fn backend_kind(&self) -> Option<BackendKind> {
        match self.settings.kind {
            BackendServerKind::Service => Some(BackendKind::Service),
            BackendServerKind::Engine => {
                self.engine_status.as_ref().map(|status| BackendKind::Engine {
                    incarnation: self.engine_reachable.then_some(status.incarnation),
                    model: status.model.clone(),
                    version: status.version,
                    software: status.software.clone(),
                })
            }
        }
    }

    fn is_leaving(&self, now: Timestamp) -> bool {
        self.draining || now < self.vm_leaving_until
    }

    /// Returns why an attempt must be refused, `None` if it may start.
    fn refusal_reason(&self, now: Timestamp, req: &StartRequest) -> Option<NotRunReason> {
        if self.is_leaving(now) {
            return Some(NotRunReason::Leaving);
        }
        if req.agent != self.incarnation || self.loading {
            return Some(NotRunReason::StaleBackendServer);
        }
        if self.config.offset > req.config_offset {
            return Some(NotRunReason::StaleConfiguration);
        }
        if req.is_suspect && self.active_suspect.is_some() {
            return Some(NotRunReason::Quarantined);
        }
        if now > req.deadline {
            return Some(NotRunReason::DeadlinePassed);
        }
        match &req.work {
            Work::Service(_) => None,
            Work::Chat(chat) => match &self.engine_status {
                Some(engine)
                    if self.engine_reachable
                        && Some(engine.incarnation) == req.engine
                        && engine.model == chat.model
                        && engine.version == chat.version =>
                {
                    None
                }
                _ => Some(NotRunReason::StaleBackendServer),
            },
        }
    }

    /// Runs an attempt at a plain service, or offers one at the engine to the queue; returns the
    /// refusal if the queue did not accept it.
    fn admit(
        &mut self,
        now: Timestamp,
        req: StartRequest,
        actor: &ActorRef<AgentActor>,
    ) -> Option<Refusal> {
        let id = req.attempt;
        let Work::Chat(chat) = &req.work else {
            self.spawn_attempt(req, actor);
            return None;
        };
        let (outcome, shed) = self.admission.offer(now, &req, chat);
        for (id, refusal) in shed {
            self.refuse(id, refusal);
        }
        match outcome {
            OfferOutcome::Queued => {
                self.queued_requests.insert(id, req);
                self.dispatch_queued(actor);
                None
            }
            OfferOutcome::Refused(refusal) => {
                self.refuse(id, refusal);
                Some(refusal)
            }
        }
    }

    /// Passes queued attempts to the engine as long as its batch has room for them.
    fn dispatch_queued(&mut self, actor: &ActorRef<AgentActor>) {
        let Some(status) = self.engine_status.as_ref().filter(|_| self.engine_reachable) else {
            return;
        };
        let (engine, version) = (status.incarnation, status.version);
        let now = Timestamp::now();
        while let Some(id) = self.admission.dequeue(now, engine) {
            match self.queued_requests.remove(&id) {
                Some(req) if was_routed_to(&req, engine, version) => self.spawn_attempt(req, actor),
                Some(_) => {
                    let reason = NotRunReason::StaleBackendServer;
                    self.refuse(id, Refusal { reason, retry_at: now });
                }
                None => self.admission.remove(now, id),
            }
        }
    }

    /// Returns the queued attempts that were placed under an earlier configuration and that the one in
    /// force does not allow here.
    fn disallowed_attempts(&self) -> Vec<AttemptId> {
        let AgentSettings { name, zone, labels, .. } = &self.settings;
        let is_allowed = |req: &StartRequest| match &req.work {
            Work::Chat(chat) => {
                let weights = (&chat.model, chat.version);
                self.config.may_run_on(&req.team, weights, name, zone, labels)
            }
            Work::Service(_) => true,
        };
        let is_older = |req: &StartRequest| req.config_offset < self.config.offset;
        let queued = self.queued_requests.iter();
        queued.filter(|(_, req)| is_older(req) && !is_allowed(req)).map(|(id, _)| *id).collect()
    }

    fn spawn_attempt(&mut self, req: StartRequest, actor: &ActorRef<AgentActor>) {
        let id = req.attempt;
        // A claimed attempt runs to its end, so that its outcome is recorded.
        let can_abort = matches!(req.work, Work::Chat(_)) && req.claim.is_none();
        let task = run_attempt(self.backend.clone(), req, actor.clone(), self.claims.clone());
        let task = tokio::spawn(task).abort_handle();
        match can_abort {
            true => self.running.add_abortable(Timestamp::now(), id, task),
            false => self.running.add_unabortable(id, task),
        }
    }

    /// Ends an attempt that was never passed to the engine.
    fn refuse(&mut self, id: AttemptId, refusal: Refusal) {
        let Refusal { reason, retry_at } = refusal;
        let outcome = Outcome::NotRun { reason, retry_at: Some(retry_at) };
        self.push_frame(id, FrameKind::Error { outcome, backend_lost: false });
    }

    /// Adds a frame to an attempt and sends it to the entries that wait for one.
    fn push_frame(&mut self, id: AttemptId, kind: FrameKind) {
        let now = Timestamp::now();
        self.admission.record_frame(now, id, &kind);
        if !self.attempts.push_frame(now, id, kind.clone()) {
            return;
        }
        self.running.record_frame(now, id, &kind);
        if kind.is_last() {
            self.active_suspect = self.active_suspect.filter(|suspect| *suspect != id);
            self.queued_requests.remove(&id);
            self.admission.remove(now, id);
        }
        let waiters = self.frame_waiters.remove(&id).unwrap_or_default();
        for waiter in waiters.into_iter().filter(|waiter| !waiter.tx.is_closed()) {
            let frames = self.attempts.frames(now, id, waiter.from).unwrap_or_default();
            let _ = waiter.tx.send(FramesReply::Frames { attempt: id, frames });
        }
    }

    /// Ends an attempt at the engine: a queued one is refused as not run, and a running one is
    /// cancelled and fails with `message`. Attempts that must not be aborted are left running.
    fn abort_attempt(&mut self, id: AttemptId, message: &str, backend_lost: bool) {
        if self.queued_requests.contains_key(&id) {
            let (reason, retry_at) = (NotRunReason::Cancelled, Timestamp::now());
            return self.refuse(id, Refusal { reason, retry_at });
        }
        if !self.running.abort(id) {
            return;
        }
        if let Backend::Engine(engine) = self.backend.clone() {
            tokio::spawn(async move { engine.cancel(id).await });
        }
        let outcome = Outcome::Failed { message: message.to_owned() };
        self.push_frame(id, FrameKind::Error { outcome, backend_lost });
    }
}

/// Returns whether an attempt was routed to the given engine and weights version.
fn was_routed_to(req: &StartRequest, engine: EngineIncarnation, version: WeightsVersion) -> bool {
    let same_version = match &req.work {
        Work::Chat(chat) => chat.version == version,
        Work::Service(_) => false,
    };
    req.engine == Some(engine) && same_version
}

/// Gets the agent's description; `None` until the engine has reported its status.
pub(crate) struct Describe;

impl Message<Describe> for AgentActor {
    type Reply = Option<AgentDescription>;

    async fn handle(&mut self, _: Describe, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Some(AgentDescription {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            labels: self.settings.labels.clone(),
            kind: self.backend_kind()?,
            leaving: self.is_leaving(Timestamp::now()),
            config_offset: self.config.offset,
        })
    }
}

/// Gets the cached prefix, load and predicted wait for a prompt; `None` until the engine has
/// reported its status.
pub(crate) struct Probe(pub(crate) ProbeRequest);

impl Message<Probe> for AgentActor {
    type Reply = Option<ProbeReply>;

    async fn handle(&mut self, msg: Probe, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let kind = self.backend_kind()?;
        let matched = match &kind {
            BackendKind::Engine { incarnation: Some(engine), .. } => {
                self.admission.matched_pieces(*engine, &msg.0.hashes)
            }
            _ => 0,
        };
        let is_up = !matches!(kind, BackendKind::Engine { incarnation: None, .. });
        let load = match &kind {
            BackendKind::Engine { .. } => self.admission.load(),
            BackendKind::Service => self.attempts.running(),
        };
        let wait_us = match &kind {
            BackendKind::Engine { .. } => {
                let wait = self.admission.predicted_wait(Timestamp::now(), msg.0.priority);
                u64::try_from(wait.as_micros()).unwrap_or(u64::MAX)
            }
            BackendKind::Service => u64::from(load) * SERVICE_WAIT_US_PER_CALL,
        };
        Some(ProbeReply {
            matched,
            load,
            wait_us,
            prefill_ns: self.admission.prefill_ns(),
            accepting: is_up && !self.loading && !self.is_leaving(Timestamp::now()),
            agent: self.incarnation,
            kind,
            config_offset: self.config.offset,
        })
    }
}

/// Starts an attempt, unless it was started or refused before.
pub(crate) struct StartAttempt(pub(crate) StartRequest);

impl Message<StartAttempt> for AgentActor {
    type Reply = Box<StartReply>;

    async fn handle(
        &mut self,
        msg: StartAttempt,
        cx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = Timestamp::now();
        let req = msg.0;
        let (id, start_before) = (req.attempt, req.start_before);
        if let Some(reason) = self.refusal_reason(now, &req) {
            return Box::new(match self.attempts.settle(now, id, start_before) {
                SettleOutcome::NotStarted => StartReply::NotRun { reason, retry_at: None },
                SettleOutcome::Started => StartReply::Accepted,
                SettleOutcome::Forgotten => StartReply::Forgotten,
            });
        }
        Box::new(match self.attempts.start(now, id, start_before) {
            StartDecision::Known => StartReply::Accepted,
            StartDecision::Forgotten => StartReply::Forgotten,
            StartDecision::Refused => {
                StartReply::NotRun { reason: NotRunReason::Cancelled, retry_at: None }
            }
            StartDecision::Run => {
                if req.is_suspect {
                    self.active_suspect = Some(id);
                }
                match self.admit(now, req, cx.actor_ref()) {
                    Some(Refusal { reason, retry_at }) => {
                        StartReply::NotRun { reason, retry_at: Some(retry_at) }
                    }
                    None => StartReply::Accepted,
                }
            }
        })
    }
}

/// Adds a frame to a running attempt.
pub(crate) struct PushFrame {
    pub(crate) id: AttemptId,
    pub(crate) kind: FrameKind,
}

impl Message<PushFrame> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: PushFrame, cx: &mut Context<Self, Self::Reply>) {
        self.push_frame(msg.id, msg.kind);
        self.dispatch_queued(cx.actor_ref());
    }
}

/// Reports cache events that the engine published.
pub(crate) struct CacheEventsRead(pub(crate) CacheEvents);

impl Message<CacheEventsRead> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: CacheEventsRead, _: &mut Context<Self, Self::Reply>) {
        self.admission.apply_cache_events(&msg.0);
    }
}

/// Gets the frames from sequence number `from` on; the reply is sent through `tx` as soon as there
/// is one.
pub(crate) struct ReadFrames {
    pub(crate) id: AttemptId,
    pub(crate) from: u64,
    pub(crate) tx: oneshot::Sender<FramesReply>,
}

impl Message<ReadFrames> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: ReadFrames, _: &mut Context<Self, Self::Reply>) {
        let reply = match self.attempts.frames(Timestamp::now(), msg.id, msg.from) {
            None => FramesReply::NoAttempt,
            Some(frames) if frames.is_empty() => {
                let waiters = self.frame_waiters.entry(msg.id).or_default();
                waiters.retain(|waiter| !waiter.tx.is_closed());
                waiters.push(FrameWaiter { from: msg.from, tx: msg.tx });
                return;
            }
            Some(frames) => FramesReply::Frames { attempt: msg.id, frames },
        };
        let _ = msg.tx.send(reply);
    }
}

/// Gets whether an attempt has started, and prevents it from starting if it has not.
pub(crate) struct SettleAttempt {
    pub(crate) id: AttemptId,
    pub(crate) agent: AgentIncarnation,
    pub(crate) start_before: Timestamp,
}

impl Message<SettleAttempt> for AgentActor {
    type Reply = Box<SettleReply>;

    async fn handle(
        &mut self,
        msg: SettleAttempt,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        if msg.agent != self.incarnation {
            return Box::new(SettleReply::OtherIncarnation);
        }
        match self.attempts.settle(Timestamp::now(), msg.id, msg.start_before) {
            SettleOutcome::NotStarted => Box::new(SettleReply::NotStarted),
            SettleOutcome::Started => Box::new(SettleReply::Started),
            SettleOutcome::Forgotten => Box::new(SettleReply::Forgotten),
        }
    }
}

/// Cancels an attempt on an engine. A call to a plain service cannot be undone and continues. A
/// claimed attempt also continues once it is running, so that its outcome is recorded.
pub(crate) struct CancelAttempt(pub(crate) AttemptId);

impl Message<CancelAttempt> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: CancelAttempt, cx: &mut Context<Self, Self::Reply>) {
        self.abort_attempt(msg.0, "the request was cancelled", false);
        self.dispatch_queued(cx.actor_ref());
    }
}
