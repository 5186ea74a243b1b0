//! One attempt: sends a request to one server, on a new connection.
//!
//! A new connection is known to be alive, carries no late response to an earlier request, and costs
//! about a millisecond. It is closed as soon as the attempt is dropped, which makes the server stop
//! the run.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use medlarfall_runtime::clock::Clock;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::admission;
use crate::codec::{Codec, Command, Dispatch, Health, Reply, Report};
use crate::state::{self, Backend, Relay};

use self::socket::{Socket, Transmission};

pub mod socket;

/// Longest time to connect. A connection within a region takes a few milliseconds. If the first
/// packet is lost, a new connection is faster than TCP's retransmission after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a connection to a server that has reset one lately is watched before the request is sent:
/// a server over its limit resets each new connection as soon as it accepts it. A request whose connection is
/// reset before a byte is written certainly did not run, and a few milliseconds are little for a call.
const RESET_WATCH: Duration = Duration::from_millis(5);

/// Largest response of a server to a control request, in bytes.
const CONTROL_LIMIT: usize = 256 << 10;

/// Largest read buffer of a connection, in bytes.
const READ_BUFFER: usize = 64 << 10;

/// Why an attempt got no response.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Failure {
    /// The connection failed; nothing was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Cause of the failure.
        reason: String,
    },
    /// The server states that it did not run the request.
    #[snafu(display("not run: status {status}"))]
    NotRun {
        /// Status of the server's response.
        status: u16,
        /// Pause before a retry, if the server states one.
        retry_after: Option<Duration>,
    },
    /// The response was lost or is invalid; the request may have run.
    #[snafu(display("lost: {reason}"))]
    Lost {
        /// Cause of the failure.
        reason: String,
        /// Whether the server or the connection to it was lost, as when the server crashes.
        disconnected: bool,
    },
}

impl Failure {
    /// Returns the failure of an attempt whose request may have run, or that it was not sent if no byte of it
    /// was written.
    #[must_use]
    pub fn unless_unsent(self, transmission: &Transmission) -> Self {
        match self {
            Self::Lost { reason, .. } if transmission.withdraw() => Self::NotSent { reason },
            failure => failure,
        }
    }
}

/// Closes the connection and ends the count of the request when dropped.
#[derive(Debug)]
pub struct Guard {
    backend: Arc<Backend>,
    clock: Clock,
    sent_at: Duration,
    answered: bool,
    _connection: Connection,
    _open: state::Connection,
}

/// A connection that is closed when this is dropped.
#[derive(Debug)]
struct Connection(AbortHandle);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.clock.now();
        let took = self.answered.then(|| now.saturating_sub(self.sent_at));
        self.backend.request_ended(took, now);
    }
}

/// A response whose body has not been read.
#[derive(Debug)]
pub struct Answer {
    /// The response.
    pub response: Response<Incoming>,
    /// Its decoded head.
    pub reply: Reply,
    /// Keeps the connection open.
    pub guard: Guard,
}

/// The caller's request as it is forwarded.
#[derive(Clone, Debug)]
pub struct Original {
    /// Identifier.
    pub request_id: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Connects to a server within [`CONNECT_TIMEOUT`].
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// Waits for the end of a new connection, up to [`RESET_WATCH`].
async fn watch_for_reset(stream: &TcpStream) -> io::Result<()> {
    match timeout(RESET_WATCH, stream.peek(&mut [0])).await {
        Ok(Ok(0)) => Err(io::ErrorKind::ConnectionReset.into()),
        Ok(Err(error)) => Err(error),
        Ok(Ok(_)) | Err(_) => Ok(()),
    }
}

/// Starts HTTP on a connection.
async fn start(
    stream: TcpStream,
    transmission: Transmission,
) -> Result<(Sender, Connection), String> {
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER)
        .handshake(TokioIo::new(Socket::new(stream, transmission)))
        .await
        .map_err(|error| error.to_string())?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(reason = error.to_string().as_str(); "connection to a server ended with an error");
        }
    });
    Ok((sender, Connection(task.abort_handle())))
}

/// Connects to a server for a request.
async fn open<C: Codec>(
    relay: &Relay<C>,
    backend: &Arc<Backend>,
    transmission: &Transmission,
) -> Result<(Sender, Connection), Failure> {
    let opened = async {
        let stream = connect(backend.server.address).await?;
        let now = relay.clock.now();
        if backend.connections(|connections| connections.has_reset(now)) {
            watch_for_reset(&stream).await?;
        }
        Ok(stream)
    };
    let stream = opened.await.map_err(|error: io::Error| {
        // A server that resets a connection is alive.
        if error.kind() == io::ErrorKind::ConnectionReset {
            record_reset(relay, backend);
        } else {
            relay.record_unreachable(backend);
        }
        Failure::NotSent {
            reason: error.to_string(),
        }
    })?;
    let started = start(stream, transmission.clone()).await;
    started.map_err(|reason| Failure::NotSent { reason })
}

/// Records that a server reset a connection without a response.
fn record_reset<C: Codec>(relay: &Relay<C>, backend: &Backend) {
    let now = relay.clock.now();
    backend.connections(|connections| connections.record_reset(now));
    backend.load(|load| load.record_outcome(true, now));
}

/// Sends a request to `backend`. `transmission` tells whether bytes of it were written, also when the attempt
/// is dropped.
///
/// # Errors
///
/// Returns the failure, which states whether the request may have run.
pub async fn send<C: Codec>(
    relay: &Relay<C>,
    backend: &Arc<Backend>,
    original: &Original,
    dispatch: &Dispatch,
    transmission: &Transmission,
) -> Result<Answer, Failure> {
    // Before the connection opens, so that requests that are placed meanwhile see it.
    relay.take_from_limit(backend);
    let open_connection = backend.open_connection();
    let (mut sender, connection) = open(relay, backend, transmission).await?;
    let sent_at = relay.clock.now();
    backend.request_sent(sent_at);
    let mut guard = Guard {
        backend: Arc::clone(backend),
        clock: relay.clock,
        sent_at,
        answered: false,
        _connection: connection,
        _open: open_connection,
    };
    let mut request = Request::new(Full::new(original.body.clone()));
    *request.method_mut() = original.method.clone();
    *request.uri_mut() = original.uri.clone();
    *request.headers_mut() = relay.codec.request_headers(&original.headers, dispatch);
    let response = sender.send_request(request).await.map_err(|error| {
        record_reset(relay, backend);
        let lost = Failure::Lost {
            reason: error.to_string(),
            disconnected: true,
        };
        lost.unless_unsent(transmission)
    })?;
    let (parts, body) = response.into_parts();
    let reply = relay.codec.decode_reply(&original.request_id, &parts);
    let now = relay.clock.now();
    if let Some(report) = reply.load {
        backend.record_report(report, now);
        backend.connections(|known| known.record_report(report.requests(), report.waiting, now));
        admission::record_report(relay, backend, report);
    }
    if reply.matches {
        relay.record_limit(backend, reply.limit);
    }
    // Misdirected: another server has the address now.
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if reply.matches && !misdirected && relay.codec.decode_leaving(&parts.headers) {
        relay.record_departure(&backend.server.id, backend.server.started_ms);
    }
    match reply.retry_after {
        Some(pause) if reply.matches && parts.status == StatusCode::SERVICE_UNAVAILABLE => {
            relay.record_pause(backend, pause);
        }
        _ => {}
    }
    if reply.not_run {
        if misdirected {
            relay.record_unreachable(backend);
        } else {
            backend.load(|load| load.record_outcome(true, now));
        }
        return Err(Failure::NotRun {
            status: parts.status.as_u16(),
            retry_after: reply.retry_after,
        });
    }
    if !reply.matches || (parts.status.is_success() && !reply.signed) {
        backend.load(|load| load.record_outcome(true, now));
        return Err(Failure::Lost {
            reason: "response carries another request's identifier or no server signature"
                .to_owned(),
            disconnected: false,
        });
    }
    backend.load(|load| load.record_outcome(parts.status.is_server_error(), now));
    relay.record_response(backend);
    // An error takes less time than an answer.
    guard.answered = !parts.status.is_server_error();
    Ok(Answer {
        response: Response::from_parts(parts, body),
        reply,
        guard,
    })
}

/// Sends a control request to a server, and returns the whole response. An ill server may send without end:
/// callers bound the time.
///
/// # Errors
///
/// Returns why there is no valid response.
pub async fn fetch(address: SocketAddr, command: Command) -> Result<(Parts, Bytes), String> {
    fetch_up_to(address, command, CONTROL_LIMIT, Duration::MAX).await
}

/// Sends a control request to a server or a peer, and returns the whole response of up to `limit` bytes. No
/// part of it may take longer than `silence`.
///
/// # Errors
///
/// Returns why there is no valid response.
pub async fn fetch_up_to(
    address: SocketAddr,
    command: Command,
    limit: usize,
    silence: Duration,
) -> Result<(Parts, Bytes), String> {
    let silent = |_| format!("no byte for {} ms", silence.as_millis());
    let stream = connect(address).await.map_err(|error| error.to_string())?;
    let (mut sender, connection) = start(stream, Transmission::default()).await?;
    let request = Request::builder()
        .method(command.method)
        .uri(command.path)
        .header(HOST, address.to_string())
        .body(Full::new(command.body))
        .map_err(|error| error.to_string())?;
    let response = timeout(silence, sender.send_request(request)).await;
    let response = response.map_err(silent)?;
    let (parts, body) = response.map_err(|error| error.to_string())?.into_parts();
    let mut body = Limited::new(body, limit);
    let mut content = BytesMut::new();
    while let Some(frame) = timeout(silence, body.frame()).await.map_err(silent)? {
        let data = frame.map_err(|error| error.to_string())?.into_data();
        content.extend_from_slice(&data.unwrap_or_default());
    }
    drop(connection);
    Ok((parts, content.freeze()))
}

fn get(path: &str) -> Command {
    Command {
        method: Method::GET,
        path: path.to_owned(),
        body: Bytes::new(),
    }
}

/// Fetches a server's status report.
///
/// # Errors
///
/// Returns why there is no valid response.
pub async fn fetch_report<C: Codec>(
    relay: &Relay<C>,
    address: SocketAddr,
) -> Result<Report, String> {
    relay.metrics.count_probe("report");
    let (parts, body) = fetch(address, get(relay.codec.report_path())).await?;
    let report = relay.codec.decode_report(&parts, &body);
    report.ok_or_else(|| format!("status {} without a valid report", parts.status))
}

/// Fetches the response of the server at an address to a health check, with its name.
///
/// # Errors
///
/// Returns why there is no valid response.
pub async fn fetch_health<C: Codec>(
    relay: &Relay<C>,
    address: SocketAddr,
) -> Result<Health, String> {
    relay.metrics.count_probe("name");
    let (parts, _) = fetch(address, get(relay.codec.health_path())).await?;
    let health = relay.codec.decode_health(&parts);
    health.ok_or_else(|| format!("status {}", parts.status))
}
