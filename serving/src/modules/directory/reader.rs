//! Reading the platform's instance list, and telling changes apart from readings that lag.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::revision::Record;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::{InstanceReplica, Observation, Stamp};
use crate::configs::platform::Platform;
use crate::modules::replication::ReaderRole;
use crate::platform::{Instance, Store};

/// Readings in a row that must differ from what peers say before they are believed.
const READINGS: u32 = 3;

/// Every how many intervals the second reader of a failure domain reads.
const SECOND_INTERVALS: u32 = 4;

/// Longest pause after failed readings, in intervals.
const PAUSE_INTERVALS: u32 = 4;

/// Where the instance list is read from.
#[derive(Debug)]
pub struct Source<S> {
    /// The platform.
    pub store: S,
    /// How the platform is called.
    pub settings: Platform,
    /// Whether this entry reads the list often.
    pub reader_role: watch::Receiver<ReaderRole>,
    /// Number of this entry in stamps.
    pub writer: u64,
}

/// Starts the task that reads the instance list.
pub fn start<S: Store>(source: Source<S>, replica: InstanceReplica, stop: CancellationToken) {
    let mut reader = Reader {
        source,
        replica,
        last: HashMap::new(),
        differing: HashMap::new(),
        failures: 0,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = reader.keep_current() => {}
        }
    });
}

/// Reads the instance list.
struct Reader<S> {
    source: Source<S>,
    replica: InstanceReplica,
    /// The last reading.
    last: HashMap<String, Arc<Instance>>,
    /// How many readings in a row an instance has differed from what peers say.
    differing: HashMap<String, u32>,
    /// Failed readings in a row.
    failures: u32,
}

impl<S: Store> Reader<S> {
    /// Reads the list again and again; what was seen stays in force while it cannot be read.
    async fn keep_current(&mut self) {
        loop {
            let reader_role = *self.source.reader_role.borrow_and_update();
            match self.source.store.instances().await {
                Ok(instances) => self.compare(instances, reader_role),
                Err(error) => {
                    self.failures += 1;
                    log::warn!(error = error.to_string().as_str(); "the instance list cannot be read");
                }
            }
            self.rest(reader_role).await;
        }
    }

    /// Lets time pass until the next reading, or until the reader_role changes.
    async fn rest(&mut self, reader_role: ReaderRole) {
        let interval = self.source.settings.instances_interval;
        let pause = match reader_role {
            ReaderRole::Primary => interval,
            ReaderRole::Secondary => interval * SECOND_INTERVALS,
            ReaderRole::Poll(pause) => pause,
        };
        let pause = pause.max(interval * self.failures.min(PAUSE_INTERVALS));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.promoted(pause) => {}
        }
    }

    /// Waits until this entry has to read more often than each `pause`.
    async fn promoted(&mut self, pause: Duration) {
        let interval = self.source.settings.instances_interval;
        let more = |reader_role: &ReaderRole| match reader_role {
            ReaderRole::Primary => pause > interval,
            ReaderRole::Secondary => pause > interval * SECOND_INTERVALS,
            ReaderRole::Poll(_) => false,
        };
        if self.failures > 0 || self.source.reader_role.wait_for(more).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Takes what a reading changes.
    fn compare(&mut self, instances: Vec<Instance>, reader_role: ReaderRole) {
        self.failures = 0;
        let listed: HashMap<String, Arc<Instance>> = instances
            .into_iter()
            .map(|instance| (instance.name.clone(), Arc::new(instance)))
            .collect();
        let names: BTreeSet<String> = listed
            .keys()
            .cloned()
            .chain(self.replica.unlisted(|name| listed.contains_key(name)))
            .collect();
        for name in names {
            self.judge(&name, listed.get(&name), reader_role);
        }
        self.last = listed;
    }

    /// Takes an instance as listed if this is news, and not an older state than peers have seen.
    fn judge(&mut self, name: &str, listed: Option<&Arc<Instance>>, reader_role: ReaderRole) {
        let held: Option<Observation> = self.replica.get(name);
        let unknown = held.is_none();
        if listed == held.flatten().as_ref() {
            self.differing.remove(name);
            return;
        }
        // A change between two readings of one's own is news; a first reading may lag behind.
        let watches = !matches!(reader_role, ReaderRole::Poll(_)) && !self.last.is_empty();
        let changed = watches && self.last.get(name) != listed;
        let differing = self.differing.entry(name.to_owned()).or_default();
        *differing += 1;
        if unknown || changed || *differing >= READINGS {
            self.differing.remove(name);
            let counter = self.replica.revision(name).unwrap_or_default().counter + 1;
            let writer = self.source.writer;
            let stamp = Stamp { counter, writer };
            self.replica
                .offer(Record::new(name, stamp, listed.map(Arc::clone)));
        }
    }
}
