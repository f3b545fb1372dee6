//! Measures the time that the entry and the agent add to the time to first token.
//!
//! Each pair of requests sends the same cached prompt once directly to an engine and once through
//! an entry, while other streams are open through the entry. The order within a pair alternates.

use std::time::{Duration, Instant};

use bytes::Bytes;
use dogwoodway_engine::{EngineEvent, EngineRequest, HttpEngine, ModelEngine};
use dogwoodway_http::{HttpClient, SseReader};
use dogwoodway_types::{
    AttemptId, ChatMessage, ModelName, PrefixChain, Priority, TeamName, WeightsVersion,
};
use hdrhistogram::Histogram;
use hyper::Method;
use serde::Serialize;
use serde_json::{Value, json};

/// Longest wait for the first token through the entry.
const FIRST_TOKEN_TIMEOUT_MS: u64 = 10_000;

/// Largest time that the histograms record; longer ones count as this.
const MAX_RECORDED_US: u64 = 60_000_000;

/// Length of a background stream, in tokens; it has to outlast the measurement.
const BACKGROUND_TOKENS: u32 = 100_000;

/// Processes and parameters of the measurement.
#[derive(Clone, Debug)]
pub struct OverheadTargets {
    /// Base URL of an entry.
    pub entry: String,
    /// Base URL of an engine.
    pub engine: String,
    /// Bearer key of a team.
    pub key: String,
    /// Model to request.
    pub model: ModelName,
    /// Number of streams that are open through the entry during the measurement.
    pub streams: u32,
    /// Number of pairs of requests to measure.
    pub pairs: u32,
}

/// Times to first token, directly and through the entry.
#[derive(Clone, Debug, Serialize)]
pub struct Overhead {
    /// Number of pairs of requests measured.
    pub pairs: u64,
    /// Number of streams that were open through the entry.
    pub streams: u32,
    /// Median time directly from the engine, in microseconds.
    pub direct_p50_us: u64,
    /// 99th percentile directly from the engine, in microseconds.
    pub direct_p99_us: u64,
    /// Median time through the entry, in microseconds.
    pub routed_p50_us: u64,
    /// 99th percentile through the entry, in microseconds.
    pub routed_p99_us: u64,
    /// Median of the differences within the pairs, in microseconds.
    pub added_p50_us: i64,
    /// 99th percentile of the differences within the pairs, in microseconds.
    pub added_p99_us: i64,
}

/// Measures the overhead, after five unmeasured pairs as a warm-up.
///
/// # Errors
///
/// Fails if a request is not answered, or if the number of pairs is 0.
pub async fn measure_overhead(targets: OverheadTargets) -> Result<Overhead, String> {
    let http = HttpClient::new();
    let background: Vec<_> = (0..targets.streams)
        .map(|i| tokio::spawn(hold_background_stream(targets.clone(), i)))
        .collect();
    for _ in 0..5 {
        time_routed(&http, &targets).await?;
        time_direct(&targets).await?;
    }
    let mut direct_us =
        Histogram::<u64>::new_with_max(MAX_RECORDED_US, 3).map_err(|e| e.to_string())?;
    let mut routed_us = direct_us.clone();
    let mut added_us = Vec::new();
    for pair in 0..targets.pairs {
        let (direct, routed) = match pair % 2 {
            0 => {
                let direct = time_direct(&targets).await?;
                (direct, time_routed(&http, &targets).await?)
            }
            _ => {
                let routed = time_routed(&http, &targets).await?;
                (time_direct(&targets).await?, routed)
            }
        };
        direct_us.saturating_record(micros(direct));
        routed_us.saturating_record(micros(routed));
        added_us.push(micros(routed) as i64 - micros(direct) as i64);
    }
    background.iter().for_each(tokio::task::JoinHandle::abort);
    added_us.sort_unstable();
    let percentile = |p: usize| added_us.get(added_us.len() * p / 100).copied();
    let (Some(added_p50_us), Some(added_p99_us)) = (percentile(50), percentile(99)) else {
        return Err("no pairs were measured: the number of pairs is 0".to_owned());
    };
    Ok(Overhead {
        pairs: direct_us.len(),
        streams: targets.streams,
        direct_p50_us: direct_us.value_at_quantile(0.5),
        direct_p99_us: direct_us.value_at_quantile(0.99),
        routed_p50_us: routed_us.value_at_quantile(0.5),
        routed_p99_us: routed_us.value_at_quantile(0.99),
        added_p50_us,
        added_p99_us,
    })
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn messages() -> Vec<ChatMessage> {
    vec![ChatMessage::new("system", "You compare tonewood."), ChatMessage::new("user", "maple?")]
}

/// Keeps a stream open through the entry.
async fn hold_background_stream(targets: OverheadTargets, number: u32) -> Result<(), String> {
    let prompt = vec![ChatMessage::new("user", &format!("background {number}"))];
    let mut events = open_stream(&HttpClient::new(), &targets, prompt, BACKGROUND_TOKENS).await?;
    while events.next().await.map_err(|e| e.to_string())?.is_some() {}
    Ok(())
}

/// Returns the time to first token directly from the engine.
async fn time_direct(targets: &OverheadTargets) -> Result<Duration, String> {
    let engine = HttpEngine::new(targets.engine.clone());
    let team = TeamName::try_from("direct").map_err(|e| e.to_string())?;
    let version = WeightsVersion(1);
    let prefix = PrefixChain::new(&team, &targets.model, version, &messages());
    let req = EngineRequest {
        request_id: AttemptId(rand::random()),
        model: targets.model.clone(),
        version,
        messages: messages(),
        cache_keys: prefix.hashes,
        piece_tokens: prefix.tokens,
        max_tokens: 1,
        resume_after: Vec::new(),
        priority: Priority(5),
    };
    let sent_at = Instant::now();
    let mut stream = engine.generate(req).await.map_err(|e| e.to_string())?;
    loop {
        if let EngineEvent::Token { .. } = stream.next().await.map_err(|e| e.to_string())? {
            return Ok(sent_at.elapsed());
        }
    }
}

/// Returns the time to first token through the entry.
async fn time_routed(http: &HttpClient, targets: &OverheadTargets) -> Result<Duration, String> {
    let sent_at = Instant::now();
    let first_token = async {
        let mut events = open_stream(http, targets, messages(), 1).await?;
        while let Some(data) = events.next().await.map_err(|e| e.to_string())? {
            let event: Value = serde_json::from_str(&data).map_err(|e| e.to_string())?;
            let text = event["choices"][0]["delta"]["content"].as_str();
            if text.is_some_and(|text| !text.is_empty()) {
                return Ok(sent_at.elapsed());
            }
        }
        Err("the stream from the entry ended without a token".to_owned())
    };
    let timeout = Duration::from_millis(FIRST_TOKEN_TIMEOUT_MS);
    tokio::time::timeout(timeout, first_token).await.map_err(|e| e.to_string())?
}

/// Opens a streamed chat completion through the entry.
async fn open_stream(
    http: &HttpClient,
    targets: &OverheadTargets,
    messages: Vec<ChatMessage>,
    max_tokens: u32,
) -> Result<SseReader, String> {
    let body = json!({
        "model": targets.model, "messages": messages, "max_tokens": max_tokens, "stream": true,
    });
    let url = format!("{}/v1/chat/completions", targets.entry);
    let headers = [("authorization", format!("Bearer {}", targets.key))];
    let body = Bytes::from(body.to_string());
    let resp = http.send(Method::POST, &url, "application/json", body, &headers).await;
    let resp = resp.map_err(|e| e.to_string())?;
    match resp.status().is_success() {
        true => Ok(SseReader::new(resp.into_body())),
        false => Err(format!("the entry answered with status {}", resp.status())),
    }
}
