//! The weights version that an engine stand-in has loaded, and the orders that change it.

use std::time::Duration;

use dogwoodway_engine::LoadOrder;
use dogwoodway_http::{Body, json_response, text_response};
use dogwoodway_types::{LogOffset, ModelName, Timestamp, WeightsVersion};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::engine::EngineOptions;

/// Time to load a weights version, in milliseconds.
const WEIGHTS_LOAD_MS: u64 = 500;

/// Body of `POST /control`, which changes an engine's state without an order, for tests.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ControlRequest {
    /// Weights version to switch to immediately. Requests that run or wait are not interrupted, and
    /// a load in progress is abandoned.
    version: Option<WeightsVersion>,
    /// Whether to refuse orders with a fencing token lower than that of an order executed before.
    checks_fencing: Option<bool>,
}

/// The loaded weights, the load in progress and the orders executed so far.
#[derive(Debug)]
pub(crate) struct WeightsState {
    model: ModelName,
    version: WeightsVersion,
    pending_load: Option<PendingLoad>,
    checks_fencing: bool,
    highest_fencing_token: LogOffset,
    executed_orders: Vec<LoadOrder>,
}

#[derive(Clone, Copy, Debug)]
struct PendingLoad {
    version: WeightsVersion,
    completes_at: Timestamp,
}

impl WeightsState {
    /// Creates the state of an engine that checks fencing tokens and has executed no orders.
    pub(crate) fn new(options: &EngineOptions) -> WeightsState {
        WeightsState {
            model: options.model.clone(),
            version: options.version,
            pending_load: None,
            checks_fencing: true,
            highest_fencing_token: LogOffset(0),
            executed_orders: Vec::new(),
        }
    }

    /// Returns the version that the engine reports, which is the old one while a load is in
    /// progress.
    pub(crate) fn reported_version(&mut self, now: Timestamp) -> WeightsVersion {
        if let Some(load) = self.pending_load.filter(|load| load.completes_at <= now) {
            self.version = load.version;
            self.pending_load = None;
        }
        self.version
    }

    /// Returns the version that requests can run on, or `None` while a load is in progress.
    pub(crate) fn usable_version(&mut self, now: Timestamp) -> Option<WeightsVersion> {
        let version = self.reported_version(now);
        self.pending_load.is_none().then_some(version)
    }

    /// Applies a `POST /control` and responds with the orders executed so far.
    pub(crate) fn apply_control(&mut self, control: &ControlRequest) -> Response<Body> {
        if let Some(version) = control.version {
            self.version = version;
            self.pending_load = None;
        }
        self.checks_fencing = control.checks_fencing.unwrap_or(self.checks_fencing);
        json_response(StatusCode::OK, &self.executed_orders)
    }

    /// Starts to load the ordered weights version; the error is the response to a refused order.
    pub(crate) fn execute(
        &mut self,
        now: Timestamp,
        order: &LoadOrder,
    ) -> Result<(), Box<Response<Body>>> {
        if self.checks_fencing && order.fencing < self.highest_fencing_token {
            let resp = text_response(StatusCode::PRECONDITION_FAILED, "old fencing number");
            return Err(Box::new(resp));
        }
        if order.model != self.model {
            return Err(Box::new(text_response(StatusCode::NOT_FOUND, "no such model")));
        }
        self.highest_fencing_token = self.highest_fencing_token.max(order.fencing);
        self.executed_orders.push(order.clone());
        let completes_at = now + Duration::from_millis(WEIGHTS_LOAD_MS);
        self.pending_load = Some(PendingLoad { version: order.version, completes_at });
        Ok(())
    }
}
