//! Requests and responses of the OpenAI chat-completion protocol.

use std::fmt;

use bytes::Bytes;
use dogwoodway_http::{
    Body, BodySender, ClientDisconnected, channel_body, json_response, sse_event,
};
use dogwoodway_types::{
    ChatMessage, FinishReason, IdError, ModelName, Outcome, RequestId, Timestamp, Usage,
};
use hyper::{Response, StatusCode, header};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    AnswerEvent, AnswerReceiver,
    error::{error_body, error_response},
};

/// Maximum number of generated tokens if the request does not set one.
const DEFAULT_MAX_TOKENS: u32 = 512;

/// A chat-completion request with valid content.
#[derive(Clone, Debug)]
pub(crate) struct ChatRequest {
    pub(crate) model: ModelName,
    pub(crate) messages: Vec<ChatMessage>,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
}

/// Why the body of a chat-completion request is invalid.
#[derive(Debug)]
pub(crate) enum ChatError {
    Json(serde_json::Error),
    ModelName(IdError),
    NoMessages,
    ZeroMaxTokens,
    /// The message with this index has content other than text.
    NonTextContent(usize),
}

impl fmt::Display for ChatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChatError::Json(e) => write!(f, "the body is not a valid request: {e}"),
            ChatError::ModelName(e) => write!(f, "model: {e}"),
            ChatError::NoMessages => write!(f, "messages: at least one is needed"),
            ChatError::ZeroMaxTokens => write!(f, "max_tokens: must be at least 1"),
            ChatError::NonTextContent(i) => write!(f, "messages[{i}].content: must be text"),
        }
    }
}

#[derive(Deserialize)]
struct RawChatRequest {
    model: String,
    messages: Vec<RawMessage>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct RawMessage {
    role: String,
    content: Value,
}

impl TryFrom<RawChatRequest> for ChatRequest {
    type Error = ChatError;

    fn try_from(raw: RawChatRequest) -> Result<ChatRequest, ChatError> {
        let model = ModelName::try_from(raw.model).map_err(ChatError::ModelName)?;
        if raw.messages.is_empty() {
            return Err(ChatError::NoMessages);
        }
        let limit = raw.max_completion_tokens.or(raw.max_tokens);
        let max_tokens = limit.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err(ChatError::ZeroMaxTokens);
        }
        let messages = raw.messages.into_iter().enumerate().map(|(i, msg)| {
            let content = message_text(&msg.content).ok_or(ChatError::NonTextContent(i))?;
            Ok(ChatMessage { role: msg.role, content })
        });
        let messages = messages.collect::<Result<_, _>>()?;
        Ok(ChatRequest { model, messages, max_tokens, stream: raw.stream })
    }
}

/// Parses the body of a chat-completion request.
pub(crate) fn parse(body: &[u8]) -> Result<ChatRequest, ChatError> {
    let raw: RawChatRequest = serde_json::from_slice(body).map_err(ChatError::Json)?;
    ChatRequest::try_from(raw)
}

/// Builds the response to a chat completion. An answer that fails before its first event gets an
/// error status; once a stream has begun, its last event reports the error.
pub(crate) async fn respond(
    id: RequestId,
    chat: &ChatRequest,
    mut events: AnswerReceiver,
) -> Response<Body> {
    let cached_tokens = match events.recv().await {
        Some(AnswerEvent::Started { cached_tokens }) => cached_tokens,
        Some(AnswerEvent::Error(outcome)) => {
            return error_response(&outcome, id, Timestamp::now());
        }
        _ => return incomplete_response(id),
    };
    let mut resp = match chat.stream {
        true => streamed_response(id, chat, events),
        false => buffered_response(id, chat, events).await,
    };
    let headers = resp.headers_mut();
    headers.insert("x-dogwoodway-cached-tokens", header::HeaderValue::from(cached_tokens));
    if let Ok(value) = header::HeaderValue::from_str(&id.to_string()) {
        headers.insert("x-request-id", value);
    }
    resp
}

/// Builds the error response for an answer that ended without a final event.
pub(crate) fn incomplete_response(id: RequestId) -> Response<Body> {
    let outcome = Outcome::Unknown { message: "the answer ended too early".to_owned() };
    error_response(&outcome, id, Timestamp::now())
}

/// Returns the text of a message's content, which is a string or a list of text parts. Returns
/// `None` for other content, such as images.
fn message_text(content: &Value) -> Option<String> {
    match content {
        Value::String(text) => Some(text.clone()),
        Value::Array(parts) => {
            parts.iter().map(|part| part.get("text").and_then(Value::as_str)).collect()
        }
        _ => None,
    }
}

fn streamed_response(
    id: RequestId,
    chat: &ChatRequest,
    mut events: AnswerReceiver,
) -> Response<Body> {
    let (tx, body) = channel_body();
    let model = chat.model.clone();
    tokio::spawn(async move {
        let _ = send_chunk(&tx, id, &model, json!({"role": "assistant", "content": ""})).await;
        while let Some(event) = next_event(&mut events, &tx).await {
            let sent = match event {
                AnswerEvent::Text(text) => {
                    send_chunk(&tx, id, &model, json!({"content": text})).await
                }
                AnswerEvent::End { finish, usage } => {
                    let _ =
                        send_event(&tx, &chunk(id, &model, json!({}), Some(finish), Some(usage)))
                            .await;
                    let _ = tx.send(sse_event("[DONE]")).await;
                    return tx.finish().await;
                }
                AnswerEvent::Error(outcome) => {
                    let _ = send_event(&tx, &error_body(&outcome, id)).await;
                    return tx.finish().await;
                }
                AnswerEvent::Started { .. } | AnswerEvent::Response { .. } => Ok(()),
            };
            if sent.is_err() {
                return;
            }
        }
        let outcome = Outcome::Unknown { message: "the answer ended too early".to_owned() };
        let _ = send_event(&tx, &error_body(&outcome, id)).await;
        tx.finish().await;
    });
    let mut resp = Response::new(body);
    let headers = resp.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-cache"));
    resp
}

/// Waits for the next event of an answer. Returns `None` at its end, and as soon as the client has
/// disconnected, so that the request is cancelled without waiting for another event.
async fn next_event(events: &mut AnswerReceiver, tx: &BodySender) -> Option<AnswerEvent> {
    tokio::select! {
        event = events.recv() => event,
        () = tx.closed() => None,
    }
}

async fn send_chunk(
    tx: &BodySender,
    id: RequestId,
    model: &ModelName,
    delta: Value,
) -> Result<(), ClientDisconnected> {
    send_event(tx, &chunk(id, model, delta, None, None)).await
}

async fn send_event(tx: &BodySender, value: &Value) -> Result<(), ClientDisconnected> {
    let event: Bytes = sse_event(&value.to_string());
    tx.send(event).await
}

fn chunk(
    id: RequestId,
    model: &ModelName,
    delta: Value,
    finish: Option<FinishReason>,
    usage: Option<Usage>,
) -> Value {
    let mut value = json!({
        "id": completion_id(id), "object": "chat.completion.chunk", "created": created(),
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    });
    if let Some(usage) = usage {
        value["usage"] = usage_json(usage);
    }
    value
}

async fn buffered_response(
    id: RequestId,
    chat: &ChatRequest,
    mut events: AnswerReceiver,
) -> Response<Body> {
    let mut text = String::new();
    while let Some(event) = events.recv().await {
        match event {
            AnswerEvent::Text(part) => text.push_str(&part),
            AnswerEvent::End { finish, usage } => {
                let message = json!({"role": "assistant", "content": text});
                let value = json!({
                    "id": completion_id(id), "object": "chat.completion", "created": created(),
                    "model": chat.model,
                    "choices": [{"index": 0, "message": message, "finish_reason": finish}],
                    "usage": usage_json(usage),
                });
                return json_response(StatusCode::OK, &value);
            }
            AnswerEvent::Error(outcome) => return error_response(&outcome, id, Timestamp::now()),
            AnswerEvent::Started { .. } | AnswerEvent::Response { .. } => {}
        }
    }
    incomplete_response(id)
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    })
}

fn completion_id(id: RequestId) -> String {
    format!("chatcmpl-{id}")
}

fn created() -> u64 {
    Timestamp::now().as_millis() / 1_000
}
