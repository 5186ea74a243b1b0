//! Reads the rest of a request that was refused before it had arrived. Closing the connection with unread
//! bytes would reset it, and the caller may lose the refusal.

use std::future::pending;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, copy, sink};
use tokio::time::timeout;

use super::socket::{Guard, Socket};

/// Longest time for which the rest of a request is awaited.
const TIME_LIMIT: Duration = Duration::from_secs(2);

/// Factor on the largest body that is allowed: a body that was refused for its size is often not much
/// larger.
const MARGIN: usize = 2;

/// Discards a body until it ends or the time is up. The request stays under way so long, so that its bytes
/// don't count as the next request's. `limit` is the size of the largest body that is allowed.
pub(super) async fn run(mut body: Incoming, limit: usize, request: Guard) {
    let mut left = limit.saturating_mul(MARGIN);
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            match left.checked_sub(length) {
                Some(rest) => left = rest,
                // The caller can still read the refusal until the connection is closed.
                None => pending().await,
            }
        }
    };
    if timeout(TIME_LIMIT, reading).await.is_err() {
        log::info!("connection closed before the body of a refused request was complete");
    }
    drop(request);
}

/// Discards what a caller sends after a head that can't be parsed, until it closes the connection or the time
/// is up.
pub(super) async fn run_after_head(socket: Socket, limit: usize) {
    let limit = limit.saturating_mul(MARGIN);
    let limit = u64::try_from(limit).unwrap_or(u64::MAX);
    let reading = async {
        let read = copy(&mut socket.take(limit), &mut sink()).await;
        if read.is_ok_and(|length| length == limit) {
            pending::<()>().await;
        }
    };
    let _ = timeout(TIME_LIMIT, reading).await;
}
