//! Declarations in force at this entry: the highest revision received of each service.
//!
//! Declarations come from the platform's store and from peers. A lower revision or a missing key is
//! reported and ignored, since a store that lost data would show the same: a service is deleted only
//! by a newer revision that is marked as deleted.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::revision::{Record, Verdict};
use medlarfall_schema::declaration::Service;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use rand::Rng;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::configs::platform::Platform;
use crate::modules::metrics::Refusal;
use crate::modules::replication::{ReaderRole, Replica, View};
use crate::platform::{Error, Listing, Store};

/// Prefix of the keys that hold declarations.
pub const PREFIX: &str = "declarations/";

/// Pause after the first failed call to the store; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a failed call to the store.
const RETRY_PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// Time until the declarations are listed again after the first list; it doubles with each further
/// list. This corrects an outdated list, whose missing changes the watch does not return because it
/// starts at a later revision.
const RELIST_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time between two lists while watching.
const RELIST_INTERVAL_LIMIT: Duration = Duration::from_secs(64);

/// This entry's replica of the declarations.
pub type DeclarationReplica = Replica<u64, Arc<Service>, Declarations>;

impl DeclarationReplica {
    /// Records that the declarations have been read from the store or from a peer that has read them.
    pub fn mark_loaded(&self) {
        if !self.view().borrow().loaded {
            self.update_view(|declarations| declarations.loaded = true);
        }
    }
}

/// The declarations in force.
#[derive(Clone, Debug, Default)]
pub struct Declarations {
    /// Declarations by service.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// Last declarations of services that were deleted.
    pub deleted: BTreeMap<Arc<str>, Arc<Service>>,
    /// Whether the declarations have been read at least once.
    pub loaded: bool,
    /// Whether the last call to the store succeeded.
    pub store_reachable: bool,
}

impl Declarations {
    /// Returns the declaration of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the revision in force of a service, which may be deleted.
    #[must_use]
    pub fn revision(&self, name: &str) -> Option<u64> {
        let service = self.services.get(name).or_else(|| self.deleted.get(name));
        service.map(|service| service.revision)
    }
}

impl View<u64, Arc<Service>> for Declarations {
    fn apply(&mut self, record: &Record<u64, Arc<Service>>) {
        let (to, from) = if record.value.deleted {
            (&mut self.deleted, &mut self.services)
        } else {
            (&mut self.services, &mut self.deleted)
        };
        from.remove(&record.key);
        to.insert(Arc::clone(&record.key), Arc::clone(&record.value));
    }
}

/// Returns a replica's record of a declaration.
#[must_use]
pub fn record(service: Service) -> Record<u64, Arc<Service>> {
    Record {
        key: Arc::from(service.name.as_str()),
        revision: service.revision,
        value: Arc::new(service),
    }
}

/// Parameters of the task that reads declarations.
#[derive(Debug)]
pub struct Source<S> {
    /// The platform's store.
    pub store: S,
    /// Settings of calls to the platform.
    pub settings: Platform,
    /// Role of this entry, which decides whether it watches the store.
    pub reader_role: watch::Receiver<ReaderRole>,
    /// Number of values from the store that were ignored, by reason.
    pub refusals: Family<Refusal, Counter>,
}

/// Starts the task that updates a replica from the store.
pub fn start<S: Store>(source: Source<S>, replica: DeclarationReplica, stop: CancellationToken) {
    let mut reader = Reader {
        source,
        replica,
        pause: RETRY_PAUSE,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = reader.run() => {}
        }
    });
}

/// Reads declarations from the store.
struct Reader<S> {
    source: Source<S>,
    replica: DeclarationReplica,
    /// Pause after the next failed call.
    pause: Duration,
}

impl<S: Store> Reader<S> {
    /// Reads the store as the reader role of this entry requires; never returns.
    async fn run(&mut self) {
        loop {
            let reader_role = *self.source.reader_role.borrow_and_update();
            let read = match reader_role {
                ReaderRole::Primary | ReaderRole::Secondary => self.follow().await,
                ReaderRole::Poll(interval) => self.poll(interval).await,
            };
            if let Err(error) = read {
                log::warn!(error = error.to_string().as_str(); "reading declarations from the store failed; the declarations in force are kept");
                self.set_store_reachable(false);
                let jitter = rand::rng().random_range(0.5..1.5);
                tokio::time::sleep(self.pause.mul_f64(jitter)).await;
                self.pause = (self.pause * 2).min(RETRY_PAUSE_LIMIT);
            }
        }
    }

    /// Lists the declarations, then watches their changes until a call fails or the reader role
    /// changes.
    async fn follow(&mut self) -> Result<(), Error> {
        let mut relist = RELIST_INTERVAL;
        loop {
            let revision = self.list().await?;
            let mut reader_role = self.source.reader_role.clone();
            tokio::select! {
                result = self.watch(revision) => return result,
                () = changed(&mut reader_role) => return Ok(()),
                () = tokio::time::sleep(relist) => relist = (relist * 2).min(RELIST_INTERVAL_LIMIT),
            }
        }
    }

    /// Watches changes after a revision until a call fails.
    async fn watch(&self, mut revision: u64) -> Result<(), Error> {
        let Source {
            store, settings, ..
        } = &self.source;
        loop {
            let changes = store
                .watch(PREFIX, revision, settings.watch_timeout)
                .await?;
            self.set_store_reachable(true);
            for change in &changes.changes {
                match &change.value {
                    Some(value) => self.accept(&change.key, value),
                    None => self.reject("missing", &change.key),
                }
            }
            revision = changes.revision;
        }
    }

    /// Waits for the interval and lists the declarations, or returns early if the reader role changes.
    async fn poll(&mut self, interval: Duration) -> Result<(), Error> {
        // A starting entry reads the store immediately; later its peers send it the changes.
        if self.replica.view().borrow().loaded {
            tokio::select! {
                () = changed(&mut self.source.reader_role) => return Ok(()),
                () = tokio::time::sleep(interval) => {}
            }
        }
        self.list().await.map(drop)
    }

    /// Lists the declarations and returns the store's revision.
    async fn list(&mut self) -> Result<u64, Error> {
        let Listing {
            items, revision, ..
        } = self.source.store.list(PREFIX).await?;
        for item in &items {
            self.accept(&item.key, &item.value);
        }
        let listed: HashSet<&str> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(PREFIX))
            .collect();
        for key in self.replica.unlisted(|key| listed.contains(key)) {
            self.reject("missing", &key);
        }
        self.pause = RETRY_PAUSE;
        self.set_store_reachable(true);
        self.replica.mark_loaded();
        Ok(revision)
    }

    /// Offers a stored declaration to the replica, and reports one that is not accepted.
    fn accept(&self, key: &str, value: &str) {
        let Ok(service) = serde_json::from_str::<Service>(value) else {
            return self.reject("unreadable", key);
        };
        if key.strip_prefix(PREFIX) != Some(&service.name) {
            return self.reject("unreadable", key);
        }
        match self.replica.offer(record(service)) {
            Verdict::Newer | Verdict::Same => {}
            Verdict::Older { .. } => self.reject("older", key),
            Verdict::Fork => self.reject("fork", key),
        }
    }

    /// Counts and logs a value of the store that is ignored.
    fn reject(&self, reason: &'static str, key: &str) {
        self.source
            .refusals
            .get_or_create(&Refusal { reason })
            .inc();
        log::warn!(key, reason; "ignored an outdated, missing or invalid declaration in the store; the declaration in force is kept");
    }

    /// Records whether the last call to the store succeeded.
    fn set_store_reachable(&self, reachable: bool) {
        if self.replica.view().borrow().store_reachable != reachable {
            self.replica
                .update_view(|declarations| declarations.store_reachable = reachable);
        }
    }
}

/// Waits until the reader role changes; never returns if its sender was dropped.
async fn changed(reader_role: &mut watch::Receiver<ReaderRole>) {
    if reader_role.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
