//! What the relay of one entry knows and holds.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use medlarfall_coordination::balance::{self, Candidate, Load};
use medlarfall_coordination::liveness;
use medlarfall_coordination::outage::Groups;
use medlarfall_coordination::placement::{Proximity, name_hash};
use medlarfall_coordination::retry_budget::{Budget, Policy};
use medlarfall_coordination::roster::{Effect, Roster, Server};
use medlarfall_coordination::routing::Table;
use medlarfall_coordination::shared_load::{self, Count};
use tokio::sync::{Notify, watch};

use medlarfall_runtime::clock::Clock;
use medlarfall_runtime::budget;

use crate::dialect::Dialect;
use crate::exchange::Found;
use crate::metrics::Metrics;
use crate::mirror::Mirror;
use crate::monitor::Monitor;

/// Time for which the other entries are told that a server could not be reached.
const LOSS_TOLD: Duration = Duration::from_millis(1_500);

/// Settings of the relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry.
    pub entry: Arc<str>,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
    /// Region of each failure domain.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Memory for bodies that are held, in bytes.
    pub held_bytes: usize,
    /// Repeats that a service allows this entry.
    pub retries: Policy,
    /// Bounds on the silence of servers.
    pub liveness: liveness::Bounds,
    /// Where this entry takes messages of the others.
    pub exchange: Option<SocketAddr>,
    /// Time from the order to stop until the process is ended.
    pub grace: Duration,
}

/// A server, with what this entry knows of it.
#[derive(Debug)]
pub struct Backend {
    /// As it announces itself.
    pub server: Arc<Server>,
    /// Watches it while it runs streams.
    pub monitor: Monitor,
    hash: u64,
    proximity: Proximity,
    load: Mutex<Load>,
    searched: AtomicBool,
    /// Streams of this entry that are at the server.
    pub streams: AtomicUsize,
}

impl Backend {
    /// Returns whether a search for the server's next start has begun before, and begins it.
    pub fn searched(&self) -> bool {
        self.searched.swap(true, Ordering::Relaxed)
    }

    /// Notes that a search has ended; the next loss begins another.
    pub fn search_ended(&self) {
        self.searched.store(false, Ordering::Relaxed);
    }

    /// Reads or changes the server's load.
    pub fn load<T>(&self, act: impl FnOnce(&mut Load) -> T) -> T {
        act(&mut self.load.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// What is believed of configuration and servers.
#[derive(Debug, Default)]
struct Beliefs {
    table: Option<Arc<Table>>,
    roster: Roster,
    backends: HashMap<Arc<str>, Vec<Arc<Backend>>>,
    retries: HashMap<Arc<str>, Budget>,
    groups: Groups<Group>,
    peers: HashMap<Arc<str>, SocketAddr>,
    shared: shared_load::Table,
    to_search: Vec<Arc<Backend>>,
    found: Vec<Found>,
    lost: HashMap<Arc<str>, Duration>,
}

/// The servers of a service in one failure domain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Group {
    service: Arc<str>,
    failure_domain: Arc<str>,
}

/// The relay of one entry.
#[derive(Debug)]
pub struct Relay<D> {
    /// The outside protocol.
    pub dialect: D,
    /// Settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// Counters.
    pub metrics: Metrics,
    /// Memory for bodies.
    pub memory: budget::Budget,
    /// Whether the entry is stopping.
    pub stopping: watch::Sender<bool>,
    /// When the process ends, once it is stopping.
    pub ends_at: OnceLock<Duration>,
    /// Whether callers' connections are being closed.
    pub draining: watch::Sender<bool>,
    /// Tells of each change of configuration or servers.
    pub changed: watch::Sender<u64>,
    /// Wakes the task that tells the other entries of this one's streams.
    pub streams_changed: Notify,
    /// Wakes the task that looks for what has taken the place of lost servers.
    pub search_wanted: Notify,
    beliefs: Mutex<Beliefs>,
    mirror: Mutex<Mirror>,
    catching_up: AtomicBool,
}

/// How a server's load is counted.
#[derive(Clone, Copy, Debug)]
pub enum Measure {
    /// By calls: this entry's, and those of others from reports that fade over `horizon`.
    Calls {
        /// About how long a call lasts.
        horizon: Duration,
    },
    /// By streams, of this entry and of its peers.
    Streams,
}

/// What to look for in a server.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'request> {
    /// The service.
    pub service: &'request str,
    /// Servers that are not to be chosen.
    pub not: &'request [Arc<str>],
    /// Failure domains that are not to be chosen while others have servers.
    pub outside: &'request [Arc<str>],
    /// Load, in requests, that a server in another failure domain counts for.
    pub distance: f64,
    /// How load is counted.
    pub measure: Measure,
    /// Breaks ties.
    pub lot: u64,
}

impl<D: Dialect> Relay<D> {
    /// Returns a relay that knows nothing yet.
    #[must_use]
    pub fn new(dialect: D, settings: Settings) -> Self {
        Self {
            dialect,
            memory: budget::Budget::new(settings.held_bytes),
            settings,
            clock: Clock::start(),
            metrics: Metrics::default(),
            stopping: watch::Sender::new(false),
            ends_at: OnceLock::new(),
            draining: watch::Sender::new(false),
            changed: watch::Sender::new(0),
            streams_changed: Notify::new(),
            search_wanted: Notify::new(),
            beliefs: Mutex::default(),
            mirror: Mutex::default(),
            catching_up: AtomicBool::new(false),
        }
    }

    fn beliefs<T>(&self, act: impl FnOnce(&mut Beliefs) -> T) -> T {
        act(&mut self.beliefs.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Reads or changes what was last read in the store.
    pub fn mirror<T>(&self, act: impl FnOnce(&mut Mirror) -> T) -> T {
        act(&mut self.mirror.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether this entry is catching up from a peer, and notes that it is.
    pub fn begin_catching_up(&self) -> bool {
        self.catching_up.swap(true, Ordering::Relaxed)
    }

    /// Notes that this entry has caught up, or failed to.
    pub fn end_catching_up(&self) {
        self.catching_up.store(false, Ordering::Relaxed);
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.beliefs(|beliefs| beliefs.table.clone())
    }

    /// Returns whether the entry takes requests: it knows a configuration and is not stopping.
    #[must_use]
    pub fn ready(&self) -> bool {
        !*self.stopping.borrow() && self.beliefs(|beliefs| beliefs.table.is_some())
    }

    /// Returns whether a request that may last `needs` would be cut by the end of the process.
    #[must_use]
    pub fn ends_before(&self, needs: Duration) -> bool {
        let ends_at = self.ends_at.get();
        ends_at.is_some_and(|ends_at| *ends_at < self.clock.now() + needs)
    }

    /// Puts a configuration in force, unless it is not newer than the one that is.
    pub fn configure(&self, table: Table) {
        let version = table.version;
        let known = self.beliefs(|beliefs| {
            let known = beliefs.table.as_ref().map(|table| table.version);
            if known.is_none_or(|known| version > known) {
                beliefs.table = Some(Arc::new(table));
            }
            known
        });
        if known.is_some_and(|known| version <= known) {
            return;
        }
        self.metrics.configuration.set(i64::try_from(version).unwrap_or(i64::MAX));
        log::info!(version, before = known.unwrap_or(0); "configuration in force");
        self.tell();
    }

    /// Takes in what a server announced.
    pub fn announce(&self, server: Server, revision: u64) {
        let id = Arc::clone(&server.id);
        let effect = self.beliefs(|beliefs| {
            let effect = beliefs.roster.announce(server, revision);
            if effect != Effect::Stale {
                beliefs.forget_unlisted();
                beliefs.refresh(&self.settings, &id);
            }
            effect
        });
        self.believed(effect, &id, revision);
    }

    /// Takes in that a server's entry was removed.
    pub fn remove(&self, id: &Arc<str>, revision: u64) {
        let now = self.clock.now();
        let effect = self.beliefs(|beliefs| {
            let effect = beliefs.roster.remove(id, revision, now);
            beliefs.refresh(&self.settings, id);
            effect
        });
        self.believed(effect, id, revision);
    }

    /// Takes in that a complete list read at `revision` named only `listed`.
    pub fn retain(&self, listed: &HashSet<Arc<str>>, revision: u64) {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            beliefs.roster.retain(listed, revision, now);
            beliefs.refresh_all(&self.settings);
        });
        self.tell();
    }

    /// Notes whether the store answers, and drops servers that did not come back after an outage.
    pub fn store_answers(&self, answers: bool) {
        let now = self.clock.now();
        let expired = self.beliefs(|beliefs| {
            match answers {
                true => beliefs.roster.keeper_answered(now),
                false => beliefs.roster.keeper_lost(),
            }
            let expired = beliefs.roster.expire(now);
            for id in &expired {
                beliefs.refresh(&self.settings, id);
            }
            expired
        });
        for id in &expired {
            self.believed(Effect::Gone, id, 0);
        }
    }

    fn believed(&self, effect: Effect, id: &str, revision: u64) {
        if effect == Effect::Stale {
            return;
        }
        let effect = format!("{effect:?}").to_lowercase();
        log::info!(server = id, revision, effect = effect.as_str(); "list of servers changed");
        self.tell();
    }

    fn tell(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns the servers that this entry itself could not reach lately.
    #[must_use]
    pub fn lately_lost(&self) -> Vec<Arc<str>> {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            beliefs
                .lost
                .retain(|_, at| now.saturating_sub(*at) < LOSS_TOLD);
            beliefs.lost.keys().cloned().collect()
        })
    }

    /// Takes in the servers that another entry could not reach: one that this entry has not heard
    /// of since either is put behind the others and looked for.
    pub fn peer_lost(&self, lost: &[Arc<str>]) {
        if lost.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            for backend in beliefs.backends.values().flatten() {
                let silent = || backend.load(|load| load.told_unreachable(now));
                if lost.contains(&backend.server.id) && silent() {
                    beliefs.to_search.push(Arc::clone(backend));
                }
            }
        });
        self.search_wanted.notify_one();
    }

    /// Returns the servers that were found while the store is away.
    #[must_use]
    pub fn found(&self) -> Vec<Found> {
        self.beliefs(|beliefs| {
            if beliefs.roster.keeper_answers() {
                beliefs.found.clear();
            }
            beliefs.found.clone()
        })
    }

    /// Takes in the servers that another entry found.
    pub fn peer_found(&self, found: Vec<Found>) {
        if self.store_up() {
            return;
        }
        for Found {
            before,
            now,
            born_ms,
        } in found
        {
            let before = self.beliefs(|beliefs| beliefs.roster.get(&before).cloned());
            if let Some(before) = before {
                self.adopt(&before, now, born_ms);
            }
        }
    }

    /// Takes in a server that was found in place of `gone`, while the store does not answer.
    pub fn adopt(&self, gone: &Server, id: Arc<str>, born_ms: Option<u64>) {
        let server = Server {
            id: Arc::clone(&id),
            leaving: false,
            born_ms,
            ..gone.clone()
        };
        let effect = self.beliefs(|beliefs| {
            let effect = beliefs.roster.adopt(server);
            if effect != Effect::Stale {
                beliefs.found.push(Found {
                    before: Arc::clone(&gone.id),
                    now: Arc::clone(&id),
                    born_ms,
                });
            }
            beliefs.forget_unlisted();
            beliefs.refresh(&self.settings, &id);
            effect
        });
        self.believed(effect, &id, 0);
    }

    /// Returns the load of streams at a server, in prompts that are read.
    #[must_use]
    pub fn stream_load(&self, backend: &Backend) -> f64 {
        let peers = self.beliefs(|beliefs| beliefs.shared.at(&backend.server.id));
        backend.load(|load| load.stream_load(peers))
    }

    /// Returns whether the store answers.
    #[must_use]
    pub fn store_up(&self) -> bool {
        self.beliefs(|beliefs| beliefs.roster.keeper_answers())
    }

    /// Returns whether a server is still as it was when it was chosen: it neither leaves, nor has
    /// gone, nor has another start taken its address.
    #[must_use]
    pub fn current(&self, backend: &Arc<Backend>) -> bool {
        let now = self.clock.now();
        self.listed(backend) && !backend.load(|load| load.suspect(now))
    }

    /// Returns whether a server is still listed as it was when it was chosen.
    #[must_use]
    pub fn listed(&self, backend: &Arc<Backend>) -> bool {
        self.beliefs(|beliefs| {
            let mut all = beliefs.backends.values().flatten();
            let mut listed = false;
            all.all(|other| {
                listed |= Arc::ptr_eq(other, backend);
                Arc::ptr_eq(other, backend) || other.server.address != backend.server.address
            }) && listed
        })
    }

    /// Takes in the address of another entry. One whose lease ended is kept while it tells
    /// something: leases also end while the store is away.
    pub fn peer(&self, name: &Arc<str>, address: Option<SocketAddr>) {
        if *name == self.settings.entry {
            return;
        }
        let Some(address) = address else {
            return;
        };
        let before = self.beliefs(|beliefs| beliefs.peers.insert(Arc::clone(name), address));
        if before != Some(address) {
            log::info!(peer = &**name, address = address.to_string().as_str(); "entry known");
        }
    }

    /// Returns the addresses of the other entries.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.beliefs(|beliefs| beliefs.peers.values().copied().collect())
    }

    /// Takes in what another entry has at each server.
    pub fn peer_told(&self, peer: Arc<str>, counts: HashMap<Arc<str>, Count>) {
        let now = self.clock.now();
        self.beliefs(|beliefs| beliefs.shared.told(peer, counts, now));
    }

    /// Returns the streams of this entry at each server: all, and those whose prompt is read.
    #[must_use]
    pub fn own_streams(&self) -> Vec<(Arc<str>, u32, u32)> {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            beliefs.shared.expire(now);
            let backends = beliefs.backends.values().flatten();
            let counted = backends.filter_map(|backend| {
                let count = backend.load(|load| load.streams());
                let streams = backend.streams.load(Ordering::Relaxed);
                let id = Arc::clone(&backend.server.id);
                (streams > 0).then_some((id, count.runs, count.reading))
            });
            counted.collect()
        })
    }

    /// Notes that a server could not be reached, or was lost. It is looked for anew, with the
    /// others of its group if they can't be reached either.
    pub fn unreachable(&self, backend: &Arc<Backend>) {
        let now = self.clock.now();
        backend.load(|load| load.unreachable(now));
        let id = &backend.server.id;
        let group = backend.group();
        let suspect = self.beliefs(|beliefs| {
            let suspect = beliefs.groups.failed(group.clone(), id, now);
            beliefs.to_search.push(Arc::clone(backend));
            beliefs.lost.insert(Arc::clone(id), now);
            if suspect {
                let all = beliefs.backends.get(&group.service).into_iter().flatten();
                let members = all.filter(|other| other.group() == group).cloned();
                beliefs.to_search.extend(members);
            }
            suspect
        });
        self.search_wanted.notify_one();
        self.streams_changed.notify_one();
        if suspect {
            log::warn!(
                service = &*backend.server.service,
                failure_domain = &*backend.server.failure_domain, server = &**id;
                "servers of a failure domain can't be reached"
            );
        }
    }

    /// Takes the servers that are to be looked for.
    pub fn take_searches(&self) -> Vec<Arc<Backend>> {
        self.beliefs(|beliefs| std::mem::take(&mut beliefs.to_search))
    }

    /// Notes that a server answered.
    pub fn answered(&self, backend: &Backend) {
        let now = self.clock.now();
        backend.monitor.heard(now);
        let group = backend.group();
        self.beliefs(|beliefs| beliefs.groups.answered(&group));
    }

    /// Returns the servers of a service that are not suspect, the nearest first.
    #[must_use]
    pub fn usable(&self, service: &str) -> Vec<Arc<Backend>> {
        let now = self.clock.now();
        let mut usable: Vec<Arc<Backend>> = self.beliefs(|beliefs| {
            let backends = beliefs.backends.get(service).into_iter().flatten();
            let usable = backends.filter(|backend| !backend.load(|load| load.suspect(now)));
            usable.cloned().collect()
        });
        usable.sort_by_key(|backend| backend.proximity);
        usable
    }

    /// Chooses a server.
    #[must_use]
    pub fn choose(&self, wanted: Wanted) -> Option<Arc<Backend>> {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            let backends = beliefs.backends.get(wanted.service)?;
            let fits = |backend: &&Arc<Backend>| !wanted.not.contains(&backend.server.id);
            let outside = |backend: &&Arc<Backend>| {
                !wanted.outside.contains(&backend.server.failure_domain)
                    && !backend.load(|load| load.suspect(now))
                    && !beliefs.groups.suspect(&backend.group(), now)
            };
            let mut fitting: Vec<&Arc<Backend>> =
                backends.iter().filter(fits).filter(outside).collect();
            if fitting.is_empty() {
                fitting = backends.iter().filter(fits).collect();
            }
            let candidates: Vec<Candidate> = fitting
                .iter()
                .map(|backend| {
                    let peers = beliefs.shared.at(&backend.server.id);
                    backend.candidate(now, wanted, peers)
                })
                .collect();
            let chosen = balance::choose(&candidates, wanted.distance, wanted.lot)?;
            Some(Arc::clone(fitting[chosen]))
        })
    }

    /// Counts a request for a service, which adds to its budget of repeats.
    pub fn count_request(&self, service: &Arc<str>) {
        self.beliefs(|beliefs| beliefs.budget(service, self.settings.retries).succeeded());
    }

    /// Takes a repeat from the budget of a service and returns whether there was one.
    #[must_use]
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let taken =
            self.beliefs(|beliefs| beliefs.budget(service, self.settings.retries).withdraw());
        match taken {
            true => self.metrics.retries.inc(),
            false => self.metrics.retries_refused.inc(),
        };
        taken
    }
}

impl Backend {
    fn new(server: Arc<Server>, settings: &Settings) -> Self {
        let region = |domain: &str| settings.regions.get(domain);
        let own = &settings.failure_domain;
        let proximity = match &server.failure_domain {
            domain if domain == own => Proximity::FailureDomain,
            domain if region(domain) == region(own) => Proximity::Region,
            _ => Proximity::Anywhere,
        };
        Self {
            hash: name_hash(&server.id),
            proximity,
            server,
            monitor: Monitor::default(),
            load: Mutex::default(),
            searched: AtomicBool::new(false),
            streams: AtomicUsize::new(0),
        }
    }

    fn group(&self) -> Group {
        Group {
            service: Arc::clone(&self.server.service),
            failure_domain: Arc::clone(&self.server.failure_domain),
        }
    }

    fn candidate(&self, now: Duration, wanted: Wanted, peers: Count) -> Candidate {
        let requests = |load: &mut Load| match wanted.measure {
            Measure::Calls { horizon } => load.estimate(now, horizon),
            Measure::Streams => load.stream_load(peers),
        };
        self.load(|load| Candidate {
            hash: self.hash,
            proximity: self.proximity,
            requests: requests(load),
            slots: self.server.slots,
            faults: load.faults(),
            suspect: load.suspect(now),
        })
    }
}

impl Beliefs {
    fn budget(&mut self, service: &Arc<str>, policy: Policy) -> &mut Budget {
        let budget = self.retries.entry(Arc::clone(service));
        budget.or_insert_with(|| Budget::new(policy))
    }

    /// Brings the backends in line with what the roster says of one server.
    fn refresh(&mut self, settings: &Settings, id: &Arc<str>) {
        let known = self.roster.get(id).filter(|server| !server.leaving);
        for backends in self.backends.values_mut() {
            backends.retain(|backend| {
                backend.server.id != *id || known.is_some_and(|known| *known == backend.server)
            });
        }
        let Some(server) = known else {
            return;
        };
        let backends = self.backends.entry(Arc::clone(&server.service)).or_default();
        if backends.iter().all(|backend| backend.server.id != *id) {
            backends.push(Arc::new(Backend::new(Arc::clone(server), settings)));
        }
    }

    /// Drops the backends that the roster no longer lists.
    fn forget_unlisted(&mut self) {
        let roster = &self.roster;
        for backends in self.backends.values_mut() {
            backends.retain(|backend| roster.get(&backend.server.id).is_some());
        }
    }

    /// Brings the backends in line with the whole roster.
    fn refresh_all(&mut self, settings: &Settings) {
        self.forget_unlisted();
        let ids: Vec<Arc<str>> = self
            .roster
            .iter()
            .map(|server| Arc::clone(&server.id))
            .collect();
        for id in &ids {
            self.refresh(settings, id);
        }
    }
}
