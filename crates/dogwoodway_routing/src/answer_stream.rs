//! Assembles the answer to a caller from the frames of one or more attempts.
//!
//! When an attempt fails, the next one resumes the answer after the tokens delivered so far. Frames
//! of an earlier attempt and duplicate frames are ignored, and a gap ends the attempt. After the
//! first token, only attempts on the same weights version may continue the answer, so that no
//! answer mixes the tokens of two versions.

use std::fmt;

use dogwoodway_types::{
    AttemptId, FinishReason, Frame, FrameKind, Outcome, Token, Usage, WeightsVersion,
};

/// What [`AnswerStream::accept`] makes of a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Nothing to deliver: the frame is a duplicate, belongs to an earlier attempt, or is the start
    /// of a resumed answer.
    Ignored,
    /// The answer starts.
    Started {
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
    },
    /// Text of the next token.
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
        /// Token counts over all attempts.
        usage: Usage,
    },
    /// The attempt ended without a complete answer.
    Ended {
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Whether the backend server crashed while it ran the attempt.
        backend_lost: bool,
    },
    /// The frame cannot continue the answer; the attempt must be abandoned.
    Broken(StreamFault),
}

/// Why a frame cannot continue an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// At least one frame is missing.
    Gap {
        /// Sequence number of the first missing frame.
        expected: u64,
        /// Sequence number of the frame that arrived instead.
        received: u64,
    },
    /// The attempt runs on this weights version, not on that of the tokens delivered so far.
    VersionMismatch(WeightsVersion),
    /// A token arrived before the attempt's start frame.
    TokenBeforeStart,
    /// The engine sent more tokens than the request allows.
    TooManyTokens,
}

impl fmt::Display for StreamFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamFault::Gap { expected, received } => {
                write!(f, "frame {received} came for {expected}")
            }
            StreamFault::VersionMismatch(v) => write!(f, "the attempt runs on weights {}", v.0),
            StreamFault::TokenBeforeStart => {
                write!(f, "a token came before the start")
            }
            StreamFault::TooManyTokens => write!(f, "more tokens came than were asked for"),
        }
    }
}

/// State of an answer that is being delivered to the caller.
#[derive(Clone, Debug, Default)]
pub struct AnswerStream {
    max_tokens: usize,
    attempt: Option<AttemptId>,
    next_seq: u64,
    /// Weights version of the current attempt, `None` before its start frame.
    attempt_version: Option<WeightsVersion>,
    /// Weights version of the delivered tokens.
    version: Option<WeightsVersion>,
    /// Cached tokens of the attempt that started the answer, `None` before the start.
    cached_tokens: Option<u32>,
    delivered: Vec<Token>,
}

impl AnswerStream {
    /// Creates the state for an answer of at most `max_tokens` tokens, 0 for a plain service.
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

    /// Switches to a new attempt; further frames of the current one, if any, are ignored.
    pub fn begin_attempt(&mut self, attempt: AttemptId) {
        self.attempt = Some(attempt);
        self.next_seq = 0;
        self.attempt_version = None;
    }

    /// Processes a frame of an attempt.
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

    /// Returns the sequence number of the next frame of the current attempt.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns the tokens delivered so far.
    pub fn delivered(&self) -> &[Token] {
        &self.delivered
    }

    /// Returns the weights version of the delivered tokens, which any further attempt must run;
    /// `None` before the first token.
    pub fn version(&self) -> Option<WeightsVersion> {
        self.version
    }

    /// Returns whether the start of the answer was delivered.
    pub fn has_started(&self) -> bool {
        self.cached_tokens.is_some()
    }

    fn start(&mut self, version: WeightsVersion, cached_tokens: u32) -> StreamEvent {
        if self.version.is_some_and(|current| current != version) {
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

    /// Merges the usage of all attempts: each delivered token counts once, and cached tokens are
    /// those that the first attempt found.
    fn usage(&self, last_attempt: Usage) -> Usage {
        let Some(cached_tokens) = self.cached_tokens else { return last_attempt };
        let completion_tokens = u32::try_from(self.delivered.len()).unwrap_or(u32::MAX);
        Usage { prompt_tokens: last_attempt.prompt_tokens, cached_tokens, completion_tokens }
    }
}
