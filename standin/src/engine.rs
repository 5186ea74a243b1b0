//! The stand-in engine: batches, a memory that it dies from when overrun, a prefix cache, lagging
//! load reports, priorities, resume, attach, cancel and orders.

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

/// Faults of the engine, set on `POST /control/faults`; each call replaces them all.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Dies after this many more tokens, counted over all generations.
    pub die_after_tokens: Option<u64>,
    /// Factor on the time of each token.
    pub slow_factor: f64,
    /// Index of a token that each stream loses.
    pub lose_token: Option<u64>,
    /// Index of a token that each stream repeats.
    pub repeat_token: Option<u64>,
    /// Index of a frame in each stream that carries another request's identifier and token.
    pub cross_token: Option<u64>,
    /// Index at which each stream ends without its end frame.
    pub cut_token: Option<u64>,
    /// Index at which each stream stops sending while its connection stays open.
    pub stall_token: Option<u64>,
    /// Index from which on each stream sends only frames of another request, without an end.
    pub stray_token: Option<u64>,
    /// Every n-th request fails before it runs; 0 for none.
    pub fail_every: u64,
    /// The faults `fail_every` and `slow_factor` apply only after this many requests.
    pub after_requests: u64,
    /// The faults `fail_every` and `slow_factor` apply only with more than this many running.
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

/// How an engine is started.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Version that the engine serves.
    pub version: String,
    /// Time between two tokens of one generation.
    pub token_interval: Duration,
    /// Time to compute one prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Most generations that run at once; others wait by priority.
    pub batch_limit: usize,
    /// Memory in tokens: prompts and outputs of all requests held; the engine dies over it.
    pub memory_tokens: u64,
    /// Memory of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Delay of load reports and cache events.
    pub report_lag: Duration,
    /// Every n-th cache event is never published; 0 for none.
    pub cache_gap_every: u64,
    /// How long a generation goes on without a reader.
    pub orphan_grace: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Time that an order to load takes.
    pub load_time: Duration,
    /// What death means.
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

/// What the engine holds.
#[derive(Debug)]
struct State {
    batch: batch::Batch,
    cache: cache::Cache,
    orders: OrderState,
    faults: Faults,
    stats: Stats,
    reports: Vec<(Instant, Load)>,
}

/// A running stand-in engine.
#[derive(Clone, Debug)]
pub struct Engine {
    config: Arc<Config>,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
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
            reports: Vec::new(),
        })),
        config: Arc::new(config),
        changed: Arc::new(Notify::new()),
        lifecycle: lifecycle.clone(),
        started: Instant::now(),
    };
    let handler = engine.clone();
    let server = http::serve(listen, lifecycle.stop(), move |request| {
        let engine = handler.clone();
        async move { engine.answer(request).await }
    })
    .await?;
    Ok((engine, server))
}

impl Engine {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let mut state = self.lock();
        state.stats.live = state.batch.live();
        state.stats
    }

    /// Returns the life of the engine, which can be paused and ended.
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
            "/load" => Ok(http::json(StatusCode::OK, &self.load())),
            "/cache-events" => {
                let after = http::query(&request, "after")
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
                let orders = self.lock().orders.clone();
                Ok(http::json(StatusCode::OK, &orders))
            }
            _ => Ok(http::problem(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    /// Answers a request on the control endpoint.
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

    /// Takes a request to generate.
    fn generate(&self, generate: Generate) -> Result<Response<Body>, Abort> {
        let mut state = self.lock();
        if !state.orders.serves(&generate.version) {
            return Ok(http::problem(
                StatusCode::CONFLICT,
                "this engine does not serve that version",
            ));
        }
        state.stats.requests += 1;
        state.stats.last_request_ms =
            u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let count = state.stats.requests;
        let faulty = state.faulty();
        let fails =
            faulty && state.faults.fail_every > 0 && count.is_multiple_of(state.faults.fail_every);
        let slow = faulty && state.faults.slow_factor > 1.0;
        state.stats.faulted += u64::from(fails || slow);
        if fails {
            return Ok(http::problem(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the engine failed before the request ran",
            ));
        }
        let prompt_tokens = oracle::prompt_tokens(&generate.prompt);
        let cached = state.cache.admit(&generate.prompt, Instant::now());
        state.stats.cached_tokens += cached;
        state.stats.prompt_tokens += prompt_tokens;
        let live = state.batch.admit(&generate);
        drop(state);
        self.check_memory()?;
        self.spawn_generation(
            generate,
            Arc::clone(&live),
            prompt_tokens - cached.min(prompt_tokens),
        );
        Ok(self.stream(live, None))
    }

    /// Reads on from a running generation.
    fn attach(&self, reference: &Reference) -> Response<Body> {
        match self.lock().batch.find(reference) {
            Some(live) if reference.from >= live.first() => self.stream(live, Some(reference.from)),
            _ => http::problem(StatusCode::NOT_FOUND, "no such generation runs here"),
        }
    }

    /// Ends a generation.
    fn cancel(&self, reference: &Reference) -> Response<Body> {
        let found = self.lock().batch.find(reference);
        if let Some(live) = &found {
            live.cancel();
        }
        self.changed.notify_waiters();
        http::json(StatusCode::OK, &json!({ "found": found.is_some() }))
    }

    /// Dies if the requests held outgrow the memory.
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

    /// Returns the load as it was some time ago.
    fn load(&self) -> Load {
        let now = Instant::now();
        let mut state = self.lock();
        let current = Load {
            held_tokens: state.batch.held_tokens(),
            memory_tokens: self.config.memory_tokens,
            running: state.batch.running(),
            waiting: state.batch.live() - state.batch.running(),
        };
        state.reports.push((now, current));
        let due = state
            .reports
            .partition_point(|(at, _)| *at + self.config.report_lag <= now);
        if due > 1 {
            state.reports.drain(..due - 1);
        }
        match state.reports.first() {
            Some((at, load)) if *at + self.config.report_lag <= now => load.clone(),
            _ => Load {
                memory_tokens: self.config.memory_tokens,
                ..Load::default()
            },
        }
    }
}

impl State {
    /// Returns whether the faults of a bad version apply now.
    fn faulty(&self) -> bool {
        self.stats.requests > self.faults.after_requests
            && self.batch.running() >= self.faults.above_running
    }
}
