//! Log lines and metrics of placements, attempts and requests.

use dogwoodway_routing::direct::{retry::AttemptOutcome, stream_origin::StreamKey};
use dogwoodway_types::Timestamp;
use hyper::StatusCode;

use crate::{
    attempt_guard::AttemptGuard, clock, fleet_actor::AssignedServer, metric,
    platform_api::StreamResumption, relay::ClientRequest, response_body::BodyEnd,
    stream_origins::Resolution,
};

fn attempt_outcome_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered { .. } => "answered",
        AttemptOutcome::NotExecuted => "not-executed",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::Lost => "lost",
    }
}

pub(super) fn log_placement(request: &ClientRequest, target: &AssignedServer) {
    let placement = &target.placement;
    log::info!(
        request = request.head.id, route:% = request.route, table = request.table_version,
        server:% = placement.name, software:% = placement.software, running = placement.in_flight,
        predicted_ms = placement.predicted_ms, weights:? = placement.version.map(|v| v.0),
        computes = placement.computed_and_fetched_tokens.0,
        fetches = placement.computed_and_fetched_tokens.1,
        fetch:? = placement.fetch_from, saves = placement.save_to.is_some(),
        attempt = request.attempts.total + 1,
        left_ms = (request.deadline - clock::now()).as_millis() as u64;
        "request placed"
    );
}

/// Logs and counts that a client takes up a stream that broke off, and what is known of its origin.
pub(super) fn log_resumption(
    request: &ClientRequest,
    resumption: &StreamResumption,
    key: Option<StreamKey>,
    resolution: &Resolution,
) {
    let source = resolution.found.map_or("unknown", |(_, source)| source.as_str());
    metrics::counter!(metric::RESUMPTIONS, "origin" => source).increment(1);
    let took = clock::now() - request.arrived_at;
    metrics::histogram!(metric::RESUMPTION_SECONDS, "origin" => source).record(took.as_secs_f64());
    let list_age = resolution.list.map(|list| list.needed_at - list.current_at);
    if let Some(age) = list_age {
        let ages = metrics::histogram!(metric::RESUMPTION_LIST_AGE_SECONDS, "origin" => source);
        ages.record(age.as_secs_f64());
    }
    let origin = resolution.found.map(|(origin, _)| origin);
    log::info!(
        request = request.head.id, resumes:? = resumption.first_attempt,
        stream = key.map_or_else(String::new, |key| key.to_string()),
        after:? = resumption.after, origin = source,
        software:? = origin.map(|origin| origin.software),
        weights:? = origin.and_then(|origin| origin.weights),
        list_age_ms:? = list_age.map(|age| age.as_millis() as u64),
        ms = took.as_millis() as u64;
        "stream taken up again by its client"
    );
}

/// Logs and counts an attempt that ended without a valid response.
pub(super) fn log_attempt_end(
    request: &ClientRequest,
    target: &AssignedServer,
    outcome: AttemptOutcome,
    why: &str,
) {
    let outcome = attempt_outcome_label(outcome);
    metrics::counter!(metric::ATTEMPTS, "end" => outcome).increment(1);
    log::info!(
        request = request.head.id, server:% = target.placement.name, outcome = outcome, why = why,
        ms = (clock::now() - request.arrived_at).as_millis() as u64;
        "attempt ended"
    );
}

/// Logs and counts the start of a request on weights of which a newer version has been published.
pub(crate) fn log_outdated_start(
    request: &ClientRequest,
    guard: &AttemptGuard,
    latest_start: Timestamp,
) {
    let now = clock::now();
    let (left, late) = (latest_start - now, now - latest_start);
    metrics::histogram!(metric::OUTDATED_START_LEFT_SECONDS).record(left.as_secs_f64());
    let is_late = if late.is_zero() { "no" } else { "yes" };
    metrics::counter!(metric::OUTDATED_STARTS, "late" => is_late).increment(1);
    log::info!(
        request = request.head.id, server:% = guard.server_name(),
        weights:? = guard.version.map(|version| version.0),
        waited_ms = (now - guard.sent_at()).as_millis() as u64,
        left_ms = left.as_millis() as u64, late_ms = late.as_millis() as u64;
        "request started on outdated weights"
    );
}

/// Logs and counts the final outcome of a request. `body_end` is present if a response of a backend
/// server was read.
pub(crate) fn log_outcome(
    request: &ClientRequest,
    status: StatusCode,
    outcome: &'static str,
    why: &str,
    body_end: Option<BodyEnd>,
) {
    let framing = body_end.map_or("", |end| end.framing.as_str());
    if body_end.is_some() {
        let labels = [("framing", framing), ("outcome", outcome)];
        metrics::counter!(metric::RESPONSE_BODIES, &labels).increment(1);
    }
    let took = clock::now() - request.arrived_at;
    metrics::counter!(metric::REQUESTS, "outcome" => outcome).increment(1);
    metrics::histogram!(metric::REQUEST_SECONDS).record(took.as_secs_f64());
    log::info!(
        request = request.head.id, route:% = request.route, status = status.as_u16(),
        outcome = outcome, why = why, attempts = request.attempts.total, framing = framing,
        incomplete_bytes = body_end.map_or(0, |end| end.incomplete_bytes),
        ms = took.as_millis() as u64;
        "request ended"
    );
}
