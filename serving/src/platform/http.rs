//! Client of the platform over its HTTP protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fastrace::future::FutureExt as _;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{Changes, Error, Instance, Item, Lease, Listing, Store};
use crate::telemetry;
use crate::utils::http::{self, Failure, Pool};

/// Header that carries the entry's name in calls to the platform.
const CALLER: &str = "medlarfall-caller";

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
    caller: Arc<str>,
    timeout: Duration,
}

/// Response to a successful write.
#[derive(Deserialize)]
struct Written {
    revision: u64,
}

/// Response to a write whose expected revision did not match.
#[derive(Deserialize)]
struct Refused {
    current: Option<Item>,
}

/// Response to a call that grants, renews or revokes a lease.
#[derive(Deserialize)]
struct Granted {
    lease: Lease,
}

impl Client {
    /// Returns a client of the platform at `address` that sends `caller` as its name.
    #[must_use]
    pub fn new(address: SocketAddr, caller: Arc<str>, timeout: Duration) -> Self {
        Self {
            pool: Pool::traced(telemetry::traceparent),
            address,
            caller,
            timeout,
        }
    }

    /// Sends a call and returns the status and body of the response.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: String,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CALLER, self.caller.as_ref());
        let request = http::body(request, body).map_err(|error| unavailable(&error))?;
        let sent = self.pool.fetch_or_reconnect(request);
        let sent = sent.in_span(telemetry::hop("store"));
        let response = tokio::time::timeout(timeout, sent).await;
        match response {
            Ok(Ok((parts, body))) => Ok((parts.status, body)),
            Ok(Err(Failure::NotSent { reason })) => Err(Error::Unavailable { reason }),
            Ok(Err(Failure::Lost { reason })) => Err(Error::Lost { reason }),
            Err(_) => Err(Error::Lost {
                reason: format!("no answer within {} ms", timeout.as_millis()),
            }),
        }
    }

    /// Sends a write and returns the new revision.
    async fn write(&self, method: Method, path: &str, value: String) -> Result<u64, Error> {
        let (status, body) = self.call(method, path, value, self.timeout).await?;
        match status {
            StatusCode::OK => parse::<Written>(&body).map(|written| written.revision),
            StatusCode::CONFLICT => Err(Error::Conflict {
                current: parse::<Refused>(&body)?.current,
            }),
            status => Err(refused(status)),
        }
    }

    /// Sends a read and returns the parsed response.
    async fn read<T: DeserializeOwned>(&self, path: &str, timeout: Duration) -> Result<T, Error> {
        let (status, body) = self.call(Method::GET, path, String::new(), timeout).await?;
        match status {
            StatusCode::OK => parse(&body),
            status => Err(refused(status)),
        }
    }

    /// Sends a lease call and returns the lease.
    async fn lease(&self, method: Method, path: &str) -> Result<Lease, Error> {
        let (status, body) = self.call(method, path, String::new(), self.timeout).await?;
        match status {
            StatusCode::OK => parse::<Granted>(&body).map(|granted| granted.lease),
            status => Err(refused(status)),
        }
    }
}

impl Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        let (status, body) = self
            .call(
                Method::GET,
                &format!("/kv/{key}"),
                String::new(),
                self.timeout,
            )
            .await?;
        match status {
            StatusCode::OK => parse(&body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(refused(status)),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: u64,
        lease: Option<Lease>,
    ) -> Result<u64, Error> {
        let lease = lease
            .map(|lease| format!("&lease={}", lease.0))
            .unwrap_or_default();
        self.write(
            Method::PUT,
            &format!("/kv/{key}?expected={expected}{lease}"),
            value,
        )
        .await
    }

    async fn delete(&self, key: &str, expected: u64) -> Result<u64, Error> {
        self.write(
            Method::DELETE,
            &format!("/kv/{key}?expected={expected}"),
            String::new(),
        )
        .await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.read(&format!("/list?prefix={prefix}"), self.timeout)
            .await
    }

    async fn watch(&self, prefix: &str, after: u64, timeout: Duration) -> Result<Changes, Error> {
        let path = format!(
            "/watch?prefix={prefix}&after={after}&timeout_ms={}",
            timeout.as_millis()
        );
        self.read(&path, timeout + self.timeout).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.lease(Method::POST, &format!("/leases?ttl_ms={}", ttl.as_millis()))
            .await
    }

    async fn renew(&self, lease: Lease) -> Result<(), Error> {
        self.lease(Method::POST, &format!("/leases/{}", lease.0))
            .await
            .map(drop)
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.lease(Method::DELETE, &format!("/leases/{}", lease.0))
            .await
            .map(drop)
    }

    async fn instances(&self) -> Result<Vec<Instance>, Error> {
        self.read("/instances", self.timeout).await
    }
}

/// Returns the error of a call that got the error response `status`.
fn refused(status: StatusCode) -> Error {
    match status {
        StatusCode::GONE => Error::LeaseEnded,
        StatusCode::PAYLOAD_TOO_LARGE => Error::TooLarge,
        // A proxy between this entry and the store may have failed after the call took effect.
        status if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE => {
            Error::Lost {
                reason: format!("it answered {status}"),
            }
        }
        status => Error::Unavailable {
            reason: format!("it answered {status}"),
        },
    }
}

/// Returns the error of a call whose request could not be built.
fn unavailable(error: &hyper::http::Error) -> Error {
    Error::Unavailable {
        reason: error.to_string(),
    }
}

/// Parses a response; an unreadable response counts as lost.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Lost {
        reason: format!("its answer could not be read: {error}"),
    })
}
