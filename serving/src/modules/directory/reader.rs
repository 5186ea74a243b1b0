//! Reads the platform's instance list and distinguishes changes from outdated reads.
//!
//! A read that differs from the replica may be a new change or an outdated response of the platform.
//! It counts as a change if the replica has no record of the instance, if it differs from this
//! entry's own previous read (not when polling), or if several consecutive reads differ from the
//! replica.

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

/// Number of consecutive reads that must differ from the replica before they replace it.
const CONFIRMING_READS: u32 = 3;

/// Time between two reads of the secondary reader, in intervals.
const SECONDARY_INTERVALS: u32 = 4;

/// Limit of the back-off after failed reads, in intervals.
const PAUSE_INTERVALS: u32 = 4;

/// Parameters of the task that reads the instance list.
#[derive(Debug)]
pub struct Source<S> {
    /// The platform.
    pub store: S,
    /// Settings of calls to the platform.
    pub settings: Platform,
    /// Role of this entry, which decides how often it reads the list.
    pub reader_role: watch::Receiver<ReaderRole>,
    /// Number of this entry in the stamps of its observations.
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
            () = reader.run() => {}
        }
    });
}

/// Reads the instance list.
struct Reader<S> {
    source: Source<S>,
    replica: InstanceReplica,
    /// Result of the last successful read.
    last: HashMap<String, Arc<Instance>>,
    /// Number of consecutive reads in which an instance has differed from the replica.
    differing: HashMap<String, u32>,
    /// Number of consecutive failed reads.
    failures: u32,
}

impl<S: Store> Reader<S> {
    /// Reads the list periodically; never returns. The replica keeps its state while reads fail.
    async fn run(&mut self) {
        loop {
            let reader_role = *self.source.reader_role.borrow_and_update();
            match self.source.store.instances().await {
                Ok(instances) => self.reconcile(instances, reader_role),
                Err(error) => {
                    self.failures += 1;
                    log::warn!(error = error.to_string().as_str(); "reading the platform's instance list failed; the known instances are kept");
                }
            }
            self.wait(reader_role).await;
        }
    }

    /// Waits until the next read is due.
    async fn wait(&mut self, reader_role: ReaderRole) {
        let interval = self.source.settings.instances_interval;
        let pause = match reader_role {
            ReaderRole::Primary => interval,
            ReaderRole::Secondary => interval * SECONDARY_INTERVALS,
            ReaderRole::Poll(pause) => pause,
        };
        let pause = pause.max(interval * self.failures.min(PAUSE_INTERVALS));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.promoted(pause) => {}
        }
    }

    /// Waits until the reader role requires reads more often than every `pause`.
    async fn promoted(&mut self, pause: Duration) {
        let interval = self.source.settings.instances_interval;
        let more_often = |reader_role: &ReaderRole| match reader_role {
            ReaderRole::Primary => pause > interval,
            ReaderRole::Secondary => pause > interval * SECONDARY_INTERVALS,
            ReaderRole::Poll(_) => false,
        };
        if self.failures > 0 || self.source.reader_role.wait_for(more_often).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Updates the replica from a read of the list.
    fn reconcile(&mut self, instances: Vec<Instance>, reader_role: ReaderRole) {
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
            self.reconcile_instance(&name, listed.get(&name), reader_role);
        }
        self.last = listed;
    }

    /// Updates the replica if an instance has changed on the list and the read is not outdated.
    fn reconcile_instance(
        &mut self,
        name: &str,
        listed: Option<&Arc<Instance>>,
        reader_role: ReaderRole,
    ) {
        let known: Option<Observation> = self.replica.get(name);
        let unknown = known.is_none();
        if listed == known.flatten().as_ref() {
            self.differing.remove(name);
            return;
        }
        // A difference between two consecutive reads is a change; the first read may be outdated.
        let consecutive = !matches!(reader_role, ReaderRole::Poll(_)) && !self.last.is_empty();
        let changed = consecutive && self.last.get(name) != listed;
        let differing = self.differing.entry(name.to_owned()).or_default();
        *differing += 1;
        if unknown || changed || *differing >= CONFIRMING_READS {
            self.differing.remove(name);
            let counter = self.replica.revision(name).unwrap_or_default().counter + 1;
            let writer = self.source.writer;
            let stamp = Stamp { counter, writer };
            self.replica
                .offer(Record::new(name, stamp, listed.map(Arc::clone)));
        }
    }
}
