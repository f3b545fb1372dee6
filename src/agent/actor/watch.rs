//! Messages of the tasks that watch the configuration, the engine and the time.

use std::sync::Arc;

use dogwoodway_engine::EngineStatus;
use dogwoodway_types::{Configuration, LogOffset, Timestamp};
use kameo::message::{Context, Message};

use crate::agent::actor::AgentActor;

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

    async fn handle(&mut self, msg: SeeEngine, cx: &mut Context<Self, Self::Reply>) {
        if let Some(status) = &msg.0 {
            self.runs.note_engine(Timestamp::now());
            self.admission.see_engine(status);
        }
        self.engine_up = msg.0.is_some();
        self.engine = msg.0.or_else(|| self.engine.take());
        self.run_next(cx.actor_ref());
    }
}

/// Tells whether the engine is about to load, or loads, other weights: then it gets no new work.
pub(crate) struct SetLoading(pub(crate) bool);

impl Message<SetLoading> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetLoading, _: &mut Context<Self, Self::Reply>) {
        self.loading = msg.0;
    }
}

/// Ends attempts that make no progress or have lost their entry, and forgets old ones.
pub(crate) struct Sweep;

impl Message<Sweep> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: Sweep, cx: &mut Context<Self, Self::Reply>) {
        let now = Timestamp::now();
        for (id, refusal) in self.admission.expire(now) {
            self.refuse(id, refusal);
        }
        for id in self.runs.stalled(now) {
            self.end_chat(id, "the engine stopped to make progress", !self.engine_up);
        }
        for id in self.attempts.orphans(now) {
            self.end_chat(id, "the entry stopped to read the answer", false);
        }
        self.attempts.sweep(now);
        self.run_next(cx.actor_ref());
    }
}
