//! Moves of services to another version: chooses the version that a request is sent to, and
//! measures the attempts at both versions.
//!
//! A move is the roll-out of a service's new version in stages. Each entry compares the new version
//! with the old one by its own attempts; [`driver`] decides on that evidence.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarfall_coordination::evidence::{Cohort, Observation};
use medlarfall_coordination::rollout::{Phase, Record};
use medlarfall_schema::declaration::Service;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::context::Context;

pub mod driver;
mod server_failures;
pub mod store;

/// Prefix of the keys that hold moves.
pub const PREFIX: &str = "moves/";

/// Messages that may wait for the driver; further samples are dropped.
const MAILBOX_CAPACITY: usize = 8_192;

/// Tokens after which the latencies of a generation are reported, without waiting for its end.
const EARLY_REPORT_TOKENS: u32 = 16;

/// Fewest tokens from which the time between tokens is reported.
const MIN_GAP_TOKENS: u32 = 4;

/// The latest move of each service that this entry knows of.
pub type View = BTreeMap<Arc<str>, Arc<Record>>;

/// An input of the driver.
#[derive(Clone, Debug)]
pub enum Message {
    /// An attempt was measured.
    Observed(Sample),
    /// A record was read from the store.
    Stored(Record),
    /// A record was received from a peer or an operator.
    Received(Record),
    /// A write to the store has ended. Holds the record that is then stored, or nothing if this is
    /// not known.
    Written(Arc<str>, Option<Record>),
}

/// A measurement of one attempt at a service.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The service.
    pub service: Arc<str>,
    /// Number of the move.
    pub number: u64,
    /// Backend server that the attempt was sent to.
    pub server: Arc<str>,
    /// Whether the attempt failed in a way that the crash of one backend server explains as well.
    pub interrupted: bool,
    /// What was measured.
    pub observation: Observation,
}

/// Access to moves for other modules.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The latest move of each service.
    pub view: watch::Receiver<Arc<View>>,
    messages: mpsc::Sender<Message>,
}

/// The driver's ends of the channels.
#[derive(Debug)]
pub struct Mailbox {
    view: watch::Sender<Arc<View>>,
    messages: mpsc::Receiver<Message>,
}

/// Creates the channels between the driver and the other modules.
#[must_use]
pub fn mailbox() -> (Handle, Mailbox) {
    let (view_sender, view) = watch::channel(Arc::default());
    let (sender, messages) = mpsc::channel(MAILBOX_CAPACITY);
    let handle = Handle {
        view,
        messages: sender,
    };
    let mailbox = Mailbox {
        view: view_sender,
        messages,
    };
    (handle, mailbox)
}

impl Handle {
    /// Returns the latest known move of a service.
    #[must_use]
    pub fn last(&self, service: &str) -> Option<Arc<Record>> {
        self.view.borrow().get(service).cloned()
    }

    /// Sends a message to the driver; waits while its mailbox is full.
    pub async fn send(&self, message: Message) {
        let _ = self.messages.send(message).await;
    }
}

/// Returns whether a move still applies to a declaration: it starts from the declared version, and
/// its own version has not been declared yet.
fn is_pending(record: &Record, service: &Service) -> bool {
    record.number > service.moved && *record.from == *service.version
}

/// Returns the version that a new request is sent to.
///
/// The declared version is used while no backend server of the new version is known. At the last stage,
/// which needs no server of the old version, the new version is used while none is known.
#[must_use]
pub fn version(context: &Context, service: &Service, request_id: &str) -> Arc<str> {
    let declared = || Arc::from(service.version.as_str());
    let record = context.moves.last(&service.name);
    let Some(record) = record.filter(|record| is_pending(record, service)) else {
        return declared();
    };
    let chosen = record.version(request_id);
    match chosen {
        chosen if has_server(context, &service.name, chosen) => Arc::clone(chosen),
        _ if record.at_last_stage() && has_server(context, &service.name, &record.to) => {
            Arc::clone(&record.to)
        }
        _ => declared(),
    }
}

/// Returns the version that needs no further evidence: that of a completed move, or else the
/// declared one.
#[must_use]
pub fn in_force(context: &Context, service: &Service) -> Arc<str> {
    let record = context.moves.last(&service.name);
    let done = record.filter(|record| is_pending(record, service) && record.phase == Phase::Done);
    match done {
        Some(record) => Arc::clone(&record.to),
        None => Arc::from(service.version.as_str()),
    }
}

/// Waits until new requests of a service are no longer sent to a version.
pub async fn withdrawn(context: &Context, service: &str, version: &str) {
    let mut declarations = context.declarations.clone();
    let mut view = context.moves.view.clone();
    loop {
        let declared = declarations.borrow_and_update().service(service).cloned();
        let record = view.borrow_and_update().get(service).cloned();
        let withdrawn = declared.is_some_and(|declared| {
            let moving =
                record.filter(|record| is_pending(record, &declared) && record.share() > 0);
            *declared.version != *version && moving.is_none_or(|record| *record.to != *version)
        });
        if withdrawn {
            return;
        }
        let closed = tokio::select! {
            changed = declarations.changed() => changed.is_err(),
            changed = view.changed() => changed.is_err(),
        };
        if closed {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns whether a version has a backend server that is not leaving.
fn has_server(context: &Context, service: &str, version: &str) -> bool {
    let directory = Arc::clone(&context.directory.borrow());
    let mut servers = directory.servers(service).iter();
    servers.any(|server| *server.version == *version && !server.leaving)
}

/// Returns a meter for one attempt; it reports only while the service is in a stage of a move.
#[must_use]
pub fn meter(context: &Context, service: &str, version: &str, server: &str, route: &str) -> Meter {
    let record = context.moves.last(service);
    let moving = record.filter(|record| matches!(record.phase, Phase::Stage(_)));
    let reporter = moving.and_then(|record| {
        let cohort = match version {
            version if *version == *record.to => Cohort::Canary,
            version if *version == *record.from => Cohort::Baseline,
            _ => return None,
        };
        Some(Reporter {
            messages: context.moves.messages.clone(),
            sample: Sample {
                service: Arc::from(service),
                number: record.number,
                server: Arc::from(server),
                interrupted: false,
                observation: Observation {
                    cohort,
                    route: Arc::from(route),
                    failed: None,
                    first: None,
                    gap: None,
                    call: None,
                },
            },
        })
    });
    Meter {
        reporter,
        started: Instant::now(),
        token_time: Duration::ZERO,
        tokens: 0,
        first: None,
        times_reported: false,
    }
}

/// Sends the measurements of one attempt to the driver.
#[derive(Debug)]
struct Reporter {
    messages: mpsc::Sender<Message>,
    sample: Sample,
}

impl Reporter {
    /// Sends an observation; drops it if the driver's mailbox is full.
    fn report(&self, interrupted: bool, observation: Observation) {
        let sample = Sample {
            interrupted,
            observation,
            ..self.sample.clone()
        };
        let _ = self.messages.try_send(Message::Observed(sample));
    }
}

/// Measures one attempt at a service that is being moved.
#[derive(Debug)]
pub struct Meter {
    reporter: Option<Reporter>,
    started: Instant,
    /// Time spent waiting for tokens after the first one.
    token_time: Duration,
    tokens: u32,
    first: Option<Duration>,
    times_reported: bool,
}

impl Meter {
    /// Records a token that took `waited` to arrive, without the time that the caller took to read.
    pub fn token(&mut self, waited: Duration) {
        if self.reporter.is_none() {
            return;
        }
        if self.tokens == 0 {
            self.first = Some(self.started.elapsed());
        } else {
            self.token_time += waited;
        }
        self.tokens += 1;
        if self.tokens == EARLY_REPORT_TOKENS {
            self.report(None);
        }
    }

    /// Records the end of an attempt at a generation.
    pub fn end(mut self, failed: bool) {
        self.report(Some(failed));
    }

    /// Records the end of a call; `interrupted` says that no response arrived. Only the durations of
    /// successful calls are compared.
    pub fn end_call(self, failed: bool, interrupted: bool) {
        let Some(reporter) = &self.reporter else {
            return;
        };
        let call = (!failed).then(|| self.started.elapsed());
        let observation = Observation {
            failed: Some(failed),
            call,
            ..reporter.sample.observation.clone()
        };
        reporter.report(interrupted, observation);
    }

    /// Reports the latencies, once per attempt, and how the attempt ended.
    fn report(&mut self, failed: Option<bool>) {
        let Some(reporter) = &self.reporter else {
            return;
        };
        let with_times = !self.times_reported;
        let gaps = self.tokens.saturating_sub(1);
        let gap = (with_times && self.tokens >= MIN_GAP_TOKENS).then(|| self.token_time / gaps);
        let observation = Observation {
            failed,
            first: self.first.filter(|_| with_times),
            gap,
            ..reporter.sample.observation.clone()
        };
        reporter.report(failed == Some(true), observation);
        self.times_reported = true;
    }
}

/// Returns the route by which calls to a plain service are compared: the method and the first
/// segment of the path.
#[must_use]
pub fn route(method: &str, path: &str) -> String {
    let end = path
        .char_indices()
        .skip(1)
        .find(|(_, character)| matches!(character, '/' | '?'));
    let first = end.map_or(path, |(end, _)| &path[..end]);
    format!("{method} {first}")
}

/// Returns the current Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
