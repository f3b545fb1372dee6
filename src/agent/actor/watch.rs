//! Messages from the tasks that follow the configuration, poll the engine, load weights and sweep
//! attempts.

use std::sync::Arc;

use dogwoodway_engine::EngineStatus;
use dogwoodway_routing::queue::Refusal;
use dogwoodway_types::{Configuration, LogOffset, NotRunReason, Timestamp};
use kameo::message::{Context, Message};

use crate::agent::actor::AgentActor;

/// Reports the configuration in force. Queued attempts that it no longer allows are refused, so that
/// their entries place them anew.
pub(crate) struct ConfigChanged(pub(crate) Arc<Configuration>);

impl Message<ConfigChanged> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: ConfigChanged, cx: &mut Context<Self, Self::Reply>) {
        if msg.0.offset <= self.config.offset && self.config.offset != LogOffset(0) {
            return;
        }
        self.config = msg.0;
        for id in self.disallowed_attempts() {
            let (reason, retry_at) = (NotRunReason::StaleConfiguration, Timestamp::now());
            self.refuse(id, Refusal { reason, retry_at });
        }
        self.dispatch_queued(cx.actor_ref());
    }
}

/// Reports the engine's status, `None` if it could not be read.
pub(crate) struct EngineStatusRead(pub(crate) Option<EngineStatus>);

impl Message<EngineStatusRead> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: EngineStatusRead, cx: &mut Context<Self, Self::Reply>) {
        if let Some(status) = &msg.0 {
            self.running.record_engine_reply(Timestamp::now());
            self.admission.update_engine(status);
        }
        self.engine_reachable = msg.0.is_some();
        self.engine_status = msg.0.or_else(|| self.engine_status.take());
        self.dispatch_queued(cx.actor_ref());
    }
}

/// Sets whether the engine is about to load other weights, or loads them. New attempts are refused
/// until it has loaded them.
pub(crate) struct SetLoading(pub(crate) bool);

impl Message<SetLoading> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, msg: SetLoading, _: &mut Context<Self, Self::Reply>) {
        self.loading = msg.0;
    }
}

/// Ends queued attempts that can no longer meet their deadline, and running ones that make no
/// progress or were abandoned by their entry. Also removes old ones from the table of attempts.
pub(crate) struct Sweep;

impl Message<Sweep> for AgentActor {
    type Reply = ();

    async fn handle(&mut self, _: Sweep, cx: &mut Context<Self, Self::Reply>) {
        let now = Timestamp::now();
        for (id, refusal) in self.admission.expire(now) {
            self.refuse(id, refusal);
        }
        for id in self.running.stalled(now) {
            self.abort_attempt(id, "the engine stopped to make progress", !self.engine_reachable);
        }
        for id in self.attempts.orphans(now) {
            self.abort_attempt(id, "the entry stopped to read the answer", false);
        }
        self.attempts.sweep(now);
        self.dispatch_queued(cx.actor_ref());
    }
}
