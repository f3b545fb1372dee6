//! Results of a simulation.

use dogwoodway_types::Timestamp;
use serde::Serialize;

use super::arrivals::{Arrival, CLASSES};

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RequestOutcome {
    /// Index into [`CLASSES`].
    pub(super) class: usize,
    utility: f64,
    /// Time from the first attempt to the first output, in milliseconds; `None` without an output.
    first_output_ms: Option<f64>,
    is_in_time: bool,
    is_refused: bool,
}

impl RequestOutcome {
    pub(super) fn answered(request: &Arrival, at: Timestamp, is_in_time: bool) -> RequestOutcome {
        let sent_at = request.deadline.earlier_by(CLASSES[request.class].timeout);
        RequestOutcome {
            class: request.class,
            utility: request.utility(is_in_time),
            first_output_ms: Some((at - sent_at).as_secs_f64() * 1e3),
            is_in_time,
            is_refused: false,
        }
    }

    pub(super) fn failed(request: &Arrival) -> RequestOutcome {
        RequestOutcome {
            class: request.class,
            utility: 0.0,
            first_output_ms: None,
            is_in_time: false,
            is_refused: false,
        }
    }

    pub(super) fn refused(request: &Arrival) -> RequestOutcome {
        RequestOutcome { is_refused: true, ..RequestOutcome::failed(request) }
    }
}

/// Results for the requests of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassSummary {
    /// Name of the class.
    pub name: String,
    /// Number of requests; retries after a refusal are not counted separately.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Requests answered within the expected latency of the class.
    pub in_time: usize,
    /// Requests answered later than that.
    pub late: usize,
    /// Requests refused twice, or with a retry time past the deadline.
    pub refused: usize,
    /// Median time to the first output, in milliseconds; 0 if there was none.
    pub p50_ms: f64,
    /// 95th percentile of the time to the first output, in milliseconds; 0 if there was none.
    pub p95_ms: f64,
}

/// Results of a simulation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Utility of the answers, relative to that of answering all requests in time.
    #[serde(rename = "worth")]
    pub relative_utility: f64,
    /// Sum of the utility of all answers.
    #[serde(rename = "earned")]
    pub total_utility: f64,
    /// Results for each class of requests.
    #[serde(rename = "kinds")]
    pub classes: Vec<ClassSummary>,
    /// Prompt tokens computed by the engines.
    pub computed_tokens: u64,
    /// Tokens of shared prefixes that were computed although an engine had computed them before.
    #[serde(rename = "repeated_tokens")]
    pub recomputed_tokens: u64,
    /// Number of requests that engines returned to their queues because the KV cache was full.
    pub preempted: u64,
    /// Requests that had not ended when the simulation ended.
    pub unanswered: usize,
}

impl Summary {
    pub(super) fn new(
        outcomes: &[RequestOutcome],
        requests: &[Arrival],
        unanswered: usize,
        computed_tokens: u64,
        recomputed_tokens: u64,
        preempted: u64,
    ) -> Summary {
        let max_utility: f64 = requests.iter().map(|request| request.utility(true)).sum();
        let total_utility: f64 = outcomes.iter().map(|outcome| outcome.utility).sum();
        let classes = CLASSES.iter().enumerate().map(|(index, class)| {
            let of_class: Vec<_> =
                outcomes.iter().filter(|outcome| outcome.class == index).collect();
            let mut first_output_ms: Vec<_> =
                of_class.iter().filter_map(|outcome| outcome.first_output_ms).collect();
            first_output_ms.sort_by(f64::total_cmp);
            let quantile = |q: f64| {
                let index = (first_output_ms.len() as f64 * q) as usize;
                let last = first_output_ms.len().saturating_sub(1);
                first_output_ms.get(index.min(last)).copied().unwrap_or(0.0)
            };
            ClassSummary {
                name: class.name.to_owned(),
                requests: requests.iter().filter(|request| request.class == index).count(),
                in_time: of_class.iter().filter(|outcome| outcome.is_in_time).count(),
                late: of_class
                    .iter()
                    .filter(|outcome| outcome.first_output_ms.is_some() && !outcome.is_in_time)
                    .count(),
                refused: of_class.iter().filter(|outcome| outcome.is_refused).count(),
                p50_ms: quantile(0.5),
                p95_ms: quantile(0.95),
            }
        });
        Summary {
            relative_utility: if max_utility > 0.0 { total_utility / max_utility } else { 0.0 },
            total_utility,
            classes: classes.collect(),
            computed_tokens,
            recomputed_tokens,
            preempted,
            unanswered,
        }
    }
}
