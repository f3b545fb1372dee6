//! The border trait between the HTTP interface and the router.

use dogwoodway_types::{
    ChatMessage, ClassName, FinishReason, IdempotencyKey, LogOffset, ModelName, Outcome, RequestId,
    ServiceWork, TeamName, Timestamp, Usage,
};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// A request of an authenticated caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Identifies the request in logs and errors.
    pub id: RequestId,
    /// Team of the bearer key.
    pub team: TeamName,
    /// Traffic class that the caller asks for.
    pub class: Option<ClassName>,
    /// Key under which the request must not run twice.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Deadline that the caller asks for.
    pub deadline: Option<Timestamp>,
    /// What is asked.
    pub work: CallerWork,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerWork {
    /// A chat completion.
    Chat {
        /// Model to run.
        model: ModelName,
        /// The prompt.
        messages: Vec<ChatMessage>,
        /// Most tokens to generate.
        max_tokens: u32,
    },
    /// A call to a plain service.
    Service(ServiceWork),
}

/// One event of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEvent {
    /// A model engine has begun the answer.
    Started {
        /// Prompt tokens found in its cache.
        cached_tokens: u32,
    },
    /// Text was generated.
    Text(String),
    /// The whole answer of a plain service.
    Response {
        /// HTTP status.
        status: u16,
        /// Content type, empty if there is none.
        content_type: String,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// The answer is complete; last event.
    End {
        /// Why generation ended.
        finish: FinishReason,
        /// Tokens counted.
        usage: Usage,
    },
    /// The request has no complete answer; last event.
    Error(Outcome),
}

/// The events of an answer; dropping it cancels the request.
pub type AnswerReceiver = mpsc::Receiver<AnswerEvent>;

/// Whether a node can serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It can.
    Ready,
    /// It cannot, for the reason given.
    NotReady(String),
}

/// Body of the answer to `GET /readyz`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyReport {
    /// Whether the node can serve.
    pub ready: bool,
    /// Why it cannot.
    pub reason: Option<String>,
    /// Position of the configuration that it serves under.
    pub configuration: Option<LogOffset>,
}

/// Runs the requests of callers.
pub trait Dispatcher: Send + Sync {
    /// Finds the team of a bearer key.
    fn authenticate(&self, key: String) -> BoxFuture<'_, Option<TeamName>>;

    /// Lists the models that a team may use.
    fn models(&self, team: TeamName) -> BoxFuture<'_, Vec<ModelName>>;

    /// Runs a request; every answer ends in exactly one [`AnswerEvent::End`] or
    /// [`AnswerEvent::Error`].
    fn submit(&self, req: CallerRequest) -> AnswerReceiver;

    /// Tells whether the node can serve.
    fn readiness(&self) -> BoxFuture<'_, Readiness>;

    /// Returns the position of the configuration that the node serves under, if it has one.
    fn config_offset(&self) -> Option<LogOffset> {
        None
    }
}
