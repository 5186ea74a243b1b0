//! HTTP client of engines and plain services, for the stand-ins' protocol.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{
    CacheEvent, Call, Engine, Error, Frame, Frames, Generate, Load, Order, OrderResponse,
    OrderState, Reference, Reply, Server, Service,
};
use crate::utils::http::{self, Pool};

/// Header that carries the request's identifier, echoed on the response.
pub const REQUEST_ID: &str = "medlarfall-request-id";

/// Header that carries the number of the attempt, echoed on the response.
pub const ATTEMPT: &str = "medlarfall-attempt";

/// Header that carries the milliseconds that remain for a call.
pub const TIMEOUT: &str = "medlarfall-timeout-ms";

/// Header that states whether a request ran.
pub const RUN: &str = "medlarfall-run";

/// Largest frame, in bytes.
const FRAME_LIMIT: usize = 1 << 20;

/// A client of backend servers.
#[derive(Clone, Debug, Default)]
pub struct Client {
    pool: Pool,
}

/// Stream of frames in a response body, one JSON object per line.
#[derive(Debug)]
pub struct Lines {
    body: Incoming,
    buffer: BytesMut,
}

impl Client {
    /// Returns a client without open connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Posts a message and returns the stream of frames in the response.
    async fn stream<T: Serialize + Sync>(
        &self,
        server: &Server,
        path: &str,
        message: &T,
    ) -> Result<Lines, Error> {
        let response = self.pool.send(post(server, path, message)?).await?;
        match response.status() {
            StatusCode::OK => Ok(Lines {
                body: response.into_body(),
                buffer: BytesMut::new(),
            }),
            status => Err(not_run(format!("the engine answered {status}"))),
        }
    }

    /// Sends a request and parses the response as JSON.
    async fn json<T: DeserializeOwned>(
        &self,
        request: Request<http_body_util::Full<Bytes>>,
    ) -> Result<T, Error> {
        let (parts, body) = self.pool.fetch(request).await?;
        match parts.status {
            StatusCode::OK => {
                serde_json::from_slice(&body).map_err(|error| lost(error.to_string()))
            }
            status => Err(not_run(format!("the server answered {status}"))),
        }
    }
}

impl Frames for Lines {
    async fn next(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return serde_json::from_slice(&line)
                    .map(Some)
                    .map_err(|error| lost(error.to_string()));
            }
            if self.buffer.len() > FRAME_LIMIT {
                return Err(lost("a frame is too long".to_owned()));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => self
                    .buffer
                    .extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
                Some(Err(error)) => return Err(lost(error.to_string())),
                None => return Ok(None),
            }
        }
    }
}

impl Engine for Client {
    type Frames = Lines;

    async fn generate(&self, server: &Server, generate: &Generate) -> Result<Lines, Error> {
        self.stream(server, "/generate", generate).await
    }

    async fn attach(&self, server: &Server, reference: &Reference) -> Result<Lines, Error> {
        self.stream(server, "/attach", reference).await
    }

    async fn cancel(&self, server: &Server, reference: &Reference) -> Result<(), Error> {
        let _: serde_json::Value = self.json(post(server, "/cancel", reference)?).await?;
        Ok(())
    }

    async fn load(&self, server: &Server) -> Result<Load, Error> {
        self.json(get(server, "/load")?).await
    }

    async fn cache_events(&self, server: &Server, after: u64) -> Result<Vec<CacheEvent>, Error> {
        self.json(get(server, &format!("/cache-events?after={after}"))?)
            .await
    }

    async fn order(&self, server: &Server, order: &Order) -> Result<OrderResponse, Error> {
        let request = post(server, "/orders", order)?;
        let (parts, body) = self.pool.fetch(request).await?;
        match parts.status {
            StatusCode::OK => serde_json::from_slice(&body)
                .map(OrderResponse::Done)
                .map_err(|error| lost(error.to_string())),
            StatusCode::PRECONDITION_FAILED => Ok(OrderResponse::Fenced),
            status => Err(not_run(format!("the server answered {status}"))),
        }
    }

    async fn order_state(&self, server: &Server) -> Result<OrderState, Error> {
        self.json(get(server, "/state")?).await
    }
}

impl Service for Client {
    async fn call(&self, server: &Server, call: &Call) -> Result<Reply, Error> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{}{}", server.address, call.path))
            .header(REQUEST_ID, call.request_id.as_ref())
            .header(ATTEMPT, call.attempt)
            .header(TIMEOUT, call.timeout.as_millis().to_string());
        if let Some(content_type) = &call.content_type {
            request = request.header(CONTENT_TYPE, content_type.as_ref());
        }
        if let Some(traceparent) = &call.traceparent {
            request = request.header("traceparent", traceparent.as_ref());
        }
        let request =
            http::body(request, call.body.clone()).map_err(|error| not_run(error.to_string()))?;
        let (parts, mut body) = self.pool.send(request).await?.into_parts();
        let matches = text(&parts.headers, REQUEST_ID) == Some(call.request_id.as_ref())
            && text(&parts.headers, ATTEMPT) == Some(call.attempt.to_string().as_str());
        if !matches {
            return Err(lost("the answer belongs to another request".to_owned()));
        }
        let body = http::read_body(&mut body, call.answer_limit, &call.budget).await?;
        let oversized = body.is_none();
        let (body, reservation) = body.map_or((Bytes::new(), None), |(body, reservation)| {
            (body, Some(reservation))
        });
        Ok(Reply {
            status: parts.status.as_u16(),
            content_type: text(&parts.headers, CONTENT_TYPE.as_str()).map(Into::into),
            not_run: text(&parts.headers, RUN) == Some("not-run"),
            body,
            oversized,
            reservation,
        })
    }
}

/// Returns the value of a header as text.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Builds a `POST` request with a JSON body.
fn post<T: Serialize>(
    server: &Server,
    path: &str,
    message: &T,
) -> Result<Request<http_body_util::Full<Bytes>>, Error> {
    let body = serde_json::to_vec(message).map_err(|error| not_run(error.to_string()))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{path}", server.address))
        .header(CONTENT_TYPE, "application/json");
    http::body(request, body).map_err(|error| not_run(error.to_string()))
}

/// Builds a `GET` request.
fn get(server: &Server, path: &str) -> Result<Request<http_body_util::Full<Bytes>>, Error> {
    let request = Request::builder().uri(format!("http://{}{path}", server.address));
    http::body(request, Bytes::new()).map_err(|error| not_run(error.to_string()))
}

/// Returns an error for a request that was not run.
fn not_run(reason: String) -> Error {
    Error::NotRun { reason }
}

/// Returns an error for a request that may have run.
fn lost(reason: String) -> Error {
    Error::Lost { reason }
}
