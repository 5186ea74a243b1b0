//! Stand-in for the platform: key-value store with leases and watches, instance list and weight
//! store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::faults::{CrashScope, Lifecycle};
use crate::http::{self, Abort, Body, Server};

mod handlers;
mod instances;
mod store;

pub use instances::Instance;
pub use store::{Change, Item};

/// Delay after which a write that `late_writes` applies to takes effect.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(300);

/// Timeout of a watch for which the caller gives none, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 10_000;

/// Prefix of the keys that hold declarations.
const DECLARATION_PREFIX: &str = "declarations/";

/// Faults of the platform, the body of `POST /control/faults`; each call replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call to the store gets status 503.
    pub down: bool,
    /// Every call to the store is accepted and never gets a response.
    pub hang: bool,
    /// Delay of every call to the store, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes, from the next one on, that take effect but whose response is lost.
    pub drop_answers: u64,
    /// Delay between the effect of a write and its response, in milliseconds.
    pub answer_after_ms: u64,
    /// Number of writes, from the next one on, whose response is lost and which take effect later.
    pub late_writes: u64,
    /// Number of reads and lists, from the next one on, that return each key as it was before its
    /// last change.
    pub stale_reads: u64,
    /// Names of entries, as in the header `medlarfall-caller`, whose calls never get a response.
    pub cut_off: Vec<String>,
    /// Every call to the instance list gets status 503.
    pub instances_down: bool,
}

/// Configuration of a platform.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Delay after which a change of the instance list becomes visible.
    pub instances_lag: Duration,
    /// Maximum rate of weight loads, per second.
    pub weight_loads_per_second: f64,
    /// What a crash ends.
    pub crash_scope: CrashScope,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            instances_lag: Duration::from_millis(200),
            weight_loads_per_second: 10.0,
            crash_scope: CrashScope::Tasks,
        }
    }
}

/// Counters since the start, `GET /control/stats`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes, deletes and lease calls.
    pub writes: u64,
    /// Reads of the instance list.
    pub instance_reads: u64,
    /// Reads, lists and watches of declarations; `reads` includes them.
    pub declaration_reads: u64,
}

impl Stats {
    /// Counts a read, list or watch of a key or prefix.
    fn count_read(&mut self, key: &str) {
        self.reads += 1;
        self.declaration_reads += u64::from(key.starts_with(DECLARATION_PREFIX));
    }
}

/// Mutable state of a platform.
#[derive(Debug)]
struct State {
    store: store::Store,
    instances: instances::List,
    faults: Faults,
    stats: Stats,
    next_weight_load: Instant,
}

/// A running stand-in platform.
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    revision: Arc<watch::Sender<u64>>,
    lifecycle: Lifecycle,
    weight_interval: Duration,
}

/// Starts a platform.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn start(config: Config) -> std::io::Result<(Platform, Server)> {
    let lifecycle = Lifecycle::new(config.crash_scope);
    let platform = Platform {
        state: Arc::new(Mutex::new(State {
            store: store::Store::default(),
            instances: instances::List::new(config.instances_lag),
            faults: Faults::default(),
            stats: Stats::default(),
            next_weight_load: Instant::now(),
        })),
        revision: Arc::new(watch::Sender::new(0)),
        lifecycle: lifecycle.clone(),
        weight_interval: Duration::from_secs_f64(1.0 / config.weight_loads_per_second),
    };
    let handler = platform.clone();
    let server = http::serve(config.listen, lifecycle.crash_token(), move |request| {
        let platform = handler.clone();
        async move { platform.handle(request).await }
    })
    .await?;
    Ok((platform, server))
}

impl Platform {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.lock().stats
    }

    /// Adds an instance to the instance list, or replaces it.
    pub fn register(&self, instance: Instance) {
        self.lock().instances.put(instance);
    }

    /// Returns the current item under `key`, without applying faults.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<Item> {
        self.lock().store.get(key, Instant::now())
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
        let faults = self.lock().faults.clone();
        let caller = request
            .headers()
            .get("medlarfall-caller")
            .and_then(|value| value.to_str().ok());
        let cut_off = caller.is_some_and(|caller| faults.cut_off.iter().any(|name| name == caller));
        if cut_off {
            self.lifecycle.crash_token().cancelled().await;
            return Err(Abort);
        }
        if let Some(name) = path.strip_prefix("/instances") {
            if faults.instances_down {
                return Ok(http::problem(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the instance list is down",
                ));
            }
            return Ok(self.instances(name.trim_start_matches('/'), request).await);
        }
        if faults.hang {
            self.lifecycle.crash_token().cancelled().await;
            return Err(Abort);
        }
        if faults.down {
            return Ok(http::problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "the store is down",
            ));
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        match path.split('/').nth(1) {
            Some("kv") => self.kv(path.trim_start_matches("/kv/"), request).await,
            Some("list") => Ok(self.list(&request)),
            Some("watch") => Ok(self.watch(&request).await),
            Some("leases") => {
                self.lease(
                    path.trim_start_matches("/leases").trim_start_matches('/'),
                    request,
                )
                .await
            }
            Some("weights") => Ok(self.weights().await),
            _ => Ok(http::problem(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    /// Handles a request to the control endpoint.
    async fn control(
        &self,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Abort> {
        if path == "stats" {
            return Ok(http::json(StatusCode::OK, &self.stats()));
        }
        let set_faults = |faults| self.set_faults(faults);
        self.lifecycle.control(path, request, set_faults).await
    }
}
