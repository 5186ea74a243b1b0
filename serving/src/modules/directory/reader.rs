//! Reading the platform's instance list, and telling changes apart from readings that lag.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::revision::Record;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::{Roll, Seen, Stamp};
use crate::configs::platform::Platform;
use crate::modules::replication::Duty;
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
    pub duty: watch::Receiver<Duty>,
    /// Number of this entry in stamps.
    pub writer: u64,
}

/// Starts the task that reads the instance list.
pub fn start<S: Store>(source: Source<S>, roll: Roll, stop: CancellationToken) {
    let mut reader = Reader {
        source,
        roll,
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
    roll: Roll,
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
            let duty = *self.source.duty.borrow_and_update();
            match self.source.store.instances().await {
                Ok(instances) => self.compare(instances, duty),
                Err(error) => {
                    self.failures += 1;
                    log::warn!(error = error.to_string().as_str(); "the instance list cannot be read");
                }
            }
            self.rest(duty).await;
        }
    }

    /// Lets time pass until the next reading, or until the duty changes.
    async fn rest(&mut self, duty: Duty) {
        let interval = self.source.settings.instances_interval;
        let pause = match duty {
            Duty::Lead => interval,
            Duty::Second => interval * SECOND_INTERVALS,
            Duty::Poll(pause) => pause,
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
        let more = |duty: &Duty| match duty {
            Duty::Lead => pause > interval,
            Duty::Second => pause > interval * SECOND_INTERVALS,
            Duty::Poll(_) => false,
        };
        if self.failures > 0 || self.source.duty.wait_for(more).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Takes what a reading changes.
    fn compare(&mut self, instances: Vec<Instance>, duty: Duty) {
        self.failures = 0;
        let listed: HashMap<String, Arc<Instance>> = instances
            .into_iter()
            .map(|instance| (instance.name.clone(), Arc::new(instance)))
            .collect();
        let names: BTreeSet<String> = listed
            .keys()
            .cloned()
            .chain(self.roll.missing(|name| listed.contains_key(name)))
            .collect();
        for name in names {
            self.judge(&name, listed.get(&name), duty);
        }
        self.last = listed;
    }

    /// Takes an instance as listed if this is news, and not an older state than peers have seen.
    fn judge(&mut self, name: &str, listed: Option<&Arc<Instance>>, duty: Duty) {
        let held: Option<Seen> = self.roll.get(name);
        let unknown = held.is_none();
        if listed == held.flatten().as_ref() {
            self.differing.remove(name);
            return;
        }
        // A change between two readings of one's own is news; a first reading may lag behind.
        let watches = !matches!(duty, Duty::Poll(_)) && !self.last.is_empty();
        let changed = watches && self.last.get(name) != listed;
        let differing = self.differing.entry(name.to_owned()).or_default();
        *differing += 1;
        if unknown || changed || *differing >= READINGS {
            self.differing.remove(name);
            let counter = self.roll.revision(name).unwrap_or_default().counter + 1;
            let writer = self.source.writer;
            let stamp = Stamp { counter, writer };
            self.roll
                .offer(Record::new(name, stamp, listed.map(Arc::clone)));
        }
    }
}
