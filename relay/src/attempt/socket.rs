//! A server's socket that knows whether bytes of the request were written to it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What has become of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    /// No byte has been written.
    #[default]
    Unsent,
    /// Bytes have been written, which the server may have read.
    Sent,
    /// No byte has been written, and none will be.
    Withdrawn,
}

/// Whether a request has been sent, in part or as a whole. Shared by the socket and the attempt.
#[derive(Clone, Debug, Default)]
pub struct Transmission(Arc<Mutex<State>>);

impl Transmission {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forbids to send the request, unless bytes of it have been written. Returns whether it is certain that
    /// none was written and none will be: the request reached no server.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let mut state = self.lock();
        if *state == State::Unsent {
            *state = State::Withdrawn;
        }
        *state == State::Withdrawn
    }

    /// Writes with `write`, unless the request was withdrawn. A write to a socket whose reset has arrived
    /// fails without sending, so that only the bytes of successful writes count.
    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        // Held while writing: a withdrawal is before the write or sees its result.
        let mut state = self.lock();
        if *state == State::Withdrawn {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = write();
        if matches!(written, Poll::Ready(Ok(length)) if length > 0) {
            *state = State::Sent;
        }
        written
    }
}

/// A connection to a server.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    transmission: Transmission,
}

impl Socket {
    /// Returns a socket that records in `transmission` whether bytes were written.
    #[must_use]
    pub fn new(stream: TcpStream, transmission: Transmission) -> Self {
        Self {
            stream,
            transmission,
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self {
            stream,
            transmission,
        } = self.get_mut();
        transmission.write(|| Pin::new(stream).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self {
            stream,
            transmission,
        } = self.get_mut();
        transmission.write(|| Pin::new(stream).poll_write_vectored(context, slices))
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
