//! Interface between the HTTP routes and the dispatch of requests to backend servers.

use dogwoodway_types::{
    ChatMessage, ClassName, FinishReason, IdempotencyKey, LogOffset, ModelName, Outcome, RequestId,
    ServiceWork, TeamName, Timestamp, Usage,
};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// A request from an authenticated caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Identifies the request in logs and in responses.
    pub id: RequestId,
    /// Team that owns the bearer key.
    pub team: TeamName,
    /// Traffic class that the caller names, if any.
    pub class: Option<ClassName>,
    /// Key that copies of one request share, so that it does not run twice.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Time by which the caller needs the answer, if it sets one.
    pub deadline: Option<Timestamp>,
    /// The chat completion or service call to run.
    pub work: CallerWork,
}

/// The content of a [`CallerRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerWork {
    /// A chat completion.
    Chat {
        /// Model to run.
        model: ModelName,
        /// Messages of the prompt.
        messages: Vec<ChatMessage>,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// A call to a plain service.
    Service(ServiceWork),
}

/// One event of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEvent {
    /// An engine has started to generate; first event of a chat completion.
    Started {
        /// Prompt tokens found in the engine's prefix cache.
        cached_tokens: u32,
    },
    /// The next part of the generated text.
    Text(String),
    /// The whole response of a plain service.
    Response {
        /// HTTP status.
        status: u16,
        /// Content type, empty if there is none.
        content_type: String,
        /// Body of the response.
        body: Vec<u8>,
    },
    /// The answer is complete; last event.
    End {
        /// Why generation ended.
        finish: FinishReason,
        /// Token counts of the request.
        usage: Usage,
    },
    /// The request ended without a complete answer; last event.
    Error(Outcome),
}

/// Receives the events of an answer; dropping it cancels the request.
pub type AnswerReceiver = mpsc::Receiver<AnswerEvent>;

/// Whether a node can serve requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The node has a configuration and is not shutting down.
    Ready,
    /// The node cannot serve, for the given reason.
    NotReady(String),
}

/// Body of the response to `GET /readyz`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyReport {
    /// Whether the node can serve requests.
    pub ready: bool,
    /// Why the node cannot serve requests; `None` if it can.
    pub reason: Option<String>,
    /// Log offset of the configuration in force; `None` if the node has none.
    pub configuration: Option<LogOffset>,
}

/// Runs the requests of callers on backend servers.
pub trait Dispatcher: Send + Sync {
    /// Finds the team that owns a bearer key; `None` if the key is unknown or the node has no
    /// configuration.
    fn authenticate(&self, key: String) -> BoxFuture<'_, Option<TeamName>>;

    /// Lists the models that a team may use.
    fn models(&self, team: TeamName) -> BoxFuture<'_, Vec<ModelName>>;

    /// Starts a request and returns its events; the last one is always [`AnswerEvent::End`] or
    /// [`AnswerEvent::Error`].
    fn submit(&self, req: CallerRequest) -> AnswerReceiver;

    /// Returns whether the node can serve requests.
    fn readiness(&self) -> BoxFuture<'_, Readiness>;

    /// Returns the log offset of the configuration in force, if the node has one.
    fn config_offset(&self) -> Option<LogOffset> {
        None
    }
}
