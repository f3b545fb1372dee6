//! Measurements of a run, and the table that compares runs.

use std::{collections::BTreeMap, fmt::Write as _};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::load::{cache_audit::CacheAudit, client::Measurement, scenario::Scenario};

/// Measurements of one run, the warm-up excluded except in `per_second_ms`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// Label of the run, such as the placement policy.
    pub name: String,
    /// Offered load as a fraction of [`Scenario::capacity_rps`].
    pub load: f64,
    /// Seed of the workload.
    pub seed: u64,
    /// Number of requests that arrived after the warm-up.
    pub requests: u64,
    /// Measurements by name of the request class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Number of requests by outcome: `answered`, `timeout`, `cut-off` for a stream that ended
    /// early, or the code of the error response or the message of the transport error.
    pub outcomes: BTreeMap<String, u64>,
    /// Goodput: prompt and output tokens per second of the completely answered requests whose time
    /// to first token was within the limit of their class.
    pub goodput_tokens_per_s: f64,
    /// Prefix cache hits of the engines.
    pub cache: CacheAudit,
    /// Maximum time to first token of the first class for arrivals in each second of the run, the
    /// warm-up included, in milliseconds; 0 if no request of that second got a token.
    pub per_second_ms: Vec<f64>,
}

/// Times to first token of one request class, in milliseconds, and its request counts.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ClassReport {
    /// Median time to first token.
    pub p50_ms: f64,
    /// 95th percentile of the time to first token.
    pub p95_ms: f64,
    /// 99th percentile of the time to first token.
    pub p99_ms: f64,
    /// Number of requests that were answered completely.
    pub answered: u64,
    /// Number of all requests of the class.
    pub requests: u64,
}

impl LoadReport {
    pub(crate) fn new(
        name: &str,
        scenario: &Scenario,
        load: f64,
        measurements: &[Measurement],
        cache: CacheAudit,
    ) -> LoadReport {
        let warmup_us = u64::from(scenario.warmup_s) * 1_000_000;
        let after_warmup: Vec<_> =
            measurements.iter().filter(|m| m.arrival_us >= warmup_us).collect();
        let mut outcomes = BTreeMap::new();
        for m in &after_warmup {
            *outcomes.entry(m.outcome.clone()).or_insert(0) += 1;
        }
        let is_in_time = |m: &&&Measurement| {
            let limit = scenario.classes[m.class].first_token_limit_ms;
            m.is_answered() && m.first_token.is_some_and(|t| t.as_millis() <= u128::from(limit))
        };
        let tokens_in_time: u64 = after_warmup.iter().filter(is_in_time).map(|m| m.tokens).sum();
        let seconds = f64::from(scenario.seconds - scenario.warmup_s);
        let classes = scenario.classes.iter().enumerate();
        let classes =
            classes.map(|(i, class)| (class.name.to_string(), class_report(&after_warmup, i)));
        LoadReport {
            name: name.to_owned(),
            load,
            seed: scenario.seed,
            requests: after_warmup.len() as u64,
            classes: classes.collect(),
            outcomes,
            goodput_tokens_per_s: tokens_in_time as f64 / seconds,
            cache,
            per_second_ms: max_per_second(measurements, scenario.seconds as usize),
        }
    }

    /// Returns the fraction of prompt tokens found in the cache of the engine that ran the request.
    pub fn hit_rate(&self) -> f64 {
        self.cache.cached_tokens as f64 / (self.cache.prompt_tokens.max(1)) as f64
    }

    /// Returns the hit rate if each request had run on the engine that had cached most of its
    /// prompt.
    pub fn best_hit_rate(&self) -> f64 {
        self.cache.best_tokens as f64 / (self.cache.prompt_tokens.max(1)) as f64
    }
}

/// Renders a Markdown table of several runs, followed by their counts of unsuccessful outcomes.
pub fn comparison_table(reports: &[LoadReport]) -> String {
    let mut table = String::from(
        "| run | load | hit | best | wasted ktok | class | p50 ms | p95 ms | p99 ms | answered \
         | goodput ktok/s |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for report in reports {
        for (class, c) in &report.classes {
            let _ = writeln!(
                table,
                "| {} | {:.0}% | {:.3} | {:.3} | {} | {class} | {:.0} | {:.0} | {:.0} | {}/{} | {:.0} |",
                report.name,
                report.load * 100.0,
                report.hit_rate(),
                report.best_hit_rate(),
                report.cache.wasted_tokens / 1_000,
                c.p50_ms,
                c.p95_ms,
                c.p99_ms,
                c.answered,
                c.requests,
                report.goodput_tokens_per_s / 1_000.0,
            );
        }
    }
    for report in reports {
        let failures = report.outcomes.iter().filter(|(outcome, _)| *outcome != "answered");
        let failures: Vec<_> = failures.map(|(outcome, n)| format!("{outcome} {n}")).collect();
        if !failures.is_empty() {
            let load = report.load * 100.0;
            let _ = writeln!(table, "{} at {load:.0}%: {}", report.name, failures.join(", "));
        }
    }
    table
}

fn class_report(measurements: &[&Measurement], class: usize) -> ClassReport {
    let of_class: Vec<_> = measurements.iter().filter(|m| m.class == class).collect();
    let mut times_us = new_histogram();
    for time in of_class.iter().filter_map(|m| m.first_token) {
        let _ = times_us.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }
    let quantile_ms = |q: f64| times_us.value_at_quantile(q) as f64 / 1_000.0;
    ClassReport {
        p50_ms: quantile_ms(0.5),
        p95_ms: quantile_ms(0.95),
        p99_ms: quantile_ms(0.99),
        answered: of_class.iter().filter(|m| m.is_answered()).count() as u64,
        requests: of_class.len() as u64,
    }
}

/// Returns the maximum time to first token of the first class for arrivals in each second, in
/// milliseconds.
fn max_per_second(measurements: &[Measurement], seconds: usize) -> Vec<f64> {
    let mut max_ms = vec![0.0_f64; seconds];
    for m in measurements.iter().filter(|m| m.class == 0) {
        let second = usize::try_from(m.arrival_us / 1_000_000).unwrap_or(usize::MAX);
        let Some(max) = max_ms.get_mut(second) else { continue };
        if let Some(time) = m.first_token {
            *max = max.max(time.as_secs_f64() * 1_000.0);
        }
    }
    max_ms
}

fn new_histogram() -> Histogram<u64> {
    match Histogram::new(3) {
        Ok(histogram) => histogram,
        Err(e) => panic!("3 significant digits are a valid histogram precision: {e}"),
    }
}
