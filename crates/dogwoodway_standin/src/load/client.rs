//! Client that sends chat completions through entries and measures their answers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use dogwoodway_http::{HttpClient, SseReader};
use dogwoodway_types::ModelName;
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::{Value, json};

use crate::load::{
    scenario::Scenario,
    workload::{PlannedRequest, filler_text},
};

/// Time in which all entries together must become ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 20_000;

/// Timeout for a whole answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 60_000;

/// Result of one request.
#[derive(Clone, Debug)]
pub(crate) struct Measurement {
    /// Planned arrival time in microseconds after the start of the run.
    pub(crate) arrival_us: u64,
    /// Index of the request class.
    pub(crate) class: usize,
    /// Time to first token.
    pub(crate) first_token: Option<Duration>,
    /// `answered` for a complete answer; see
    /// [`LoadReport::outcomes`](crate::LoadReport::outcomes) for the others.
    pub(crate) outcome: String,
    /// Prompt and output tokens of the request, whether it was answered or not.
    pub(crate) tokens: u64,
}

impl Measurement {
    pub(crate) fn is_answered(&self) -> bool {
        self.outcome == "answered"
    }
}

/// Client of the entries.
#[derive(Debug)]
pub(crate) struct LoadClient {
    http: HttpClient,
    model: ModelName,
}

impl LoadClient {
    pub(crate) fn new(http: HttpClient, model: ModelName) -> LoadClient {
        LoadClient { http, model }
    }

    /// Waits until each entry has answered a request; fails if a request fails after
    /// [`READY_TIMEOUT_MS`].
    pub(crate) async fn wait_until_ready(
        &self,
        entries: &[String],
        scenario: &Scenario,
    ) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        for entry in entries {
            loop {
                let body = json!({
                    "model": self.model, "max_tokens": 1, "stream": true,
                    "messages": [{"role": "user", "content": "ready?"}],
                });
                let class = &scenario.classes[0].name;
                let (outcome, _) = self.exchange(entry, "sk-team-0", class.as_str(), &body).await;
                if outcome == "answered" {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!(
                        "entry {entry} did not become ready within {READY_TIMEOUT_MS} ms: {outcome}"
                    ));
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Sends a request, reads its answer to the end and returns the measurement.
    pub(crate) async fn send(
        &self,
        entry: &str,
        scenario: &Scenario,
        req: &PlannedRequest,
    ) -> Measurement {
        let (team, catalogue, class) = (req.team, req.catalogue, &scenario.classes[req.class]);
        let system = filler_text(&format!("team {team}"), scenario.system_tokens);
        let catalogue = format!("team {team} catalogue {catalogue}");
        let catalogue = filler_text(&catalogue, scenario.catalogue_tokens);
        let case = filler_text(&format!("case {}", req.case_id), class.case_tokens);
        let tokens = scenario.system_tokens
            + scenario.catalogue_tokens
            + class.case_tokens
            + class.answer_tokens;
        let body = json!({
            "model": self.model, "max_tokens": class.answer_tokens, "stream": true,
            "messages": [
                {"role": "system", "content": system},
                {"role": "system", "content": catalogue},
                {"role": "user", "content": case},
            ],
        });
        let key = format!("sk-team-{team}");
        let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let exchange = self.exchange(entry, &key, class.name.as_str(), &body);
        let (outcome, first_token) = match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => ("timeout".to_owned(), None),
        };
        let (arrival_us, class, tokens) = (req.arrival_us, req.class, u64::from(tokens));
        Measurement { arrival_us, class, first_token, outcome, tokens }
    }

    /// Sends a chat completion and reads the streamed answer; returns the outcome and the time to
    /// first token.
    async fn exchange(
        &self,
        entry: &str,
        key: &str,
        class: &str,
        body: &Value,
    ) -> (String, Option<Duration>) {
        let headers =
            [("authorization", format!("Bearer {key}")), ("x-dogwoodway-class", class.to_owned())];
        let url = format!("{entry}/v1/chat/completions");
        let body = Bytes::from(body.to_string());
        let sent_at = Instant::now();
        let resp = self.http.send(Method::POST, &url, "application/json", body, &headers).await;
        let resp = match resp {
            Ok(resp) => resp,
            Err(e) => return (e.to_string(), None),
        };
        if !resp.status().is_success() {
            let Ok(body) = resp.into_body().collect().await else {
                return ("error".to_owned(), None);
            };
            let value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
            return (error_code(&value), None);
        }
        let mut events = SseReader::new(resp.into_body());
        let mut first_token = None;
        loop {
            match events.next().await {
                Ok(Some(data)) if data == "[DONE]" => return ("answered".to_owned(), first_token),
                Ok(Some(data)) => {
                    let event: Value = serde_json::from_str(&data).unwrap_or_default();
                    if event.get("error").is_some() {
                        return (error_code(&event), first_token);
                    }
                    let text = event["choices"][0]["delta"]["content"].as_str();
                    if first_token.is_none() && text.is_some_and(|text| !text.is_empty()) {
                        first_token = Some(sent_at.elapsed());
                    }
                }
                Ok(None) => return ("cut-off".to_owned(), first_token),
                Err(e) => return (e.to_string(), first_token),
            }
        }
    }
}

/// Returns the machine-readable code of an error in the OpenAI format.
fn error_code(value: &Value) -> String {
    value["error"]["code"].as_str().unwrap_or("error").to_owned()
}
