//! The caller's end of a stream. The head of the response is sent with the first event, so that a
//! stream without events can still be answered by another server, or refused.

use hyper::StatusCode;
use hyper::http::response::Parts;
use tokio::sync::{mpsc, oneshot};

use crate::answer::{Part, Refusal};

/// Events that are queued for a slow caller: a whole generation of usual length.
const EVENT_QUEUE: usize = 256;

/// Head of the response, or the refusal in its place.
pub(super) type Head = oneshot::Receiver<Result<Parts, Refusal>>;

/// Sends a response to the caller.
pub(super) struct Caller {
    /// Sends the head, until it has been sent.
    head: Option<oneshot::Sender<Result<Parts, Refusal>>>,
    parts: mpsc::Sender<Part>,
    status: StatusCode,
}

impl Caller {
    /// Returns the sender of a response, and the receivers of its head and of its body.
    pub(super) fn new() -> (Self, Head, mpsc::Receiver<Part>) {
        let (head, received_head) = oneshot::channel();
        let (parts, received_parts) = mpsc::channel(EVENT_QUEUE);
        let caller = Self {
            head: Some(head),
            parts,
            status: StatusCode::OK,
        };
        (caller, received_head, received_parts)
    }

    /// Returns whether the head has been sent.
    pub(super) fn has_head(&self) -> bool {
        self.head.is_none()
    }

    /// Returns the status of the response.
    pub(super) fn status(&self) -> StatusCode {
        self.status
    }

    /// Sends the head of a server's response, unless one has been sent.
    pub(super) fn send_head(&mut self, head: &mut Option<Parts>) {
        let sender = self.head.take();
        if let (Some(sender), Some(head)) = (sender, head.take()) {
            self.status = head.status;
            // A caller that has left is noticed by `closed`.
            let _ = sender.send(Ok(head));
        }
    }

    /// Sends a refusal in place of a response whose head has not been sent.
    pub(super) fn refuse(&mut self, refusal: Refusal) {
        if let Some(sender) = self.head.take() {
            let _ = sender.send(Err(refusal));
        }
    }

    /// Sends a part of the body. Returns false if the caller has left.
    pub(super) async fn send(&self, part: Part) -> bool {
        self.parts.send(part).await.is_ok()
    }

    /// Waits until the caller has left.
    pub(super) async fn closed(&self) {
        self.parts.closed().await;
    }
}
