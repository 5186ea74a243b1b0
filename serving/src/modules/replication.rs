//! Values that all entries hold alike: read from the platform by a few, passed on between peers.

use std::hash::Hash;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use medlarfall_coordination::revision::{Ledger, Message, Record, Verdict};
use tokio::sync::{broadcast, watch};

mod task;

pub use task::{
    DeclarationsMessage, DeclarationsResponse, InstancesMessage, InstancesResponse, Response, start,
};

/// Groups of new records kept for the task that passes them on; more are left to the comparison
/// with peers.
const UPDATE_QUEUE_CAPACITY: usize = 1024;

/// What an entry does to keep a replica current.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReaderRole {
    /// It is the first of its failure domain that follows the platform and passes changes on.
    Primary,
    /// It follows the platform as well, in case the first does not.
    Secondary,
    /// It learns from its peers and reads the platform once in a long while.
    Poll(Duration),
}

/// What the modules of an entry read of a replica.
pub trait View<R, T>: Clone + Default {
    /// Takes a record that is newer than the one of its key.
    fn apply(&mut self, record: &Record<R, T>);
}

/// Values by key, of which only the highest revision counts, and the view of them.
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
    /// Returns the view, which changes with each new record; what it holds already counts as a
    /// change that has not been seen.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<V>> {
        let mut view = self.view.subscribe();
        view.mark_changed();
        view
    }

    /// Returns the groups of records that are new from now on.
    #[must_use]
    pub fn updates(&self) -> broadcast::Receiver<Vec<Record<R, T>>> {
        self.updates.subscribe()
    }

    /// Changes the view where it does not stem from records.
    pub fn update_view(&self, change: impl FnOnce(&mut V)) {
        self.view.send_modify(|view| change(Arc::make_mut(view)));
    }

    /// Returns the newest value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<T> {
        self.lock().get(key).map(|record| record.value.clone())
    }

    /// Returns the highest revision seen of a key.
    #[must_use]
    pub fn revision(&self, key: &str) -> Option<R> {
        self.lock().get(key).map(|record| record.revision)
    }

    /// Returns the keys that are held and not listed.
    #[must_use]
    pub fn unlisted(&self, listed: impl Fn(&str) -> bool) -> Vec<String> {
        self.lock()
            .iter()
            .filter(|record| !listed(&record.key))
            .map(|record| record.key.to_string())
            .collect()
    }

    /// Takes a record if it is newer, and says what became of it.
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

    /// Answers a message of an exchange with a peer.
    #[must_use]
    pub fn respond(&self, message: Message<R, T>) -> Message<R, T> {
        let mut ledger = self.lock();
        let (answer, newer) = ledger.respond(message);
        if !newer.is_empty() {
            self.publish(newer);
        }
        answer
    }

    /// Puts new records into the view and hands them to the task that passes them on; the caller
    /// holds the ledger, so that the view changes in the ledger's order.
    fn publish(&self, newer: Vec<Record<R, T>>) {
        self.update_view(|view| newer.iter().for_each(|record| view.apply(record)));
        // Without a task that passes them on there is nobody to tell.
        let _ = self.updates.send(newer);
    }

    fn lock(&self) -> MutexGuard<'_, Ledger<R, T>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
