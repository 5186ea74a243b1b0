//! HTTP server of the stand-ins, whose handlers can abort a connection without a response, and
//! helpers to read requests and build responses.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::TryStreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_stream::Stream;
use tokio_util::sync::CancellationToken;

/// Largest body that a stand-in reads, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// Response body; an error in it aborts the connection.
pub type Body = UnsyncBoxBody<Bytes, Abort>;

/// Error that makes the server close the connection without a (complete) response.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("connection aborted by an injected fault"))]
pub struct Abort;

/// A running server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    stop: CancellationToken,
}

impl Server {
    /// Stops listening and drops every connection, as a crash of the process does.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    /// Waits until the server has been killed.
    pub async fn killed(&self) {
        self.stop.cancelled().await;
    }
}

/// Starts a server on `address` that passes every request to `handler`, until `stop` is cancelled.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn serve<H, F>(
    address: SocketAddr,
    stop: CancellationToken,
    handler: H,
) -> std::io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<Body>, Abort>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(accept(listener, stop.clone(), handler));
    Ok(Server { address, stop })
}

/// Accepts connections until the server is stopped, then drops them all.
async fn accept<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<Body>, Abort>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, handler.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves one connection.
async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<Body>, Abort>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(handler);
    let _ = auto::Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Reads the body of a request; returns `None` if it is too large or truncated.
pub async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let body = http_body_util::Limited::new(request.into_body(), BODY_LIMIT);
    body.collect()
        .await
        .ok()
        .map(http_body_util::Collected::to_bytes)
}

/// Reads the JSON body of a request; returns `None` if it does not decode to a `T`.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = read_body(request).await?;
    serde_json::from_slice(&body).ok()
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns an error response, with the message in a JSON body.
#[must_use]
pub fn problem(status: StatusCode, error: &str) -> Response<Body> {
    json(status, &serde_json::json!({ "error": error }))
}

/// Returns a body with a known length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Returns a streamed body; an error in the stream aborts the connection.
pub fn stream<S>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, Abort>> + Send + 'static,
{
    StreamBody::new(chunks.map_ok(Frame::data)).boxed_unsync()
}

/// Returns the value of a query parameter, without percent-decoding.
#[must_use]
pub fn query_parameter<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
