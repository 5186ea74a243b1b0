//! A response body that is buffered for a limited time for a slow caller.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use futures::stream;
use tokio::sync::oneshot;

use crate::utils::budget::Reservation;

/// Largest chunk that is passed to the connection, in bytes.
const MAX_CHUNK: usize = 64 << 10;

/// The part of a body that has not been sent, and its reservation in the memory budget.
struct Remainder {
    bytes: Bytes,
    _reservation: Option<Reservation>,
}

/// Returns a stream of the body. After `timeout` the unread remainder is dropped, its reservation
/// is released, and the stream yields an error, which closes the connection.
pub(super) fn stream(
    body: Bytes,
    reservation: Option<Reservation>,
    timeout: Duration,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let remainder = Remainder {
        bytes: body,
        _reservation: reservation,
    };
    let remainder = Arc::new(Mutex::new(Some(remainder)));
    let (reader, reader_dropped) = oneshot::channel::<()>();
    tokio::spawn(expire(Arc::clone(&remainder), reader_dropped, timeout));
    stream::unfold((remainder, reader), |(remainder, reader)| async move {
        let chunk = next_chunk(&remainder).transpose()?;
        Some((chunk, (remainder, reader)))
    })
}

/// Drops the remainder after the timeout, or when the reader is dropped.
async fn expire(
    remainder: Arc<Mutex<Option<Remainder>>>,
    reader_dropped: oneshot::Receiver<()>,
    timeout: Duration,
) {
    let _ = tokio::time::timeout(timeout, reader_dropped).await;
    remainder
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
}

/// Returns the next chunk, or nothing at the end. The chunk is a copy, so that it does not keep the
/// whole body allocated.
fn next_chunk(remainder: &Mutex<Option<Remainder>>) -> io::Result<Option<Bytes>> {
    let mut remainder = remainder.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(unread) = remainder.as_mut() else {
        return Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the answer was not read in time",
        ));
    };
    if unread.bytes.is_empty() {
        return Ok(None);
    }
    let length = unread.bytes.len().min(MAX_CHUNK);
    Ok(Some(Bytes::copy_from_slice(&unread.bytes.split_to(length))))
}
