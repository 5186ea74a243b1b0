//! The stand-in platform: key-value service, leases, watches, instance list and weight store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::faults::{Death, Life};
use crate::http::{self, Body, Cut, Server};

mod instances;
mod store;

pub use instances::Instance;
pub use store::{Change, Item};

/// Delay of a write that takes effect late.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(300);

/// Longest wait of a watch, in milliseconds, where the caller names none.
const WATCH_TIMEOUT_MS: u64 = 10_000;

/// Prefix of the keys that hold declarations.
const DECLARATIONS: &str = "declarations/";

/// Faults of the platform, set on `POST /control/faults`; each call replaces them all.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call to the store is answered with 503.
    pub down: bool,
    /// Every call to the store is taken and never answered.
    pub hang: bool,
    /// Delay of every call to the store, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next writes take effect while their answer is lost.
    pub drop_answers: u64,
    /// Delay after a write took effect, before its answer, in milliseconds.
    pub answer_after_ms: u64,
    /// How many of the next writes take effect only some time after their answer was lost.
    pub late_writes: u64,
    /// How many of the next reads and lists return the state before the last change of each key.
    pub stale_reads: u64,
    /// Entries, by the header `medlarfall-caller`, whose calls are never answered.
    pub cut_off: Vec<String>,
    /// Every call to the instance list is answered with 503.
    pub instances_down: bool,
}

/// How a platform is started.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Delay after which a change of the instance list can be seen.
    pub instances_lag: Duration,
    /// Weight loads that the weight store allows each second.
    pub weight_loads_per_second: f64,
    /// What death means.
    pub death: Death,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            instances_lag: Duration::from_millis(200),
            weight_loads_per_second: 10.0,
            death: Death::Tasks,
        }
    }
}

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes, deletes and lease calls.
    pub writes: u64,
    /// Reads of the instance list.
    pub instance_reads: u64,
    /// Reads, lists and watches of declarations, which `reads` counts as well.
    pub declaration_reads: u64,
}

impl Stats {
    /// Counts a read, list or watch of a key or prefix.
    fn count_read(&mut self, key: &str) {
        self.reads += 1;
        self.declaration_reads += u64::from(key.starts_with(DECLARATIONS));
    }
}

/// What the platform holds.
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
    life: Life,
    weight_interval: Duration,
}

/// Starts a platform.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
pub async fn start(config: Config) -> std::io::Result<(Platform, Server)> {
    let life = Life::new(config.death);
    let platform = Platform {
        state: Arc::new(Mutex::new(State {
            store: store::Store::default(),
            instances: instances::List::new(config.instances_lag),
            faults: Faults::default(),
            stats: Stats::default(),
            next_weight_load: Instant::now(),
        })),
        revision: Arc::new(watch::Sender::new(0)),
        life: life.clone(),
        weight_interval: Duration::from_secs_f64(1.0 / config.weight_loads_per_second),
    };
    let handler = platform.clone();
    let server = http::serve(config.listen, life.stop(), move |request| {
        let platform = handler.clone();
        async move { platform.answer(request).await }
    })
    .await?;
    Ok((platform, server))
}

impl Platform {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the calls counted since the start.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.lock().stats
    }

    /// Puts an instance on the list.
    pub fn register(&self, instance: Instance) {
        self.lock().instances.put(instance);
    }

    /// Returns the value under `key` as the store holds it now, past all faults.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<Item> {
        self.lock().store.get(key, Instant::now())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers one request.
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let path = request.uri().path().to_owned();
        if let Some(control) = path.strip_prefix("/control/") {
            return self.control(control, request).await;
        }
        self.life.running().await;
        let faults = self.lock().faults.clone();
        let caller = request
            .headers()
            .get("medlarfall-caller")
            .and_then(|value| value.to_str().ok());
        let cut_off = caller.is_some_and(|caller| faults.cut_off.iter().any(|name| name == caller));
        if cut_off {
            self.life.stop().cancelled().await;
            return Err(Cut);
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
            self.life.stop().cancelled().await;
            return Err(Cut);
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

    /// Answers a request on the control endpoint.
    async fn control(&self, path: &str, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        match path {
            "faults" => match http::read_json(request).await {
                Some(faults) => {
                    self.set_faults(faults);
                    Ok(http::json(StatusCode::OK, &json!({})))
                }
                None => Ok(http::problem(StatusCode::BAD_REQUEST, "faults expected")),
            },
            "process" => match http::read_json(request).await {
                Some(order) => self.life.obey(order),
                None => Ok(http::problem(StatusCode::BAD_REQUEST, "an order expected")),
            },
            "stats" => Ok(http::json(StatusCode::OK, &self.stats())),
            _ => Ok(http::problem(StatusCode::NOT_FOUND, "no such control")),
        }
    }

    /// Answers a read, write or delete of one key.
    async fn kv(&self, key: &str, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let method = request.method().clone();
        if method == Method::GET {
            return Ok(self.get(key));
        }
        let expected = http::query(&request, "expected").and_then(|value| value.parse().ok());
        let lease = http::query(&request, "lease").and_then(|value| value.parse().ok());
        let Some(body) = http::read(request).await else {
            return Err(Cut);
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
        let answer = self.write(key, value, expected, lease);
        let delay = self.lock().faults.answer_after_ms;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        answer
    }

    /// Answers a read of one key.
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

    /// Carries out a compare-and-swap.
    fn write(
        &self,
        key: &str,
        value: Option<String>,
        expected: Option<u64>,
        lease: Option<u64>,
    ) -> Result<Response<Body>, Cut> {
        let mut state = self.lock();
        state.stats.writes += 1;
        if state.faults.late_writes > 0 {
            state.faults.late_writes -= 1;
            drop(state);
            tokio::spawn(
                self.clone()
                    .write_late(key.to_owned(), value, expected, lease),
            );
            return Err(Cut);
        }
        let written = state
            .store
            .write(key, value, expected, lease, Instant::now());
        let answer = match written {
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
            return Err(Cut);
        }
        Ok(answer)
    }

    /// Carries out a compare-and-swap some time after its answer was lost.
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

    /// Answers a list of the keys with a prefix.
    fn list(&self, request: &Request<Incoming>) -> Response<Body> {
        let prefix = http::query(request, "prefix").unwrap_or_default();
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

    /// Answers a watch: the changes after a revision, or none after a timeout.
    async fn watch(&self, request: &Request<Incoming>) -> Response<Body> {
        let prefix = http::query(request, "prefix")
            .unwrap_or_default()
            .to_owned();
        let after = http::query(request, "after")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let timeout = http::query(request, "timeout_ms")
            .and_then(|value| value.parse().ok())
            .unwrap_or(WATCH_TIMEOUT_MS);
        let deadline = Instant::now() + Duration::from_millis(timeout);
        self.lock().stats.count_read(&prefix);
        let mut revision = self.revision.subscribe();
        loop {
            revision.borrow_and_update();
            let (changes, now) = {
                let mut state = self.lock();
                state.store.expire(Instant::now());
                (state.store.changes(&prefix, after), state.store.revision())
            };
            let waiting = changes.is_empty() && Instant::now() < deadline;
            if !waiting {
                return http::json(
                    StatusCode::OK,
                    &json!({ "changes": changes, "revision": now }),
                );
            }
            let _ = tokio::time::timeout_at(deadline, revision.changed()).await;
        }
    }

    /// Answers a grant, renewal or end of a lease.
    async fn lease(&self, path: &str, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let method = request.method().clone();
        let ttl = http::query(&request, "ttl_ms")
            .and_then(|value| value.parse().ok())
            .unwrap_or(5_000);
        let _ = http::read(request).await;
        let mut state = self.lock();
        state.stats.writes += 1;
        let now = Instant::now();
        let lease = path.parse().ok();
        let held = match (method, lease) {
            (Method::POST, None) => Some(state.store.grant(Duration::from_millis(ttl), now)),
            (Method::POST, Some(lease)) => state.store.renew(lease, now).then_some(lease),
            (Method::DELETE, Some(lease)) => state.store.revoke(lease, now).then_some(lease),
            _ => None,
        };
        self.revision.send_replace(state.store.revision());
        if state.faults.drop_answers > 0 {
            state.faults.drop_answers -= 1;
            return Err(Cut);
        }
        match held {
            Some(lease) => Ok(http::json(StatusCode::OK, &json!({ "lease": lease }))),
            None => Ok(http::problem(StatusCode::GONE, "no such lease")),
        }
    }

    /// Answers a load of weights: refused over the rate.
    async fn weights(&self) -> Response<Body> {
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

    /// Answers a read or change of the instance list.
    async fn instances(&self, name: &str, request: Request<Incoming>) -> Response<Body> {
        match *request.method() {
            Method::GET => {
                let mut state = self.lock();
                state.stats.instance_reads += 1;
                let list = state.instances.seen(Instant::now());
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
