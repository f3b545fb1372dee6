//! The weights that an engine stand-in has loaded, and the orders that change them.

use std::time::Duration;

use dogwoodway_engine::LoadOrder;
use dogwoodway_http::{Body, json_response, text_response};
use dogwoodway_types::{LogOffset, ModelName, Timestamp, WeightsVersion};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::engine::EngineOptions;

/// Time that new weights take to load.
const LOAD_MS: u64 = 500;

/// Body of `POST /control`: changes that come without an order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Control {
    /// Replaces the weights at once, under the requests that run and wait.
    version: Option<WeightsVersion>,
    /// Whether orders with an old fencing number are refused.
    checks_fencing: Option<bool>,
}

/// The weights loaded and the orders executed.
#[derive(Debug)]
pub(crate) struct Orders {
    model: ModelName,
    version: WeightsVersion,
    loading: Option<Loading>,
    checks_fencing: bool,
    highest: LogOffset,
    executed: Vec<LoadOrder>,
}

#[derive(Clone, Copy, Debug)]
struct Loading {
    version: WeightsVersion,
    done_at: Timestamp,
}

impl Orders {
    /// Builds the state of an engine that checks fencing numbers.
    pub(crate) fn new(options: &EngineOptions) -> Orders {
        Orders {
            model: options.model.clone(),
            version: options.version,
            loading: None,
            checks_fencing: true,
            highest: LogOffset(0),
            executed: Vec::new(),
        }
    }

    /// Returns the version that the engine reports: the old one until the new one is loaded.
    pub(crate) fn version(&mut self, now: Timestamp) -> WeightsVersion {
        if let Some(loading) = self.loading.filter(|loading| loading.done_at <= now) {
            self.version = loading.version;
            self.loading = None;
        }
        self.version
    }

    /// Returns the version that requests can run on, `None` while one is being loaded.
    pub(crate) fn usable_version(&mut self, now: Timestamp) -> Option<WeightsVersion> {
        let version = self.version(now);
        self.loading.is_none().then_some(version)
    }

    /// Applies a control call and answers with the orders executed so far.
    pub(crate) fn control(&mut self, control: &Control) -> Response<Body> {
        if let Some(version) = control.version {
            self.version = version;
            self.loading = None;
        }
        self.checks_fencing = control.checks_fencing.unwrap_or(self.checks_fencing);
        json_response(StatusCode::OK, &self.executed)
    }

    /// Begins to load what is ordered, or says why not.
    pub(crate) fn order(
        &mut self,
        now: Timestamp,
        order: &LoadOrder,
    ) -> Result<(), Box<Response<Body>>> {
        if self.checks_fencing && order.fencing < self.highest {
            let resp = text_response(StatusCode::PRECONDITION_FAILED, "old fencing number");
            return Err(Box::new(resp));
        }
        if order.model != self.model {
            return Err(Box::new(text_response(StatusCode::NOT_FOUND, "no such model")));
        }
        self.highest = self.highest.max(order.fencing);
        self.executed.push(order.clone());
        let done_at = now + Duration::from_millis(LOAD_MS);
        self.loading = Some(Loading { version: order.version, done_at });
        Ok(())
    }
}
