//! Replication of declarations and instances to all entries.
//!
//! A few entries of each failure domain read the platform. Each entry pushes new records to some
//! peers and periodically compares its [`Replica`] with that of a peer, so that all replicas converge
//! on the highest revision of each key.

use std::hash::Hash;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use medlarfall_coordination::revision::{Ledger, Message, Record, Verdict};
use tokio::sync::{broadcast, watch};

mod task;

pub use task::{
    DeclarationsMessage, DeclarationsResponse, InstancesMessage, InstancesResponse, Response, start,
};

/// Capacity of the queue of updates to be pushed, in groups of records. Updates beyond it reach the
/// peers by comparison.
const UPDATE_QUEUE_CAPACITY: usize = 1024;

/// Role of an entry in reading the platform on behalf of its failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReaderRole {
    /// Watches the store and reads the instance list frequently.
    Primary,
    /// Watches the store too and reads the instance list less often, in case the primary fails.
    Secondary,
    /// Receives changes from its peers and reads the platform only at this long interval.
    Poll(Duration),
}

/// Data derived from the records of a replica, for the other modules to read.
pub trait View<R, T>: Clone + Default {
    /// Updates the view with a record that is newer than the previous one of its key.
    fn apply(&mut self, record: &Record<R, T>);
}

/// Records of the highest revision of each key, the view of them, and a stream of updates.
#[derive(Debug)]
pub struct Replica<R, T, V> {
    ledger: Arc<Mutex<Ledger<R, T>>>,
    view: watch::Sender<Arc<V>>,
    updates: broadcast::Sender<Vec<Record<R, T>>>,
}

impl<R, T, V> Clone for Replica<R, T, V> {
    fn clone(&self) -> Self {
        Self {
            ledger: Arc::clone(&self.ledger),
            view: self.view.clone(),
            updates: self.updates.clone(),
        }
    }
}

impl<R, T, V> Default for Replica<R, T, V>
where
    R: Clone,
    T: Clone,
    V: Default,
{
    fn default() -> Self {
        Self {
            ledger: Arc::default(),
            view: watch::Sender::default(),
            updates: broadcast::Sender::new(UPDATE_QUEUE_CAPACITY),
        }
    }
}

impl<R, T, V> Replica<R, T, V>
where
    R: Copy + Hash + Ord,
    T: Clone + PartialEq,
    V: View<R, T>,
{
    /// Returns a receiver of the view, which changes with each new record. The current view is marked
    /// as unseen.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<V>> {
        let mut view = self.view.subscribe();
        view.mark_changed();
        view
    }

    /// Returns a receiver of the groups of records that are added from now on.
    #[must_use]
    pub fn updates(&self) -> broadcast::Receiver<Vec<Record<R, T>>> {
        self.updates.subscribe()
    }

    /// Changes parts of the view that are not derived from records.
    pub fn update_view(&self, change: impl FnOnce(&mut V)) {
        self.view.send_modify(|view| change(Arc::make_mut(view)));
    }

    /// Returns the newest value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<T> {
        self.lock().get(key).map(|record| record.value.clone())
    }

    /// Returns the highest revision received of a key.
    #[must_use]
    pub fn revision(&self, key: &str) -> Option<R> {
        self.lock().get(key).map(|record| record.revision)
    }

    /// Returns the keys of the replica for which `listed` is false.
    #[must_use]
    pub fn unlisted(&self, listed: impl Fn(&str) -> bool) -> Vec<String> {
        self.lock()
            .iter()
            .filter(|record| !listed(&record.key))
            .map(|record| record.key.to_string())
            .collect()
    }

    /// Adds a record if it is newer, and returns how its revision compares.
    pub fn offer(&self, record: Record<R, T>) -> Verdict<R> {
        let mut ledger = self.lock();
        let verdict = ledger.offer(record.clone());
        if verdict == Verdict::Newer {
            self.publish(vec![record]);
        }
        verdict
    }

    /// Returns the first message of an exchange with a peer.
    #[must_use]
    pub fn start_exchange(&self) -> Message<R, T> {
        self.lock().start_exchange()
    }

    /// Merges the records in a peer's message of an exchange and returns the response to it.
    #[must_use]
    pub fn respond(&self, message: Message<R, T>) -> Message<R, T> {
        let mut ledger = self.lock();
        let (response, newer) = ledger.respond(message);
        if !newer.is_empty() {
            self.publish(newer);
        }
        response
    }

    /// Updates the view with new records and queues them to be pushed. The caller holds the ledger's
    /// lock, so that the view changes in the same order as the ledger.
    fn publish(&self, newer: Vec<Record<R, T>>) {
        self.update_view(|view| newer.iter().for_each(|record| view.apply(record)));
        // The send fails only if there is no receiver that pushes updates.
        let _ = self.updates.send(newer);
    }

    fn lock(&self) -> MutexGuard<'_, Ledger<R, T>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
