//! The stand-in plain service: records that are read and actions that are counted.

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

/// Header that carries the request's identifier, echoed on the answer.
pub const REQUEST_ID: &str = "medlarfall-request-id";

/// Header that carries the number of the attempt, echoed on the answer.
pub const ATTEMPT: &str = "medlarfall-attempt";

/// Faults of the service, set on `POST /control/faults`; each call replaces them all.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How many of the next actions run while their answer is lost.
    pub drop_answers: u64,
    /// How many of the next answers carry another request's identifier.
    pub cross_answers: u64,
    /// How many of the next requests are refused with 503 before they run.
    pub refuse: u64,
    /// Delay before each action runs, in milliseconds.
    pub slow_ms: u64,
    /// Delay after each action ran, before its answer, in milliseconds.
    pub answer_after_ms: u64,
    /// Bytes that pad each action's answer.
    pub answer_bytes: usize,
    /// The delay `slow_ms` meets only every n-th request; 0 and 1 for each.
    pub slow_every: u64,
    /// Path prefix that alone fails with 500 before it runs; empty for none.
    pub fail_path: String,
    /// Every n-th request fails with 500 before it runs; 0 for none.
    pub fail_every: u64,
    /// The faults `slow_ms`, `fail_path` and `fail_every` apply only after this many requests.
    pub after_requests: u64,
}

/// Counts for tests, `GET /control/stats`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Requests taken.
    pub requests: u64,
    /// Requests that met the faults `slow_ms`, `fail_path` or `fail_every`.
    pub faulted: u64,
}

/// How a service is started.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Version that the service runs.
    pub version: String,
    /// Time that each request takes.
    pub work: Duration,
    /// What death means.
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

/// What the service holds.
#[derive(Debug, Default)]
struct State {
    faults: Faults,
    stats: Stats,
    runs: BTreeMap<String, u64>,
    ran: BTreeSet<String>,
    forwarded_headers: BTreeMap<String, ForwardedHeaders>,
}

/// What came with an action beside its body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ForwardedHeaders {
    /// Header `traceparent`.
    pub traceparent: String,
    /// Header `medlarfall-timeout-ms`.
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
    let server = http::serve(listen, lifecycle.stop(), move |request| {
        let service = handler.clone();
        async move { service.answer(request).await }
    })
    .await?;
    Ok((service, server))
}

/// Returns the record that the service holds under `path`.
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
        self.lock().runs.clone()
    }

    /// Returns the identifiers of the requests whose actions ran.
    #[must_use]
    pub fn executed_requests(&self) -> BTreeSet<String> {
        self.lock().ran.clone()
    }

    /// Returns what came with the last call of an action.
    #[must_use]
    pub fn forwarded_headers(&self, action: &str) -> Option<ForwardedHeaders> {
        self.lock().forwarded_headers.get(action).cloned()
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.lock().stats
    }

    /// Returns the life of the service, which can be paused and ended.
    #[must_use]
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers one request.
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Abort> {
        let path = request.uri().path().to_owned();
        if let Some(control) = path.strip_prefix("/control/") {
            return self.control(control, request).await;
        }
        self.lifecycle.running().await;
        let (fails, delay) = self.meet(&path);
        tokio::time::sleep(self.config.work + delay).await;
        self.lifecycle.running().await;
        let request_id = header(&request, REQUEST_ID);
        let attempt = header(&request, ATTEMPT);
        if let Some(response) = self.refusal(fails) {
            return Ok(echo(response, &request_id, &attempt));
        }
        let response = self.respond(&path, request).await?;
        Ok(echo(response, &self.crossed(request_id), &attempt))
    }

    /// Counts a request; returns whether it fails, and how much longer it takes.
    fn meet(&self, path: &str) -> (bool, Duration) {
        let mut state = self.lock();
        state.stats.requests += 1;
        let count = state.stats.requests;
        let faults = &state.faults;
        if count <= faults.after_requests {
            return (false, Duration::ZERO);
        }
        let on_path = !faults.fail_path.is_empty() && path.starts_with(&faults.fail_path);
        let in_turn = faults.fail_every > 0 && count.is_multiple_of(faults.fail_every);
        let fails = on_path || in_turn;
        let slow = faults.slow_ms > 0 && count.is_multiple_of(faults.slow_every.max(1));
        let delay = Duration::from_millis(if slow { faults.slow_ms } else { 0 });
        state.stats.faulted += u64::from(fails || slow);
        (fails, delay)
    }

    /// Returns the refusal that the faults ask for.
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

    /// Reads a record, or runs an action and counts it.
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
        let Some(body) = http::read(request).await else {
            return Err(Abort);
        };
        let action = String::from_utf8_lossy(&body).into_owned();
        self.lock()
            .forwarded_headers
            .insert(action.clone(), forwarded_headers);
        let (runs, faults) = self.run(&action, request_id)?;
        tokio::time::sleep(Duration::from_millis(faults.answer_after_ms)).await;
        self.lifecycle.running().await;
        let padding = ".".repeat(faults.answer_bytes);
        let mut answer =
            json!({ "action": action, "path": path, "runs": runs, "version": version });
        if !padding.is_empty() {
            answer["padding"] = padding.into();
        }
        Ok(http::json(StatusCode::OK, &answer))
    }

    /// Runs an action; returns how often it has run, or loses the answer as the faults say.
    fn run(&self, action: &str, request_id: String) -> Result<(u64, Faults), Abort> {
        let mut state = self.lock();
        state.ran.insert(request_id);
        let runs = state.runs.entry(action.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if state.faults.drop_answers > 0 {
            state.faults.drop_answers -= 1;
            return Err(Abort);
        }
        Ok((runs, state.faults.clone()))
    }

    /// Returns the identifier to echo: the request's, or another's if the faults ask for it.
    fn crossed(&self, request_id: String) -> String {
        let mut state = self.lock();
        if state.faults.cross_answers == 0 {
            return request_id;
        }
        state.faults.cross_answers -= 1;
        format!("{request_id}-other")
    }

    /// Answers a request on the control endpoint.
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

/// Returns a header's value, or nothing.
fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Echoes the request's identifier and attempt on the answer.
fn echo(mut response: Response<Body>, request_id: &str, attempt: &str) -> Response<Body> {
    for (name, value) in [(REQUEST_ID, request_id), (ATTEMPT, attempt)] {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
