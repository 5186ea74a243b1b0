//! Stand-in for a plain service.
//!
//! A GET returns a record that is derived from the path. Every other method runs an action, which
//! the request body names, and the service counts how often each action ran.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::faults::{CrashScope, Lifecycle};
use crate::http::{self, Abort, Body, Server};
use crate::oracle;

/// Header with the identifier of the request, repeated in the response.
pub const REQUEST_ID: &str = "medlarfall-request-id";

/// Header with the number of the attempt, repeated in the response.
pub const ATTEMPT: &str = "medlarfall-attempt";

/// Faults of the service, the body of `POST /control/faults`; each call replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of actions, from the next one on, that run but whose response is lost.
    pub drop_answers: u64,
    /// Number of responses, from the next one on, that carry another request's identifier.
    pub cross_answers: u64,
    /// Number of requests, from the next one on, that are refused with status 503 before they run.
    pub refuse: u64,
    /// Delay before a request runs, in milliseconds.
    pub slow_ms: u64,
    /// Delay between the run of an action and its response, in milliseconds.
    pub answer_after_ms: u64,
    /// Size of the padding in the response of an action, in bytes.
    pub answer_bytes: usize,
    /// The delay `slow_ms` applies to every n-th request; 0 and 1 mean each request.
    pub slow_every: u64,
    /// Requests whose path has this prefix fail with status 500 before they run; empty for none.
    pub fail_path: String,
    /// Every n-th request fails with status 500 before it runs; 0 lets none fail.
    pub fail_every: u64,
    /// Number of requests after which `slow_ms`, `fail_path` and `fail_every` start to apply.
    pub after_requests: u64,
}

/// Counters since the start, `GET /control/stats`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Received requests.
    pub requests: u64,
    /// Requests that the faults `slow_ms`, `fail_path` or `fail_every` applied to.
    pub faulted: u64,
}

/// Configuration of a service.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Version that the service runs.
    pub version: String,
    /// Processing time of each request.
    pub work: Duration,
    /// What a crash ends.
    pub crash_scope: CrashScope,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            version: "v1".to_owned(),
            work: Duration::from_millis(1),
            crash_scope: CrashScope::Tasks,
        }
    }
}

/// Mutable state of a service.
#[derive(Debug, Default)]
struct State {
    faults: Faults,
    stats: Stats,
    run_counts: BTreeMap<String, u64>,
    executed_requests: BTreeSet<String>,
    forwarded_headers: BTreeMap<String, ForwardedHeaders>,
}

/// Headers of the last request of an action; a missing header is empty.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ForwardedHeaders {
    /// Value of `traceparent`.
    pub traceparent: String,
    /// Value of `medlarfall-timeout-ms`.
    pub timeout_ms: String,
}

/// A running stand-in service.
#[derive(Clone, Debug)]
pub struct Service {
    config: Arc<Config>,
    state: Arc<Mutex<State>>,
    lifecycle: Lifecycle,
}

/// Starts a service.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn start(config: Config) -> std::io::Result<(Service, Server)> {
    let lifecycle = Lifecycle::new(config.crash_scope);
    let listen = config.listen;
    let service = Service {
        config: Arc::new(config),
        state: Arc::default(),
        lifecycle: lifecycle.clone(),
    };
    let handler = service.clone();
    let server = http::serve(listen, lifecycle.crash_token(), move |request| {
        let service = handler.clone();
        async move { service.handle(request).await }
    })
    .await?;
    Ok((service, server))
}

/// Returns the record that the service returns for `path`.
#[must_use]
pub fn record(path: &str) -> String {
    (0..8)
        .map(|index| oracle::token("record", path, index))
        .collect()
}

impl Service {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns how often each action ran, by the action's name in the request body.
    #[must_use]
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        self.lock().run_counts.clone()
    }

    /// Returns the identifiers of the requests whose action ran.
    #[must_use]
    pub fn executed_requests(&self) -> BTreeSet<String> {
        self.lock().executed_requests.clone()
    }

    /// Returns the headers of the last request of `action`, if there was one.
    #[must_use]
    pub fn forwarded_headers(&self, action: &str) -> Option<ForwardedHeaders> {
        self.lock().forwarded_headers.get(action).cloned()
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.lock().stats
    }

    /// Returns the lifecycle, through which the service can be paused or crashed.
    #[must_use]
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles one HTTP request.
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Abort> {
        let path = request.uri().path().to_owned();
        if let Some(control) = path.strip_prefix("/control/") {
            return self.control(control, request).await;
        }
        self.lifecycle.wait_while_paused().await;
        let (fails, delay) = self.count_request(&path);
        tokio::time::sleep(self.config.work + delay).await;
        self.lifecycle.wait_while_paused().await;
        let request_id = header(&request, REQUEST_ID);
        let attempt = header(&request, ATTEMPT);
        if let Some(response) = self.refusal(fails) {
            return Ok(echo(response, &request_id, &attempt));
        }
        let response = self.respond(&path, request).await?;
        Ok(echo(
            response,
            &self.response_request_id(request_id),
            &attempt,
        ))
    }

    /// Counts a request; returns whether the faults let it fail, and by how much they delay it.
    fn count_request(&self, path: &str) -> (bool, Duration) {
        let mut state = self.lock();
        state.stats.requests += 1;
        let count = state.stats.requests;
        let faults = &state.faults;
        if count <= faults.after_requests {
            return (false, Duration::ZERO);
        }
        let path_fails = !faults.fail_path.is_empty() && path.starts_with(&faults.fail_path);
        let turn_fails = faults.fail_every > 0 && count.is_multiple_of(faults.fail_every);
        let fails = path_fails || turn_fails;
        let slow = faults.slow_ms > 0 && count.is_multiple_of(faults.slow_every.max(1));
        let delay = Duration::from_millis(if slow { faults.slow_ms } else { 0 });
        state.stats.faulted += u64::from(fails || slow);
        (fails, delay)
    }

    /// Returns an error response if the faults refuse the request or, with `fails`, let it fail.
    fn refusal(&self, fails: bool) -> Option<Response<Body>> {
        let mut state = self.lock();
        if state.faults.refuse > 0 {
            state.faults.refuse -= 1;
            let mut response =
                http::problem(StatusCode::SERVICE_UNAVAILABLE, "refused before it ran");
            response.headers_mut().insert(
                "medlarfall-run",
                hyper::header::HeaderValue::from_static("not-run"),
            );
            return Some(response);
        }
        fails.then(|| http::problem(StatusCode::INTERNAL_SERVER_ERROR, "this route fails"))
    }

    /// Returns a record, or runs an action and returns its response.
    async fn respond(
        &self,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Abort> {
        let version = &self.config.version;
        if request.method() == Method::GET {
            let value = record(path);
            return Ok(http::json(
                StatusCode::OK,
                &json!({ "record": value, "traceparent": header(&request, "traceparent"), "version": version }),
            ));
        }
        let request_id = header(&request, REQUEST_ID);
        let forwarded_headers = ForwardedHeaders {
            traceparent: header(&request, "traceparent"),
            timeout_ms: header(&request, "medlarfall-timeout-ms"),
        };
        let Some(body) = http::read_body(request).await else {
            return Err(Abort);
        };
        let action = String::from_utf8_lossy(&body).into_owned();
        self.lock()
            .forwarded_headers
            .insert(action.clone(), forwarded_headers);
        let (runs, faults) = self.run(&action, request_id)?;
        tokio::time::sleep(Duration::from_millis(faults.answer_after_ms)).await;
        self.lifecycle.wait_while_paused().await;
        let padding = ".".repeat(faults.answer_bytes);
        let mut answer =
            json!({ "action": action, "path": path, "runs": runs, "version": version });
        if !padding.is_empty() {
            answer["padding"] = padding.into();
        }
        Ok(http::json(StatusCode::OK, &answer))
    }

    /// Counts a run of an action; returns its number of runs and the faults.
    ///
    /// # Errors
    ///
    /// Aborts the connection, after the action ran, if the faults drop the response.
    fn run(&self, action: &str, request_id: String) -> Result<(u64, Faults), Abort> {
        let mut state = self.lock();
        state.executed_requests.insert(request_id);
        let runs = state.run_counts.entry(action.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if state.faults.drop_answers > 0 {
            state.faults.drop_answers -= 1;
            return Err(Abort);
        }
        Ok((runs, state.faults.clone()))
    }

    /// Returns the identifier for the response, which `cross_answers` replaces by another one.
    fn response_request_id(&self, request_id: String) -> String {
        let mut state = self.lock();
        if state.faults.cross_answers == 0 {
            return request_id;
        }
        state.faults.cross_answers -= 1;
        format!("{request_id}-other")
    }

    /// Handles a request to the control endpoint.
    async fn control(
        &self,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Abort> {
        match path {
            "stats" => Ok(http::json(StatusCode::OK, &self.stats())),
            "runs" => Ok(http::json(StatusCode::OK, &self.run_counts())),
            "ran" => Ok(http::json(StatusCode::OK, &self.executed_requests())),
            _ => {
                let set_faults = |faults| self.set_faults(faults);
                self.lifecycle.control(path, request, set_faults).await
            }
        }
    }
}

/// Returns the value of a header, or an empty string if it is missing or not text.
fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Sets the headers of the request identifier and the attempt in a response.
fn echo(mut response: Response<Body>, request_id: &str, attempt: &str) -> Response<Body> {
    for (name, value) in [(REQUEST_ID, request_id), (ATTEMPT, attempt)] {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
