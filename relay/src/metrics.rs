//! Counters and latency histograms of the relay.

use std::hash::Hash;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use medlarfall_runtime::logging::Losses;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};

/// Shortest bucket of a latency, in seconds.
const FIRST_BUCKET: f64 = 0.005;

/// Buckets of a latency, each twice as wide as the one before: up to 41 s.
const BUCKETS: u16 = 14;

/// How a request ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Ended {
    /// Route, or `none`.
    pub route: String,
    /// Status that the caller got.
    pub status: u16,
    /// `answered`, or why not.
    pub reason: &'static str,
}

/// Route of a latency.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OfRoute {
    /// Route.
    pub route: String,
}

/// Cause of a resume.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Cause {
    /// Why the stream left its server.
    pub cause: &'static str,
}

/// Kind of what is counted.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OfKind {
    /// The kind.
    pub kind: &'static str,
}

/// Service of what is counted; there are a few.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OfService {
    /// The service.
    pub service: String,
}

/// Counts one request as open until it is dropped.
#[derive(Debug)]
pub struct Open(Gauge);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// What is measured when the metrics are asked for.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Time since the configuration in force was learnt.
    pub configuration_age: Duration,
    /// Time since the list of servers was last known to be whole.
    pub servers_age: Duration,
    /// Bytes of bodies that are held.
    pub held_bytes: usize,
    /// Other entries that are known.
    pub entries: usize,
    /// Servers that take requests, by service.
    pub servers: Vec<(String, usize)>,
}

/// The metrics.
#[derive(Debug)]
pub struct Metrics {
    /// Requests that are under way, by kind: `call` or `stream`.
    pub open: Family<OfKind, Gauge>,
    /// Time to the answer or first event by service, in seconds.
    pub service_first: Family<OfService, Histogram>,
    /// Age of what is known, in seconds: `configuration` or `servers`.
    pub age: Family<OfKind, Gauge<f64, AtomicU64>>,
    /// Bytes of bodies that are held.
    pub held_bytes: Gauge,
    /// Other entries that are known.
    pub entries: Gauge,
    /// Servers that take requests, by service.
    pub servers: Family<OfService, Gauge>,
    /// Log lines that were not written: `folded` or `dropped`.
    pub log_lines_lost: Family<OfKind, Counter>,
    /// Requests by how they ended.
    pub ended: Family<Ended, Counter>,
    /// Answers that came later than their route aims at, or with a longer pause.
    pub late: Family<OfRoute, Counter>,
    /// Time to the answer, or to the first event of a stream, in seconds.
    pub first: Family<OfRoute, Histogram>,
    /// Streams that went on at another server, by cause.
    pub resumed: Family<Cause, Counter>,
    /// Time from the last event before a loss to the next one, in seconds.
    pub resume_gap: Histogram,
    /// Questions to servers.
    pub questions: Counter,
    /// Servers found lost.
    pub servers_lost: Counter,
    /// Repeats taken from the budgets.
    pub retries: Counter,
    /// Repeats that a budget refused.
    pub retries_refused: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Version of the configuration in force.
    pub configuration: Gauge,
    /// Whether the store answers: 1 or 0.
    pub store_up: Gauge,
    registry: Mutex<Registry>,
}

fn latency() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS))
}

fn latencies<L: Clone + Eq + Hash>() -> Family<L, Histogram> {
    Family::new_with_constructor(latency)
}

/// Registers a metric and returns it.
fn add<M: Clone + Metric>(registry: &mut Registry, name: &str, help: &str, metric: M) -> M {
    registry.register(name, help, metric.clone());
    metric
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("medlarfall_relay");
        let new = &mut registry;
        let counter = Counter::default;
        let gauge = Gauge::default;
        Self {
            open: add(
                new,
                "open_requests",
                "Requests under way",
                Family::default(),
            ),
            ended: add(
                new,
                "requests",
                "Requests by how they ended",
                Family::default(),
            ),
            late: add(
                new,
                "late",
                "Answers later than aimed at",
                Family::default(),
            ),
            first: add(
                new,
                "first_seconds",
                "Time to the answer or first event",
                latencies(),
            ),
            service_first: add(
                new,
                "service_first_seconds",
                "The same by service",
                latencies(),
            ),
            resumed: add(
                new,
                "resumes",
                "Streams that changed servers",
                Family::default(),
            ),
            resume_gap: add(new, "resume_gap_seconds", "Pause of a resume", latency()),
            questions: add(new, "questions", "Questions to servers", counter()),
            servers_lost: add(new, "servers_lost", "Servers found lost", counter()),
            retries: add(new, "retries", "Repeats sent", counter()),
            retries_refused: add(new, "retries_refused", "Repeats refused", counter()),
            store_calls: add(new, "store_calls", "Calls to the store", counter()),
            configuration: add(new, "configuration", "Version in force", gauge()),
            store_up: add(new, "store_up", "Whether the store answers", gauge()),
            age: add(
                new,
                "age_seconds",
                "Age of what is known",
                Family::default(),
            ),
            held_bytes: add(new, "held_bytes", "Bytes of bodies held", gauge()),
            entries: add(new, "entries", "Other entries known", gauge()),
            servers: add(
                new,
                "servers",
                "Servers that take requests",
                Family::default(),
            ),
            log_lines_lost: add(
                new,
                "log_lines_lost",
                "Lines not written",
                Family::default(),
            ),
            registry: Mutex::new(registry),
        }
    }
}

impl Metrics {
    /// Counts a request that ended.
    pub fn end(&self, route: &str, status: u16, reason: &'static str) {
        let labels = Ended {
            route: route.to_owned(),
            status,
            reason,
        };
        self.ended.get_or_create(&labels).inc();
    }

    /// Counts an answer that came later than its route aims at.
    pub fn late(&self, route: &str) {
        let route = route.to_owned();
        self.late.get_or_create(&OfRoute { route }).inc();
    }

    /// Measures the time to an answer or a first event.
    pub fn answered(&self, route: &str, service: &str, time: Duration) {
        let seconds = time.as_secs_f64();
        let route = route.to_owned();
        self.first
            .get_or_create(&OfRoute { route })
            .observe(seconds);
        let service = service.to_owned();
        let of_service = self.service_first.get_or_create(&OfService { service });
        of_service.observe(seconds);
    }

    /// Counts a request of a kind as open until the returned value is dropped.
    #[must_use]
    pub fn open(&self, kind: &'static str) -> Open {
        let gauge = self.open.get_or_create(&OfKind { kind }).clone();
        gauge.inc();
        Open(gauge)
    }

    /// Takes in what is measured when the metrics are asked for.
    pub fn set(&self, figures: &Figures, log: Losses) {
        let age = |kind, age: Duration| {
            let gauge = self.age.get_or_create(&OfKind { kind }).clone();
            gauge.set(age.as_secs_f64());
        };
        age("configuration", figures.configuration_age);
        age("servers", figures.servers_age);
        let whole = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.held_bytes.set(whole(figures.held_bytes));
        self.entries.set(whole(figures.entries));
        for (service, count) in &figures.servers {
            let service = service.clone();
            let gauge = self.servers.get_or_create(&OfService { service }).clone();
            gauge.set(whole(*count));
        }
        for (kind, lines) in [("folded", log.rate_limited), ("dropped", log.dropped)] {
            let counter = self.log_lines_lost.get_or_create(&OfKind { kind }).clone();
            counter.inc_by(lines.saturating_sub(counter.get()));
        }
    }

    /// Counts a stream that goes on at another server.
    pub fn resume(&self, cause: &'static str) {
        self.resumed.get_or_create(&Cause { cause }).inc();
    }

    /// Returns the metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = encode(&mut text, &registry) {
            log::error!(reason = error.to_string().as_str(); "metrics can't be written");
        }
        text
    }
}
