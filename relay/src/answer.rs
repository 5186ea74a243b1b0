//! Responses to callers: bodies, and the refusals that this entry itself makes.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use medlarfall_coordination::quarantine::Kind;
use tokio::sync::mpsc;

use crate::codec::Codec;

/// Error of a truncated body. The connection is closed without the body's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("response body truncated")
    }
}

impl std::error::Error for Truncated {}

/// Body of a response.
#[derive(Debug)]
pub enum Content {
    /// The whole body, until it has been sent.
    Whole(Option<Bytes>),
    /// Parts arrive as they are made. The body is complete only after [`Part::End`].
    Parts {
        /// Receives the parts.
        parts: mpsc::Receiver<Part>,
        /// Length of the body, if known in advance.
        length: Option<u64>,
    },
}

/// A part of a body.
#[derive(Clone, Debug)]
pub enum Part {
    /// Bytes.
    Data(Bytes),
    /// The end of a complete body.
    End,
}

impl Body for Content {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts { parts, .. } => match parts.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Part::Data(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Poll::Ready(Some(Part::End)) => {
                    *self = Self::Whole(None);
                    Poll::Ready(None)
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(Truncated))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, length)),
            Self::Parts {
                length: Some(length),
                ..
            } => SizeHint::with_exact(*length),
            Self::Parts { .. } => SizeHint::default(),
        }
    }
}

fn length(bytes: &Bytes) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}

/// Why a request is answered by this entry instead of a server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The head is invalid.
    Malformed,
    /// The head is larger than the configuration allows.
    HeadTooLarge,
    /// The API key is missing or unknown.
    UnknownKey,
    /// No route matches.
    NoRoute,
    /// The body is too large.
    BodyTooLarge,
    /// The body was truncated.
    BodyBroken,
    /// The body was not complete at the deadline.
    BodyTooSlow,
    /// No configuration is known yet.
    NoConfiguration,
    /// No server of the service can be reached.
    NoServer,
    /// Every server is at capacity.
    Full,
    /// Every server has got as many requests as the limit that it names allows, or has asked for a pause.
    Limited,
    /// The prompt exceeds the KV-cache capacity of the service's engines.
    PromptTooLarge,
    /// Prompts with parts of this one crash the servers that begin to answer them.
    PromptBlocked,
    /// Calls like this one crash the servers that begin to answer them.
    CallBlocked,
    /// The retry budget of the service is used up.
    RetryBudget,
    /// A server was lost that may have run the request.
    Lost,
    /// The deadline passed while a server was processing the request.
    TimedOut,
    /// The deadline passed before the request was sent to a server.
    TooLate,
    /// This entry has no free memory for the body.
    Memory,
    /// This entry stops before the request could end; another entry can serve it.
    Stopping,
    /// The handling of the request panicked; it may have run.
    Internal,
}

impl Reason {
    /// Returns the reason for which blocked requests of a kind are refused.
    #[must_use]
    pub fn blocked(kind: Kind) -> Self {
        match kind {
            Kind::Prompt => Self::PromptBlocked,
            Kind::Call => Self::CallBlocked,
        }
    }

    /// Returns the HTTP status. 408, 429 and 503 state that the request has not run.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoConfiguration
            | Self::NoServer
            | Self::Full
            | Self::Limited
            | Self::PromptTooLarge
            | Self::PromptBlocked
            | Self::CallBlocked
            | Self::RetryBudget
            | Self::TooLate
            | Self::Memory
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBroken => "body_broken",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoConfiguration => "no_configuration",
            Self::NoServer => "no_server",
            Self::Full => "full",
            Self::Limited => "limited",
            Self::PromptTooLarge => "prompt_too_large",
            Self::PromptBlocked => "prompt_blocked",
            Self::CallBlocked => "call_blocked",
            Self::RetryBudget => "retry_budget",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
            Self::TooLate => "too_late",
            Self::Memory => "memory",
            Self::Stopping => "stopping",
            Self::Internal => "internal",
        }
    }
}

/// A response to a request that no server answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Pause before the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal without a retry delay: a retry is of no use, or up to the caller.
    #[must_use]
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Returns a refusal that allows a retry after `pause`.
    #[must_use]
    pub fn with_retry(reason: Reason, pause: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(pause),
        }
    }

    /// Returns the response to the caller.
    pub fn response<C: Codec>(&self, codec: &C, request_id: Option<&str>) -> Response<Content> {
        let text = format!("{{\"error\":\"{}\"}}\n", self.reason.name());
        let mut response = Response::new(Content::Whole(Some(Bytes::from(text))));
        *response.status_mut() = self.reason.status();
        *response.headers_mut() = codec.refusal_headers(request_id, self.retry_after);
        response
    }
}
