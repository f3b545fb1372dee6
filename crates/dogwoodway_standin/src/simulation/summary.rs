//! What a replay brought.

use dogwoodway_types::Timestamp;
use serde::Serialize;

use super::arrivals::{Arrival, KINDS};

/// The end of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Ended {
    pub(super) kind: usize,
    worth: f64,
    /// Milliseconds to the first output; absent if there was none.
    first_ms: Option<f64>,
    is_in_time: bool,
    is_refused: bool,
}

impl Ended {
    pub(super) fn answered(request: &Arrival, at: Timestamp, is_in_time: bool) -> Ended {
        let asked_at = request.deadline.earlier_by(KINDS[request.kind].patience);
        Ended {
            kind: request.kind,
            worth: request.worth(is_in_time),
            first_ms: Some((at - asked_at).as_secs_f64() * 1e3),
            is_in_time,
            is_refused: false,
        }
    }

    pub(super) fn failed(request: &Arrival) -> Ended {
        Ended {
            kind: request.kind,
            worth: 0.0,
            first_ms: None,
            is_in_time: false,
            is_refused: false,
        }
    }

    pub(super) fn refused(request: &Arrival) -> Ended {
        Ended { is_refused: true, ..Ended::failed(request) }
    }
}

/// What became of one kind of request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassSummary {
    /// The kind.
    pub name: String,
    /// Requests, each caller's returns counted with its first.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Those answered in time.
    pub in_time: usize,
    /// Those answered late.
    pub late: usize,
    /// Those refused for good.
    pub refused: usize,
    /// Median milliseconds to the first output.
    pub p50_ms: f64,
    /// The same in the slowest twentieth.
    pub p95_ms: f64,
}

/// What a replay brought.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Worth of the answers relative to that of answering all in time.
    #[serde(rename = "worth")]
    pub relative_utility: f64,
    /// The same in absolute terms.
    #[serde(rename = "earned")]
    pub total_utility: f64,
    /// By kind.
    #[serde(rename = "kinds")]
    pub classes: Vec<ClassSummary>,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Shared tokens computed though an engine had computed them before.
    #[serde(rename = "repeated_tokens")]
    pub recomputed_tokens: u64,
    /// Requests put back by engines whose memory was full.
    pub preempted: u64,
    /// Requests without any answer at the end.
    pub unanswered: usize,
}

impl Summary {
    pub(super) fn new(
        ended: &[Ended],
        requests: &[Arrival],
        unanswered: usize,
        computed_tokens: u64,
        recomputed_tokens: u64,
        preempted: u64,
    ) -> Summary {
        let max_utility: f64 = requests.iter().map(|request| request.worth(true)).sum();
        let total_utility: f64 = ended.iter().map(|ended| ended.worth).sum();
        let classes = KINDS.iter().enumerate().map(|(place, kind)| {
            let of_kind: Vec<_> = ended.iter().filter(|ended| ended.kind == place).collect();
            let mut first: Vec<_> = of_kind.iter().filter_map(|ended| ended.first_ms).collect();
            first.sort_by(f64::total_cmp);
            let quantile = |part: f64| {
                let place = (first.len() as f64 * part) as usize;
                first.get(place.min(first.len().saturating_sub(1))).copied().unwrap_or(0.0)
            };
            ClassSummary {
                name: kind.name.to_owned(),
                requests: requests.iter().filter(|request| request.kind == place).count(),
                in_time: of_kind.iter().filter(|ended| ended.is_in_time).count(),
                late: of_kind
                    .iter()
                    .filter(|ended| ended.first_ms.is_some() && !ended.is_in_time)
                    .count(),
                refused: of_kind.iter().filter(|ended| ended.is_refused).count(),
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
