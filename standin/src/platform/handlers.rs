//! Handlers of the requests to the store, the weight store and the instance list.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::time::Instant;

use super::{Instance, LATE_WRITE_DELAY, Platform, WATCH_TIMEOUT_MS, store};
use crate::http::{self, Abort, Body};

impl Platform {
    /// Handles a read, write or delete of one key.
    pub(super) async fn kv(
        &self,
        key: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Abort> {
        let method = request.method().clone();
        if method == Method::GET {
            return Ok(self.get(key));
        }
        let expected =
            http::query_parameter(&request, "expected").and_then(|value| value.parse().ok());
        let lease = http::query_parameter(&request, "lease").and_then(|value| value.parse().ok());
        let Some(body) = http::read_body(request).await else {
            return Err(Abort);
        };
        let value = match method {
            Method::PUT => Some(String::from_utf8_lossy(&body).into_owned()),
            Method::DELETE => None,
            _ => {
                return Ok(http::problem(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "GET, PUT or DELETE expected",
                ));
            }
        };
        let response = self.write(key, value, expected, lease);
        let delay = self.lock().faults.answer_after_ms;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        response
    }

    /// Handles a read of one key.
    fn get(&self, key: &str) -> Response<Body> {
        let mut state = self.lock();
        state.stats.count_read(key);
        let item = if state.faults.stale_reads > 0 {
            state.faults.stale_reads -= 1;
            state.store.get_stale(key)
        } else {
            state.store.get(key, Instant::now())
        };
        match item {
            Some(item) => http::json(StatusCode::OK, &item),
            None => http::problem(StatusCode::NOT_FOUND, "no such key"),
        }
    }

    /// Handles a compare-and-swap, under the faults that drop or delay it.
    fn write(
        &self,
        key: &str,
        value: Option<String>,
        expected: Option<u64>,
        lease: Option<u64>,
    ) -> Result<Response<Body>, Abort> {
        let mut state = self.lock();
        state.stats.writes += 1;
        if state.faults.late_writes > 0 {
            state.faults.late_writes -= 1;
            drop(state);
            tokio::spawn(
                self.clone()
                    .write_late(key.to_owned(), value, expected, lease),
            );
            return Err(Abort);
        }
        let written = state
            .store
            .write(key, value, expected, lease, Instant::now());
        let response = match written {
            Ok(revision) => {
                self.revision.send_replace(revision);
                http::json(StatusCode::OK, &json!({ "revision": revision }))
            }
            Err(store::Refusal::Conflict(current)) => {
                http::json(StatusCode::CONFLICT, &json!({ "current": current }))
            }
            Err(store::Refusal::NoSuchLease) => http::problem(StatusCode::GONE, "no such lease"),
            Err(store::Refusal::TooLarge) => {
                http::problem(StatusCode::PAYLOAD_TOO_LARGE, "a value is at most 1 MiB")
            }
        };
        if state.faults.drop_answers > 0 {
            state.faults.drop_answers -= 1;
            return Err(Abort);
        }
        Ok(response)
    }

    /// Applies a compare-and-swap after [`LATE_WRITE_DELAY`]; its response was dropped before.
    async fn write_late(
        self,
        key: String,
        value: Option<String>,
        expected: Option<u64>,
        lease: Option<u64>,
    ) {
        tokio::time::sleep(LATE_WRITE_DELAY).await;
        let written = self
            .lock()
            .store
            .write(&key, value, expected, lease, Instant::now());
        if let Ok(revision) = written {
            self.revision.send_replace(revision);
        }
    }

    /// Handles a list of the items whose keys have a prefix.
    pub(super) fn list(&self, request: &Request<Incoming>) -> Response<Body> {
        let prefix = http::query_parameter(request, "prefix").unwrap_or_default();
        let mut state = self.lock();
        state.stats.count_read(prefix);
        let outdated = state.faults.stale_reads > 0;
        if outdated {
            state.faults.stale_reads -= 1;
        }
        let items = state.store.list(prefix, outdated, Instant::now());
        let revision = state.store.revision();
        http::json(
            StatusCode::OK,
            &json!({ "items": items, "revision": revision }),
        )
    }

    /// Handles a watch: waits for changes after a revision, and returns them or, after the timeout,
    /// none.
    pub(super) async fn watch(&self, request: &Request<Incoming>) -> Response<Body> {
        let prefix = http::query_parameter(request, "prefix")
            .unwrap_or_default()
            .to_owned();
        let after = http::query_parameter(request, "after")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let timeout = http::query_parameter(request, "timeout_ms")
            .and_then(|value| value.parse().ok())
            .unwrap_or(WATCH_TIMEOUT_MS);
        let deadline = Instant::now() + Duration::from_millis(timeout);
        self.lock().stats.count_read(&prefix);
        let mut revision = self.revision.subscribe();
        loop {
            revision.borrow_and_update();
            let (changes, current_revision) = {
                let mut state = self.lock();
                state.store.expire_leases(Instant::now());
                (state.store.changes(&prefix, after), state.store.revision())
            };
            let waiting = changes.is_empty() && Instant::now() < deadline;
            if !waiting {
                return http::json(
                    StatusCode::OK,
                    &json!({ "changes": changes, "revision": current_revision }),
                );
            }
            let _ = tokio::time::timeout_at(deadline, revision.changed()).await;
        }
    }

    /// Handles the grant, renewal or revocation of a lease.
    pub(super) async fn lease(
        &self,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Abort> {
        let method = request.method().clone();
        let ttl = http::query_parameter(&request, "ttl_ms")
            .and_then(|value| value.parse().ok())
            .unwrap_or(5_000);
        let _ = http::read_body(request).await;
        let mut state = self.lock();
        state.stats.writes += 1;
        let now = Instant::now();
        let lease = path.parse().ok();
        let affected = match (method, lease) {
            (Method::POST, None) => Some(state.store.grant(Duration::from_millis(ttl), now)),
            (Method::POST, Some(lease)) => state.store.renew(lease, now).then_some(lease),
            (Method::DELETE, Some(lease)) => state.store.revoke(lease, now).then_some(lease),
            _ => None,
        };
        self.revision.send_replace(state.store.revision());
        if state.faults.drop_answers > 0 {
            state.faults.drop_answers -= 1;
            return Err(Abort);
        }
        match affected {
            Some(lease) => Ok(http::json(StatusCode::OK, &json!({ "lease": lease }))),
            None => Ok(http::problem(StatusCode::GONE, "no such lease")),
        }
    }

    /// Handles a weight load: delays it to keep the configured rate, and refuses it while the
    /// previous load still has to wait longer than the interval between two loads.
    pub(super) async fn weights(&self) -> Response<Body> {
        let wait = {
            let mut state = self.lock();
            let now = Instant::now();
            if state.next_weight_load > now + self.weight_interval {
                return http::problem(
                    StatusCode::TOO_MANY_REQUESTS,
                    "over the weight store's rate: load later",
                );
            }
            state.next_weight_load = state.next_weight_load.max(now) + self.weight_interval;
            state.next_weight_load - now
        };
        tokio::time::sleep(wait).await;
        http::json(StatusCode::OK, &json!({}))
    }

    /// Handles a read or change of the instance list.
    pub(super) async fn instances(&self, name: &str, request: Request<Incoming>) -> Response<Body> {
        match *request.method() {
            Method::GET => {
                let mut state = self.lock();
                state.stats.instance_reads += 1;
                let list = state.instances.visible(Instant::now());
                http::json(StatusCode::OK, &list)
            }
            Method::PUT => match http::read_json::<Instance>(request).await {
                Some(instance) => {
                    self.register(instance);
                    http::json(StatusCode::OK, &json!({}))
                }
                None => http::problem(StatusCode::BAD_REQUEST, "an instance expected"),
            },
            Method::DELETE => {
                self.lock().instances.remove(name);
                http::json(StatusCode::OK, &json!({}))
            }
            _ => http::problem(
                StatusCode::METHOD_NOT_ALLOWED,
                "GET, PUT or DELETE expected",
            ),
        }
    }
}
