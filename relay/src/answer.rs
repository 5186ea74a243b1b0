//! Answers to callers, and the refusals of this system's own.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use crate::codec::Codec;

/// A body that broke off; the connection is closed without the body's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

/// Body of an answer.
#[derive(Debug)]
pub enum Content {
    /// All of it is there.
    Whole(Option<Bytes>),
    /// Parts come as they are made; it is complete only when [`Part::End`] came.
    Parts {
        /// Where the parts come from.
        parts: mpsc::Receiver<Part>,
        /// Length, where it is known before.
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
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts { parts, .. } => match parts.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Part::Data(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Poll::Ready(Some(Part::End)) => {
                    *self = Self::Whole(None);
                    Poll::Ready(None)
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(BrokenOff))),
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

/// Why a request got no server's answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The head can't be used.
    Malformed,
    /// The key is unknown.
    UnknownKey,
    /// No route fits.
    NoRoute,
    /// The body is too large.
    BodyTooLarge,
    /// The body did not come whole.
    BodyBroken,
    /// No configuration is known yet.
    NoConfiguration,
    /// No server of the service can be reached.
    NoServer,
    /// Every server is full.
    Full,
    /// The prompt is larger than the memory of the service's engines.
    PromptTooLarge,
    /// The service has used up its budget of repeats.
    RetryBudget,
    /// A server that may have run the request was lost.
    Lost,
    /// The time ran out while a server was at work.
    TimedOut,
    /// The time ran out before any server had the request.
    TooLate,
    /// This entry holds as much as its memory allows.
    Memory,
    /// This entry stops before the request could end; others take it.
    Stopping,
}

impl Reason {
    /// Returns the status. 429 and 503 say that the request has not run.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoConfiguration
            | Self::NoServer
            | Self::Full
            | Self::PromptTooLarge
            | Self::RetryBudget
            | Self::TooLate
            | Self::Memory
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBroken => "body_broken",
            Self::NoConfiguration => "no_configuration",
            Self::NoServer => "no_server",
            Self::Full => "full",
            Self::PromptTooLarge => "prompt_too_large",
            Self::RetryBudget => "retry_budget",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
            Self::TooLate => "too_late",
            Self::Memory => "memory",
            Self::Stopping => "stopping",
        }
    }
}

/// A request that got no server's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal after which coming back is of no use, or up to the caller.
    #[must_use]
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Returns a refusal of a request that may come back after `pause`.
    #[must_use]
    pub fn come_back(reason: Reason, pause: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(pause),
        }
    }

    /// Returns the answer to the caller.
    pub fn response<D: Codec>(&self, dialect: &D, request_id: Option<&str>) -> Response<Content> {
        let text = format!("{{\"error\":\"{}\"}}\n", self.reason.name());
        let mut response = Response::new(Content::Whole(Some(Bytes::from(text))));
        *response.status_mut() = self.reason.status();
        *response.headers_mut() = dialect.refusal_headers(request_id, self.retry_after);
        response
    }
}
