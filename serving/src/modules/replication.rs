//! Values that all entries hold alike: read from the platform by a few, passed on between peers.

use std::hash::Hash;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use medlarfall_coordination::revision::{Ledger, Message, Record, Verdict};
use tokio::sync::{broadcast, watch};

mod task;

pub use task::{
    DeclarationsExchange, DeclarationsMessage, Exchange, InstancesExchange, InstancesMessage, start,
};

/// Groups of new records kept for the task that passes them on; more are left to the comparison
/// with peers.
const LEARNT_KEPT: usize = 1024;

/// What an entry does to keep a topic current.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Duty {
    /// It is the first of its failure domain that follows the platform and passes changes on.
    Lead,
    /// It follows the platform as well, in case the first does not.
    Second,
    /// It learns from its peers and reads the platform once in a long while.
    Poll(Duration),
}

/// What the modules of an entry read of a topic.
pub trait View<R, T>: Clone + Default {
    /// Takes a record that is newer than the one of its key.
    fn take(&mut self, record: &Record<R, T>);
}

/// Values by key, of which only the highest revision counts, and the view of them.
#[derive(Debug)]
pub struct Topic<R, T, V> {
    ledger: Arc<Mutex<Ledger<R, T>>>,
    view: watch::Sender<Arc<V>>,
    learnt: broadcast::Sender<Vec<Record<R, T>>>,
}

impl<R, T, V> Clone for Topic<R, T, V> {
    fn clone(&self) -> Self {
        Self {
            ledger: Arc::clone(&self.ledger),
            view: self.view.clone(),
            learnt: self.learnt.clone(),
        }
    }
}

impl<R, T, V> Default for Topic<R, T, V>
where
    R: Clone,
    T: Clone,
    V: Default,
{
    fn default() -> Self {
        Self {
            ledger: Arc::default(),
            view: watch::Sender::default(),
            learnt: broadcast::Sender::new(LEARNT_KEPT),
        }
    }
}

impl<R, T, V> Topic<R, T, V>
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
    pub fn learnt(&self) -> broadcast::Receiver<Vec<Record<R, T>>> {
        self.learnt.subscribe()
    }

    /// Changes the view where it does not stem from records.
    pub fn note(&self, change: impl FnOnce(&mut V)) {
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
    pub fn missing(&self, listed: impl Fn(&str) -> bool) -> Vec<String> {
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
    pub fn hello(&self) -> Message<R, T> {
        self.lock().start_exchange()
    }

    /// Answers a message of an exchange with a peer.
    #[must_use]
    pub fn answer(&self, message: Message<R, T>) -> Message<R, T> {
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
        self.note(|view| newer.iter().for_each(|record| view.take(record)));
        // Without a task that passes them on there is nobody to tell.
        let _ = self.learnt.send(newer);
    }

    fn lock(&self) -> MutexGuard<'_, Ledger<R, T>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
