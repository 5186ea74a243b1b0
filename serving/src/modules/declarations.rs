//! Declarations in force at this entry: the highest revision seen of each service.
//!
//! They come from the platform's store and from peers. A revision below the highest seen, or a
//! key that has vanished, is reported and not obeyed: a service ends with a revision that says so.

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

/// Time after which the first list is checked by another; it doubles with each further one. A list
/// that was out of date is made good this way, although the watch goes on from a later revision.
const FIRST_CHECK: Duration = Duration::from_secs(1);

/// Longest time between two lists while watching.
const CHECK_LIMIT: Duration = Duration::from_secs(64);

/// The highest revisions seen.
pub type DeclarationReplica = Replica<u64, Arc<Service>, Declarations>;

impl DeclarationReplica {
    /// Notes that the newest declarations that can be had have been read.
    pub fn mark_loaded(&self) {
        if !self.view().borrow().loaded {
            self.update_view(|declarations| declarations.loaded = true);
        }
    }
}

/// Declarations in force.
#[derive(Clone, Debug, Default)]
pub struct Declarations {
    /// Declarations by service.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// Last declarations of services that were deleted.
    pub deleted: BTreeMap<Arc<str>, Arc<Service>>,
    /// Whether the declarations have been read at least once.
    pub loaded: bool,
    /// Whether the store answered the last call.
    pub store_reachable: bool,
}

impl Declarations {
    /// Returns the declaration of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the revision in force of a service, also of a deleted one.
    #[must_use]
    pub fn revision(&self, name: &str) -> Option<u64> {
        let held = self.services.get(name).or_else(|| self.deleted.get(name));
        held.map(|service| service.revision)
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

/// Returns the record of a declaration.
#[must_use]
pub fn record(service: Service) -> Record<u64, Arc<Service>> {
    Record {
        key: Arc::from(service.name.as_str()),
        revision: service.revision,
        value: Arc::new(service),
    }
}

/// Where declarations are read from.
#[derive(Debug)]
pub struct Source<S> {
    /// The platform's store.
    pub store: S,
    /// How the platform is called.
    pub settings: Platform,
    /// Whether this entry watches the store.
    pub reader_role: watch::Receiver<ReaderRole>,
    /// Counts what the store returned and was not obeyed.
    pub refusals: Family<Refusal, Counter>,
}

/// Starts the task that keeps a replica current from the store.
pub fn start<S: Store>(source: Source<S>, replica: DeclarationReplica, stop: CancellationToken) {
    let mut reader = Reader {
        source,
        replica,
        pause: RETRY_PAUSE,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = reader.keep_current() => {}
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
    /// Reads the store as this entry's reader_role says, for ever.
    async fn keep_current(&mut self) {
        loop {
            let reader_role = *self.source.reader_role.borrow_and_update();
            let read = match reader_role {
                ReaderRole::Primary | ReaderRole::Secondary => self.follow().await,
                ReaderRole::Poll(interval) => self.poll(interval).await,
            };
            if let Err(error) = read {
                log::warn!(error = error.to_string().as_str(); "the store cannot be read; the declarations in force stay");
                self.reached(false);
                let jitter = rand::rng().random_range(0.5..1.5);
                tokio::time::sleep(self.pause.mul_f64(jitter)).await;
                self.pause = (self.pause * 2).min(RETRY_PAUSE_LIMIT);
            }
        }
    }

    /// Lists the declarations, then follows their changes until a call fails or the reader_role changes.
    async fn follow(&mut self) -> Result<(), Error> {
        let mut check = FIRST_CHECK;
        loop {
            let revision = self.list().await?;
            let mut reader_role = self.source.reader_role.clone();
            tokio::select! {
                failed = self.watch(revision) => return failed,
                () = changed(&mut reader_role) => return Ok(()),
                () = tokio::time::sleep(check) => check = (check * 2).min(CHECK_LIMIT),
            }
        }
    }

    /// Follows changes after a revision until a call fails.
    async fn watch(&self, mut revision: u64) -> Result<(), Error> {
        let Source {
            store, settings, ..
        } = &self.source;
        loop {
            let changes = store
                .watch(PREFIX, revision, settings.watch_timeout)
                .await?;
            self.reached(true);
            for change in &changes.changes {
                match &change.value {
                    Some(value) => self.take(&change.key, value),
                    None => self.refuse("missing", &change.key),
                }
            }
            revision = changes.revision;
        }
    }

    /// Lists the declarations once, then lets the interval pass or the reader_role change.
    async fn poll(&mut self, interval: Duration) -> Result<(), Error> {
        // At its start an entry reads the store at once; later its peers tell it of changes.
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
        let Listing { items, revision } = self.source.store.list(PREFIX).await?;
        for item in &items {
            self.take(&item.key, &item.value);
        }
        let listed: HashSet<&str> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(PREFIX))
            .collect();
        for key in self.replica.unlisted(|key| listed.contains(key)) {
            self.refuse("missing", &key);
        }
        self.pause = RETRY_PAUSE;
        self.reached(true);
        self.replica.mark_loaded();
        Ok(revision)
    }

    /// Offers a stored declaration to the replica, and reports it if it is not obeyed.
    fn take(&self, key: &str, value: &str) {
        let Ok(service) = serde_json::from_str::<Service>(value) else {
            return self.refuse("unreadable", key);
        };
        if key.strip_prefix(PREFIX) != Some(&service.name) {
            return self.refuse("unreadable", key);
        }
        match self.replica.offer(record(service)) {
            Verdict::Newer | Verdict::Same => {}
            Verdict::Older { .. } => self.refuse("older", key),
            Verdict::Fork => self.refuse("fork", key),
        }
    }

    /// Reports a value of the store that is not obeyed.
    fn refuse(&self, reason: &'static str, key: &str) {
        self.source
            .refusals
            .get_or_create(&Refusal { reason })
            .inc();
        log::warn!(key, reason; "the store returned what is not the newest seen; the declaration in force stays");
    }

    /// Notes whether the store answered.
    fn reached(&self, reached: bool) {
        if self.replica.view().borrow().store_reachable != reached {
            self.replica
                .update_view(|declarations| declarations.store_reachable = reached);
        }
    }
}

/// Waits until the reader_role changes; for ever if nobody can change it any more.
async fn changed(reader_role: &mut watch::Receiver<ReaderRole>) {
    if reader_role.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
