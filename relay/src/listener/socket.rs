//! A caller's socket that records when bytes pass.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use medlarfall_runtime::clock::Clock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::activity::Activity;

/// The activity of a connection, shared by its parts. They run in one task, so nobody waits for the lock.
#[derive(Clone, Debug)]
pub(super) struct Tracker {
    pub(super) clock: Clock,
    activity: Arc<Mutex<Activity>>,
}

impl Tracker {
    /// Returns the tracker of a connection that has just been opened.
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            activity: Arc::new(Mutex::new(Activity::new(clock.now()))),
        }
    }

    /// Reads or changes the activity.
    pub(super) fn with<T>(&self, act: impl FnOnce(&mut Activity) -> T) -> T {
        act(&mut self.activity.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records the begin of a request; its end is recorded when the guard is dropped.
    pub(super) fn begin(&self) -> Guard {
        self.with(Activity::begin);
        Guard(self.clone())
    }
}

/// A request that is being handled.
#[derive(Debug)]
pub(super) struct Guard(Tracker);

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.0.clock.now();
        self.0.with(|activity| activity.end(now));
    }
}

/// A caller's socket.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    tracker: Tracker,
}

impl Socket {
    /// Returns a socket that records its use in `tracker`.
    pub(super) fn new(stream: TcpStream, tracker: Tracker) -> Self {
        Self { stream, tracker }
    }

    /// Closes the connection with a reset, which tells the caller that the response is truncated.
    pub(super) fn reset(self) {
        if let Err(error) = self.stream.set_zero_linger() {
            log::debug!(reason = error.to_string().as_str(); "connection of a caller not reset");
        }
    }

    fn record_sent(&self, sent: &Poll<io::Result<usize>>) {
        if matches!(sent, Poll::Ready(Ok(length)) if *length > 0) {
            let now = self.tracker.clock.now();
            self.tracker.with(|activity| activity.send(now));
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            let now = self.tracker.clock.now();
            self.tracker.with(|activity| activity.receive(now));
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_sent(&sent);
        sent
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_sent(&sent);
        sent
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
