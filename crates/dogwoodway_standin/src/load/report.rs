//! The measures of a run and their table.

use std::{collections::BTreeMap, fmt::Write as _};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::load::{client::Measured, oracle::CacheAudit, scenario::Scenario};

/// The measures of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Label of the run, such as the policy.
    pub name: String,
    /// Offered load as a share of the capacity.
    pub load: f64,
    /// Seed of the workload.
    pub seed: u64,
    /// Requests measured.
    pub requests: u64,
    /// Measures by class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Tokens per second of answers whose first token came in time.
    pub goodput_tokens_per_s: f64,
    /// Where prompt tokens came from.
    pub cache: CacheAudit,
    /// Worst first-token time of each second of the run, of the first class, in milliseconds.
    pub per_second_ms: Vec<f64>,
}

/// First-token times of one class, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ClassReport {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// All requests.
    pub requests: u64,
}

impl Report {
    pub(crate) fn new(
        name: &str,
        scenario: &Scenario,
        load: f64,
        measured: &[Measured],
        cache: CacheAudit,
    ) -> Report {
        let warmup_us = u64::from(scenario.warmup_s) * 1_000_000;
        let counted: Vec<_> = measured.iter().filter(|m| m.at_us >= warmup_us).collect();
        let mut outcomes = BTreeMap::new();
        for m in &counted {
            *outcomes.entry(m.outcome.clone()).or_insert(0) += 1;
        }
        let in_time = |m: &&&Measured| {
            let limit = scenario.classes[m.class].first_token_limit_ms;
            m.is_answered() && m.first_token.is_some_and(|t| t.as_millis() <= u128::from(limit))
        };
        let good: u64 = counted.iter().filter(in_time).map(|m| m.tokens).sum();
        let seconds = f64::from(scenario.seconds - scenario.warmup_s);
        let classes = scenario.classes.iter().enumerate();
        let classes = classes.map(|(i, class)| (class.name.to_string(), by_class(&counted, i)));
        Report {
            name: name.to_owned(),
            load,
            seed: scenario.seed,
            requests: counted.len() as u64,
            classes: classes.collect(),
            outcomes,
            goodput_tokens_per_s: good as f64 / seconds,
            cache,
            per_second_ms: per_second(measured, scenario.seconds as usize),
        }
    }

    /// Returns the share of prompt tokens found in a cache.
    pub fn hit_rate(&self) -> f64 {
        self.cache.cached_tokens as f64 / (self.cache.prompt_tokens.max(1)) as f64
    }

    /// Returns the share of prompt tokens that some engine held.
    pub fn best_hit_rate(&self) -> f64 {
        self.cache.best_tokens as f64 / (self.cache.prompt_tokens.max(1)) as f64
    }
}

/// Renders the table of several runs.
pub fn compare(reports: &[Report]) -> String {
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
        let refused = report.outcomes.iter().filter(|(outcome, _)| *outcome != "answered");
        let refused: Vec<_> = refused.map(|(outcome, n)| format!("{outcome} {n}")).collect();
        if !refused.is_empty() {
            let load = report.load * 100.0;
            let _ = writeln!(table, "{} at {load:.0}%: {}", report.name, refused.join(", "));
        }
    }
    table
}

fn by_class(counted: &[&Measured], class: usize) -> ClassReport {
    let of_class: Vec<_> = counted.iter().filter(|m| m.class == class).collect();
    let mut times = new_histogram();
    for time in of_class.iter().filter_map(|m| m.first_token) {
        let _ = times.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }
    let quantile = |q: f64| times.value_at_quantile(q) as f64 / 1_000.0;
    ClassReport {
        p50_ms: quantile(0.5),
        p95_ms: quantile(0.95),
        p99_ms: quantile(0.99),
        answered: of_class.iter().filter(|m| m.is_answered()).count() as u64,
        requests: of_class.len() as u64,
    }
}

fn per_second(measured: &[Measured], seconds: usize) -> Vec<f64> {
    let mut worst = vec![0.0_f64; seconds];
    for m in measured.iter().filter(|m| m.class == 0) {
        let second = usize::try_from(m.at_us / 1_000_000).unwrap_or(usize::MAX);
        let Some(slot) = worst.get_mut(second) else { continue };
        if let Some(time) = m.first_token {
            *slot = slot.max(time.as_secs_f64() * 1_000.0);
        }
    }
    worst
}

fn new_histogram() -> Histogram<u64> {
    match Histogram::new(3) {
        Ok(histogram) => histogram,
        Err(e) => panic!("three digits are a valid precision: {e}"),
    }
}
