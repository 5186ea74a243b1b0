//! Counters and latency histograms of the relay.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

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

/// The metrics.
#[derive(Debug)]
pub struct Metrics {
    /// Requests by how they ended.
    pub ended: Family<Ended, Counter>,
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

impl Default for Metrics {
    fn default() -> Self {
        let ended = Family::default();
        let first: Family<OfRoute, Histogram> = Family::new_with_constructor(latency);
        let resumed = Family::default();
        let resume_gap = latency();
        let [
            questions,
            servers_lost,
            retries,
            retries_refused,
            store_calls,
        ] = std::array::from_fn(|_| Counter::default());
        let [configuration, store_up] = std::array::from_fn(|_| Gauge::default());
        let mut registry = Registry::with_prefix("medlarfall_relay");
        registry.register(
            "requests",
            "Requests by how they ended",
            Family::clone(&ended),
        );
        registry.register(
            "first_seconds",
            "Time to the answer or first event",
            first.clone(),
        );
        registry.register(
            "resumes",
            "Streams that changed servers",
            Family::clone(&resumed),
        );
        registry.register(
            "resume_gap_seconds",
            "Pause of a resume",
            resume_gap.clone(),
        );
        registry.register(
            "questions",
            "Questions to servers",
            Counter::clone(&questions),
        );
        registry.register(
            "servers_lost",
            "Servers found lost",
            Counter::clone(&servers_lost),
        );
        registry.register("retries", "Repeats sent", Counter::clone(&retries));
        registry.register(
            "retries_refused",
            "Repeats refused",
            Counter::clone(&retries_refused),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            Counter::clone(&store_calls),
        );
        registry.register(
            "configuration",
            "Version in force",
            Gauge::clone(&configuration),
        );
        registry.register(
            "store_up",
            "Whether the store answers",
            Gauge::clone(&store_up),
        );
        Self {
            ended,
            first,
            resumed,
            resume_gap,
            questions,
            servers_lost,
            retries,
            retries_refused,
            store_calls,
            configuration,
            store_up,
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

    /// Measures the time to an answer or a first event.
    pub fn answered(&self, route: &str, time: Duration) {
        let labels = OfRoute {
            route: route.to_owned(),
        };
        self.first
            .get_or_create(&labels)
            .observe(time.as_secs_f64());
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
