//! An HTTP client that says whether a failed request may have reached the other side.

use std::error::Error as _;
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

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Header that carries a W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest answer that is read as a whole, in bytes.
const WHOLE_LIMIT: usize = 32 << 20;

/// Why a request got no answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Failure {
    /// No byte of the request was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// What happened.
        reason: String,
    },
    /// The request may have been received and carried out.
    #[snafu(display("answer lost: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
}

/// A pool of connections.
#[derive(Clone, Debug)]
pub struct Pool {
    client: Client<HttpConnector, Full<Bytes>>,
    traceparent: fn() -> Option<String>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new()
    }
}

impl Pool {
    /// Returns a pool without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::traced(|| None)
    }

    /// Returns a pool without connections that sends the trace context that `traceparent` returns.
    #[must_use]
    pub fn traced(traceparent: fn() -> Option<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            traceparent,
        }
    }

    /// Sends a request and returns the answer, whose body is still to be read.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have reached the other side.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        if let Some(Ok(traceparent)) = (self.traceparent)().map(TryInto::try_into) {
            request.headers_mut().insert(TRACEPARENT, traceparent);
        }
        self.client.request(request).await.map_err(|error| {
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

    /// Sends a request and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have reached the other side.
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> Result<(Parts, Bytes), Failure> {
        let (parts, body) = self.send(request).await?.into_parts();
        let body = Limited::new(body, WHOLE_LIMIT).collect().await;
        match body {
            Ok(body) => Ok((parts, body.to_bytes())),
            Err(error) => Err(Failure::Lost {
                reason: error.to_string(),
            }),
        }
    }
}

/// Reads a body of at most `limit` bytes whose bytes are taken from `budget`; returns nothing in
/// place of a larger one, or of one that the budget has no room for.
///
/// # Errors
///
/// Returns that the body did not come whole.
pub async fn read_body(
    mut body: Incoming,
    limit: usize,
    budget: &Budget,
) -> Result<Option<(Bytes, Reservation)>, Failure> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Ok(None);
    }
    let Some(mut hold) = budget.reserve(declared) else {
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
        if length > limit || !budget.extend(&mut hold, more) {
            return Ok(None);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Some((bytes.freeze(), hold)))
}

/// Ends a request with its body.
///
/// # Errors
///
/// Returns the error of a malformed address or header.
pub fn body(
    builder: Builder,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    builder.body(Full::new(body.into()))
}
