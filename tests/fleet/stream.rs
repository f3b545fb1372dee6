//! A caller that reads a streamed answer.

use dogwoodway_http::SseReader;
use hyper::Method;
use serde_json::Value;
use tokio::{sync::watch, task::JoinHandle};

use crate::fleet::{Fleet, KEY};

/// What a caller has seen when its stream ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Seen {
    /// Texts of the tokens, in order.
    pub(crate) tokens: Vec<String>,
    /// The usage of a complete answer.
    pub(crate) usage: Option<Value>,
    /// The type of the error that ended the stream.
    pub(crate) error: Option<String>,
    /// Whether the last event was the one that marks the end.
    pub(crate) is_done: bool,
}

/// A streamed request under way.
pub(crate) struct CallerStream {
    tokens: watch::Receiver<usize>,
    task: JoinHandle<Seen>,
}

impl CallerStream {
    /// Sends a chat completion; its stream is read in the background.
    pub(crate) fn open(fleet: &Fleet, entry: usize, body: &Value) -> CallerStream {
        CallerStream::open_in_class(fleet, entry, body, "lookup")
    }

    /// Sends a chat completion of a traffic class; its stream is read in the background.
    pub(crate) fn open_in_class(
        fleet: &Fleet,
        entry: usize,
        body: &Value,
        class: &str,
    ) -> CallerStream {
        let mut body = body.clone();
        body["stream"] = Value::Bool(true);
        let url = format!("{}/v1/chat/completions", fleet.entries[entry].url());
        let http = fleet.http.clone();
        let (tx, tokens) = watch::channel(0);
        let class = class.to_owned();
        let task = tokio::spawn(async move {
            let key = ("authorization", format!("Bearer {KEY}"));
            let headers = [key, ("x-dogwoodway-class", class)];
            let body = body.to_string().into();
            let resp = http.send(Method::POST, &url, "application/json", body, &headers).await;
            let resp = resp.expect("the entry answers");
            let is_stream = resp.status().is_success();
            let mut events = SseReader::new(resp.into_body());
            let mut seen = Seen::default();
            if !is_stream {
                seen.error = Some("refused".to_owned());
                return seen;
            }
            while let Ok(Some(data)) = events.next().await {
                note(&mut seen, &data);
                tx.send_replace(seen.tokens.len());
            }
            seen
        });
        CallerStream { tokens, task }
    }

    /// Waits until the caller has read `n` tokens, or its stream has ended.
    pub(crate) async fn has_read(&mut self, n: usize) {
        let _ = self.tokens.wait_for(|tokens| *tokens >= n).await;
    }

    /// Waits for the end of the stream.
    pub(crate) async fn ended(self) -> Seen {
        self.task.await.expect("the stream is read")
    }

    /// Closes the caller's connection.
    pub(crate) fn leave(self) {
        self.task.abort();
    }
}

fn note(seen: &mut Seen, data: &str) {
    if data == "[DONE]" {
        seen.is_done = true;
        return;
    }
    let event: Value = serde_json::from_str(data).expect("events are JSON");
    if let Some(kind) = event["error"]["type"].as_str() {
        seen.error = Some(kind.to_owned());
    }
    if event["usage"].is_object() {
        seen.usage = Some(event["usage"].clone());
    }
    match event["choices"][0]["delta"]["content"].as_str() {
        Some(text) if !text.is_empty() => seen.tokens.push(text.to_owned()),
        _ => {}
    }
}
