//! Moves of services to another version: which version a request goes to, and what its attempts
//! show.

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

/// Observations that wait for the driver, at most; further ones are dropped.
const MAILBOX: usize = 8_192;

/// Tokens after which a generation's times are told before it ends.
const EARLY_TOKENS: u32 = 16;

/// Fewest tokens from which the time between them is told.
const FEWEST_TOKENS: u32 = 4;

/// The last move of each service, as far as this entry knows.
pub type View = BTreeMap<Arc<str>, Arc<Record>>;

/// What the driver is told.
#[derive(Clone, Debug)]
pub enum Message {
    /// An attempt showed something.
    Observed(Sample),
    /// A record was read from the store.
    Stored(Record),
    /// A record came from a peer or an operator.
    Received(Record),
    /// A write to the store has ended, with the record that stands there if it was settled.
    Written(Arc<str>, Option<Record>),
}

/// What an attempt at a service showed.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The service.
    pub service: Arc<str>,
    /// Number of the move.
    pub number: u64,
    /// Backend server that was asked.
    pub server: Arc<str>,
    /// Whether the attempt was cut off, which the death of one backend server explains as well.
    pub cut: bool,
    /// What was seen.
    pub observation: Observation,
}

/// The other modules' hold on moves.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The last move of each service.
    pub view: watch::Receiver<Arc<View>>,
    messages: mpsc::Sender<Message>,
}

/// What the driver is started with.
#[derive(Debug)]
pub struct Mailbox {
    view: watch::Sender<Arc<View>>,
    messages: mpsc::Receiver<Message>,
}

/// Returns the two ends of the moves' mailbox.
#[must_use]
pub fn mailbox() -> (Handle, Mailbox) {
    let (view_sender, view) = watch::channel(Arc::default());
    let (sender, messages) = mpsc::channel(MAILBOX);
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
    /// Returns the last move of a service.
    #[must_use]
    pub fn last(&self, service: &str) -> Option<Arc<Record>> {
        self.view.borrow().get(service).cloned()
    }

    /// Tells the driver of a record.
    pub async fn send(&self, message: Message) {
        let _ = self.messages.send(message).await;
    }
}

/// Returns whether a move still bears on a declaration: its version is not yet declared.
fn is_pending(record: &Record, service: &Service) -> bool {
    record.number > service.moved && *record.from == *service.version
}

/// Returns the version that a new request goes to.
///
/// While no backend server of the new version is known, requests stay with the old one.
#[must_use]
pub fn version(context: &Context, service: &Service, request_id: &str) -> Arc<str> {
    let declared = || Arc::from(service.version.as_str());
    let record = context.moves.last(&service.name);
    let Some(record) = record.filter(|record| is_pending(record, service)) else {
        return declared();
    };
    let chosen = record.version(request_id);
    if served(context, &service.name, chosen) {
        return Arc::clone(chosen);
    }
    declared()
}

/// Returns the version that is proved: the one that a move has come to, or the declared one.
#[must_use]
pub fn in_force(context: &Context, service: &Service) -> Arc<str> {
    let record = context.moves.last(&service.name);
    let done = record.filter(|record| is_pending(record, service) && record.phase == Phase::Done);
    match done {
        Some(record) => Arc::clone(&record.to),
        None => Arc::from(service.version.as_str()),
    }
}

/// Waits until requests of a service no longer go to a version.
pub async fn withdrawn(context: &Context, service: &str, version: &str) {
    let mut declarations = context.declarations.clone();
    let mut view = context.moves.view.clone();
    loop {
        let declared = declarations.borrow_and_update().service(service).cloned();
        let record = view.borrow_and_update().get(service).cloned();
        let gone = declared.is_some_and(|declared| {
            let moving =
                record.filter(|record| is_pending(record, &declared) && record.share() > 0);
            *declared.version != *version && moving.is_none_or(|record| *record.to != *version)
        });
        if gone {
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

/// Returns whether a backend server that is not leaving serves a version.
fn served(context: &Context, service: &str, version: &str) -> bool {
    let directory = Arc::clone(&context.directory.borrow());
    let mut servers = directory.servers(service).iter();
    servers.any(|server| *server.version == *version && !server.leaving)
}

/// Returns a probe of one attempt; it tells nothing unless the service moves.
#[must_use]
pub fn meter(context: &Context, service: &str, version: &str, server: &str, route: &str) -> Meter {
    let record = context.moves.last(service);
    let moving = record.filter(|record| matches!(record.phase, Phase::Stage(_)));
    let target = moving.and_then(|record| {
        let side = match version {
            version if *version == *record.to => Cohort::Canary,
            version if *version == *record.from => Cohort::Baseline,
            _ => return None,
        };
        Some(Target {
            messages: context.moves.messages.clone(),
            sample: Sample {
                service: Arc::from(service),
                number: record.number,
                server: Arc::from(server),
                cut: false,
                observation: Observation {
                    cohort: side,
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
        target,
        started: Instant::now(),
        waited: Duration::ZERO,
        tokens: 0,
        first: None,
        told: false,
    }
}

/// Where a probe tells what it has seen.
#[derive(Debug)]
struct Target {
    messages: mpsc::Sender<Message>,
    sample: Sample,
}

impl Target {
    /// Tells what was seen, unless the driver is far behind.
    fn tell(&self, cut: bool, observation: Observation) {
        let sample = Sample {
            cut,
            observation,
            ..self.sample.clone()
        };
        let _ = self.messages.try_send(Message::Observed(sample));
    }
}

/// Measures one attempt.
#[derive(Debug)]
pub struct Meter {
    target: Option<Target>,
    started: Instant,
    waited: Duration,
    tokens: u32,
    first: Option<Duration>,
    told: bool,
}

impl Meter {
    /// Notes a token for which `waited` passed; the time that the caller takes is left out.
    pub fn token(&mut self, waited: Duration) {
        if self.target.is_none() {
            return;
        }
        if self.tokens == 0 {
            self.first = Some(self.started.elapsed());
        } else {
            self.waited += waited;
        }
        self.tokens += 1;
        if self.tokens == EARLY_TOKENS {
            self.tell(None);
        }
    }

    /// Notes that a generation's attempt has ended.
    pub fn end(mut self, failed: bool) {
        self.tell(Some(failed));
    }

    /// Notes that a call has ended, or was `cut` off; only the time of a good one is compared.
    pub fn end_call(self, failed: bool, cut: bool) {
        let Some(target) = &self.target else {
            return;
        };
        let call = (!failed).then(|| self.started.elapsed());
        let observation = Observation {
            failed: Some(failed),
            call,
            ..target.sample.observation.clone()
        };
        target.tell(cut, observation);
    }

    /// Tells the times once, and how the attempt ended.
    fn tell(&mut self, failed: Option<bool>) {
        let Some(target) = &self.target else {
            return;
        };
        let times = !self.told;
        let gaps = self.tokens.saturating_sub(1);
        let gap = (times && self.tokens >= FEWEST_TOKENS).then(|| self.waited / gaps);
        let observation = Observation {
            failed,
            first: self.first.filter(|_| times),
            gap,
            ..target.sample.observation.clone()
        };
        target.tell(failed == Some(true), observation);
        self.told = true;
    }
}

/// Returns the route of a call to a plain service: its method and the first part of its path.
#[must_use]
pub fn route(method: &str, path: &str) -> String {
    let end = path
        .char_indices()
        .skip(1)
        .find(|(_, character)| matches!(character, '/' | '?'));
    let first = end.map_or(path, |(end, _)| &path[..end]);
    format!("{method} {first}")
}

/// Returns the time in milliseconds of Unix time.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
