//! The actor that owns an agent's state.

use std::{collections::HashMap, sync::Arc};

use dogwoodway_engine::EngineStatus;
use dogwoodway_peer::{
    AgentDescription, BackendKind, FramesReply, ProbeReply, ProbeRequest, RunRequest, SettleReply,
    StartReply,
};
use dogwoodway_routing::{
    attempt::{AttemptTable, Settled, StartVerdict},
    prefix_index::PrefixIndex,
};
use dogwoodway_types::{
    AgentIncarnation, AttemptId, Configuration, EngineIncarnation, FrameKind, LogOffset,
    NotRunReason, Outcome, PieceHash, Timestamp, Work,
};
use kameo::{
    Actor,
    message::{Context, Message},
};
use tokio::{sync::oneshot, task::AbortHandle};

use crate::{
    agent::run::{self, Backend},
    settings::{AgentSettings, BackendRole},
};

/// An agent's state; only this actor changes it.
#[derive(Actor)]
pub(crate) struct AgentActor {
    settings: AgentSettings,
    backend: Backend,
    incarnation: AgentIncarnation,
    config: Arc<Configuration>,
    engine: Option<EngineStatus>,
    leaving: bool,
    attempts: AttemptTable,
    runs: HashMap<AttemptId, AbortHandle>,
    waiters: HashMap<AttemptId, Vec<Waiter>>,
    index: PrefixIndex,
}

/// An entry that waits for a frame.
struct Waiter {
    from: u64,
    tx: oneshot::Sender<FramesReply>,
}

impl AgentActor {
    /// Builds the state of a new incarnation.
    pub(crate) fn new(settings: AgentSettings, backend: Backend) -> AgentActor {
        AgentActor {
            settings,
            backend,
            incarnation: AgentIncarnation(rand::random()),
            config: Arc::new(Configuration::default()),
            engine: None,
            leaving: false,
            attempts: AttemptTable::default(),
            runs: HashMap::new(),
            waiters: HashMap::new(),
            index: PrefixIndex::default(),
        }
    }

    fn kind(&self) -> Option<BackendKind> {
        match self.settings.kind {
            BackendRole::Service => Some(BackendKind::Service),
            BackendRole::Engine => self.engine.as_ref().map(|status| BackendKind::Engine {
                incarnation: Some(status.incarnation),
                model: status.model.clone(),
                version: status.version,
            }),
        }
    }

    /// Returns why an attempt cannot be taken, if so.
    fn refusal(&self, now: Timestamp, req: &RunRequest) -> Option<NotRunReason> {
        if self.leaving {
            return Some(NotRunReason::Leaving);
        }
        if req.agent != self.incarnation {
            return Some(NotRunReason::StaleBackendServer);
        }
        if self.config.offset > req.config_offset {
            return Some(NotRunReason::StaleConfiguration);
        }
        if now > req.deadline {
            return Some(NotRunReason::DeadlinePassed);
        }
        match &req.work {
            Work::Service(_) => None,
            Work::Chat(chat) => match &self.engine {
                Some(engine)
                    if Some(engine.incarnation) == req.engine
                        && engine.model == chat.model
                        && engine.version == chat.version =>
                {
                    None
                }
                _ => Some(NotRunReason::StaleBackendServer),
            },
        }
    }

    fn push(&mut self, id: AttemptId, kind: FrameKind) {
        let is_last = kind.is_last();
        if !self.attempts.push(Timestamp::now(), id, kind) {
            return;
        }
        if is_last {
            self.runs.remove(&id);
        }
        for waiter in self.waiters.remove(&id).unwrap_or_default() {
            let frames = self.attempts.frames(id, waiter.from).unwrap_or_default();
            let _ = waiter.tx.send(FramesReply::Frames(frames));
        }
    }
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
            leaving: self.leaving,
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
                self.index.matched(*engine, &msg.0.hashes)
            }
            _ => 0,
        };
        let load = self.attempts.running();
        let wait_us = u64::from(load) * run::WAIT_US_PER_ATTEMPT;
        Some(ProbeReply {
            matched,
            load,
            wait_us,
            accepting: !self.leaving,
            agent: self.incarnation,
            kind,
            config_offset: self.config.offset,
        })
    }
}

/// Starts an attempt.
pub(crate) struct Start(pub(crate) RunRequest);

impl Message<Start> for AgentActor {
    type Reply = Box<StartReply>;

    async fn handle(&mut self, msg: Start, cx: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = Timestamp::now();
        let req = msg.0;
        if let Some(reason) = self.refusal(now, &req) {
            self.attempts.settle(now, req.attempt, req.start_before);
            return Box::new(StartReply::NotRun { reason, retry_at: None });
        }
        match self.attempts.start(now, req.attempt, req.start_before) {
            StartVerdict::Known => {}
            StartVerdict::Refused => {
                let reason = NotRunReason::Cancelled;
                return Box::new(StartReply::NotRun { reason, retry_at: None });
            }
            StartVerdict::Run => {
                let id = req.attempt;
                let task =
                    tokio::spawn(run::run(self.backend.clone(), req, cx.actor_ref().clone()));
                self.runs.insert(id, task.abort_handle());
            }
        }
        Box::new(StartReply::Accepted)
    }
}

/// Adds a frame to a running attempt.
pub(crate) struct Push {
    pub(crate) id: AttemptId,
    pub(crate) kind: FrameKind,
}

impl Message<Push> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: Push, _: &mut Context<Self, Self::Reply>) {
        self.push(msg.id, msg.kind);
    }
}

/// Notes that an engine holds pieces.
pub(crate) struct Cached {
    pub(crate) engine: EngineIncarnation,
    pub(crate) pieces: Vec<PieceHash>,
}

impl Message<Cached> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: Cached, _: &mut Context<Self, Self::Reply>) {
        self.index.insert(msg.engine, &msg.pieces, Timestamp::now());
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
        let reply = match self.attempts.frames(msg.id, msg.from) {
            None => FramesReply::NoAttempt,
            Some(frames) if frames.is_empty() => {
                let waiters = self.waiters.entry(msg.id).or_default();
                waiters.retain(|waiter| !waiter.tx.is_closed());
                waiters.push(Waiter { from: msg.from, tx: msg.tx });
                return;
            }
            Some(frames) => FramesReply::Frames(frames),
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
            Settled::NotStarted => Box::new(SettleReply::NotStarted),
            Settled::Started => Box::new(SettleReply::Started),
        }
    }
}

/// Cancels an attempt.
pub(crate) struct Cancel(pub(crate) AttemptId);

impl Message<Cancel> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: Cancel, _: &mut Context<Self, Self::Reply>) {
        let Some(task) = self.runs.remove(&msg.0) else { return };
        task.abort();
        if let Backend::Engine(engine) = self.backend.clone() {
            tokio::spawn(async move { engine.cancel(msg.0).await });
        }
        let outcome = Outcome::Failed { message: "the request was cancelled".to_owned() };
        self.push(msg.0, FrameKind::Error { outcome, backend_lost: false });
    }
}

/// Tells the agent which configuration is in force.
pub(crate) struct SeeConfig(pub(crate) Arc<Configuration>);

impl Message<SeeConfig> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: SeeConfig, _: &mut Context<Self, Self::Reply>) {
        if msg.0.offset > self.config.offset || self.config.offset == LogOffset(0) {
            self.config = msg.0;
        }
    }
}

/// Tells the agent what its engine says, `None` if it cannot be reached.
pub(crate) struct SeeEngine(pub(crate) Option<EngineStatus>);

impl Message<SeeEngine> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: SeeEngine, _: &mut Context<Self, Self::Reply>) {
        self.engine = msg.0;
    }
}

/// Tells the agent to take no new work.
pub(crate) struct Leave;

impl Message<Leave> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, Self::Reply>) {
        self.leaving = true;
    }
}

/// Asks whether no attempt runs.
pub(crate) struct Drained;

impl Message<Drained> for AgentActor {
    type Reply = bool;

    async fn handle(&mut self, _: Drained, _: &mut Context<Self, Self::Reply>) -> bool {
        self.attempts.running() == 0
    }
}

/// Forgets what is no longer needed.
pub(crate) struct Sweep;

impl Message<Sweep> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: Sweep, _: &mut Context<Self, Self::Reply>) {
        self.attempts.sweep(Timestamp::now());
    }
}
