//! One backend server as this entry sees it.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use medlarfall_coordination::balance::{Candidate, Load, TimedCandidate};
use medlarfall_coordination::connections::{Connections, Terms};
use medlarfall_coordination::dissemination::{self, Count, Tag};
use medlarfall_coordination::placement::{Proximity, name_hash};
use medlarfall_coordination::registry::Server;
use medlarfall_coordination::server_limit::Limit;
use medlarfall_coordination::server_load::{Estimate, Report, Work};
use medlarfall_coordination::server_pause::Start;

use crate::monitor::Monitor;

use super::Settings;
use super::placement::{Criteria, Measure};
use super::view::Group;

/// What is known of a server's load and speed, behind one lock: a placement reads both of each server.
#[derive(Debug)]
struct Belief {
    load: Load,
    estimate: Estimate,
}

/// A server with its load, monitor and search state.
#[derive(Debug)]
pub struct Backend {
    /// The server's registration.
    pub server: Arc<Server>,
    /// Monitors it while it runs streams of this entry.
    pub monitor: Monitor,
    hash: u64,
    tag: Tag,
    pub(super) proximity: Proximity,
    belief: Mutex<Belief>,
    limit: Mutex<Limit>,
    limited: AtomicBool,
    searching: AtomicBool,
    unconfirmed: AtomicBool,
    reports_slowness: AtomicBool,
    connections: Mutex<Connections>,
    /// Most connections of all entries; 0 if they are not limited.
    max_connections: AtomicU32,
    /// Hash that names this entry and the server.
    pair: u64,
    /// Number of streams of this entry at the server.
    pub streams: AtomicUsize,
    /// Number of backups of this entry's streams that the server holds, if they are counted.
    pub backups: AtomicUsize,
}

impl Backend {
    /// Marks a search for the server's successor as started; returns whether one was already
    /// running.
    pub fn mark_searching(&self) -> bool {
        self.searching.swap(true, Ordering::Relaxed)
    }

    /// Marks the search as ended; the next loss starts another.
    pub fn end_search(&self) {
        self.searching.store(false, Ordering::Relaxed);
    }

    /// Returns whether the server or its group was lost and it has not responded since.
    #[must_use]
    pub fn unconfirmed(&self) -> bool {
        self.unconfirmed.load(Ordering::Relaxed)
    }

    /// Marks the server as possibly gone, or as confirmed by a response.
    pub(super) fn set_unconfirmed(&self, unconfirmed: bool) {
        self.unconfirmed.store(unconfirmed, Ordering::Relaxed);
    }

    /// Returns whether the server has named a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limited.load(Ordering::Relaxed)
    }

    /// Reads or changes what is known of the connections to the server.
    pub fn connections<T>(&self, act: impl FnOnce(&mut Connections) -> T) -> T {
        let connections = self.connections.lock();
        act(&mut connections.unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a connection to the server as open until the returned value is dropped.
    #[must_use]
    pub fn open_connection(self: &Arc<Self>) -> Connection {
        self.connections(Connections::open);
        Connection(Arc::clone(self))
    }

    /// Sets the limit on the connections of all entries to the server.
    pub(super) fn set_max_connections(&self, limit: Option<u32>) {
        let limit = limit.unwrap_or(0);
        self.max_connections.store(limit, Ordering::Relaxed);
    }

    /// Returns whether this entry may use a share only of what the server takes from all entries.
    pub(super) fn is_shared(&self) -> bool {
        self.is_limited() || self.max_connections.load(Ordering::Relaxed) > 0
    }

    /// Returns whether this entry may open another connection to the server; `share` is its share of the
    /// service's requests.
    pub(super) fn has_connection(&self, share: f64, now: Duration) -> bool {
        let most = self.max_connections.load(Ordering::Relaxed);
        most == 0 || {
            let terms = Terms {
                most,
                slots: self.server.slots,
                share,
                pair: self.pair,
            };
            self.connections(|connections| connections.has_room(&terms, now))
        }
    }

    /// Returns which start of the server this is.
    pub(super) fn start(&self) -> Start<'_> {
        Start {
            id: &self.server.id,
            started_ms: self.server.started_ms,
        }
    }

    /// Reads or changes what is known of the server's limit.
    pub(super) fn limit<T>(&self, act: impl FnOnce(&mut Limit) -> T) -> T {
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        let result = act(&mut limit);
        let limited = limit.named().rate().is_some();
        self.limited.store(limited, Ordering::Relaxed);
        result
    }

    fn belief<T>(&self, act: impl FnOnce(&mut Belief) -> T) -> T {
        act(&mut self.belief.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Reads or changes the server's load.
    pub fn load<T>(&self, act: impl FnOnce(&mut Load) -> T) -> T {
        self.belief(|belief| act(&mut belief.load))
    }

    /// Reads or changes the estimate of the server.
    pub fn estimate<T>(&self, act: impl FnOnce(&mut Estimate) -> T) -> T {
        self.belief(|belief| act(&mut belief.estimate))
    }

    /// Counts a request sent to the server.
    pub fn request_sent(&self, now: Duration) {
        self.load(Load::request_started);
        self.estimate(|estimate| estimate.request_sent(now));
    }

    /// Counts a request that ended; `took` is its duration if the server answered it.
    pub fn request_ended(&self, took: Option<Duration>, now: Duration) {
        self.load(Load::request_ended);
        let announced = self.estimate(|estimate| {
            estimate.request_ended(took, now);
            estimate.announce_speed(now)
        });
        if let Some(relative_time) = announced {
            log::info!(
                server = &*self.server.id, service = &*self.server.service,
                failure_domain = &*self.server.failure_domain, relative_time;
                "mean time of a server's requests changed"
            );
        }
    }

    /// Records the load that the server reports.
    pub fn record_report(&self, report: Report, now: Duration) {
        self.load(|load| load.record_report(report.requests(), now));
        self.estimate(|estimate| estimate.record_report(report, now));
        if report.slowness.is_some() {
            self.reports_slowness.store(true, Ordering::Relaxed);
        }
    }

    /// Returns whether the server has reported its slowness.
    #[must_use]
    pub fn reports_slowness(&self) -> bool {
        self.reports_slowness.load(Ordering::Relaxed)
    }
}

/// Counts a connection to a server as open until this is dropped.
#[derive(Debug)]
pub struct Connection(Arc<Backend>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.connections(Connections::close);
    }
}

impl Backend {
    pub(super) fn new(server: Arc<Server>, settings: &Settings) -> Self {
        let region = |domain: &str| settings.regions.get(domain);
        let own = &settings.failure_domain;
        let proximity = match &server.failure_domain {
            domain if domain == own => Proximity::FailureDomain,
            domain if region(domain) == region(own) => Proximity::Region,
            _ => Proximity::Anywhere,
        };
        let server_slots = server.slots;
        Self {
            hash: name_hash(&server.id),
            tag: dissemination::tag(&server.id),
            proximity,
            pair: name_hash(&format!("{} {}", settings.entry, server.id)),
            server,
            monitor: Monitor::default(),
            belief: Mutex::new(Belief {
                load: Load::default(),
                estimate: Estimate::new(server_slots),
            }),
            limit: Mutex::default(),
            limited: AtomicBool::new(false),
            searching: AtomicBool::new(false),
            unconfirmed: AtomicBool::new(false),
            reports_slowness: AtomicBool::new(false),
            connections: Mutex::default(),
            max_connections: AtomicU32::new(0),
            streams: AtomicUsize::new(0),
            backups: AtomicUsize::new(0),
        }
    }

    /// Returns the hash that names the server in messages between entries.
    #[must_use]
    pub fn tag(&self) -> Tag {
        self.tag
    }

    /// Returns the hash of the server's name, and its proximity.
    pub(super) fn hash_and_proximity(&self) -> (u64, Proximity) {
        (self.hash, self.proximity)
    }

    pub(super) fn group(&self) -> Group {
        Group {
            service: Arc::clone(&self.server.service),
            failure_domain: Arc::clone(&self.server.failure_domain),
        }
    }

    /// Returns the server for placement by expected time.
    pub(super) fn timed_candidate(&self, now: Duration, work: Work) -> TimedCandidate {
        self.belief(|Belief { load, estimate }| TimedCandidate {
            hash: self.hash,
            time: estimate.expected_seconds(work, now),
            failure_rate: load.failure_rate(),
            suspect: load.suspect(now),
        })
    }

    pub(super) fn candidate(&self, now: Duration, criteria: Criteria, peers: Count) -> Candidate {
        let requests = |load: &mut Load| match criteria.measure {
            Measure::Calls { horizon } => load.estimate(now, horizon),
            Measure::Streams { memory, .. } => {
                let memory = memory.map_or(0.0, |memory| memory.load(load.streams().plus(peers)));
                load.stream_load(peers) + memory
            }
            Measure::BackupMemory(demand) => demand.backup_load(load.streams().plus(peers)),
        };
        self.load(|load| Candidate {
            hash: self.hash,
            proximity: self.proximity,
            requests: requests(load),
            slots: self.server.slots,
            failure_rate: load.failure_rate(),
            suspect: load.suspect(now),
        })
    }
}
