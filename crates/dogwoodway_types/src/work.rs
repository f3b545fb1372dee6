//! What a request asks a backend server to do, and the frames of its answer.

use serde::{Deserialize, Serialize};

use crate::{EngineIncarnation, ModelName, Outcome, PrefixChain, Token, WeightsVersion};

/// One message of a chat prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author of the message: `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl ChatMessage {
    /// Builds a message.
    ///
    /// ```
    /// assert_eq!(dogwoodway_types::ChatMessage::new("user", "hi").role, "user");
    /// ```
    pub fn new(role: &str, content: &str) -> ChatMessage {
        ChatMessage { role: role.to_owned(), content: content.to_owned() }
    }
}

/// A chat completion to run on a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatWork {
    /// Model to run.
    pub model: ModelName,
    /// Weights version that the prefix hashes were made for.
    pub version: WeightsVersion,
    /// The prompt.
    pub messages: Vec<ChatMessage>,
    /// The prompt's pieces.
    pub prefix: PrefixChain,
    /// Most tokens to generate, over all attempts of the request.
    pub max_tokens: u32,
    /// Tokens that an earlier attempt has delivered; generation goes on after them.
    pub resume_after: Vec<Token>,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// HTTP method.
    pub method: String,
    /// Path and query, from the service's root.
    pub path: String,
    /// Content type of the body, empty if there is none.
    pub content_type: String,
    /// Body of the call.
    pub body: Vec<u8>,
}

/// The work of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A chat completion.
    Chat(ChatWork),
    /// A call to a plain service.
    Service(ServiceWork),
}

/// Tokens counted by the engine for one attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were found in the cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The limit of tokens was reached.
    Length,
}

/// One element of an attempt's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Position in the attempt's answer, counted from 0 without gaps.
    pub seq: u64,
    /// What the frame carries.
    pub kind: FrameKind,
}

/// The content of a [`Frame`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameKind {
    /// The backend server has begun; first frame of a chat completion.
    Started {
        /// Incarnation of the engine that runs the attempt.
        engine: EngineIncarnation,
        /// Weights version that the engine runs.
        version: WeightsVersion,
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
    },
    /// One generated token.
    Token {
        /// The token's number.
        token: Token,
        /// Its text.
        text: String,
    },
    /// The whole answer of a plain service.
    Response {
        /// HTTP status.
        status: u16,
        /// Content type, empty if there is none.
        content_type: String,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// The answer is complete; last frame.
    End {
        /// Why generation ended.
        finish: FinishReason,
        /// Tokens counted.
        usage: Usage,
    },
    /// The attempt ended without a complete answer; last frame.
    Error {
        /// What became of the attempt.
        outcome: Outcome,
        /// Whether the backend server crashed while it ran the attempt.
        backend_lost: bool,
    },
}

impl FrameKind {
    /// Tells whether no frame follows this one.
    ///
    /// ```
    /// use dogwoodway_types::{FinishReason, FrameKind, Usage};
    ///
    /// assert!(FrameKind::End { finish: FinishReason::Stop, usage: Usage::default() }.is_last());
    /// ```
    pub fn is_last(&self) -> bool {
        matches!(self, FrameKind::End { .. } | FrameKind::Error { .. })
    }
}
