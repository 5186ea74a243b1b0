//! What a caller asks for, and what it is told.

use std::sync::Arc;

use medlarfall_coordination::resume_token::Token;
use snafu::Snafu;

use crate::modules::admission::Refusal;

/// A generation that a caller asked for.
#[derive(Clone, Debug)]
pub struct Order {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Client account of the caller.
    pub account: Arc<str>,
    /// Service that was asked.
    pub service: Arc<str>,
    /// Version that answers.
    pub version: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens of the whole answer.
    pub max_tokens: u64,
    /// Priority; higher runs first.
    pub priority: i32,
    /// Whether the caller is given resume tokens, with which it may come back.
    pub resumable: bool,
    /// Where the generation goes on, if it began at another entry or on another connection.
    pub resumption: Option<Resumption>,
}

/// Where a generation goes on.
#[derive(Clone, Debug)]
pub struct Resumption {
    /// What the caller's resume token says.
    pub token: Token,
    /// The tokens that the caller holds, checked against the resume token.
    pub held: Option<Vec<Arc<str>>>,
}

/// Where a token was generated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Origin {
    /// Version that answers.
    pub version: Arc<str>,
    /// Backend server.
    pub server: Arc<str>,
    /// Number of the attempt.
    pub attempt: u64,
}

/// What the caller is told.
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
    /// The answer is whole.
    End {
        /// Why the engine ended it.
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
    /// Returns the bytes that the event holds in memory.
    pub(super) fn bytes(&self) -> usize {
        let text = match self {
            Self::Token { text, .. } => text.len(),
            Self::End { .. } => 0,
            // It is the last thing that a generation says, and is never given up.
            Self::Failed(_) => return 0,
        };
        size_of::<Self>() + text
    }

    /// Returns the index of the first token that is missing if this event is not delivered.
    pub(super) fn first_index(&self) -> Option<u64> {
        match self {
            Self::Token { index, .. } => Some(*index),
            Self::End { tokens, .. } => Some(*tokens),
            Self::Failed(_) => None,
        }
    }
}

/// Why a generation could not be completed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// No backend server can go on with it.
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
        /// Why.
        refusal: Refusal,
    },
    /// The caller's deadline has passed.
    #[snafu(display(
        "the answer was not whole in time; {delivered} tokens were delivered; come back with the last event's id"
    ))]
    Timeout {
        /// Tokens delivered so far.
        delivered: u64,
    },
    /// The text generated anew differs from what the caller was given.
    #[snafu(display(
        "the answer could not be taken up after its {delivered} tokens; come back with the last event's id and the tokens you hold as `tokens`"
    ))]
    Diverged {
        /// Tokens delivered so far.
        delivered: u64,
    },
    /// The entry stops.
    #[snafu(display(
        "this entry stops; {delivered} tokens were delivered; go to another entry with the last event's id"
    ))]
    Stopping {
        /// Tokens delivered so far.
        delivered: u64,
    },
}
