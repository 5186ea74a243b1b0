//! Stand-in for a model engine.
//!
//! It generates tokens in a batch of limited size with priorities, keeps a prefix cache, publishes
//! delayed load reports, lets callers resume, attach to and cancel generations, carries out orders,
//! and crashes when the requests need more than its memory.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::faults::{CrashScope, Lifecycle};
use crate::http::{self, Abort, Body, Server};
use crate::oracle;

mod batch;
mod cache;
mod orders;
mod stream;
mod wire;

pub use cache::Event;
pub use orders::{Order, OrderState};
pub use wire::{Frame, Generate, Load, Reference, Stats};

/// Faults of the engine, the body of `POST /control/faults`; each call replaces all of them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of further tokens, over all generations, after which the engine crashes.
    pub die_after_tokens: Option<u64>,
    /// Factor by which the time of each token is multiplied.
    pub slow_factor: f64,
    /// Index of a token that each stream omits.
    pub lose_token: Option<u64>,
    /// Index of a token that each stream sends twice.
    pub repeat_token: Option<u64>,
    /// Index at which each stream sends a frame with another request's identifier and token.
    pub cross_token: Option<u64>,
    /// Index at which the connection of each stream is aborted, before its end frame.
    pub cut_token: Option<u64>,
    /// Index at which each stream stops sending; its connection stays open.
    pub stall_token: Option<u64>,
    /// Index from which each stream sends frames of another request without limit.
    pub stray_token: Option<u64>,
    /// Every n-th request fails before it runs; 0 lets none fail.
    pub fail_every: u64,
    /// Number of requests after which `fail_every` and `slow_factor` start to apply.
    pub after_requests: u64,
    /// `fail_every` and `slow_factor` apply only while at least this many generations run.
    pub above_running: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            die_after_tokens: None,
            slow_factor: 1.0,
            lose_token: None,
            repeat_token: None,
            cross_token: None,
            cut_token: None,
            stall_token: None,
            stray_token: None,
            fail_every: 0,
            after_requests: 0,
            above_running: 0,
        }
    }
}

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Version that the engine serves until an order changes it.
    pub version: String,
    /// Time between two tokens of one generation.
    pub token_interval: Duration,
    /// Prefill time of one prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Maximum number of generations that run at once; the others wait by priority.
    pub batch_limit: usize,
    /// Size of the memory, in tokens; the engine crashes if the prompts and outputs of its requests
    /// exceed it.
    pub memory_tokens: u64,
    /// Size of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Delay after which load reports and cache events become visible.
    pub report_lag: Duration,
    /// Every n-th cache event is never published; 0 publishes all.
    pub cache_gap_every: u64,
    /// How long a generation continues without a reader.
    pub orphan_grace: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub fencing: bool,
    /// Time to load versions that an order adds.
    pub load_time: Duration,
    /// What a crash ends.
    pub crash_scope: CrashScope,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            version: "v1".to_owned(),
            token_interval: Duration::from_millis(10),
            prefill_per_token: Duration::from_micros(20),
            batch_limit: 64,
            memory_tokens: 100_000,
            cache_tokens: 20_000,
            report_lag: Duration::from_millis(500),
            cache_gap_every: 0,
            orphan_grace: Duration::from_secs(2),
            fencing: true,
            load_time: Duration::from_millis(200),
            crash_scope: CrashScope::Tasks,
        }
    }
}

/// Mutable state of an engine.
#[derive(Debug)]
struct State {
    batch: batch::Batch,
    cache: cache::Cache,
    orders: OrderState,
    faults: Faults,
    stats: Stats,
    load_reports: Vec<(Instant, Load)>,
}

/// A running stand-in engine.
#[derive(Clone, Debug)]
pub struct Engine {
    config: Arc<Config>,
    state: Arc<Mutex<State>>,
    batch_changed: Arc<Notify>,
    lifecycle: Lifecycle,
    started: Instant,
}

/// Starts an engine.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn start(config: Config) -> std::io::Result<(Engine, Server)> {
    let lifecycle = Lifecycle::new(config.crash_scope);
    let listen = config.listen;
    let engine = Engine {
        state: Arc::new(Mutex::new(State {
            batch: batch::Batch::new(config.batch_limit),
            cache: cache::Cache::new(
                config.cache_tokens,
                config.report_lag,
                config.cache_gap_every,
            ),
            orders: OrderState::new(&config.version),
            faults: Faults::default(),
            stats: Stats::default(),
            load_reports: Vec::new(),
        })),
        config: Arc::new(config),
        batch_changed: Arc::new(Notify::new()),
        lifecycle: lifecycle.clone(),
        started: Instant::now(),
    };
    let handler = engine.clone();
    let server = http::serve(listen, lifecycle.crash_token(), move |request| {
        let engine = handler.clone();
        async move { engine.handle(request).await }
    })
    .await?;
    Ok((engine, server))
}

impl Engine {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let mut state = self.lock();
        state.stats.live = state.batch.count();
        state.stats
    }

    /// Returns the lifecycle, through which the engine can be paused or crashed.
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
        match path.as_str() {
            "/generate" => match http::read_json(request).await {
                Some(generate) => self.generate(generate),
                None => Ok(http::problem(
                    StatusCode::BAD_REQUEST,
                    "a request to generate expected",
                )),
            },
            "/attach" => match http::read_json(request).await {
                Some(reference) => Ok(self.attach(&reference)),
                None => Ok(http::problem(
                    StatusCode::BAD_REQUEST,
                    "a reference expected",
                )),
            },
            "/cancel" => match http::read_json::<Reference>(request).await {
                Some(reference) => Ok(self.cancel(&reference)),
                None => Ok(http::problem(
                    StatusCode::BAD_REQUEST,
                    "a reference expected",
                )),
            },
            "/load" => Ok(http::json(StatusCode::OK, &self.delayed_load())),
            "/cache-events" => {
                let after = http::query_parameter(&request, "after")
                    .and_then(|value| value.parse().ok())
                    .unwrap_or(0);
                let events = self.lock().cache.events(after, Instant::now());
                Ok(http::json(StatusCode::OK, &events))
            }
            "/orders" => match http::read_json(request).await {
                Some(order) => Ok(self.order(order).await),
                None => Ok(http::problem(StatusCode::BAD_REQUEST, "an order expected")),
            },
            "/state" => {
                let order_state = self.lock().orders.clone();
                Ok(http::json(StatusCode::OK, &order_state))
            }
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

    /// Admits a request to generate and returns its stream.
    fn generate(&self, request: Generate) -> Result<Response<Body>, Abort> {
        let mut state = self.lock();
        if !state.orders.serves(&request.version) {
            return Ok(http::problem(
                StatusCode::CONFLICT,
                "this engine does not serve that version",
            ));
        }
        state.stats.requests += 1;
        state.stats.last_request_ms =
            u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let count = state.stats.requests;
        let faults_apply = state.version_faults_apply();
        let fails = faults_apply
            && state.faults.fail_every > 0
            && count.is_multiple_of(state.faults.fail_every);
        let slow = faults_apply && state.faults.slow_factor > 1.0;
        state.stats.faulted += u64::from(fails || slow);
        if fails {
            return Ok(http::problem(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the engine failed before the request ran",
            ));
        }
        let prompt_tokens = oracle::prompt_tokens(&request.prompt);
        let cached = state.cache.admit(&request.prompt, Instant::now());
        state.stats.cached_tokens += cached;
        state.stats.prompt_tokens += prompt_tokens;
        let generation = state.batch.admit(&request);
        drop(state);
        self.check_memory()?;
        self.spawn_generation(
            request,
            Arc::clone(&generation),
            prompt_tokens - cached.min(prompt_tokens),
        );
        Ok(self.stream(generation, None))
    }

    /// Returns the stream of a running generation from the index that the reference gives.
    fn attach(&self, reference: &Reference) -> Response<Body> {
        match self.lock().batch.find(reference) {
            Some(generation) if reference.from >= generation.first_index() => {
                self.stream(generation, Some(reference.from))
            }
            _ => http::problem(StatusCode::NOT_FOUND, "no such generation runs here"),
        }
    }

    /// Cancels a generation.
    fn cancel(&self, reference: &Reference) -> Response<Body> {
        let found = self.lock().batch.find(reference);
        if let Some(generation) = &found {
            generation.cancel();
        }
        self.batch_changed.notify_waiters();
        http::json(StatusCode::OK, &json!({ "found": found.is_some() }))
    }

    /// Crashes the engine if the tokens of its requests exceed the memory.
    fn check_memory(&self) -> Result<(), Abort> {
        let mut state = self.lock();
        let held = state.batch.held_tokens();
        state.stats.held_peak = state.stats.held_peak.max(held);
        if held <= self.config.memory_tokens {
            return Ok(());
        }
        state.stats.overruns += 1;
        drop(state);
        self.lifecycle.crash();
        Err(Abort)
    }

    /// Returns the newest load report that is older than the report delay, or an empty one.
    fn delayed_load(&self) -> Load {
        let now = Instant::now();
        let mut state = self.lock();
        let current = Load {
            held_tokens: state.batch.held_tokens(),
            memory_tokens: self.config.memory_tokens,
            running: state.batch.running_count(),
            waiting: state.batch.count() - state.batch.running_count(),
        };
        state.load_reports.push((now, current));
        let due = state
            .load_reports
            .partition_point(|(at, _)| *at + self.config.report_lag <= now);
        if due > 1 {
            state.load_reports.drain(..due - 1);
        }
        match state.load_reports.first() {
            Some((at, load)) if *at + self.config.report_lag <= now => load.clone(),
            _ => Load {
                memory_tokens: self.config.memory_tokens,
                ..Load::default()
            },
        }
    }
}

impl State {
    /// Returns whether `fail_every` and `slow_factor`, which imitate a bad version, apply now.
    fn version_faults_apply(&self) -> bool {
        self.stats.requests > self.faults.after_requests
            && self.batch.running_count() >= self.faults.above_running
    }
}
