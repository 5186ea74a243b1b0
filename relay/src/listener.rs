//! Accepts callers' connections, serves each on its own task, and closes them gracefully at a stop.

use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;
use std::time::Duration;

use futures::FutureExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::TokioIo;
use medlarfall_coordination::routing::Limits;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, Sleep, timeout_at};
use tokio_util::task::TaskTracker;

use crate::codec::Codec;
use crate::ingress;
use crate::state::Relay;

pub mod activity;
mod body;
mod discard;
mod socket;

use activity::{Activity, Excess};
use body::Tracked;
use socket::{Socket, Tracker};

/// Largest head that is read, and bound on the bytes that a connection buffers. It can't change with the
/// configuration while a connection is open; requests whose heads the configuration does not allow are
/// refused when they have been read.
const BUFFER_BYTES: usize = 64 << 10;

/// Pause after a failed accept, usually for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time from the opening of a connection for which its first request is awaited at a stop.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

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
    let opened = Instant::now();
    let tracker = Tracker::new(relay.clock);
    let mut limits = relay.limits.subscribe();
    let mut draining = relay.draining.subscribe();
    let discarded = Arc::new(Notify::new());
    // For a caller of HTTP/1.0, the end of the connection is the end of a response without a length.
    let ends_by_close = AtomicBool::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        ends_by_close.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
        let guard = tracker.begin();
        let handling = ingress::handle(Arc::clone(&relay), request);
        handling.map(|(response, unread)| {
            if let Some(body) = unread {
                let limit = relay.limits.borrow().body_bytes;
                let discarding = discard::run(body, limit, tracker.begin());
                let discarded = Arc::clone(&discarded);
                tokio::spawn(discarding.map(move |()| discarded.notify_one()));
            }
            Ok::<_, Infallible>(response.map(|content| Tracked::new(content, guard)))
        })
    });
    let socket = Socket::new(stream, tracker.clone());
    // Limits change while the connection is open, which this server's own timer can't follow.
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    let closing = async {
        let _ = draining.wait_for(|draining| *draining).await;
        let used = wait_for(&tracker, |activity| !activity.is_unused());
        let _ = timeout_at(opened + FIRST_REQUEST_TIME, used).await;
        wait_for(&tracker, |activity| !activity.is_receiving_head()).await;
    };
    let timer = tokio::time::sleep(Duration::ZERO);
    tokio::pin!(closing, timer);
    let ended = loop {
        let current = *limits.borrow_and_update();
        // Reads what has arrived before it looks at the limits.
        tokio::select! {
            biased;
            ended = &mut connection => break Some(ended),
            () = &mut closing => break None,
            // The idle time begins anew.
            () = discarded.notified() => {}
            Ok(()) = limits.changed() => {
                let now = tracker.clock.now();
                tracker.with(|activity| activity.change_limits(now));
            }
            excess = exceeded(&tracker, &current, timer.as_mut()) => match excess {
                Excess::Idle => break None,
                Excess::Head => {
                    log::debug!("head of a request not complete in time");
                    return;
                }
            },
        }
    };
    let ended = if let Some(ended) = ended {
        ended
    } else {
        Pin::new(&mut connection).graceful_shutdown();
        (&mut connection).await
    };
    let Err(error) = ended else { return };
    log::debug!(reason = error.to_string().as_str(); "connection of a caller ended with an error");
    if error.is_user() && ends_by_close.load(Ordering::Relaxed) {
        connection.into_parts().io.into_inner().reset();
    } else if error.is_parse() {
        let limit = relay.limits.borrow().body_bytes;
        let socket = connection.into_parts().io.into_inner();
        discard::run_after_head(socket, limit).await;
    }
}

/// Waits until the activity of a connection meets a condition. It is polled after the connection, in the
/// same task.
async fn wait_for(tracker: &Tracker, condition: impl Fn(&Activity) -> bool) {
    poll_fn(|_| {
        if tracker.with(|activity| condition(activity)) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Waits until a connection exceeds a limit. It is polled after the connection, in the same task.
async fn exceeded(tracker: &Tracker, limits: &Limits, mut timer: Pin<&mut Sleep>) -> Excess {
    limit_reached(tracker, limits, timer.as_mut()).await;
    // After a suspension of the process, timers fire before the bytes that arrived meanwhile are read.
    yield_now().await;
    limit_reached(tracker, limits, timer).await
}

/// Waits until a limit of a connection is reached.
async fn limit_reached(tracker: &Tracker, limits: &Limits, mut timer: Pin<&mut Sleep>) -> Excess {
    poll_fn(|context| {
        loop {
            let Some((deadline, excess)) = tracker.with(|activity| activity.deadline(limits))
            else {
                return Poll::Pending;
            };
            if deadline <= tracker.clock.now() {
                return Poll::Ready(excess);
            }
            // A timer that fires too early is cheaper than one that is set with every request.
            let deadline = tracker.clock.instant(deadline);
            if timer.is_elapsed() || deadline < timer.deadline() {
                timer.as_mut().reset(deadline);
            }
            if timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    })
    .await
}

/// Sets the socket options of a caller's connection.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}
