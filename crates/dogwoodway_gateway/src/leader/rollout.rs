//! The leader's roll-out of new weights: reports and orders of each engine that has to load them.

use std::time::Duration;

use dogwoodway_routing::direct::{
    fleet::BackendKey,
    rollout::{EngineWeights, engines_to_load},
};
use dogwoodway_types::{ModelName, Timestamp, WeightsVersion};

use crate::{
    clock,
    fleet_actor::{EngineTarget, GetRolloutState, UpdateWeightsState, WeightsState},
    leader::{Event, Leader, send_event},
    metric,
    platform_api::{EngineReport, LoadOrder, OrderOutcome},
};

/// Time from an accepted order to the first check whether the weights are loaded, in milliseconds.
/// A load takes at least some 430 ms, and reports are 100 ms old.
const FIRST_POLL_DELAY_MS: u64 = 540;

/// Interval between further checks, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Time after which an accepted order is considered to have had no effect, in milliseconds. It
/// includes the requests in progress, which the engine finishes first.
const LOAD_TIMEOUT_MS: u64 = 6_000;

/// Time after which an order without a response is considered to have had no effect, in
/// milliseconds. It is shorter than [`LOAD_TIMEOUT_MS`], because the order may have been lost.
const UNACKNOWLEDGED_TIMEOUT_MS: u64 = 900;

/// Pause before the next try if an engine is busy, refuses an order or does not report, in
/// milliseconds.
const RETRY_PAUSE_MS: u64 = 250;

/// Consecutive reports of an engine that may fail before its load is given up.
const MAX_FAILED_REPORTS: u32 = 4;

/// How far a [`PendingLoad`] is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadStep {
    /// Waiting for a report that says how many orders the engine has accepted.
    Querying,
    /// Waiting for the response to the order.
    Ordering,
    /// The engine is loading, or may be.
    Loading { poll_at: Timestamp, give_up_at: Timestamp },
    /// Waiting for a report that says whether the weights are loaded.
    Verifying { give_up_at: Timestamp },
    /// Waiting before the next try.
    BackingOff { until: Timestamp },
}

/// A load of new weights by one engine, from the first report to the loaded weights.
#[derive(Debug)]
pub(super) struct PendingLoad {
    target: EngineTarget,
    step: LoadStep,
    /// Orders that the engine had accepted at its last report; the precondition of the next order.
    accepted_orders: u64,
    /// Consecutive reports that failed.
    failures: u32,
    /// Whether the last order was not answered, and the engine has not reported since that it is busy. The
    /// order may have been lost, or may be carried out at any time.
    has_unanswered_order: bool,
}

impl PendingLoad {
    fn version(&self) -> WeightsVersion {
        self.target.weights.newest
    }

    fn model(&self) -> &ModelName {
        &self.target.weights.model
    }
}

impl Leader {
    /// Gives up all pending loads, since this router leads no longer.
    pub(super) async fn abandon_loads(&mut self) {
        for (server, _) in std::mem::take(&mut self.pending_loads) {
            self.update_weights_state(server, None, WeightsState::LoadFailed).await;
        }
    }

    /// Starts the loads that are due, and drops those of engines that have left the fleet or want no
    /// calls. The latter begin anew once they accept calls again.
    pub(super) async fn start_due_loads(&mut self) {
        let targets = match self.config.fleet.ask(GetRolloutState).await {
            Ok(targets) => targets,
            Err(e) => {
                log::error!("fleet actor did not return the roll-out state: {e}");
                return;
            }
        };
        self.pending_loads.retain(|key, load| {
            let target = targets.iter().find(|target| target.weights.server == *key);
            if let (Some(target), LoadStep::Querying | LoadStep::BackingOff { .. }) =
                (target, load.step)
            {
                load.target = target.clone();
            }
            target.is_some_and(|target| target.accepts_calls)
        });
        let engines: Vec<_> = targets
            .iter()
            .map(|target| EngineWeights {
                is_loading: self
                    .pending_loads
                    .get(&target.weights.server)
                    .is_some_and(|load| !load.has_unanswered_order),
                has_unanswered_order: self
                    .pending_loads
                    .get(&target.weights.server)
                    .is_some_and(|load| load.has_unanswered_order),
                ..target.weights.clone()
            })
            .collect();
        let due: Vec<_> =
            engines_to_load(&engines).into_iter().map(|engine| engine.server).collect();
        for server in due {
            let target = targets.iter().find(|target| target.weights.server == server);
            let Some(target) = target.cloned() else { continue };
            let load = PendingLoad {
                target,
                step: LoadStep::Querying,
                accepted_orders: 0,
                failures: 0,
                has_unanswered_order: false,
            };
            self.request_report(&load);
            self.pending_loads.insert(server, load);
        }
    }

    /// Requests a report for each load that is due for one.
    pub(super) fn poll_loads(&mut self) {
        let now = clock::now();
        let mut due = Vec::new();
        for (server, load) in &mut self.pending_loads {
            match load.step {
                LoadStep::Loading { poll_at, give_up_at } if poll_at <= now => {
                    load.step = LoadStep::Verifying { give_up_at };
                    due.push(*server);
                }
                LoadStep::BackingOff { until } if until <= now => {
                    load.step = LoadStep::Querying;
                    due.push(*server);
                }
                _ => {}
            }
        }
        for server in due {
            self.request_report(&self.pending_loads[&server]);
        }
    }

    fn request_report(&self, load: &PendingLoad) {
        let (control, events) = (self.config.control.clone(), self.events.clone());
        let target = Box::new(load.target.clone());
        tokio::spawn(async move {
            let answer = control.report(&target.name, target.address).await;
            send_event(&events, Event::Reported { target, answer }).await;
        });
    }

    pub(super) async fn handle_report(
        &mut self,
        server: BackendKey,
        report: Result<EngineReport, String>,
    ) {
        let now = clock::now();
        let Some(load) = self.pending_loads.get_mut(&server) else { return };
        let report = match report {
            Ok(report) => report,
            Err(why) => return self.handle_report_error(server, why).await,
        };
        load.failures = 0;
        let serves = report.weights.iter().find(|(model, _)| model == load.model());
        let is_loaded = serves.is_some_and(|(_, version)| *version >= load.version());
        if load.has_unanswered_order && report.is_busy {
            load.has_unanswered_order = false;
            let state = WeightsState::Loading(load.version());
            self.update_weights_state(server, None, state).await;
        }
        let Some(load) = self.pending_loads.get_mut(&server) else { return };
        if is_loaded && !report.is_busy {
            let (model, version) = (load.model().clone(), load.version());
            log::info!(server:% = load.target.name, version = version.0; "weights loaded");
            self.pending_loads.remove(&server);
            return self
                .update_weights_state(server, Some(model), WeightsState::Loaded(version))
                .await;
        }
        match load.step {
            LoadStep::Querying if report.is_busy => {
                let until = now + Duration::from_millis(RETRY_PAUSE_MS);
                load.step = LoadStep::BackingOff { until };
            }
            LoadStep::Querying => {
                load.accepted_orders = report.accepted_orders;
                self.send_order(now, server).await;
            }
            LoadStep::Verifying { give_up_at } if now < give_up_at || report.is_busy => {
                let poll_at = now + Duration::from_millis(POLL_INTERVAL_MS);
                load.step = LoadStep::Loading { poll_at, give_up_at };
            }
            LoadStep::Verifying { .. } => {
                log::warn!(server:% = load.target.name;
                    "order to load new weights had no effect, sending it again");
                load.accepted_orders = report.accepted_orders;
                self.send_order(now, server).await;
            }
            LoadStep::Ordering | LoadStep::Loading { .. } | LoadStep::BackingOff { .. } => {}
        }
    }

    async fn handle_report_error(&mut self, server: BackendKey, why: String) {
        let now = clock::now();
        let Some(load) = self.pending_loads.get_mut(&server) else { return };
        log::debug!("no weights report from {}: {why}", load.target.name);
        load.failures += 1;
        let pause = Duration::from_millis(RETRY_PAUSE_MS);
        match load.step {
            _ if load.failures > MAX_FAILED_REPORTS => {
                self.pending_loads.remove(&server);
                self.update_weights_state(server, None, WeightsState::LoadFailed).await;
            }
            LoadStep::Verifying { give_up_at } => {
                load.step = LoadStep::Loading { poll_at: now + pause, give_up_at };
            }
            _ => load.step = LoadStep::BackingOff { until: now + pause },
        }
    }

    /// Orders an engine to load new weights, if this router still leads.
    async fn send_order(&mut self, now: Timestamp, server: BackendKey) {
        let Some(load) = self.pending_loads.get_mut(&server) else { return };
        let Some(fence) = self.leadership.fencing_token(now) else {
            self.pending_loads.remove(&server);
            return;
        };
        self.leadership.record_order();
        load.step = LoadStep::Ordering;
        let order = LoadOrder {
            server: load.target.name.clone(),
            address: load.target.address,
            model: load.model().clone(),
            version: load.version(),
            holder: self.config.router.to_string(),
            fencing_token: fence.ordinal(),
            expected_orders: load.accepted_orders,
        };
        log::info!(server:% = order.server, version = order.version.0, fence = order.fencing_token,
            after = order.expected_orders, running = load.target.weights.running;
            "engine ordered to load new weights");
        let (control, events) = (self.config.control.clone(), self.events.clone());
        let target = Box::new(load.target.clone());
        tokio::spawn(async move {
            let answer = control.load_weights(order).await;
            send_event(&events, Event::Ordered { target, answer }).await;
        });
    }

    pub(super) async fn handle_order_outcome(&mut self, server: BackendKey, outcome: OrderOutcome) {
        let now = clock::now();
        self.leadership.record_order_end(now);
        metrics::counter!(metric::ORDERS, "answer" => outcome_label(outcome)).increment(1);
        let Some(load) = self.pending_loads.get_mut(&server) else { return };
        log::info!(server:% = load.target.name, version = load.version().0, answer:? = outcome;
            "order answered");
        let after = |ms| now + Duration::from_millis(ms);
        load.has_unanswered_order = outcome == OrderOutcome::Unknown;
        match outcome {
            OrderOutcome::Accepted => {
                let (poll_at, give_up_at) = (after(FIRST_POLL_DELAY_MS), after(LOAD_TIMEOUT_MS));
                load.step = LoadStep::Loading { poll_at, give_up_at };
                // Until it has accepted the order, the engine serves.
                let state = WeightsState::Loading(load.version());
                self.update_weights_state(server, None, state).await;
            }
            OrderOutcome::AlreadyHolds => {
                load.step = LoadStep::Loading { poll_at: now, give_up_at: after(LOAD_TIMEOUT_MS) };
            }
            OrderOutcome::Unknown => {
                let (poll_at, give_up_at) =
                    (after(FIRST_POLL_DELAY_MS), after(UNACKNOWLEDGED_TIMEOUT_MS));
                load.step = LoadStep::Loading { poll_at, give_up_at };
            }
            OrderOutcome::Conflict => {
                load.step = LoadStep::BackingOff { until: after(RETRY_PAUSE_MS) };
            }
            OrderOutcome::Fenced | OrderOutcome::Rejected(_) => {
                self.pending_loads.remove(&server);
                self.update_weights_state(server, None, WeightsState::LoadFailed).await;
            }
        }
    }

    async fn update_weights_state(
        &self,
        server: BackendKey,
        model: Option<ModelName>,
        state: WeightsState,
    ) {
        if let Err(e) = self.config.fleet.tell(UpdateWeightsState { server, model, state }).await {
            log::error!("could not update the weights state of an engine: {e}");
        }
    }
}

fn outcome_label(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "accepted",
        OrderOutcome::AlreadyHolds => "already-holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::Rejected(_) => "rejected",
        OrderOutcome::Unknown => "unknown",
    }
}
