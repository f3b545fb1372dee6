//! Responses that the router gives itself: refusals, timeouts and failures.

use std::time::Duration;

use dogwoodway_http::Body;
use dogwoodway_routing::{
    direct::{admission, fleet::Refusal},
    part_blame::PartKey,
};
use dogwoodway_types::{NotRunReason, Timestamp};
use hyper::{Response, StatusCode};

use crate::{
    clock, metric,
    relay::{ClientRequest, Relay, outcome::log_outcome},
};

impl Relay {
    /// Builds the response for a request that gets no further attempt: 503 with `Retry-After` if it
    /// cannot have run, otherwise 502, so that the client does not assume that it has not run.
    pub(super) fn refusal_response(
        &self,
        request: &ClientRequest,
        refusal: Refusal,
    ) -> Response<Body> {
        if request.attempts.may_have_run > 0 {
            return self.error_response(request, StatusCode::BAD_GATEWAY, refusal.reason.as_str());
        }
        let now = clock::now();
        let (retry_at, draw) = (refusal.retry_at, rand::random());
        let retry_after = match refusal.is_retry_at_known {
            true => admission::known_retry_after(now, retry_at, draw),
            false => admission::retry_after(now, retry_at, request.deadline, draw),
        };
        log::info!(
            request = request.head.id, why = refusal.reason.as_str(), wait_ms = refusal.wait_ms,
            come_back_ms = retry_after.as_millis() as u64, attempts = request.attempts.total,
            table_age_ms = self.tables.age_ms(now);
            "request refused"
        );
        let status = StatusCode::SERVICE_UNAVAILABLE;
        log_outcome(request, status, "not-run", refusal.reason.as_str(), None);
        self.not_run_response(refusal.reason, retry_after)
    }

    /// Builds the response for a request that gets no attempt because of a part of its prompt. It
    /// names the time until which any retry would be refused.
    pub(super) fn part_blamed_response(
        &self,
        request: &ClientRequest,
        part: Option<PartKey>,
        retry_at: Timestamp,
    ) -> Response<Body> {
        let blamed = part.map_or_else(|| "suspected".to_owned(), |part| part.to_string());
        log::info!(request = request.head.id, part = blamed; "request refused for a prompt part");
        let reason = NotRunReason::Quarantined;
        self.refusal_response(
            request,
            Refusal { reason, retry_at, is_retry_at_known: true, wait_ms: 0 },
        )
    }

    /// Builds the response for a request beyond its team's quota.
    pub(super) fn over_quota_response(
        &self,
        request: &ClientRequest,
        retry_at: Timestamp,
    ) -> Response<Body> {
        let retry_after = admission::known_retry_after(clock::now(), retry_at, rand::random());
        let reason = NotRunReason::TeamLimit;
        let team = request.team.as_ref().map(|team| team.name.to_string()).unwrap_or_default();
        let counts = request.head.prompt.as_ref().map(|p| (p.input_tokens, p.output_tokens));
        let quota = request.team.as_ref().and_then(|team| team.quota);
        let tokens = quota.map_or(0, |quota| quota.tokens(counts));
        metrics::counter!(metric::QUOTA_TOKENS, "end" => "refused").increment(tokens);
        log::info!(
            request = request.head.id, why = reason.as_str(), team = team, tokens = tokens,
            come_back_ms = retry_after.as_millis() as u64;
            "request refused"
        );
        let status = StatusCode::TOO_MANY_REQUESTS;
        log_outcome(request, status, "not-run", reason.as_str(), None);
        let mut resp = text_response(status, &format!("not run: {reason}"));
        resp.headers_mut().extend(self.protocol.retry_after_headers(retry_after));
        resp
    }

    pub(super) fn not_run_response(
        &self,
        reason: NotRunReason,
        retry_after: Duration,
    ) -> Response<Body> {
        let mut resp =
            text_response(StatusCode::SERVICE_UNAVAILABLE, &format!("not run: {reason}"));
        resp.headers_mut().extend(self.protocol.retry_after_headers(retry_after));
        resp
    }

    pub(super) fn timeout_response(&self, request: &ClientRequest) -> Response<Body> {
        self.error_response(request, StatusCode::GATEWAY_TIMEOUT, "no answer in time")
    }

    pub(super) fn error_response(
        &self,
        request: &ClientRequest,
        status: StatusCode,
        why: &str,
    ) -> Response<Body> {
        log_outcome(request, status, "failed", why, None);
        text_response(status, why)
    }
}

pub(super) fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    dogwoodway_http::text_response(status, text)
}
