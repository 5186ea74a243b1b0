//! An answer that is held for a bounded time for a caller that reads slowly.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use futures::stream;
use tokio::sync::oneshot;

use crate::utils::budget::Hold;

/// Largest piece that is given to the connection at once, in bytes.
const PIECE: usize = 64 << 10;

/// What is left of an answer.
struct Rest {
    bytes: Bytes,
    _hold: Option<Hold>,
}

/// Returns the stream of an answer; what was not read within `timeout` is dropped and its room
/// given back, and the connection is cut.
pub(super) fn stream(
    body: Bytes,
    hold: Option<Hold>,
    timeout: Duration,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let rest = Rest {
        bytes: body,
        _hold: hold,
    };
    let rest = Arc::new(Mutex::new(Some(rest)));
    let (reader, gone) = oneshot::channel::<()>();
    tokio::spawn(expire(Arc::clone(&rest), gone, timeout));
    stream::unfold((rest, reader), |(rest, reader)| async move {
        let piece = next(&rest).transpose()?;
        Some((piece, (rest, reader)))
    })
}

/// Drops the rest of an answer when the time is over or its reader has gone.
async fn expire(rest: Arc<Mutex<Option<Rest>>>, gone: oneshot::Receiver<()>, timeout: Duration) {
    let _ = tokio::time::timeout(timeout, gone).await;
    rest.lock().unwrap_or_else(PoisonError::into_inner).take();
}

/// Returns the next piece, copied so that it does not keep the whole answer, or nothing at its end.
fn next(rest: &Mutex<Option<Rest>>) -> io::Result<Option<Bytes>> {
    let mut rest = rest.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(held) = rest.as_mut() else {
        return Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the answer was not read in time",
        ));
    };
    if held.bytes.is_empty() {
        return Ok(None);
    }
    let length = held.bytes.len().min(PIECE);
    Ok(Some(Bytes::copy_from_slice(&held.bytes.split_to(length))))
}
