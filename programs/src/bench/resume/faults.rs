//! Killing and pausing engines and losing entries while generations run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_serving::backend::Server;
use medlarfall_serving::platform::Instance;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

use super::Way;
use crate::cluster::Cluster;

/// Time between two faults.
const INTERVAL: Duration = Duration::from_secs(1);

/// How long a paused engine stays so: longer than any bound on silence.
const PAUSE: Duration = Duration::from_secs(4);

/// Time after which a dead engine is off the instance list.
const LIST_LAG: Duration = Duration::from_millis(500);

/// Every n-th fault is the loss of an entry.
const ENTRY_EVERY: usize = 6;

/// What happened, and when.
#[derive(Clone, Debug)]
pub(super) enum Fault {
    /// An engine died or paused.
    Engine {
        /// When.
        at: Instant,
        /// The engine.
        server: Arc<str>,
    },
    /// An entry was lost.
    Entry {
        /// When.
        at: Instant,
        /// The entry.
        address: SocketAddr,
    },
}

impl Fault {
    /// Returns when it happened.
    pub(super) fn at(&self) -> Instant {
        match self {
            Self::Engine { at, .. } | Self::Entry { at, .. } => *at,
        }
    }
}

/// Where callers can go.
#[derive(Clone, Debug, Default)]
pub(super) struct Targets {
    /// Callers' ports of the entries that live.
    pub(super) entries: Vec<SocketAddr>,
    /// Engines that live, paused ones included.
    pub(super) engines: Vec<Server>,
}

/// Makes faults.
pub(super) struct Injector {
    cluster: Cluster,
    random: ChaCha8Rng,
    targets: watch::Sender<Targets>,
    way: Way,
    /// Since when each engine is paused, or that it is dead.
    paused: Vec<Option<Instant>>,
    lost_entries: usize,
    faults: Vec<Fault>,
}

impl Injector {
    /// Returns what makes the faults of a seed, and where callers can go.
    pub(super) fn new(cluster: Cluster, seed: u64, way: Way) -> (Self, watch::Receiver<Targets>) {
        let injector = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            targets: watch::Sender::default(),
            paused: vec![None; cluster.engines.len()],
            lost_entries: 0,
            faults: Vec::new(),
            cluster,
            way,
        };
        injector.publish();
        let targets = injector.targets.subscribe();
        (injector, targets)
    }

    /// Makes faults until stopped; returns the cluster and what was done.
    pub(super) async fn run(mut self, stop: CancellationToken) -> (Cluster, Vec<Fault>) {
        for count in 1.. {
            let stopped = time::timeout(INTERVAL, stop.cancelled()).await.is_ok();
            if stopped {
                break;
            }
            match self.way {
                Way::Entries if count % ENTRY_EVERY == 0 => self.lose_entry().await,
                Way::Entries | Way::Naive if count % 2 == 0 => self.pause_engine(),
                Way::Entries | Way::Naive => self.kill_engine().await,
            }
            self.publish();
        }
        (self.cluster, self.faults)
    }

    /// Kills an engine and starts another.
    async fn kill_engine(&mut self) {
        let Some(index) = self.engine() else {
            return;
        };
        let held = &self.cluster.engines[index];
        let server = Arc::from(held.instance.name.as_str());
        let at = Instant::now();
        held.engine.lifecycle().crash();
        self.faults.push(Fault::Engine { at, server });
        let mut gone = held.instance.clone();
        gone.leaving = true;
        let platform = self.cluster.platform.clone();
        tokio::spawn(async move {
            time::sleep(LIST_LAG).await;
            platform.register(gone);
        });
        if self
            .cluster
            .add_engine(super::engine_config())
            .await
            .is_ok()
        {
            self.paused.push(None);
        }
    }

    /// Pauses an engine, which returns later.
    fn pause_engine(&mut self) {
        let Some(index) = self.engine() else {
            return;
        };
        let held = &self.cluster.engines[index];
        let server = Arc::from(held.instance.name.as_str());
        let at = Instant::now();
        held.engine.lifecycle().pause(PAUSE);
        self.paused[index] = Some(at);
        self.faults.push(Fault::Engine { at, server });
    }

    /// Loses an entry and starts another.
    async fn lose_entry(&mut self) {
        let entry = &self.cluster.entries[self.lost_entries];
        let address = entry.addresses.callers;
        let at = Instant::now();
        entry.kill();
        self.lost_entries += 1;
        self.faults.push(Fault::Entry { at, address });
        // A failure to start leaves one entry fewer, which the figures then show.
        let _ = self.cluster.add_entry().await;
    }

    /// Draws an engine that lives and has not been paused lately.
    fn engine(&mut self) -> Option<usize> {
        let free = |index: &usize| {
            let paused = self.paused[*index].is_some_and(|since| since.elapsed() < 2 * PAUSE);
            !paused
                && !self.cluster.engines[*index]
                    .engine
                    .lifecycle()
                    .has_crashed()
        };
        let candidates: Vec<usize> = (0..self.paused.len()).filter(free).collect();
        let last = candidates.len().checked_sub(1)?;
        Some(candidates[self.random.random_range(0..=last)])
    }

    /// Tells callers where they can go.
    fn publish(&self) {
        let entries = self.cluster.entries[self.lost_entries..]
            .iter()
            .map(|entry| entry.addresses.callers);
        let engines = self
            .cluster
            .engines
            .iter()
            .filter(|held| !held.engine.lifecycle().has_crashed())
            .filter_map(|held| serde_json::to_value(&held.instance).ok())
            .filter_map(|json| serde_json::from_value::<Instance>(json).ok())
            .filter_map(|instance| Server::try_from(instance).ok());
        self.targets.send_replace(Targets {
            entries: entries.collect(),
            engines: engines.collect(),
        });
    }
}
