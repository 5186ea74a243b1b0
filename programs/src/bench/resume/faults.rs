//! Injects faults while generations run: kills and pauses engines, and kills entries.

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

use super::Strategy;
use crate::cluster::Cluster;

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(1);

/// Duration of an engine's pause; longer than every limit on its silence, so that a pause counts as
/// a failure.
const ENGINE_PAUSE: Duration = Duration::from_secs(4);

/// Delay after which the instance list shows a dead engine as leaving.
const LIST_LAG: Duration = Duration::from_millis(500);

/// One in this many faults kills an entry.
const ENTRY_FAULT_EVERY: usize = 6;

/// A fault that was injected.
#[derive(Clone, Debug)]
pub(super) enum Fault {
    /// An engine was killed or paused.
    Engine {
        /// Time of the fault.
        at: Instant,
        /// Name of the engine.
        server: Arc<str>,
    },
    /// An entry was killed.
    Entry {
        /// Time of the fault.
        at: Instant,
        /// Address of its callers' port.
        address: SocketAddr,
    },
}

impl Fault {
    /// Returns the time of the fault.
    pub(super) fn at(&self) -> Instant {
        match self {
            Self::Engine { at, .. } | Self::Entry { at, .. } => *at,
        }
    }
}

/// Entries and engines that callers can use.
#[derive(Clone, Debug, Default)]
pub(super) struct Targets {
    /// Callers' ports of the live entries.
    pub(super) entries: Vec<SocketAddr>,
    /// Live engines, including paused ones.
    pub(super) engines: Vec<Server>,
}

/// Injects faults into a cluster at a fixed interval.
pub(super) struct Injector {
    cluster: Cluster,
    random: ChaCha8Rng,
    targets: watch::Sender<Targets>,
    strategy: Strategy,
    /// Start of the latest pause of each engine, if it was ever paused.
    paused: Vec<Option<Instant>>,
    killed_entries: usize,
    faults: Vec<Fault>,
}

impl Injector {
    /// Returns the injector of a seed, and a receiver of the targets for callers.
    pub(super) fn new(
        cluster: Cluster,
        seed: u64,
        strategy: Strategy,
    ) -> (Self, watch::Receiver<Targets>) {
        let injector = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            targets: watch::Sender::default(),
            paused: vec![None; cluster.engines.len()],
            killed_entries: 0,
            faults: Vec::new(),
            cluster,
            strategy,
        };
        injector.publish();
        let targets = injector.targets.subscribe();
        (injector, targets)
    }

    /// Injects faults until stopped; returns the cluster and the faults.
    pub(super) async fn run(mut self, stop: CancellationToken) -> (Cluster, Vec<Fault>) {
        for count in 1.. {
            let stopped = time::timeout(FAULT_INTERVAL, stop.cancelled())
                .await
                .is_ok();
            if stopped {
                break;
            }
            match self.strategy {
                Strategy::Entries if count % ENTRY_FAULT_EVERY == 0 => self.kill_entry().await,
                Strategy::Entries | Strategy::Naive if count % 2 == 0 => self.pause_engine(),
                Strategy::Entries | Strategy::Naive => self.kill_engine().await,
            }
            self.publish();
        }
        (self.cluster, self.faults)
    }

    /// Kills an engine and starts a replacement.
    async fn kill_engine(&mut self) {
        let Some(index) = self.pick_engine() else {
            return;
        };
        let engine = &self.cluster.engines[index];
        let server = Arc::from(engine.instance.name.as_str());
        let at = Instant::now();
        engine.engine.lifecycle().crash();
        self.faults.push(Fault::Engine { at, server });
        let mut leaving_instance = engine.instance.clone();
        leaving_instance.leaving = true;
        let platform = self.cluster.platform.clone();
        tokio::spawn(async move {
            time::sleep(LIST_LAG).await;
            platform.register(leaving_instance);
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

    /// Pauses an engine for [`ENGINE_PAUSE`].
    fn pause_engine(&mut self) {
        let Some(index) = self.pick_engine() else {
            return;
        };
        let engine = &self.cluster.engines[index];
        let server = Arc::from(engine.instance.name.as_str());
        let at = Instant::now();
        engine.engine.lifecycle().pause(ENGINE_PAUSE);
        self.paused[index] = Some(at);
        self.faults.push(Fault::Engine { at, server });
    }

    /// Kills the oldest live entry and starts a replacement.
    async fn kill_entry(&mut self) {
        let entry = &self.cluster.entries[self.killed_entries];
        let address = entry.addresses.callers;
        let at = Instant::now();
        entry.kill();
        self.killed_entries += 1;
        self.faults.push(Fault::Entry { at, address });
        // If the replacement cannot start, the cluster has one entry fewer, which the measurements
        // show.
        let _ = self.cluster.add_entry().await;
    }

    /// Returns a random live engine that has not been paused recently.
    fn pick_engine(&mut self) -> Option<usize> {
        let eligible = |index: &usize| {
            let paused =
                self.paused[*index].is_some_and(|since| since.elapsed() < 2 * ENGINE_PAUSE);
            !paused
                && !self.cluster.engines[*index]
                    .engine
                    .lifecycle()
                    .has_crashed()
        };
        let candidates: Vec<usize> = (0..self.paused.len()).filter(eligible).collect();
        let last = candidates.len().checked_sub(1)?;
        Some(candidates[self.random.random_range(0..=last)])
    }

    /// Publishes the live entries and engines to the callers.
    fn publish(&self) {
        let entries = self.cluster.entries[self.killed_entries..]
            .iter()
            .map(|entry| entry.addresses.callers);
        let engines = self
            .cluster
            .engines
            .iter()
            .filter(|engine| !engine.engine.lifecycle().has_crashed())
            .filter_map(|engine| serde_json::to_value(&engine.instance).ok())
            .filter_map(|json| serde_json::from_value::<Instance>(json).ok())
            .filter_map(|instance| Server::try_from(instance).ok());
        self.targets.send_replace(Targets {
            entries: entries.collect(),
            engines: engines.collect(),
        });
    }
}
