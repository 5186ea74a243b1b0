//! Runs the relay of one entry from its start to its graceful stop.

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
use crate::duty::Provider;
use crate::state::Relay;
use crate::{
    autoscaling, broadcast, catch_up, changelog, duty, internal_http, lapses, listener, moves,
    quarantine, rediscover, registration, store_watch, supervisor, usage,
};

/// Time from the stop signal until idle connections are closed. The platform polls readiness once a
/// second and routes nothing new here after two responses that are not ready.
const ROTATION_DELAY: Duration = Duration::from_millis(2_200);

/// Time before the end of the grace period at which the process ends requests that are still
/// running.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

const METRICS_PATH: &str = "/metrics";

/// Serves until `stop` resolves, then stops gracefully. Without a `provider` there are no duties.
pub async fn run<C: Codec, S: Store, P: Provider>(
    relay: Arc<Relay<C>>,
    store: S,
    provider: Option<P>,
    callers: TcpListener,
    readiness: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let tracker = TaskTracker::new();
    let watching = (Arc::clone(&relay), store.clone());
    supervise(&relay, "store_watch", move || {
        store_watch::run(Arc::clone(&watching.0), watching.1.clone())
    });
    let moving = (Arc::clone(&relay), store.clone());
    supervise(&relay, "moves", move || {
        moves::run(Arc::clone(&moving.0), moving.1.clone())
    });
    let recording = (Arc::clone(&relay), store.clone());
    supervise(&relay, "quarantine", move || {
        quarantine::run(Arc::clone(&recording.0), recording.1.clone())
    });
    let expiring = Arc::clone(&relay);
    supervise(&relay, "lapses", move || lapses::run(Arc::clone(&expiring)));
    let searching = Arc::clone(&relay);
    supervise(&relay, "rediscover", move || {
        rediscover::run(Arc::clone(&searching))
    });
    start_duties(&relay, &store, provider);
    let readiness_address = bound_address(&readiness);
    tokio::spawn(serve_status(Arc::clone(&relay), readiness));
    if let Some(address) = relay.settings.peer_address {
        match bind_peer_port(address).await {
            Ok((socket, listener)) => {
                tokio::spawn(changelog::serve(Arc::clone(&relay), listener));
                let exchanging = (Arc::clone(&relay), Arc::new(socket));
                supervise(&relay, "broadcast", move || {
                    broadcast::run(Arc::clone(&exchanging.0), Arc::clone(&exchanging.1))
                });
                let catching_up = (Arc::clone(&relay), store.clone());
                supervise(&relay, "catch_up", move || {
                    catch_up::run(Arc::clone(&catching_up.0), catching_up.1.clone())
                });
                let registering = (Arc::clone(&relay), store.clone());
                supervise(&relay, "registration", move || {
                    let (relay, store) = registering.clone();
                    registration::run(relay, store, address)
                });
            }
            Err(error) => {
                let reason = error.to_string();
                log::error!(address = address.to_string().as_str(), reason = reason.as_str();
                    "no messages between entries: the address can't be bound");
            }
        }
    }
    log::info!(
        entry = &*relay.settings.entry, failure_domain = &*relay.settings.failure_domain,
        callers = bound_address(&callers).as_str(), readiness = readiness_address.as_str(),
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
    relay.streams_changed.notify_one();
    relay.notify_duties();
    let end = tokio::time::Instant::now() + grace;
    tokio::time::sleep(ROTATION_DELAY.min(grace)).await;
    relay.draining.send_replace(true);
    tracker.close();
    let ended = tokio::time::timeout_at(end, tracker.wait()).await;
    accepting.abort();
    log::info!(connections = tracker.len(), whole = ended.is_ok(); "stop");
}

/// Starts the tasks that do duties.
fn start_duties<C: Codec, S: Store, P: Provider>(
    relay: &Arc<Relay<C>>,
    store: &S,
    provider: Option<P>,
) {
    let Some((settings, provider)) = relay.settings.duties.zip(provider) else {
        return;
    };
    let locking = (Arc::clone(relay), store.clone());
    supervise(relay, "duty", move || {
        duty::run(Arc::clone(&locking.0), locking.1.clone())
    });
    if settings.autoscaling {
        let ordering = (Arc::clone(relay), provider.clone());
        supervise(relay, "autoscaling", move || {
            autoscaling::run(Arc::clone(&ordering.0), ordering.1.clone())
        });
    }
    if settings.usage_reporting {
        let reporting = (Arc::clone(relay), store.clone(), provider);
        supervise(relay, "usage", move || {
            let (relay, store, provider) = reporting.clone();
            usage::run(relay, store, provider, settings)
        });
    }
}

/// Spawns a task that is started again whenever it ends.
fn supervise<C: Codec, F>(
    relay: &Arc<Relay<C>>,
    name: &'static str,
    start: impl FnMut() -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(supervisor::run(Arc::clone(relay), name, start));
}

/// Returns the address of a listener, or the error as text.
fn bound_address(listener: &TcpListener) -> String {
    let address = listener.local_addr();
    address.map_or_else(|error| error.to_string(), |address| address.to_string())
}

/// Opens the UDP and TCP port for messages of other entries.
async fn bind_peer_port(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let socket = UdpSocket::bind(address).await?;
    Ok((socket, TcpListener::bind(address).await?))
}

/// Serves readiness checks and metrics.
pub async fn serve_status<C: Codec>(relay: Arc<Relay<C>>, listener: TcpListener) {
    internal_http::serve(listener, move |request| reply(&relay, request)).await;
}

fn reply<C: Codec>(relay: &Relay<C>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
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
