//! The request of a generation, and the events that are delivered to its caller.

use std::sync::Arc;

use medlarfall_coordination::resume_token::Token;
use snafu::Snafu;

use crate::modules::admission::Refusal;

/// A caller's request for a generation.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Client account of the caller.
    pub account: Arc<str>,
    /// Service to which the request goes.
    pub service: Arc<str>,
    /// Version of the service.
    pub version: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens of the whole answer.
    pub max_tokens: u64,
    /// Priority; higher runs first.
    pub priority: i32,
    /// Whether the caller receives resume tokens, with which it may resume the answer later.
    pub resumable: bool,
    /// Position from which the generation resumes, if it began on another connection.
    pub resumption: Option<Resumption>,
}

/// Position from which a generation resumes.
#[derive(Clone, Debug)]
pub struct Resumption {
    /// The caller's resume token.
    pub token: Token,
    /// The tokens that the caller has received, checked against the resume token; absent if it did
    /// not send them.
    pub received: Option<Vec<Arc<str>>>,
}

/// The version, server and attempt that generated a token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Version of the service.
    pub version: Arc<str>,
    /// Backend server.
    pub server: Arc<str>,
    /// Number of the attempt.
    pub attempt: u64,
}

/// An event that is delivered to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The next token.
    Token {
        /// Index of the token.
        index: u64,
        /// The token.
        text: Arc<str>,
        /// Where it was generated.
        origin: Arc<Origin>,
    },
    /// The answer is complete.
    End {
        /// The engine's reason for the end.
        reason: Arc<str>,
        /// Number of tokens.
        tokens: u64,
        /// Version that answered.
        version: Arc<str>,
    },
    /// The answer cannot be completed.
    Failed(Error),
}

impl Event {
    /// Returns the bytes of the event that count towards the outbox limits.
    pub(super) fn bytes(&self) -> usize {
        let text = match self {
            Self::Token { text, .. } => text.len(),
            Self::End { .. } => 0,
            // The final event of a failed generation is never discarded, so it does not count.
            Self::Failed(_) => return 0,
        };
        size_of::<Self>() + text
    }

    /// Returns the index of the first token that the caller misses if this event is discarded.
    pub(super) fn first_index(&self) -> Option<u64> {
        match self {
            Self::Token { index, .. } => Some(*index),
            Self::End { tokens, .. } => Some(*tokens),
            Self::Failed(_) => None,
        }
    }
}

/// Reason why a generation could not be completed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// No backend server can continue it.
    #[snafu(display(
        "no backend server of this version can go on; {delivered} tokens were delivered; come back later with the last event's id"
    ))]
    NoServer {
        /// Tokens delivered so far.
        delivered: u64,
    },
    /// It was not admitted, and nothing of it was run.
    #[snafu(display("{refusal}"))]
    Refused {
        /// Reason of the refusal.
        refusal: Refusal,
    },
    /// The answer timeout has passed.
    #[snafu(display(
        "the answer was not whole in time; {delivered} tokens were delivered; come back with the last event's id"
    ))]
    Timeout {
        /// Tokens delivered so far.
        delivered: u64,
    },
    /// The text that was generated again differs from the delivered text.
    #[snafu(display(
        "the answer could not be taken up after its {delivered} tokens; come back with the last event's id and the tokens you hold as `tokens`"
    ))]
    Diverged {
        /// Tokens delivered so far.
        delivered: u64,
    },
    /// The entry is stopping.
    #[snafu(display(
        "this entry stops; {delivered} tokens were delivered; go to another entry with the last event's id"
    ))]
    Stopping {
        /// Tokens delivered so far.
        delivered: u64,
    },
}
