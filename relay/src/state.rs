//! State of one entry's relay: settings, metrics, and its view of the store, servers and peers.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use medlarfall_coordination::catch_up::CatchUp;
use medlarfall_coordination::dissemination::{Contact, Identity, Node};
use medlarfall_coordination::duty::Duties;
use medlarfall_coordination::history::Revision;
use medlarfall_coordination::pacing::Transfers;
use medlarfall_coordination::probe_budget::Budget;
use medlarfall_coordination::retry_budget::Bounds;
use medlarfall_coordination::routing::{Limits, Table};
use medlarfall_coordination::{canary, liveness, propagation};
use medlarfall_runtime::budget;
use medlarfall_runtime::clock::{BootClock, Clock, wall_ms};
use tokio::sync::{Notify, watch};

use crate::admission;
use crate::changelog::Changelog;
use crate::codec::Codec;
use crate::duty;
use crate::metrics::Metrics;

mod backend;
mod demand;
mod duties;
mod expected_time;
mod gauges;
mod limits;
mod moves;
mod peers;
mod placement;
mod quarantine;
mod rooms;
mod servers;
mod view;

pub use backend::{Backend, Connection};
pub use moves::{Measurement, MoveEnd};
pub use placement::{Criteria, Measure};
pub use quarantine::{Due, parts_text};
use view::View;

/// Address of an entry that receives no messages.
const UNREACHABLE: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// Settings of the relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry.
    pub entry: Arc<str>,
    /// Failure domain of this entry.
    pub failure_domain: Arc<str>,
    /// Region of each failure domain.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Memory for request bodies, in bytes.
    pub held_bytes: usize,
    /// Retry budget of each service: a share of an entry's requests, and a reserve that all entries
    /// divide.
    pub retries: Bounds,
    /// Bounds on the requests that a new version gets before it is accepted.
    pub moves: canary::Bounds,
    /// Bounds on the silence of servers.
    pub liveness: liveness::Bounds,
    /// Capacity of the machine's network link, in Mbit/s.
    pub link_mbps: u32,
    /// Address at which this entry receives messages of other entries.
    pub peer_address: Option<SocketAddr>,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
    /// Duties towards the platform's provider; `None` if the deployment has none.
    pub duties: Option<duty::Settings>,
    /// Time within which a change of the store must be in force.
    pub propagation: propagation::Budget,
    /// Calls a second that the store takes from all entries together.
    pub store_calls_per_s: f64,
}

/// The relay of one entry.
#[derive(Debug)]
pub struct Relay<C> {
    /// Translates the outside protocol.
    pub codec: C,
    /// Settings of this entry.
    pub settings: Settings,
    /// Clock of all times in the state.
    pub clock: Clock,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Memory budget for request bodies.
    pub memory: budget::Budget,
    /// Whether the entry is stopping.
    pub stopping: watch::Sender<bool>,
    /// Time at which the process ends, set when it starts to stop.
    pub ends_at: OnceLock<Duration>,
    /// Whether callers' connections are being closed.
    pub draining: watch::Sender<bool>,
    /// Limits on callers that are in force.
    pub limits: watch::Sender<Limits>,
    /// Notifies of each change of configuration or servers.
    pub changed: watch::Sender<u64>,
    /// Wakes the task that sends this entry's state to the others.
    pub streams_changed: Notify,
    /// Wakes the task that searches for successors of lost servers.
    pub search_requested: Notify,
    /// Wakes the task that drives moves.
    pub moves_changed: Notify,
    /// Wakes the task that records blocked requests.
    pub quarantine_changed: Notify,
    /// Whether this entry reads the store and its last call succeeded.
    pub reads_store: AtomicBool,
    /// Clock of the duties, which also advances while the machine is suspended.
    pub boot_clock: BootClock,
    /// Wakes the tasks that do duties.
    pub duties_changed: watch::Sender<u64>,
    duties: Option<Mutex<Duties>>,
    /// Admission to services whose servers report slowness.
    pub admission: admission::Services,
    /// Probes of servers that report slowness.
    probes: Mutex<Budget>,
    view: Mutex<View>,
    changelog: Mutex<Changelog>,
    catch_up: Mutex<CatchUp>,
    transfers: Mutex<Transfers>,
    /// Wakes the task that fetches the changes that this entry lacks.
    pub behind: Notify,
}

impl<C: Codec> Relay<C> {
    /// Returns a relay without a configuration, servers or peers.
    #[must_use]
    pub fn new(codec: C, settings: Settings) -> Self {
        let address = settings.peer_address;
        let clock = Clock::start();
        let identity = Identity {
            contact: Contact {
                entry: Arc::clone(&settings.entry),
                address: address.unwrap_or(UNREACHABLE),
                link_mbps: settings.link_mbps,
            },
            failure_domain: Arc::clone(&settings.failure_domain),
        };
        let mut node = Node::new(identity, settings.propagation, clock.now());
        let boot_clock = BootClock::start();
        let transfers = Transfers::new(settings.link_mbps);
        let catch_up = CatchUp::new(settings.propagation, rand::random());
        let duties = settings.duties.map(|duties| {
            let policy = duty::policy(&duties);
            let entry = Arc::clone(&settings.entry);
            let incarnation = rand::random();
            if duties.usage_reporting {
                node.enable_counts(incarnation, duties.window, wall_ms());
            }
            Mutex::new(Duties::new(policy, entry, incarnation, boot_clock.now()))
        });
        Self {
            boot_clock,
            duties_changed: watch::Sender::new(0),
            duties,
            codec,
            memory: budget::Budget::new(settings.held_bytes),
            settings,
            clock,
            metrics: Metrics::default(),
            stopping: watch::Sender::new(false),
            ends_at: OnceLock::new(),
            draining: watch::Sender::new(false),
            limits: watch::Sender::new(Limits::default()),
            changed: watch::Sender::new(0),
            streams_changed: Notify::new(),
            search_requested: Notify::new(),
            moves_changed: Notify::new(),
            quarantine_changed: Notify::new(),
            reads_store: AtomicBool::new(false),
            admission: admission::Services::default(),
            probes: Mutex::new(Budget::new(clock.now())),
            view: Mutex::new(View::new(node)),
            changelog: Mutex::default(),
            catch_up: Mutex::new(catch_up),
            transfers: Mutex::new(transfers),
            behind: Notify::new(),
        }
    }

    fn view<T>(&self, act: impl FnOnce(&mut View) -> T) -> T {
        act(&mut self.view.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a request towards the budget of probes.
    pub fn record_probed_request(&self) {
        let now = self.clock.now();
        let mut budget = self.probes.lock().unwrap_or_else(PoisonError::into_inner);
        budget.record_request(now);
    }

    /// Takes up to `wanted` probes from the budget; returns how many may be sent.
    #[must_use]
    pub fn take_probes(&self, wanted: usize) -> usize {
        let now = self.clock.now();
        let mut budget = self.probes.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(u32::try_from(wanted).unwrap_or(u32::MAX), now) as usize
    }

    /// Reads or changes the log of the store's changes.
    pub fn changelog<T>(&self, act: impl FnOnce(&mut Changelog) -> T) -> T {
        act(&mut self
            .changelog
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }

    /// Reads or changes the state of catching up with the other entries, given the revision that this entry
    /// knows and the time.
    pub fn catch_up<T>(&self, act: impl FnOnce(&mut CatchUp, Revision, Duration) -> T) -> T {
        let own = self.changelog(|changelog| changelog.revision());
        let mut catch_up = self.catch_up.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut catch_up, own, self.clock.now())
    }

    /// Returns whether this entry's link carries a response of `bytes` to a peer in time, and counts it if so.
    pub fn may_transfer(&self, bytes: usize) -> bool {
        let now = self.clock.now();
        let mut transfers = self
            .transfers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        transfers.begin(bytes, self.settings.propagation.transfer(), now)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.view(|view| view.table.clone())
    }

    /// Returns whether the entry accepts requests: it has a configuration and is not stopping.
    #[must_use]
    pub fn ready(&self) -> bool {
        !*self.stopping.borrow() && self.view(|view| view.table.is_some())
    }

    /// Returns whether the process ends before a request that takes `needs` could end.
    #[must_use]
    pub fn ends_before(&self, needs: Duration) -> bool {
        let ends_at = self.ends_at.get();
        ends_at.is_some_and(|ends_at| *ends_at < self.clock.now() + needs)
    }

    /// Puts a configuration in force if it is newer than the current one.
    pub fn configure(&self, table: Table) {
        let version = table.version;
        let now = self.clock.now();
        let known = self.view(|view| {
            let known = view.table.as_ref().map(|table| table.version);
            if known.is_none_or(|known| version > known) {
                let limits = table.limits;
                self.limits
                    .send_if_modified(|known| std::mem::replace(known, limits) != limits);
                if view.registry.set_services(table.services()) {
                    view.update_all_backends(&self.settings);
                }
                view.table = Some(Arc::new(table));
                view.table_at = now;
                view.limit_connections();
            }
            known
        });
        if known.is_some_and(|known| version <= known) {
            return;
        }
        self.metrics
            .configuration
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        log::info!(version, before = known.unwrap_or(0); "configuration in force");
        self.notify_changed();
    }
}
