//! The load tool: sends a seeded workload through running entries and measures the answers.
//!
//! The arrival times are open-loop: requests are sent on schedule even while earlier ones are
//! unanswered.

mod cache_audit;
mod client;
mod plot;
mod report;
mod scenario;
mod workload;

pub use crate::load::{
    cache_audit::{CacheAudit, audit_cache},
    report::{ClassReport, LoadReport, comparison_table},
    scenario::{FaultKind, FleetSizes, RequestClass, Scenario, ScheduledFault},
    workload::{PlannedRequest, plan_requests},
};

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodway_http::HttpClient;
use dogwoodway_types::Timestamp;
use hyper::Method;

use crate::{JournalRecord, load::client::LoadClient};

/// Timeout for calls to stand-ins, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 10_000;

/// The processes that a run talks to.
#[derive(Clone, Debug)]
pub struct LoadTargets {
    /// Base URLs of the entries, over which requests are spread at random.
    pub entries: Vec<String>,
    /// Base URLs of the engine stand-ins, from which the journals are read.
    pub engines: Vec<String>,
    /// Base URL of the log stand-in, which takes some of the faults.
    pub log: String,
}

/// Runs a scenario and reports its measurements.
///
/// `load` is the offered load as a fraction of [`Scenario::capacity_rps`]; `name` labels the
/// report.
///
/// # Errors
///
/// Fails if an entry does not become ready or if the journal of an engine cannot be read. Requests
/// that fail are part of the report.
pub async fn run_load(
    scenario: &Scenario,
    targets: &LoadTargets,
    load: f64,
    name: &str,
) -> Result<LoadReport, String> {
    let http = HttpClient::new();
    let client = Arc::new(LoadClient::new(http.clone(), scenario.model.clone()));
    client.wait_until_ready(&targets.entries, scenario).await?;
    let faults = tokio::spawn(inject_faults(http.clone(), scenario.clone(), targets.clone()));
    let planned = plan_requests(scenario, load, targets.entries.len());
    let start = Instant::now();
    let warmup = Duration::from_secs(u64::from(scenario.warmup_s));
    let measured_from = Timestamp::now() + warmup;
    let mut calls = Vec::with_capacity(planned.len());
    for request in planned {
        let arrival = start + Duration::from_micros(request.arrival_us);
        tokio::time::sleep_until(arrival.into()).await;
        let entry = targets.entries[request.entry].clone();
        let (client, scenario) = (client.clone(), scenario.clone());
        calls.push(tokio::spawn(async move { client.send(&entry, &scenario, &request).await }));
    }
    let mut measurements = Vec::with_capacity(calls.len());
    for call in calls {
        measurements.push(call.await.map_err(|e| e.to_string())?);
    }
    faults.await.map_err(|e| e.to_string())?;
    let mut journals = Vec::new();
    for engine in &targets.engines {
        let url = format!("{engine}/journal");
        let timeout = Duration::from_millis(CONTROL_TIMEOUT_MS);
        let journal = http.json::<(), Vec<JournalRecord>>(Method::GET, &url, &(), timeout).await;
        journals.push(journal.map_err(|e| e.to_string())?);
    }
    Ok(LoadReport::new(name, scenario, load, &measurements, audit_cache(&journals, measured_from)))
}

/// Plots the times to first token of several runs over the course of the run, as SVG.
pub fn write_plot(reports: &[LoadReport], file: &Path) -> Result<(), String> {
    plot::write_svg(reports, file)
}

async fn inject_faults(http: HttpClient, scenario: Scenario, targets: LoadTargets) {
    let start = Instant::now();
    for fault in &scenario.faults {
        tokio::time::sleep_until((start + Duration::from_secs_f64(fault.at_s)).into()).await;
        let (url, body) = match fault.kind {
            FaultKind::Crash { engine } => match targets.engines.get(engine) {
                Some(engine) => (format!("{engine}/crash"), "{}"),
                None => continue,
            },
            FaultKind::LogDown => (format!("{}/fault", targets.log), r#"{"down":true}"#),
            FaultKind::LogUp => (format!("{}/fault", targets.log), "{}"),
        };
        let timeout = Duration::from_millis(CONTROL_TIMEOUT_MS);
        let body = Bytes::from_static(body.as_bytes());
        if let Err(e) = http.call(Method::POST, &url, "application/json", body, timeout).await {
            log::warn!("failed to inject the fault at {} s: POST {url}: {e}", fault.at_s);
        }
    }
}
