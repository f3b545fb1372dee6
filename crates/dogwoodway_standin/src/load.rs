//! The load tool: a seeded workload over the real path, with measured outcomes.

mod client;
mod oracle;
mod plot;
mod report;
mod scenario;
mod workload;

pub use crate::load::{
    oracle::{CacheAudit, audit},
    report::{ClassReport, Report, compare},
    scenario::{ClassLoad, FaultAt, FaultKind, FleetSizes, Scenario},
    workload::{Planned, plan},
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

use crate::{JournalRecord, load::client::CallerClient};

const CONTROL_TIMEOUT_MS: u64 = 10_000;

/// Where a run sends its requests and faults.
#[derive(Clone, Debug)]
pub struct LoadTargets {
    /// Base URLs of the entries.
    pub entries: Vec<String>,
    /// Base URLs of the engine stand-ins.
    pub engines: Vec<String>,
    /// Base URL of the log stand-in.
    pub log: String,
}

/// Runs a scenario at a share of its capacity and measures it; `name` labels the run.
pub async fn run_load(
    scenario: &Scenario,
    targets: &LoadTargets,
    load: f64,
    name: &str,
) -> Result<Report, String> {
    let http = HttpClient::new();
    let client = Arc::new(CallerClient::new(http.clone(), scenario.model.clone()));
    client.wait_until_served(&targets.entries, scenario).await?;
    let faults = tokio::spawn(inject_faults(http.clone(), scenario.clone(), targets.clone()));
    let planned = plan(scenario, load, targets.entries.len());
    let begin = Instant::now();
    let warmup = Duration::from_secs(u64::from(scenario.warmup_s));
    let counted_from = Timestamp::now() + warmup;
    let mut calls = Vec::with_capacity(planned.len());
    for request in planned {
        let at = begin + Duration::from_micros(request.at_us);
        tokio::time::sleep_until(at.into()).await;
        let entry = targets.entries[request.entry].clone();
        let (client, scenario) = (client.clone(), scenario.clone());
        calls.push(tokio::spawn(async move { client.call(&entry, &scenario, &request).await }));
    }
    let mut measured = Vec::with_capacity(calls.len());
    for call in calls {
        measured.push(call.await.map_err(|e| e.to_string())?);
    }
    faults.await.map_err(|e| e.to_string())?;
    let mut journals = Vec::new();
    for engine in &targets.engines {
        let url = format!("{engine}/journal");
        let limit = Duration::from_millis(CONTROL_TIMEOUT_MS);
        let journal = http.json::<(), Vec<JournalRecord>>(Method::GET, &url, &(), limit).await;
        journals.push(journal.map_err(|e| e.to_string())?);
    }
    Ok(Report::new(name, scenario, load, &measured, audit(&journals, counted_from)))
}

/// Writes a plot of the first-token times of several runs.
pub fn write_plot(reports: &[Report], file: &Path) -> Result<(), String> {
    plot::write(reports, file)
}

async fn inject_faults(http: HttpClient, scenario: Scenario, targets: LoadTargets) {
    let begin = Instant::now();
    for fault in &scenario.faults {
        tokio::time::sleep_until((begin + Duration::from_secs_f64(fault.at_s)).into()).await;
        let (url, body) = match fault.kind {
            FaultKind::Crash { engine } => match targets.engines.get(engine) {
                Some(engine) => (format!("{engine}/crash"), "{}"),
                None => continue,
            },
            FaultKind::LogDown => (format!("{}/fault", targets.log), r#"{"down":true}"#),
            FaultKind::LogUp => (format!("{}/fault", targets.log), "{}"),
        };
        let limit = Duration::from_millis(CONTROL_TIMEOUT_MS);
        let body = Bytes::from_static(body.as_bytes());
        if let Err(e) = http.call(Method::POST, &url, "application/json", body, limit).await {
            log::warn!("a fault could not be set: {e}");
        }
    }
}
