//! Faults that a test or an experiment sets in a stand-in.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use dogwoodway_http::{Body, json_response, text_response};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use crate::{engine::StreamFault, read_json};

/// Faults of a stand-in, as set by `POST /fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuse all calls with status 503.
    pub down: bool,
    /// Wait this many milliseconds before each answer.
    pub delay_ms: u32,
    /// Perform this many calls without answering them.
    pub lose_answers: u32,
    /// Fault of the next streamed answers of an engine.
    pub stream: StreamFault,
    /// Number of streamed answers that still get the fault.
    pub streams: u32,
}

/// Holds the faults of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct FaultSwitch(Mutex<Faults>);

impl FaultSwitch {
    /// Answers `POST /fault`, and `GET /fault` with the faults that are left.
    pub(crate) async fn set(&self, req: Request<Incoming>) -> Response<Body> {
        if req.method() == Method::GET {
            let faults = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
            return json_response(StatusCode::OK, &faults);
        }
        match read_json::<Faults>(req).await {
            Ok(faults) => {
                *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
                json_response(StatusCode::OK, &faults)
            }
            Err(resp) => *resp,
        }
    }

    /// Returns the fault of the next streamed answer.
    pub(crate) fn next_stream(&self) -> StreamFault {
        let mut faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if faults.streams == 0 {
            return StreamFault::None;
        }
        faults.streams -= 1;
        faults.stream
    }

    /// Sets the faults.
    pub(crate) fn replace(&self, faults: Faults) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Applies the faults that come before a call takes effect.
    pub(crate) async fn before(&self) -> Result<(), Box<Response<Body>>> {
        let faults = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        tokio::time::sleep(Duration::from_millis(u64::from(faults.delay_ms))).await;
        match faults.down {
            true => Err(Box::new(text_response(StatusCode::SERVICE_UNAVAILABLE, "down"))),
            false => Ok(()),
        }
    }

    /// Applies the faults that come after a call took effect.
    pub(crate) fn after(&self, resp: Response<Body>) -> Response<Body> {
        let mut faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if faults.lose_answers == 0 {
            return resp;
        }
        faults.lose_answers -= 1;
        text_response(StatusCode::GATEWAY_TIMEOUT, "the answer was lost")
    }
}
