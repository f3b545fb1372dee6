//! The actor that owns an agent's state.

mod leaving;
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
    leaving::{Drained, EndAll, Leave, ListedLeaving},
    watch::{SeeConfig, SeeEngine, SetLoading, Sweep},
};

use crate::{
    agent::{
        admission::Admission,
        budgets::Budgets,
        claims::Claims,
        run::{self, Backend},
        runs::Runs,
    },
    settings::{AgentSettings, BackendServerKind},
};

/// Predicted wait for each call that a plain service runs already.
const WAIT_US_PER_CALL: u64 = 2_000;

/// An agent's state; only this actor changes it.
#[derive(Actor)]
pub(crate) struct AgentActor {
    settings: AgentSettings,
    backend: Backend,
    incarnation: AgentIncarnation,
    claims: ActorRef<Claims>,
    pub(super) config: Arc<Configuration>,
    engine: Option<EngineStatus>,
    engine_up: bool,
    leaving: bool,
    listed_leaving_until: Timestamp,
    loading: bool,
    attempts: AttemptTable,
    /// The attempt of a suspect that runs or waits.
    suspect: Option<AttemptId>,
    runs: Runs,
    waiters: HashMap<AttemptId, Vec<Waiter>>,
    admission: Admission,
    queued: HashMap<AttemptId, StartRequest>,
    pub(super) budgets: Budgets,
}

/// An entry that waits for a frame.
struct Waiter {
    from: u64,
    tx: oneshot::Sender<FramesReply>,
}

impl AgentActor {
    /// Builds the state of a new incarnation.
    pub(crate) fn new(
        settings: AgentSettings,
        backend: Backend,
        incarnation: AgentIncarnation,
        claims: ActorRef<Claims>,
    ) -> AgentActor {
        AgentActor {
            settings,
            backend,
            incarnation,
            claims,
            config: Arc::new(Configuration::default()),
            engine: None,
            engine_up: false,
            leaving: false,
            listed_leaving_until: Timestamp::default(),
            loading: false,
            attempts: AttemptTable::default(),
            suspect: None,
            runs: Runs::new(Timestamp::now()),
            waiters: HashMap::new(),
            admission: Admission::new(),
            queued: HashMap::new(),
            budgets: Budgets::default(),
        }
    }

    fn kind(&self) -> Option<BackendKind> {
        match self.settings.kind {
            BackendServerKind::Service => Some(BackendKind::Service),
            BackendServerKind::Engine => self.engine.as_ref().map(|status| BackendKind::Engine {
                incarnation: self.engine_up.then_some(status.incarnation),
                model: status.model.clone(),
                version: status.version,
            }),
        }
    }

    fn is_leaving(&self, now: Timestamp) -> bool {
        self.leaving || now < self.listed_leaving_until
    }

    /// Returns why an attempt cannot be taken, if so.
    fn refusal(&self, now: Timestamp, req: &StartRequest) -> Option<NotRunReason> {
        if self.is_leaving(now) {
            return Some(NotRunReason::Leaving);
        }
        if req.agent != self.incarnation || self.loading {
            return Some(NotRunReason::StaleBackendServer);
        }
        if self.config.offset > req.config_offset {
            return Some(NotRunReason::StaleConfiguration);
        }
        if req.is_suspect && self.suspect.is_some() {
            return Some(NotRunReason::Quarantined);
        }
        if now > req.deadline {
            return Some(NotRunReason::DeadlinePassed);
        }
        match &req.work {
            Work::Service(_) => None,
            Work::Chat(chat) => match &self.engine {
                Some(engine)
                    if self.engine_up
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

    /// Runs an attempt, lets it wait, or refuses it.
    fn admit(
        &mut self,
        now: Timestamp,
        req: StartRequest,
        actor: &ActorRef<AgentActor>,
    ) -> Option<Refusal> {
        let id = req.attempt;
        let Work::Chat(chat) = &req.work else {
            self.spawn_run(req, actor);
            return None;
        };
        let (offer, shed) = self.admission.offer(now, &req, chat);
        for (id, refusal) in shed {
            self.refuse(id, refusal);
        }
        match offer {
            OfferOutcome::Queued => {
                self.queued.insert(id, req);
                self.run_next(actor);
                None
            }
            OfferOutcome::Refused(refusal) => {
                self.refuse(id, refusal);
                Some(refusal)
            }
        }
    }

    /// Hands waiting attempts to the engine as long as it has places.
    fn run_next(&mut self, actor: &ActorRef<AgentActor>) {
        let Some(status) = self.engine.as_ref().filter(|_| self.engine_up) else { return };
        let (engine, version) = (status.incarnation, status.version);
        let now = Timestamp::now();
        while let Some(id) = self.admission.next(now, engine) {
            match self.queued.remove(&id) {
                Some(req) if runs_on(&req, engine, version) => self.spawn_run(req, actor),
                Some(_) => {
                    let reason = NotRunReason::StaleBackendServer;
                    self.refuse(id, Refusal { reason, retry_at: now });
                }
                None => self.admission.remove(now, id),
            }
        }
    }

    fn spawn_run(&mut self, req: StartRequest, actor: &ActorRef<AgentActor>) {
        let id = req.attempt;
        // A claimed attempt runs to its end, so that its answer is recorded.
        let can_abort = matches!(req.work, Work::Chat(_)) && req.claim.is_none();
        let run = run::run(self.backend.clone(), req, actor.clone(), self.claims.clone());
        let task = tokio::spawn(run).abort_handle();
        match can_abort {
            true => self.runs.add_chat(Timestamp::now(), id, task),
            false => self.runs.add_service(id, task),
        }
    }

    /// Ends an attempt that was never handed to the engine.
    fn refuse(&mut self, id: AttemptId, refusal: Refusal) {
        let Refusal { reason, retry_at } = refusal;
        let outcome = Outcome::NotRun { reason, retry_at: Some(retry_at) };
        self.push(id, FrameKind::Error { outcome, backend_lost: false });
    }

    fn push(&mut self, id: AttemptId, kind: FrameKind) {
        let now = Timestamp::now();
        self.admission.see_frame(now, id, &kind);
        if !self.attempts.push_frame(now, id, kind.clone()) {
            return;
        }
        self.runs.note_frame(now, id, &kind);
        if kind.is_last() {
            self.suspect = self.suspect.filter(|suspect| *suspect != id);
            self.queued.remove(&id);
            self.admission.remove(now, id);
        }
        let waiters = self.waiters.remove(&id).unwrap_or_default();
        for waiter in waiters.into_iter().filter(|waiter| !waiter.tx.is_closed()) {
            let frames = self.attempts.frames(now, id, waiter.from).unwrap_or_default();
            let _ = waiter.tx.send(FramesReply::Frames { attempt: id, frames });
        }
    }

    /// Ends an attempt of a chat: one that waits was not run, one that runs is cancelled.
    fn end_chat(&mut self, id: AttemptId, message: &str, backend_lost: bool) {
        if self.queued.contains_key(&id) {
            let (reason, retry_at) = (NotRunReason::Cancelled, Timestamp::now());
            return self.refuse(id, Refusal { reason, retry_at });
        }
        if !self.runs.abort_chat(id) {
            return;
        }
        if let Backend::Engine(engine) = self.backend.clone() {
            tokio::spawn(async move { engine.cancel(id).await });
        }
        let outcome = Outcome::Failed { message: message.to_owned() };
        self.push(id, FrameKind::Error { outcome, backend_lost });
    }
}

/// Tells whether an attempt was routed to an engine with the given weights.
fn runs_on(req: &StartRequest, engine: EngineIncarnation, version: WeightsVersion) -> bool {
    let same_version = match &req.work {
        Work::Chat(chat) => chat.version == version,
        Work::Service(_) => false,
    };
    req.engine == Some(engine) && same_version
}

/// Asks for the agent's description; `None` while the engine is not known.
pub(crate) struct Describe;

impl Message<Describe> for AgentActor {
    type Reply = Option<AgentDescription>;

    async fn handle(&mut self, _: Describe, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Some(AgentDescription {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            labels: self.settings.labels.clone(),
            kind: self.kind()?,
            leaving: self.is_leaving(Timestamp::now()),
            config_offset: self.config.offset,
        })
    }
}

/// Asks how a prompt would be served; `None` while the engine is not known.
pub(crate) struct Probe(pub(crate) ProbeRequest);

impl Message<Probe> for AgentActor {
    type Reply = Option<ProbeReply>;

    async fn handle(&mut self, msg: Probe, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let kind = self.kind()?;
        let matched = match &kind {
            BackendKind::Engine { incarnation: Some(engine), .. } => {
                self.admission.matched(*engine, &msg.0.hashes)
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
                let wait = self.admission.wait(Timestamp::now(), msg.0.priority);
                u64::try_from(wait.as_micros()).unwrap_or(u64::MAX)
            }
            BackendKind::Service => u64::from(load) * WAIT_US_PER_CALL,
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

/// Starts an attempt.
pub(crate) struct Start(pub(crate) StartRequest);

impl Message<Start> for AgentActor {
    type Reply = Box<StartReply>;

    async fn handle(&mut self, msg: Start, cx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = Timestamp::now();
        let req = msg.0;
        let (id, start_before) = (req.attempt, req.start_before);
        if let Some(reason) = self.refusal(now, &req) {
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
                    self.suspect = Some(id);
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
pub(crate) struct Push {
    pub(crate) id: AttemptId,
    pub(crate) kind: FrameKind,
}

impl Message<Push> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: Push, cx: &mut Context<Self, Self::Reply>) {
        self.push(msg.id, msg.kind);
        self.run_next(cx.actor_ref());
    }
}

/// Tells the agent which cache events its engine published.
pub(crate) struct SeeEvents(pub(crate) CacheEvents);

impl Message<SeeEvents> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: SeeEvents, _: &mut Context<Self, Self::Reply>) {
        self.admission.see_events(&msg.0);
    }
}

/// Asks for frames; answered through `tx` as soon as there is one.
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
                let waiters = self.waiters.entry(msg.id).or_default();
                waiters.retain(|waiter| !waiter.tx.is_closed());
                waiters.push(Waiter { from: msg.from, tx: msg.tx });
                return;
            }
            Some(frames) => FramesReply::Frames { attempt: msg.id, frames },
        };
        let _ = msg.tx.send(reply);
    }
}

/// Asks what became of an attempt.
pub(crate) struct Settle {
    pub(crate) id: AttemptId,
    pub(crate) agent: AgentIncarnation,
    pub(crate) start_before: Timestamp,
}

impl Message<Settle> for AgentActor {
    type Reply = Box<SettleReply>;

    async fn handle(&mut self, msg: Settle, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
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

/// Cancels an attempt on an engine; a call to a plain service cannot be taken back and goes on.
pub(crate) struct Cancel(pub(crate) AttemptId);

impl Message<Cancel> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: Cancel, cx: &mut Context<Self, Self::Reply>) {
        self.end_chat(msg.0, "the request was cancelled", false);
        self.run_next(cx.actor_ref());
    }
}
