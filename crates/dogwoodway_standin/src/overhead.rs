//! Measures what the entry and the agent add to the time to first token.
//!
//! Each pair sends the same cached prompt twice, once straight to an engine and once through an
//! entry, while other streams are open through the entry. The order within a pair alternates.

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

const FIRST_TOKEN_TIMEOUT_MS: u64 = 10_000;

/// Largest time that is told apart.
const MAX_US: u64 = 60_000_000;

/// Tokens of a background stream, enough to outlast the measurement.
const BACKGROUND_TOKENS: u32 = 100_000;

/// What the measurement runs against.
#[derive(Clone, Debug)]
pub struct OverheadTargets {
    /// Base URL of an entry.
    pub entry: String,
    /// Base URL of an engine.
    pub engine: String,
    /// Bearer key of a team.
    pub key: String,
    /// Model to ask for.
    pub model: ModelName,
    /// Streams that are open through the entry meanwhile.
    pub streams: u32,
    /// Pairs to measure.
    pub pairs: u32,
}

/// Result of the measurement, in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Overhead {
    /// Pairs measured.
    pub pairs: u64,
    /// Streams open meanwhile.
    pub streams: u32,
    /// Median time to first token straight from the engine.
    pub direct_p50_us: u64,
    /// 99th percentile straight from the engine.
    pub direct_p99_us: u64,
    /// Median time to first token through the entry.
    pub routed_p50_us: u64,
    /// 99th percentile through the entry.
    pub routed_p99_us: u64,
    /// Median of the paired differences.
    pub added_p50_us: i64,
    /// 99th percentile of the paired differences.
    pub added_p99_us: i64,
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails if a request is not answered, or if there are no pairs.
pub async fn measure_overhead(targets: OverheadTargets) -> Result<Overhead, String> {
    let http = HttpClient::new();
    let background: Vec<_> =
        (0..targets.streams).map(|i| tokio::spawn(hold_stream(targets.clone(), i))).collect();
    for _ in 0..5 {
        routed(&http, &targets).await?;
        direct(&targets).await?;
    }
    let mut direct_us = Histogram::<u64>::new_with_max(MAX_US, 3).map_err(|e| e.to_string())?;
    let mut routed_us = direct_us.clone();
    let mut added_us = Vec::new();
    for pair in 0..targets.pairs {
        let (d, r) = match pair % 2 {
            0 => {
                let d = direct(&targets).await?;
                (d, routed(&http, &targets).await?)
            }
            _ => {
                let r = routed(&http, &targets).await?;
                (direct(&targets).await?, r)
            }
        };
        direct_us.saturating_record(micros(d));
        routed_us.saturating_record(micros(r));
        added_us.push(micros(r) as i64 - micros(d) as i64);
    }
    background.iter().for_each(tokio::task::JoinHandle::abort);
    added_us.sort_unstable();
    let added = |q: usize| added_us.get(added_us.len() * q / 100).copied();
    let (Some(added_p50_us), Some(added_p99_us)) = (added(50), added(99)) else {
        return Err("there are no pairs".to_owned());
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

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn messages() -> Vec<ChatMessage> {
    vec![ChatMessage::new("system", "You compare tonewood."), ChatMessage::new("user", "maple?")]
}

async fn hold_stream(targets: OverheadTargets, number: u32) -> Result<(), String> {
    let prompt = vec![ChatMessage::new("user", &format!("background {number}"))];
    let mut events = open(&HttpClient::new(), &targets, prompt, BACKGROUND_TOKENS).await?;
    while events.next().await.map_err(|e| e.to_string())?.is_some() {}
    Ok(())
}

async fn direct(targets: &OverheadTargets) -> Result<Duration, String> {
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

async fn routed(http: &HttpClient, targets: &OverheadTargets) -> Result<Duration, String> {
    let sent_at = Instant::now();
    let first = async {
        let mut events = open(http, targets, messages(), 1).await?;
        while let Some(data) = events.next().await.map_err(|e| e.to_string())? {
            let event: Value = serde_json::from_str(&data).map_err(|e| e.to_string())?;
            let text = event["choices"][0]["delta"]["content"].as_str();
            if text.is_some_and(|text| !text.is_empty()) {
                return Ok(sent_at.elapsed());
            }
        }
        Err("the answer has no token".to_owned())
    };
    let limit = Duration::from_millis(FIRST_TOKEN_TIMEOUT_MS);
    tokio::time::timeout(limit, first).await.map_err(|e| e.to_string())?
}

async fn open(
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
        false => Err(format!("status {}", resp.status())),
    }
}
