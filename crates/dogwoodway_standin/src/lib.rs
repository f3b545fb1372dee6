//! Stand-ins for the external systems around the router, and the load and benchmark tools. They
//! serve development and tests only and are never shipped.
//!
//! Each stand-in is a small HTTP server. `POST /fault` injects faults into it; see [`Faults`].

mod config_bench;
mod decision;
mod demo;
mod engine;
mod fault;
mod kv_store;
mod load;
mod log_service;
mod overhead;
pub mod crash_storm;
pub mod simulation;
pub mod stream_origins;
mod service;
mod scaling;
mod vm_list;

pub use crate::{
    config_bench::{
        ConfigPropagation, ConfigRecovery, measure_config_propagation, measure_config_recovery,
    },
    decision::{DecisionTimes, measure_decisions},
    demo::{DemoTargets, run_demo},
    engine::{
        Batch, BatchLimits, CacheChange, EngineOptions, Journal, JournalKind, JournalRecord,
        PieceCache, ScheduledRequest, StepPlan, StreamFault, engine_handler,
    },
    fault::Faults,
    kv_store::kv_store_handler,
    load::{
        CacheAudit, ClassReport, FaultKind, FleetSizes, LoadReport, LoadTargets, PlannedRequest,
        RequestClass, Scenario, ScheduledFault, audit_cache, comparison_table, plan_requests,
        run_load, write_plot,
    },
    log_service::{LogFaults, log_handler},
    overhead::{Overhead, OverheadTargets, measure_overhead},
    scaling::{LinearFit, ProcessUsage, ScalingMeasurement, measure_scaling, process_usage},
    service::service_handler,
    vm_list::vm_list_handler,
};

use dogwoodway_http::{Body, text_response};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::de::DeserializeOwned;

/// Decodes the JSON body of a request; the error is a response with status 400.
pub(crate) async fn read_json<T>(req: Request<Incoming>) -> Result<T, Box<Response<Body>>>
where
    T: DeserializeOwned,
{
    let bad_request = |e: String| Box::new(text_response(StatusCode::BAD_REQUEST, &e));
    let body = req.into_body().collect().await.map_err(|e| bad_request(e.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|e| bad_request(e.to_string()))
}
