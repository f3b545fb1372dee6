//! Disturbances of a simulation: engines that are lost, drained or faulty, and new weights.

use std::time::Duration;

use dogwoodway_routing::direct::health::HealthSignal;
use dogwoodway_types::Timestamp;

use crate::simulation::{
    engine::{Engine, WEIGHTS_LOAD_MS},
    pattern::{DISTURBANCE_END_S, DISTURBANCE_START_S, LoadPattern},
    policy::EngineState,
    simulator::{Event, LOSS_DETECTION_MS, START_TIME, Simulator},
};

/// A change of the state of engines, or its discovery by routers.
#[derive(Clone, Copy)]
pub(super) enum FleetEvent {
    EngineLost(usize),
    EngineLossDetected(usize),
    EngineRestored(usize),
    EngineDrained(usize),
    /// The engine starts or stops failing most of its requests.
    EngineFaulty(usize, bool),
    WeightsPublished(u32),
    WeightsLoaded(usize, u32),
}

impl Simulator {
    /// Schedules the events of the load pattern that concern engines.
    pub(super) fn schedule_disturbances(&mut self) {
        let engines = self.config.engines;
        let at = |s: f64| START_TIME + Duration::from_secs_f64(s);
        let third = engines / 3;
        match self.config.pattern {
            LoadPattern::EngineLoss => {
                for engine in 0..third {
                    self.schedule(
                        at(DISTURBANCE_START_S),
                        Event::Fleet(FleetEvent::EngineLost(engine)),
                    );
                    self.schedule(
                        at(DISTURBANCE_END_S),
                        Event::Fleet(FleetEvent::EngineRestored(engine)),
                    );
                }
            }
            LoadPattern::GrayFailures => {
                for engine in 0..third.div_ceil(2) {
                    self.schedule(
                        at(DISTURBANCE_START_S),
                        Event::Fleet(FleetEvent::EngineFaulty(engine, true)),
                    );
                    self.schedule(
                        at(DISTURBANCE_END_S),
                        Event::Fleet(FleetEvent::EngineFaulty(engine, false)),
                    );
                }
            }
            LoadPattern::RollingDrain => {
                for engine in 0..third {
                    let start_s = DISTURBANCE_START_S + 2.0 * engine as f64;
                    self.schedule(at(start_s), Event::Fleet(FleetEvent::EngineDrained(engine)));
                    self.schedule(
                        at(start_s + 3.0),
                        Event::Fleet(FleetEvent::EngineRestored(engine)),
                    );
                }
            }
            LoadPattern::WeightsRollout => {
                for (n, s) in
                    [DISTURBANCE_START_S, DISTURBANCE_START_S + 3.5, DISTURBANCE_START_S + 7.0]
                        .into_iter()
                        .enumerate()
                {
                    self.schedule(at(s), Event::Fleet(FleetEvent::WeightsPublished(n as u32 + 2)));
                }
            }
            _ => {}
        }
    }

    pub(super) fn handle_fleet_event(&mut self, now: Timestamp, event: FleetEvent) {
        match event {
            FleetEvent::EngineLost(engine) => {
                self.engines[engine].is_up = false;
                for request in self.engines[engine].crash() {
                    self.fail_request(now, request, HealthSignal::ConnectionLost);
                }
                let detected_at = now + Duration::from_millis(LOSS_DETECTION_MS);
                self.schedule(detected_at, Event::Fleet(FleetEvent::EngineLossDetected(engine)));
            }
            FleetEvent::EngineLossDetected(engine) => {
                self.policy.record_engine_state(now, engine, EngineState::Lost);
            }
            FleetEvent::EngineRestored(engine) => {
                let version = self.engines[engine].version;
                let mut restored = Engine::new();
                (restored.version, restored.incarnation) =
                    (version, self.engines[engine].incarnation + 1);
                for request in self.engines[engine].crash() {
                    self.fail_request(now, request, HealthSignal::ConnectionLost);
                }
                self.engines[engine] = restored;
                self.policy.record_engine_state(now, engine, EngineState::Restored);
            }
            FleetEvent::EngineDrained(engine) => {
                self.engines[engine].is_draining = true;
                self.policy.record_engine_state(now, engine, EngineState::Draining);
            }
            FleetEvent::EngineFaulty(engine, is_faulty) => {
                self.engines[engine].is_faulty = is_faulty;
            }
            FleetEvent::WeightsPublished(version) => {
                self.published_version = version;
                self.policy.record_published_weights(now, version);
            }
            FleetEvent::WeightsLoaded(engine, version) => {
                let state = &mut self.engines[engine];
                state.version = version;
                state.is_loading = false;
                state.cache.clear();
                self.loading_engines.remove(&engine);
                self.policy.record_engine_state(now, engine, EngineState::Loaded(version));
                self.wake(now, engine);
            }
        }
    }

    /// Orders engines to load new weights. Each one starts to load when its batch is empty.
    pub(super) fn load_published_weights(&mut self, now: Timestamp) {
        for engine in self.policy.engines_to_load(now, &self.engines, self.published_version) {
            let state = &mut self.engines[engine];
            if state.is_up && !state.is_loading {
                state.is_loading = true;
                self.policy.record_engine_state(now, engine, EngineState::Loading);
            }
        }
        let loading = self.engines.iter().filter(|engine| engine.is_loading).count();
        for engine in 0..self.engines.len() {
            let state = &mut self.engines[engine];
            let is_due = state.is_loading
                && state.is_batch_empty()
                && state.version < self.published_version;
            if is_due && self.loading_engines.insert(engine) {
                // Engines that load at the same time share the source of the weights.
                let slowdown = (loading as f64 / 2.0).max(1.0).sqrt();
                let duration = Duration::from_millis(WEIGHTS_LOAD_MS).mul_f64(slowdown);
                self.schedule(
                    now + duration,
                    Event::Fleet(FleetEvent::WeightsLoaded(engine, self.published_version)),
                );
            }
        }
    }
}
