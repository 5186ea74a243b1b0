//! An HTTP client whose errors distinguish requests that were not sent from requests that the server
//! may have received.

use std::error::Error as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::http::request::Builder;
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::Snafu;

use crate::budget::{Budget, Reservation};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Header that carries a W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest response body that [`Pool::fetch`] reads, in bytes.
const FETCH_LIMIT: usize = 32 << 20;

/// Why a request got no response.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Failure {
    /// The connection could not be opened; no byte of the request was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Cause of the failure.
        reason: String,
    },
    /// The response did not arrive; the server may have received and executed the request.
    #[snafu(display("answer lost: {reason}"))]
    Lost {
        /// Cause of the failure.
        reason: String,
    },
}

type Connections = Client<HttpConnector, Full<Bytes>>;

/// An HTTP client with a pool of connections.
#[derive(Clone, Debug)]
pub struct Pool {
    connections: Arc<Mutex<Connections>>,
    traceparent: fn() -> Option<String>,
}

/// Discards the idle connections of a pool when dropped, unless the call got a response.
struct Unanswered<'pool> {
    pool: Option<&'pool Pool>,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if let Some(pool) = self.pool {
            *pool.lock() = connect();
        }
    }
}

/// Returns a client without open connections.
fn connect() -> Connections {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

impl Default for Pool {
    fn default() -> Self {
        Self::new()
    }
}

impl Pool {
    /// Returns a pool whose requests carry no trace context.
    #[must_use]
    pub fn new() -> Self {
        Self::traced(|| None)
    }

    /// Returns a pool whose requests carry the trace context that `traceparent` returns.
    #[must_use]
    pub fn traced(traceparent: fn() -> Option<String>) -> Self {
        Self {
            connections: Arc::new(Mutex::new(connect())),
            traceparent,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request and returns the response, whose body has not been read yet.
    ///
    /// # Errors
    ///
    /// Fails if no response arrived; the error states whether the server may have received the
    /// request.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        if let Some(Ok(traceparent)) = (self.traceparent)().map(TryInto::try_into) {
            request.headers_mut().insert(TRACEPARENT, traceparent);
        }
        let connections = self.lock().clone();
        connections.request(request).await.map_err(|error| {
            let reason = error
                .source()
                .map_or_else(|| error.to_string(), ToString::to_string);
            if error.is_connect() {
                Failure::NotSent { reason }
            } else {
                Failure::Lost { reason }
            }
        })
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails if no response arrived; the error states whether the server may have received the
    /// request.
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> Result<(Parts, Bytes), Failure> {
        self.fetch_counting(request, &AtomicU64::new(0)).await
    }

    /// Does the same as [`Self::fetch`], and adds the bytes of the body to `received` as they arrive.
    async fn fetch_counting(
        &self,
        request: Request<Full<Bytes>>,
        received: &AtomicU64,
    ) -> Result<(Parts, Bytes), Failure> {
        let (parts, body) = self.send(request).await?.into_parts();
        let mut body = Limited::new(body, FETCH_LIMIT);
        let mut content = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Failure::Lost {
                reason: error.to_string(),
            })?;
            let data = frame.into_data().unwrap_or_default();
            let length = u64::try_from(data.len()).unwrap_or(u64::MAX);
            received.fetch_add(length, Ordering::Relaxed);
            content.extend_from_slice(&data);
        }
        Ok((parts, content.freeze()))
    }

    /// Sends a request to the only server that this pool is used for, and reads the whole response. If none
    /// arrives, also because the caller stops waiting, the idle connections are discarded, so that the next
    /// request opens a new one: connections that were opened to the server before may all have fallen
    /// silent.
    ///
    /// # Errors
    ///
    /// Fails if no response arrived; the error states whether the server may have received the
    /// request.
    pub async fn fetch_or_reconnect(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Parts, Bytes), Failure> {
        self.fetch_or_reconnect_counting(request, &AtomicU64::new(0))
            .await
    }

    /// Does the same as [`Self::fetch_or_reconnect`], and adds the bytes of the body to `received` as they
    /// arrive.
    ///
    /// # Errors
    ///
    /// Fails if no response arrived; the error states whether the server may have received the
    /// request.
    pub async fn fetch_or_reconnect_counting(
        &self,
        request: Request<Full<Bytes>>,
        received: &AtomicU64,
    ) -> Result<(Parts, Bytes), Failure> {
        let mut unanswered = Unanswered { pool: Some(self) };
        let response = self.fetch_counting(request, received).await?;
        unanswered.pool = None;
        Ok(response)
    }
}

/// Reads a body and reserves its bytes from `budget`. Returns `None` if the body is larger than
/// `limit` bytes or than what the budget has available.
///
/// # Errors
///
/// Fails if the body is incomplete.
pub async fn read_body(
    body: &mut Incoming,
    limit: usize,
    budget: &Budget,
) -> Result<Option<(Bytes, Reservation)>, Failure> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Ok(None);
    }
    let Some(mut reservation) = budget.reserve(declared) else {
        return Ok(None);
    };
    let mut bytes = BytesMut::with_capacity(declared);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Failure::Lost {
            reason: error.to_string(),
        })?;
        let data = frame.into_data().unwrap_or_default();
        let length = bytes.len() + data.len();
        let more = length.saturating_sub(declared.max(bytes.len()));
        if length > limit || !budget.extend(&mut reservation, more) {
            return Ok(None);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Some((bytes.freeze(), reservation)))
}

/// Adds the body to a request builder and returns the finished request.
///
/// # Errors
///
/// Fails if the builder was given a malformed URI or header.
pub fn body(
    builder: Builder,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    builder.body(Full::new(body.into()))
}
