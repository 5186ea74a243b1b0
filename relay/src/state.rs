//! What the relay of one entry knows and holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use medlarfall_coordination::retry_budget::Bounds;
use medlarfall_coordination::routing::Table;
use medlarfall_coordination::{canary, liveness};
use medlarfall_runtime::budget;
use medlarfall_runtime::clock::Clock;
use tokio::sync::{Notify, watch};

use crate::changelog::Changelog;
use crate::codec::Codec;
use crate::metrics::Metrics;

mod backend;
mod gauges;
mod moves;
mod peers;
mod placement;
mod servers;
mod view;

pub use backend::Backend;
pub use moves::{Ended, Sight};
pub use placement::{Measure, Wanted};
use view::Beliefs;

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
    /// Repeats that a service allows: a share of an entry's requests, and a reserve that all entries
    /// divide.
    pub retries: Bounds,
    /// What a version that a service moves to may get before it is proved.
    pub moves: canary::Bounds,
    /// Bounds on the silence of servers.
    pub liveness: liveness::Bounds,
    /// Speed of the machine's link, in Mbit/s.
    pub link_mbps: u32,
    /// Where this entry takes messages of the others.
    pub peer_address: Option<SocketAddr>,
    /// Time from the order to stop until the process is ended.
    pub grace: Duration,
}

/// The relay of one entry.
#[derive(Debug)]
pub struct Relay<D> {
    /// The outside protocol.
    pub codec: D,
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
    /// Wakes the task that ends moves.
    pub moves_changed: Notify,
    /// Whether this entry reads the store, and it answers.
    pub reads: AtomicBool,
    beliefs: Mutex<Beliefs>,
    mirror: Mutex<Changelog>,
    catching_up: AtomicBool,
}

impl<D: Codec> Relay<D> {
    /// Returns a relay that knows nothing yet.
    #[must_use]
    pub fn new(dialect: D, settings: Settings) -> Self {
        Self {
            codec: dialect,
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
            moves_changed: Notify::new(),
            reads: AtomicBool::new(false),
            beliefs: Mutex::default(),
            mirror: Mutex::default(),
            catching_up: AtomicBool::new(false),
        }
    }

    fn beliefs<T>(&self, act: impl FnOnce(&mut Beliefs) -> T) -> T {
        act(&mut self.beliefs.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Reads or changes what was last read in the store.
    pub fn changelog<T>(&self, act: impl FnOnce(&mut Changelog) -> T) -> T {
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
        let now = self.clock.now();
        let known = self.beliefs(|beliefs| {
            let known = beliefs.table.as_ref().map(|table| table.version);
            if known.is_none_or(|known| version > known) {
                beliefs.table = Some(Arc::new(table));
                beliefs.table_at = now;
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
        self.tell();
    }
}
