//! A client that reads a streamed chat completion in the background.

use dogwoodway_http::SseReader;
use hyper::Method;
use serde_json::Value;
use tokio::{sync::watch, task::JoinHandle};

use crate::fleet::{API_KEY, Fleet};

/// What a client received until its stream ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ReceivedStream {
    /// Texts of the non-empty tokens, in the order received.
    pub(crate) tokens: Vec<String>,
    /// Token counts, which the entry sends at the end of a complete response.
    pub(crate) usage: Option<Value>,
    /// Type of the error event that ended the stream, or `refused` if the response status was not
    /// 2xx.
    pub(crate) error: Option<String>,
    /// Whether `[DONE]` was received, the event that ends a complete stream.
    pub(crate) is_done: bool,
}

/// A streamed request in progress.
pub(crate) struct CallerStream {
    /// Number of tokens received so far.
    token_count: watch::Receiver<usize>,
    task: JoinHandle<ReceivedStream>,
}

impl CallerStream {
    /// Sends a chat completion in the traffic class `lookup` and reads the stream in the background.
    pub(crate) fn open(fleet: &Fleet, entry: usize, body: &Value) -> CallerStream {
        CallerStream::open_with_class(fleet, entry, body, "lookup")
    }

    /// Sends a chat completion in a traffic class and reads the stream in the background.
    pub(crate) fn open_with_class(
        fleet: &Fleet,
        entry: usize,
        body: &Value,
        class: &str,
    ) -> CallerStream {
        let mut body = body.clone();
        body["stream"] = Value::Bool(true);
        let url = format!("{}/v1/chat/completions", fleet.entries[entry].url());
        let http = fleet.http.clone();
        let (tx, token_count) = watch::channel(0);
        let class = class.to_owned();
        let task = tokio::spawn(async move {
            let authorization = ("authorization", format!("Bearer {API_KEY}"));
            let headers = [authorization, ("x-dogwoodway-class", class)];
            let body = body.to_string().into();
            let resp = http.send(Method::POST, &url, "application/json", body, &headers).await;
            let resp = resp.expect("the entry responds");
            let is_accepted = resp.status().is_success();
            let mut events = SseReader::new(resp.into_body());
            let mut received = ReceivedStream::default();
            if !is_accepted {
                received.error = Some("refused".to_owned());
                return received;
            }
            while let Ok(Some(data)) = events.next().await {
                record_event(&mut received, &data);
                tx.send_replace(received.tokens.len());
            }
            received
        });
        CallerStream { token_count, task }
    }

    /// Waits until the client has received `count` tokens or its stream has ended.
    pub(crate) async fn wait_for_tokens(&mut self, count: usize) {
        let _ = self.token_count.wait_for(|received| *received >= count).await;
    }

    /// Waits for the end of the stream and returns what was received.
    pub(crate) async fn finish(self) -> ReceivedStream {
        self.task.await.expect("the reading task does not panic")
    }

    /// Closes the client's connection before the stream has ended.
    pub(crate) fn disconnect(self) {
        self.task.abort();
    }
}

/// Adds the event `data` to what was received.
fn record_event(received: &mut ReceivedStream, data: &str) {
    if data == "[DONE]" {
        received.is_done = true;
        return;
    }
    let event: Value = serde_json::from_str(data).expect("events other than [DONE] are JSON");
    if let Some(kind) = event["error"]["type"].as_str() {
        received.error = Some(kind.to_owned());
    }
    if event["usage"].is_object() {
        received.usage = Some(event["usage"].clone());
    }
    match event["choices"][0]["delta"]["content"].as_str() {
        Some(text) if !text.is_empty() => received.tokens.push(text.to_owned()),
        _ => {}
    }
}
