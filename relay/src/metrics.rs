//! Counters and latency histograms of the relay.

use std::hash::Hash;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use medlarfall_coordination::catch_up::Lag;
use medlarfall_coordination::dissemination::Scope;
use medlarfall_coordination::quarantine::Kind;
use medlarfall_coordination::registry::Unused;
use medlarfall_runtime::logging::Losses;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};

mod admission;
mod catch_up;
mod connections;
mod duties;
mod labels;
mod prompts;
mod registrations;

pub use admission::Admission;
pub use catch_up::CatchUp;
pub use connections::Connections;
pub use labels::{
    CauseLabels, EndLabels, KindLabels, RouteLabels, ServiceLabels, SourceLabels, StoreCall,
};
pub use prompts::Prompts;
pub use registrations::Registrations;

/// Upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET: f64 = 0.005;

/// Latency buckets; each bound is twice the one before, up to 41 s.
const BUCKETS: u16 = 14;

/// Counts one request as open until this is dropped.
#[derive(Debug)]
pub struct Open(Gauge);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Gauges that are computed when the metrics are scraped.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    /// Time since the configuration in force was received.
    pub configuration_age: Duration,
    /// Time since the list of servers was last known to be complete.
    pub servers_age: Duration,
    /// Bytes of request bodies in memory.
    pub held_bytes: usize,
    /// Other entries that are known.
    pub entries: usize,
    /// Whether this entry is a hub.
    pub hub: bool,
    /// Servers that accept requests, by service.
    pub servers: Vec<(String, usize)>,
    /// Servers that have named a limit.
    pub limited_servers: usize,
    /// Connections to servers, by service.
    pub connections: Vec<(String, u32)>,
    /// How far this entry is behind the others.
    pub lag: Lag,
    /// Registrations of servers that are not in use.
    pub unused: Unused,
}

/// The metrics.
#[derive(Debug)]
pub struct Metrics {
    /// Open requests by kind: `call` or `stream`.
    pub open: Family<KindLabels, Gauge>,
    /// Time to the response or first event by service, in seconds.
    pub service_first: Family<ServiceLabels, Histogram>,
    /// Expected time of requests placed by it, by service, in seconds: to be compared with the measured
    /// time to the response or first event.
    pub expected: Family<ServiceLabels, Histogram>,
    /// Age of the known `configuration` or `servers`, in seconds.
    pub age: Family<KindLabels, Gauge<f64, AtomicU64>>,
    /// Bytes of request bodies in memory.
    pub held_bytes: Gauge,
    /// Other entries that are known.
    pub entries: Gauge,
    /// Servers that accept requests, by service.
    pub servers: Family<ServiceLabels, Gauge>,
    /// Registrations of servers that are not in use.
    pub registrations: Registrations,
    /// Log lines that were not written, by kind: `folded` or `dropped`.
    pub log_lines_lost: Family<KindLabels, Counter>,
    /// Ended requests by route, status and reason.
    pub ended: Family<EndLabels, Counter>,
    /// Responses later than the route's target latency, or streams with a longer pause than its
    /// limit.
    pub late: Family<RouteLabels, Counter>,
    /// Time to the response, or to the first event of a stream, by route, in seconds.
    pub first: Family<RouteLabels, Histogram>,
    /// Streams that left a server, by cause.
    pub resumed: Family<CauseLabels, Counter>,
    /// Time from the last event before a resume to the next event, in seconds.
    pub resume_gap: Histogram,
    /// Probes of servers by kind.
    pub probes: Family<KindLabels, Counter>,
    /// Servers that were chosen, by measure: `expected_time` or `load`.
    pub placements: Family<KindLabels, Counter>,
    /// Tokens of prompts sent to servers.
    pub prompts: Prompts,
    /// Servers that the monitor declared lost.
    pub servers_lost: Counter,
    /// Retries withdrawn from the budgets.
    pub retries: Counter,
    /// Retries that a budget refused.
    pub retries_refused: Counter,
    /// Prompts whose server was lost before it began to answer them.
    pub prompts_lost: Counter,
    /// Combinations of prompt parts that were blocked since they crash servers.
    pub prompts_blocked: Counter,
    /// Calls whose server was lost before it answered them.
    pub calls_lost: Counter,
    /// Calls that were blocked since they crash servers.
    pub calls_blocked: Counter,
    /// Servers that have named a limit.
    pub limited_servers: Gauge,
    /// Connections to servers.
    pub connections: Connections,
    /// Calls to the store by kind.
    pub store_calls: Family<KindLabels, Counter>,
    /// How far this entry is behind the others, and how it catches up.
    pub catch_up: CatchUp,
    /// Messages sent to other entries by kind; one to several entries counts for each.
    pub messages: Family<KindLabels, Counter>,
    /// Their bytes.
    pub message_bytes: Family<KindLabels, Counter>,
    /// Received messages that could not be decoded.
    pub messages_rejected: Counter,
    /// Tasks that ended unexpectedly and were started again, by name.
    pub task_restarts: Family<KindLabels, Counter>,
    /// Admission to services whose servers report slowness.
    pub admission: Admission,
    /// Whether this entry is a hub of its failure domain: 1 or 0.
    pub hub: Gauge,
    /// Version of the configuration in force.
    pub configuration: Gauge,
    /// Whether the store is available: 1 or 0.
    pub store_up: Gauge,
    /// Era of the store, which increases with each restore.
    pub store_era: Gauge,
    /// Duties towards the provider.
    pub duties: duties::Metrics,
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
            service_first: add(new, "service_first_seconds", "By service", latencies()),
            expected: add(new, "expected_seconds", "Expected times", latencies()),
            resumed: add(
                new,
                "resumes",
                "Streams that changed servers",
                Family::default(),
            ),
            resume_gap: add(new, "resume_gap_seconds", "Pause of a resume", latency()),
            probes: add(new, "questions", "Questions to servers", Family::default()),
            placements: add(new, "placements", "Servers chosen", Family::default()),
            prompts: Prompts::new(new),
            servers_lost: add(new, "servers_lost", "Servers found lost", counter()),
            retries: add(new, "retries", "Repeats sent", counter()),
            retries_refused: add(new, "retries_refused", "Repeats refused", counter()),
            prompts_lost: add(new, "prompts_lost", "Prompts that got no answer", counter()),
            limited_servers: add(new, "limited_servers", "Servers with a limit", gauge()),
            prompts_blocked: add(new, "prompts_blocked", "Prompts blocked", counter()),
            calls_lost: add(new, "calls_lost", "Calls that got no answer", counter()),
            calls_blocked: add(new, "calls_blocked", "Calls blocked", counter()),
            store_calls: add(new, "store_calls", "Calls to the store", Family::default()),
            catch_up: CatchUp::new(new),
            messages: add(
                new,
                "messages",
                "Messages to other entries",
                Family::default(),
            ),
            message_bytes: add(
                new,
                "message_bytes",
                "Bytes of messages to other entries",
                Family::default(),
            ),
            messages_rejected: add(new, "messages_rejected", "Messages not decoded", counter()),
            task_restarts: add(
                new,
                "task_restarts",
                "Tasks started again",
                Family::default(),
            ),
            admission: Admission::new(new),
            hub: add(new, "hub", "Whether the entry is a hub", gauge()),
            configuration: add(new, "configuration", "Version in force", gauge()),
            connections: Connections::new(new),
            store_up: add(new, "store_up", "Whether the store answers", gauge()),
            store_era: add(new, "store_era", "Restores of the store, plus 1", gauge()),
            duties: duties::Metrics::new(new),
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
            registrations: Registrations::new(new),
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
    /// Counts an ended request.
    pub fn count_ended(&self, route: &str, status: u16, reason: &'static str) {
        let labels = EndLabels {
            route: route.to_owned(),
            status,
            reason,
        };
        self.ended.get_or_create(&labels).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, call: StoreCall) {
        let kind = call.name();
        self.store_calls.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts a request of a kind whose server was lost before it began to answer.
    pub fn count_unanswered(&self, kind: Kind) {
        match kind {
            Kind::Prompt => self.prompts_lost.inc(),
            Kind::Call => self.calls_lost.inc(),
        };
    }

    /// Counts a combination of a kind that was blocked.
    pub fn count_blocked(&self, kind: Kind) {
        match kind {
            Kind::Prompt => self.prompts_blocked.inc(),
            Kind::Call => self.calls_blocked.inc(),
        };
    }

    /// Counts a task that ended and is started again.
    pub fn count_task_restart(&self, kind: &'static str) {
        self.task_restarts.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts a server that was chosen by a measure.
    pub fn count_placement(&self, kind: &'static str) {
        self.placements.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts a server that was chosen by expected time.
    pub fn count_timed_placement(&self, service: &str, expected: f64) {
        self.count_placement("expected_time");
        let service = service.to_owned();
        let labels = ServiceLabels { service };
        self.expected.get_or_create(&labels).observe(expected);
    }

    /// Counts a probe of a server.
    pub fn count_probe(&self, kind: &'static str) {
        self.probes.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts a message of `bytes` to `recipients` entries.
    pub fn count_messages(&self, scope: Scope, recipients: usize, bytes: usize) {
        let kind = match scope {
            Scope::Report => "report",
            Scope::Members => "members",
            Scope::Hubs => "hubs",
        };
        let labels = KindLabels { kind };
        let number = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
        self.messages
            .get_or_create(&labels)
            .inc_by(number(recipients));
        self.message_bytes
            .get_or_create(&labels)
            .inc_by(number(recipients.saturating_mul(bytes)));
    }

    /// Counts a late response of a route.
    pub fn count_late(&self, route: &str) {
        let route = route.to_owned();
        self.late.get_or_create(&RouteLabels { route }).inc();
    }

    /// Records the time to a response or a first event.
    pub fn record_latency(&self, route: &str, service: &str, time: Duration) {
        let seconds = time.as_secs_f64();
        let route = route.to_owned();
        self.first
            .get_or_create(&RouteLabels { route })
            .observe(seconds);
        let service = service.to_owned();
        let of_service = self.service_first.get_or_create(&ServiceLabels { service });
        of_service.observe(seconds);
    }

    /// Counts a request of a kind as open until the returned value is dropped.
    #[must_use]
    pub fn open(&self, kind: &'static str) -> Open {
        let gauge = self.open.get_or_create(&KindLabels { kind }).clone();
        gauge.inc();
        Open(gauge)
    }

    /// Sets the gauges, and the counters of lost log lines.
    pub fn set_gauges(&self, gauges: &Gauges, log: Losses) {
        let age = |kind, age: Duration| {
            let gauge = self.age.get_or_create(&KindLabels { kind }).clone();
            gauge.set(age.as_secs_f64());
        };
        age("configuration", gauges.configuration_age);
        age("servers", gauges.servers_age);
        let signed = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.held_bytes.set(signed(gauges.held_bytes));
        self.entries.set(signed(gauges.entries));
        self.limited_servers.set(signed(gauges.limited_servers));
        self.hub.set(i64::from(gauges.hub));
        self.catch_up.set_lag(&gauges.lag);
        self.registrations.set_unused(gauges.unused);
        for (service, count) in &gauges.servers {
            let service = service.clone();
            let gauge = self
                .servers
                .get_or_create(&ServiceLabels { service })
                .clone();
            gauge.set(signed(*count));
        }
        for (service, count) in &gauges.connections {
            self.connections.set_open(service, *count);
        }
        for (kind, lines) in [("folded", log.rate_limited), ("dropped", log.dropped)] {
            let counter = self
                .log_lines_lost
                .get_or_create(&KindLabels { kind })
                .clone();
            counter.inc_by(lines.saturating_sub(counter.get()));
        }
    }

    /// Counts a stream that leaves a server.
    pub fn count_resume(&self, cause: &'static str) {
        self.resumed.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = encode(&mut text, &registry) {
            log::error!(reason = error.to_string().as_str(); "metrics not encoded");
        }
        text
    }
}
