//! Measures the cost of claims, which keep calls with an idempotency key from running twice.
//!
//! Pairs of a call with and a call without a key are sent through one entry at a fixed rate.
//! The example prints the latencies of both, the rate at which the agents append claims to the log,
//! and the memory that a claim table needs per key.

use std::time::{Duration, Instant};

use clap::Parser;
use dogwoodway_control::{Claim, ClaimCompletion, ClaimRecord, ClaimTable, RecordedResponse};
use dogwoodway_http::HttpClient;
use dogwoodway_types::{
    AgentIncarnation, AttemptId, ClaimKey, IdempotencyKey, LogOffset, RequestFingerprint, TeamName,
    Timestamp,
};
use hdrhistogram::Histogram;
use hyper::{Method, StatusCode};

/// Timeout of each request; the histograms record times up to it.
const ANSWER_TIMEOUT_MS: u64 = 10_000;

#[derive(Clone, Debug, Parser)]
struct Cli {
    /// Base URL of an entry.
    #[arg(long)]
    entry: String,
    /// Bearer key.
    #[arg(long)]
    key: String,
    /// URL of the metrics page of an agent; may be repeated.
    #[arg(long)]
    metrics: Vec<String>,
    /// Pairs of calls per second; may be repeated, and each rate is measured in turn.
    #[arg(long)]
    rate: Vec<u32>,
    /// How long to send calls at each rate, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u32,
}

#[tokio::main]
async fn main() {
    let cli = Cli::parse();
    for keys in [100_000, 1_000_000] {
        println!("{keys} keys with answers: {} bytes per key", bytes_per_key(keys));
    }
    let http = HttpClient::new();
    for rate in &cli.rate {
        measure_rate(&cli, &http, *rate).await;
    }
}

/// Measures one rate and prints the results.
async fn measure_rate(cli: &Cli, http: &HttpClient, rate: u32) {
    let appends_before = claim_appends(cli, http).await;
    let start = tokio::time::Instant::now();
    let calls = (0..rate * cli.seconds).map(|i| {
        let (cli, http) = (cli.clone(), http.clone());
        tokio::spawn(async move {
            tokio::time::sleep_until(start + Duration::from_secs(1) * i / rate).await;
            let key = format!("cost-{:016x}", rand::random::<u64>());
            tokio::join!(call(&cli, &http, Some(key)), call(&cli, &http, None))
        })
    });
    let calls: Vec<_> = calls.collect();
    let histogram = || Histogram::<u64>::new_with_max(ANSWER_TIMEOUT_MS * 1_000, 3).expect("valid");
    let [mut claimed, mut unclaimed] = [histogram(), histogram()];
    let mut failed = 0;
    for call in calls {
        let Ok((with, without)) = call.await else { continue };
        for (histogram, latency) in [(&mut claimed, with), (&mut unclaimed, without)] {
            match latency {
                Some(latency) => histogram.saturating_record(latency.as_micros() as u64),
                None => failed += 1,
            }
        }
    }
    let appends_per_s = (claim_appends(cli, http).await - appends_before) / f64::from(cli.seconds);
    let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1_000.0;
    println!(
        "{rate} claims/s: {appends_per_s:.1} appends/s; p50 {:.1} ms with a claim, {:.1} ms \
         without; p99 {:.1} ms with a claim, {:.1} ms without; {failed} calls failed",
        ms(&claimed, 0.5),
        ms(&unclaimed, 0.5),
        ms(&claimed, 0.99),
        ms(&unclaimed, 0.99)
    );
}

/// Makes one call and returns its latency; `None` if it did not succeed.
async fn call(cli: &Cli, http: &HttpClient, key: Option<String>) -> Option<Duration> {
    let mut headers = vec![("authorization", format!("Bearer {}", cli.key))];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let url = format!("{}/services/reservations", cli.entry);
    let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
    let sent_at = Instant::now();
    let body = r#"{"billet":"maple"}"#.into();
    let json = "application/json";
    let resp = http.call_with_headers(Method::POST, &url, json, body, &headers, timeout);
    let resp = resp.await.ok()?;
    (resp.status == StatusCode::OK).then(|| sent_at.elapsed())
}

/// Returns the number of appends of claims that all agents have made.
async fn claim_appends(cli: &Cli, http: &HttpClient) -> f64 {
    let mut total = 0.0;
    for url in &cli.metrics {
        let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let resp = http.call(Method::GET, url, "", "".into(), timeout).await;
        let text = resp.map(|r| String::from_utf8_lossy(&r.body).into_owned());
        let text = text.expect("the agent serves its metrics");
        let value = text.lines().find_map(|l| l.strip_prefix("dogwoodway_claim_appends_total "));
        total += value.and_then(|v| v.parse::<f64>().ok()).unwrap_or_default();
    }
    total
}

/// Returns the resident memory per key of a claim table with completed claims.
fn bytes_per_key(keys: u64) -> u64 {
    let before = resident_bytes();
    let team = TeamName::try_from("demo").expect("valid");
    let mut table = ClaimTable::default();
    for i in 0..keys {
        let name = IdempotencyKey::try_from(format!("key-{i}")).expect("valid");
        let (key, attempt) = (ClaimKey::new(&team, &name), AttemptId(u128::from(i)));
        let fingerprint = RequestFingerprint::new(&team, &[b"maple"]);
        let claim = Claim { key, fingerprint, attempt, agent: AgentIncarnation(1) };
        let content_type = "application/json".to_owned();
        let body = format!("{{\"confirmation\":{i}}}");
        let response = Some(RecordedResponse { status: 200, content_type, body });
        let completion = ClaimCompletion { key, attempt, response };
        table.apply(Timestamp(0), LogOffset(2 * i + 1), &ClaimRecord::Claim(claim));
        table.apply(Timestamp(0), LogOffset(2 * i + 2), &ClaimRecord::Done(completion));
    }
    let after = resident_bytes();
    assert_eq!(table.len() as u64, keys);
    // If the table were dropped, the next one would reuse its memory, and too little growth would
    // be measured.
    std::mem::forget(table);
    (after - before) / keys
}

/// Returns the resident memory of this process, assuming pages of 4 KiB.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * 4_096
}
