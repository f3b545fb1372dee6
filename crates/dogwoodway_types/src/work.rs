//! Work that a backend server does for a request, and the frames of its answer.

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
    /// Creates a message.
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
    /// Weights version that the prefix hashes were computed for.
    pub version: WeightsVersion,
    /// Messages of the prompt.
    pub messages: Vec<ChatMessage>,
    /// Piece hashes of the prompt.
    pub prefix: PrefixChain,
    /// Maximum number of tokens to generate, over all attempts of the request.
    pub max_tokens: u32,
    /// Tokens that earlier attempts have delivered; generation continues after them.
    pub resume_after: Vec<Token>,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// HTTP method.
    pub method: String,
    /// Path and query, relative to the service's root.
    pub path: String,
    /// Content type of the body, empty if there is none.
    pub content_type: String,
    /// Request body.
    pub body: Vec<u8>,
}

/// Work to do for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A chat completion.
    Chat(ChatWork),
    /// A call to a plain service.
    Service(ServiceWork),
}

/// Token counts of one attempt, reported by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
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
    /// The maximum number of tokens was reached.
    Length,
}

/// One element of an attempt's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Sequence number in the attempt's answer, counted from 0 without gaps.
    pub seq: u64,
    /// Content of the frame.
    pub kind: FrameKind,
}

/// The content of a [`Frame`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameKind {
    /// The engine has started the attempt; first frame of a chat completion.
    Started {
        /// Incarnation of the engine that runs the attempt.
        engine: EngineIncarnation,
        /// Weights version that the engine has loaded.
        version: WeightsVersion,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u32,
    },
    /// One generated token.
    Token {
        /// Number of the token in the engine's vocabulary.
        token: Token,
        /// Text of the token.
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
        /// Token counts of the attempt.
        usage: Usage,
    },
    /// The attempt ended without a complete answer; last frame.
    Error {
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Whether the backend server crashed while it ran the attempt.
        backend_lost: bool,
    },
}

impl FrameKind {
    /// Returns whether this is the last frame of an attempt.
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
