//! The caller's side of an answer, put together from the frames of one or more attempts.
//!
//! Frames of a left attempt, repeated frames and frames after a gap never become part of the
//! answer. Once a token was delivered, only attempts on the same weights version continue it.

use std::fmt;

use dogwoodway_types::{
    AttemptId, FinishReason, Frame, FrameKind, Outcome, Token, Usage, WeightsVersion,
};

/// What a frame means for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Nothing; the frame is repeated, of a left attempt, or repeats a start.
    Ignored,
    /// The answer begins.
    Started {
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
    },
    /// Text follows.
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
    /// The answer is complete.
    Complete {
        /// Why generation ended.
        finish: FinishReason,
        /// Tokens counted over all attempts.
        usage: Usage,
    },
    /// The attempt ended without a complete answer.
    Ended {
        /// What became of the attempt.
        outcome: Outcome,
        /// Whether the backend server was lost.
        backend_lost: bool,
    },
    /// The attempt's frames cannot continue the answer.
    Broken(StreamFault),
}

/// The reason why frames cannot continue an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// A frame is missing.
    Gap {
        /// Sequence number that was expected.
        expected: u64,
        /// Sequence number that was received.
        received: u64,
    },
    /// The attempt runs on other weights than the tokens delivered so far.
    VersionMismatch(WeightsVersion),
    /// A token came before the attempt's start.
    TokenBeforeStart,
    /// More tokens came than were asked for.
    TooManyTokens,
}

impl fmt::Display for StreamFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamFault::Gap { expected, received } => {
                write!(f, "frame {received} came for {expected}")
            }
            StreamFault::VersionMismatch(v) => write!(f, "the attempt runs on weights {}", v.0),
            StreamFault::TokenBeforeStart => write!(f, "a token came before the start"),
            StreamFault::TooManyTokens => write!(f, "more tokens came than were asked for"),
        }
    }
}

/// An answer on its way to the caller.
#[derive(Clone, Debug, Default)]
pub struct AnswerStream {
    max_tokens: usize,
    attempt: Option<AttemptId>,
    next_seq: u64,
    attempt_version: Option<WeightsVersion>,
    version: Option<WeightsVersion>,
    cached_tokens: Option<u32>,
    delivered: Vec<Token>,
}

impl AnswerStream {
    /// Starts an answer of at most `max_tokens` tokens, 0 for a plain service.
    ///
    /// ```
    /// use dogwoodway_routing::answer_stream::{AnswerStream, StreamEvent};
    /// use dogwoodway_types::{AttemptId, EngineIncarnation, Frame, FrameKind, WeightsVersion};
    ///
    /// let mut stream = AnswerStream::new(8);
    /// stream.begin_attempt(AttemptId(1));
    /// let (engine, version) = (EngineIncarnation(7), WeightsVersion(1));
    /// let kind = FrameKind::Started { engine, version, cached_tokens: 2 };
    /// let frame = Frame { seq: 0, kind };
    /// assert_eq!(stream.accept(AttemptId(9), frame.clone()), StreamEvent::Ignored);
    /// assert_eq!(stream.accept(AttemptId(1), frame), StreamEvent::Started { cached_tokens: 2 });
    /// ```
    pub fn new(max_tokens: u32) -> AnswerStream {
        AnswerStream { max_tokens: max_tokens as usize, ..AnswerStream::default() }
    }

    /// Leaves the current attempt, if any, and continues with another one.
    pub fn begin_attempt(&mut self, attempt: AttemptId) {
        self.attempt = Some(attempt);
        self.next_seq = 0;
        self.attempt_version = None;
    }

    /// Takes a frame of an attempt.
    pub fn accept(&mut self, attempt: AttemptId, frame: Frame) -> StreamEvent {
        if self.attempt != Some(attempt) || frame.seq < self.next_seq {
            return StreamEvent::Ignored;
        }
        if frame.seq > self.next_seq {
            return StreamEvent::Broken(StreamFault::Gap {
                expected: self.next_seq,
                received: frame.seq,
            });
        }
        self.next_seq += 1;
        match frame.kind {
            FrameKind::Started { version, cached_tokens, .. } => self.start(version, cached_tokens),
            FrameKind::Token { token, text } => self.token(token, text),
            FrameKind::Response { status, content_type, body } => {
                StreamEvent::Response { status, content_type, body }
            }
            FrameKind::End { finish, usage } => {
                StreamEvent::Complete { finish, usage: self.usage(usage) }
            }
            FrameKind::Error { outcome, backend_lost } => {
                StreamEvent::Ended { outcome, backend_lost }
            }
        }
    }

    /// Returns the sequence number of the frame that is expected.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns the tokens delivered so far.
    pub fn delivered(&self) -> &[Token] {
        &self.delivered
    }

    /// Returns the only weights version that can continue the answer, once a token was delivered.
    pub fn version(&self) -> Option<WeightsVersion> {
        self.version
    }

    /// Tells whether the caller was told that the answer began.
    pub fn has_started(&self) -> bool {
        self.cached_tokens.is_some()
    }

    fn start(&mut self, version: WeightsVersion, cached_tokens: u32) -> StreamEvent {
        if self.version.is_some_and(|pinned| pinned != version) {
            return StreamEvent::Broken(StreamFault::VersionMismatch(version));
        }
        self.attempt_version = Some(version);
        if self.has_started() {
            return StreamEvent::Ignored;
        }
        self.cached_tokens = Some(cached_tokens);
        StreamEvent::Started { cached_tokens }
    }

    fn token(&mut self, token: Token, text: String) -> StreamEvent {
        if self.attempt_version.is_none() {
            return StreamEvent::Broken(StreamFault::TokenBeforeStart);
        }
        if self.delivered.len() >= self.max_tokens {
            return StreamEvent::Broken(StreamFault::TooManyTokens);
        }
        self.version = self.attempt_version;
        self.delivered.push(token);
        StreamEvent::Text(text)
    }

    /// Counts each delivered token once and the cache as the first attempt found it.
    fn usage(&self, last_attempt: Usage) -> Usage {
        let Some(cached_tokens) = self.cached_tokens else { return last_attempt };
        let completion_tokens = u32::try_from(self.delivered.len()).unwrap_or(u32::MAX);
        Usage { prompt_tokens: last_attempt.prompt_tokens, cached_tokens, completion_tokens }
    }
}
