//! Runs the relay of one entry from its start to its orderly stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::task::TaskTracker;

use medlarfall_runtime::store::Store;

use crate::codec::Codec;
use crate::state::Relay;
use crate::{broadcast, changelog, internal_http, listener, moves, rediscover, store_watch};

/// Time after the order to stop until kept connections are closed: the platform asks once a second
/// and sends nothing new after two answers that are not ready.
const LEAVE_ROTATION: Duration = Duration::from_millis(2_200);

/// Time before the end of the grace period at which the process ends whatever still runs.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Path at which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Serves until `stop` resolves, then stops in order.
pub async fn run<D: Codec, S: Store>(
    relay: Arc<Relay<D>>,
    store: S,
    callers: TcpListener,
    readiness: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let tracker = TaskTracker::new();
    tokio::spawn(store_watch::run(Arc::clone(&relay), store.clone()));
    tokio::spawn(moves::run(Arc::clone(&relay), store.clone()));
    tokio::spawn(rediscover::run(Arc::clone(&relay)));
    let readiness_address = bound(&readiness);
    tokio::spawn(serve_status(Arc::clone(&relay), readiness));
    if let Some(address) = relay.settings.peer_address {
        match messages(address).await {
            Ok((socket, listener)) => {
                tokio::spawn(changelog::serve(Arc::clone(&relay), listener));
                tokio::spawn(broadcast::run(Arc::clone(&relay), socket));
                tokio::spawn(broadcast::register(
                    Arc::clone(&relay),
                    store.clone(),
                    address,
                ));
            }
            Err(error) => {
                let reason = error.to_string();
                log::error!(address = address.to_string().as_str(), reason = reason.as_str();
                    "no messages of other entries: the address can't be used");
            }
        }
    }
    log::info!(
        entry = &*relay.settings.entry, failure_domain = &*relay.settings.failure_domain,
        callers = bound(&callers).as_str(), readiness = readiness_address.as_str(),
        version = env!("CARGO_PKG_VERSION");
        "start"
    );
    let accepting = listener::serve(Arc::clone(&relay), callers, tracker.clone());
    let accepting = tokio::spawn(accepting);
    stop.await;
    let open = tracker.len();
    log::info!(connections = open; "stop ordered: no longer ready");
    let grace = relay.settings.grace.saturating_sub(GRACE_MARGIN);
    let _ = relay.ends_at.set(relay.clock.now() + grace);
    relay.stopping.send_replace(true);
    let end = tokio::time::Instant::now() + grace;
    tokio::time::sleep(LEAVE_ROTATION.min(grace)).await;
    relay.draining.send_replace(true);
    tracker.close();
    let ended = tokio::time::timeout_at(end, tracker.wait()).await;
    accepting.abort();
    log::info!(connections = tracker.len(), whole = ended.is_ok(); "stop");
}

/// Returns the address that a listener is bound to.
fn bound(listener: &TcpListener) -> String {
    let address = listener.local_addr();
    address.map_or_else(|error| error.to_string(), |address| address.to_string())
}

/// Opens the port for messages of other entries.
async fn messages(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let socket = UdpSocket::bind(address).await?;
    Ok((socket, TcpListener::bind(address).await?))
}

/// Answers whether the entry is ready, and serves its metrics.
pub async fn serve_status<D: Codec>(relay: Arc<Relay<D>>, listener: TcpListener) {
    internal_http::serve(listener, move |request| reply(&relay, request)).await;
}

fn reply<D: Codec>(relay: &Relay<D>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if request.uri().path() == METRICS_PATH {
        *response.body_mut() = Full::from(relay.metrics_text());
        return response;
    }
    if !relay.ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
