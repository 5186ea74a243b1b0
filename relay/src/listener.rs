//! Accepts callers' connections, serves each on its own task, and closes them gracefully at a stop.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

use crate::codec::Codec;
use crate::ingress;
use crate::state::Relay;

/// Factor on the configured idle time. Callers reuse a connection until shortly before the idle
/// limit; the server keeps it longer, so that it does not close a connection while a new
/// request is on its way.
const IDLE_MARGIN: u32 = 2;

/// Pause after a failed accept, usually for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the task is aborted.
pub async fn serve<C: Codec>(relay: Arc<Relay<C>>, listener: TcpListener, tracker: TaskTracker) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tracker.spawn(connection(Arc::clone(&relay), stream));
            }
            Err(error) => {
                log::warn!(reason = error.to_string().as_str(); "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection.
async fn connection<C: Codec>(relay: Arc<Relay<C>>, stream: TcpStream) {
    if let Err(error) = set_options(&stream) {
        log::debug!(reason = error.to_string().as_str(); "socket options of a caller's connection not set");
    }
    let limits = relay.table().map(|table| table.limits).unwrap_or_default();
    let mut draining = relay.draining.subscribe();
    let service = {
        let relay = Arc::clone(&relay);
        service_fn(move |request| ingress::handle(Arc::clone(&relay), request))
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time * IDLE_MARGIN)
        .max_buf_size(limits.header_bytes.max(8 << 10) * 2)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async { draining.wait_for(|draining| *draining).await.map(drop) };
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        _ = closing => None,
    };
    let ended = if let Some(ended) = ended {
        ended
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = ended {
        log::debug!(reason = error.to_string().as_str(); "connection of a caller ended with an error");
    }
}

/// Sets the socket options of a caller's connection.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}
