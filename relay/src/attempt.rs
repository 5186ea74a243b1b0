//! One send of a request to one server, on a connection of its own.
//!
//! A new connection is surely alive, carries no late answer of an earlier request, and costs a
//! millisecond. It is closed as soon as the attempt is dropped, which makes the server stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::dialect::{Dialect, Order, Reply, Report, Send};
use crate::state::{Backend, Relay};

/// Longest time to connect. A connection within a region takes a few milliseconds; where the
/// first packet is lost, another connection is sooner than the next try of this one, after 1 s.
const CONNECT_TIME: Duration = Duration::from_millis(150);

/// Largest report of a server on itself, in bytes.
const REPORT_LIMIT: usize = 256 << 10;

/// Largest buffer for an answer's head or part, in bytes.
const READ_BUFFER: usize = 64 << 10;

/// Why an attempt got no answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Failure {
    /// Nothing was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// What happened.
        reason: String,
    },
    /// The server says that it did not run the request.
    #[snafu(display("not run: status {status}"))]
    NotRun {
        /// Status of the server's answer.
        status: u16,
        /// When the request may come back.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    #[snafu(display("lost: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
}

/// Ends the connection and the count of the request when it is dropped.
#[derive(Debug)]
pub struct Guard {
    backend: Arc<Backend>,
    _connection: Connection,
}

/// A connection that ends when this is dropped.
#[derive(Debug)]
struct Connection(AbortHandle);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.backend
            .load(medlarfall_coordination::balance::Load::request_ended);
    }
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct Answer {
    /// Head and body.
    pub response: Response<Incoming>,
    /// What the head says.
    pub reply: Reply,
    /// Keeps the connection.
    pub guard: Guard,
}

/// The caller's request as it is sent on.
#[derive(Clone, Debug)]
pub struct Original {
    /// Identifier.
    pub request_id: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Connects to a server.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIME, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// Opens a connection.
async fn open(address: SocketAddr) -> Result<(Sender, Connection), String> {
    let stream = connect(address).await.map_err(|error| error.to_string())?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(reason = error.to_string().as_str(); "connection to a server ended");
        }
    });
    Ok((sender, Connection(task.abort_handle())))
}

/// Sends a request to `backend`.
///
/// # Errors
///
/// Returns whether the request may have run.
pub async fn send<D: Dialect>(
    relay: &Relay<D>,
    backend: &Arc<Backend>,
    original: &Original,
    send: &Send,
) -> Result<Answer, Failure> {
    let opened = open(backend.server.address).await;
    let (mut sender, connection) = opened.map_err(|reason| {
        relay.unreachable(backend);
        Failure::NotSent { reason }
    })?;
    backend.load(medlarfall_coordination::balance::Load::request_started);
    let guard = Guard {
        backend: Arc::clone(backend),
        _connection: connection,
    };
    let mut request = Request::new(Full::new(original.body.clone()));
    *request.method_mut() = original.method.clone();
    *request.uri_mut() = original.uri.clone();
    *request.headers_mut() = relay.dialect.headers(&original.headers, send);
    let response = sender.send_request(request).await.map_err(|error| {
        let now = relay.clock.now();
        backend.load(|load| load.record_outcome(true, now));
        let reason = error.to_string();
        Failure::Lost { reason }
    })?;
    let (parts, body) = response.into_parts();
    let reply = relay.dialect.reply(&original.request_id, &parts);
    let now = relay.clock.now();
    if let Some(requests) = reply.requests {
        backend.load(|load| load.record_report(requests, now));
    }
    if reply.not_run {
        let status = parts.status.as_u16();
        match status {
            // Another server has the address now.
            421 => relay.unreachable(backend),
            _ => backend.load(|load| load.record_outcome(true, now)),
        }
        return Err(Failure::NotRun {
            status,
            retry_after: reply.retry_after,
        });
    }
    if !reply.matches || (parts.status.is_success() && !reply.signed) {
        backend.load(|load| load.record_outcome(true, now));
        return Err(Failure::Lost {
            reason: "the answer is to another request, or of no server".to_owned(),
        });
    }
    backend.load(|load| load.record_outcome(parts.status.is_server_error(), now));
    relay.answered(backend);
    Ok(Answer {
        response: Response::from_parts(parts, body),
        reply,
        guard,
    })
}

/// Makes a call to a server that is no caller's request, and returns the whole answer.
///
/// # Errors
///
/// Returns why there is none.
pub async fn exchange(address: SocketAddr, order: Order) -> Result<(Parts, Bytes), String> {
    let (mut sender, connection) = open(address).await?;
    let request = Request::builder()
        .method(order.method)
        .uri(order.path)
        .header(HOST, address.to_string())
        .body(Full::new(order.body))
        .map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await;
    let (parts, body) = response.map_err(|error| error.to_string())?.into_parts();
    let body = Limited::new(body, REPORT_LIMIT).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    drop(connection);
    Ok((parts, body))
}

fn get(path: &str) -> Order {
    Order {
        method: Method::GET,
        path: path.to_owned(),
        body: Bytes::new(),
    }
}

/// Asks a server for its report on itself.
///
/// # Errors
///
/// Returns why there is none.
pub async fn report<D: Dialect>(relay: &Relay<D>, address: SocketAddr) -> Result<Report, String> {
    relay.metrics.questions.inc();
    let (parts, body) = exchange(address, get(relay.dialect.report_path())).await?;
    let report = relay.dialect.report(parts.status, &body);
    report.ok_or_else(|| format!("status {} without a report", parts.status))
}

/// Asks the server at an address for its name.
///
/// # Errors
///
/// Returns why there is none.
pub async fn name<D: Dialect>(relay: &Relay<D>, address: SocketAddr) -> Result<Arc<str>, String> {
    relay.metrics.questions.inc();
    let (parts, _) = exchange(address, get(relay.dialect.health_path())).await?;
    let name = relay.dialect.healthy(&parts);
    name.ok_or_else(|| format!("status {}", parts.status))
}
