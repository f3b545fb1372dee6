//! Faults that tests and experiments inject into stand-ins.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use dogwoodway_http::{Body, json_response, text_response};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use crate::{engine::StreamFault, read_json};

/// Faults of a stand-in, as set by `POST /fault`; each call replaces all of them, and a field that
/// is left out is reset.
///
/// `/fault` itself and the endpoints that only tests use, such as an engine's `GET /journal` and a
/// service's `GET /calls`, are not subject to faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuse all calls with status 503, after the delay.
    pub down: bool,
    /// Delay in milliseconds before each call is executed or refused.
    pub delay_ms: u32,
    /// Number of further calls that take effect, but are answered with status 504 in place of their
    /// response. Applies to a service's `POST` calls, an engine's orders, the log's appends and all
    /// calls to the KV store.
    pub lose_answers: u32,
    /// Fault of the next [`streams`](Faults::streams) streamed answers of an engine.
    pub stream: StreamFault,
    /// Number of further streamed answers that get the fault.
    pub streams: u32,
}

/// Current faults of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct FaultInjector(Mutex<Faults>);

impl FaultInjector {
    /// Handles `POST /fault`, which sets the faults, and `GET /fault`, which returns them with the
    /// remaining counts.
    pub(crate) async fn handle_request(&self, req: Request<Incoming>) -> Response<Body> {
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

    /// Returns the fault of the next streamed answer and decrements the count of such faults.
    pub(crate) fn next_stream_fault(&self) -> StreamFault {
        let mut faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if faults.streams == 0 {
            return StreamFault::None;
        }
        faults.streams -= 1;
        faults.stream
    }

    pub(crate) fn set(&self, faults: Faults) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Applies the faults that precede a call's execution: the delay and the refusal. The error is
    /// the response to send in that case.
    pub(crate) async fn before_call(&self) -> Result<(), Box<Response<Body>>> {
        let faults = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        tokio::time::sleep(Duration::from_millis(u64::from(faults.delay_ms))).await;
        match faults.down {
            true => Err(Box::new(text_response(StatusCode::SERVICE_UNAVAILABLE, "down"))),
            false => Ok(()),
        }
    }

    /// Applies the faults that follow a call's execution: replaces the response if it is to be
    /// lost.
    pub(crate) fn after_call(&self, resp: Response<Body>) -> Response<Body> {
        let mut faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if faults.lose_answers == 0 {
            return resp;
        }
        faults.lose_answers -= 1;
        text_response(StatusCode::GATEWAY_TIMEOUT, "the answer was lost")
    }
}
