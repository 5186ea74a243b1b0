//! The body of a response, which keeps its request under way until it has been sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::socket::Guard;
use crate::answer::{Content, Truncated};

/// The body of a response and its request.
#[derive(Debug)]
pub(super) struct Tracked {
    content: Content,
    _request: Guard,
}

impl Tracked {
    /// Returns the body `content` of the response to `request`.
    pub(super) fn new(content: Content, request: Guard) -> Self {
        Self {
            content,
            _request: request,
        }
    }
}

impl Body for Tracked {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.content).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}
