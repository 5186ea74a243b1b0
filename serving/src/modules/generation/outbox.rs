//! Text held for a reader that has not read it yet, bounded for each generation and for the entry.
//!
//! The bound of the entry is kept at every moment: a token that would cross it makes the entry give
//! up what it holds for the reader that holds most without reading. Nothing of that was delivered,
//! so that it is generated again once the reader has read on.

use std::collections::VecDeque;
use std::mem;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use futures::Stream;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Event;
use crate::modules::metrics::Metrics;

/// How long a reader has not read when it counts as idle.
const IDLE_AFTER: Duration = Duration::from_millis(500);

new_key_type! {
    /// Names an outbox in the ledger.
    struct Key;
}

/// What the outboxes of an entry hold together.
#[derive(Debug)]
pub struct Limiter {
    limit: usize,
    held: AtomicUsize,
    peak: AtomicUsize,
    gauge: Gauge,
    given_up: Counter,
    outboxes: Mutex<SlotMap<Key, Weak<Shared>>>,
}

/// What the two ends of an outbox share.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    events: VecDeque<Event>,
    bytes: usize,
    given_up: Option<u64>,
    reader_waits: bool,
    reader_gone: bool,
    closed: bool,
    waker: Option<Waker>,
    read_at: Option<Instant>,
}

/// The end of an outbox that the generation's task writes.
#[derive(Debug)]
pub(super) struct Outbox {
    shared: Arc<Shared>,
    ledger: Arc<Limiter>,
    key: Key,
    limit: usize,
}

/// The end of an outbox that the caller's answer reads.
#[derive(Debug)]
pub struct Reader {
    shared: Arc<Shared>,
    ledger: Arc<Limiter>,
}

/// What a reader is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Demand {
    /// It has room.
    Room,
    /// It holds as much as it may.
    Full,
    /// What was held for it was given up; the index is the first token that it was not given.
    GivenUp(u64),
    /// It has gone.
    Gone,
}

impl Limiter {
    /// Returns a ledger of outboxes that may hold `limit` bytes together.
    #[must_use]
    pub fn new(limit: usize, metrics: &Metrics) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            gauge: metrics.held_bytes.clone(),
            given_up: metrics.held_given_up.clone(),
            outboxes: Mutex::default(),
        })
    }

    /// Returns the bytes held now.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }

    /// Returns the most bytes held at once.
    #[must_use]
    pub fn peak_bytes(&self) -> usize {
        self.peak.load(Ordering::SeqCst)
    }

    /// Takes `bytes` if they fit under the bound.
    fn take(&self, bytes: usize) -> bool {
        let add = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let taken = self
            .held
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, add);
        let Ok(before) = taken else {
            return false;
        };
        self.peak.fetch_max(before + bytes, Ordering::SeqCst);
        self.show();
        true
    }

    /// Gives `bytes` back.
    fn give_back(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::SeqCst);
        self.show();
    }

    fn show(&self) {
        self.gauge
            .set(i64::try_from(self.buffered_bytes()).unwrap_or(i64::MAX));
    }

    /// Gives up what is held for the largest idle reader, or for the largest one if none is idle;
    /// returns the number of bytes.
    fn give_up_largest(&self) -> usize {
        let outboxes: Vec<Arc<Shared>> = lock(&self.outboxes)
            .values()
            .filter_map(Weak::upgrade)
            .collect();
        let largest = outboxes
            .iter()
            .max_by_key(|shared| lock(&shared.state).weight());
        let bytes = largest.map_or(0, |shared| shared.give_up());
        if bytes > 0 {
            self.give_back(bytes);
            self.given_up.inc();
        }
        bytes
    }
}

impl State {
    /// Returns what decides whose text is given up first.
    fn weight(&self) -> (bool, usize) {
        let idle = self
            .read_at
            .is_none_or(|read_at| read_at.elapsed() > IDLE_AFTER);
        (self.bytes > 0 && idle, self.bytes)
    }
}

impl Shared {
    /// Drops the events held and returns their bytes.
    fn give_up(&self) -> usize {
        let mut state = lock(&self.state);
        let first = state.events.iter().find_map(Event::first_index);
        state.given_up = state.given_up.or(first);
        state.events.clear();
        state.events.shrink_to_fit();
        let bytes = mem::take(&mut state.bytes);
        drop(state);
        self.changed.notify_one();
        bytes
    }
}

/// Returns a new outbox that holds up to `limit` bytes, and its reader.
pub(super) fn open(ledger: &Arc<Limiter>, limit: usize) -> (Outbox, Reader) {
    let shared = Arc::new(Shared {
        state: Mutex::default(),
        changed: Notify::new(),
    });
    let key = lock(&ledger.outboxes).insert(Arc::downgrade(&shared));
    let reader = Reader {
        shared: Arc::clone(&shared),
        ledger: Arc::clone(ledger),
    };
    let outbox = Outbox {
        shared,
        ledger: Arc::clone(ledger),
        key,
        limit,
    };
    (outbox, reader)
}

impl Outbox {
    /// Adds an event and returns what the reader is doing.
    pub(super) fn push(&self, event: Event) -> Demand {
        let bytes = event.bytes();
        while !self.ledger.take(bytes) {
            if self.ledger.give_up_largest() == 0 {
                lock(&self.shared.state).given_up = event.first_index();
                return self.demand();
            }
        }
        let mut state = lock(&self.shared.state);
        if state.reader_gone || state.given_up.is_some() {
            drop(state);
            self.ledger.give_back(bytes);
            return self.demand();
        }
        state.events.push_back(event);
        state.bytes += bytes;
        wake(state);
        self.demand()
    }

    /// Adds the last event of a generation that failed, whatever is held.
    pub(super) fn push_last(&self, event: Event) {
        let mut state = lock(&self.shared.state);
        state.events.push_back(event);
        wake(state);
    }

    /// Returns what the reader is doing.
    pub(super) fn demand(&self) -> Demand {
        let state = lock(&self.shared.state);
        match state.given_up {
            _ if state.reader_gone => Demand::Gone,
            Some(index) => Demand::GivenUp(index),
            None if state.bytes >= self.limit => Demand::Full,
            None => Demand::Room,
        }
    }

    /// Waits until the reader is no longer full.
    pub(super) async fn room(&self) -> Demand {
        loop {
            match self.demand() {
                Demand::Full => self.shared.changed.notified().await,
                demand => return demand,
            }
        }
    }

    /// Waits until the reader has read everything and waits for more, or has gone, or until what
    /// was held for it is given up.
    pub(super) async fn drained(&self) -> Demand {
        loop {
            match self.demand() {
                Demand::Room | Demand::Full if !self.reader_waits() => {
                    self.shared.changed.notified().await;
                }
                demand => return demand,
            }
        }
    }

    /// Waits until the reader has gone.
    pub(super) async fn gone(&self) {
        while self.demand() != Demand::Gone {
            self.shared.changed.notified().await;
        }
    }

    /// Lets events in again after what was held was given up.
    pub(super) fn reopen(&self) {
        lock(&self.shared.state).given_up = None;
    }

    fn reader_waits(&self) -> bool {
        let state = lock(&self.shared.state);
        state.reader_waits && state.events.is_empty()
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        lock(&self.ledger.outboxes).remove(self.key);
        let mut state = lock(&self.shared.state);
        state.closed = true;
        wake(state);
    }
}

impl Stream for Reader {
    type Item = Event;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Event>> {
        let mut state = lock(&self.shared.state);
        if let Some(event) = state.events.pop_front() {
            let bytes = event.bytes();
            state.bytes -= bytes;
            state.reader_waits = false;
            state.read_at = Some(Instant::now());
            drop(state);
            self.ledger.give_back(bytes);
            self.shared.changed.notify_one();
            return Poll::Ready(Some(event));
        }
        if state.closed {
            return Poll::Ready(None);
        }
        state.reader_waits = true;
        state.waker = Some(context.waker().clone());
        drop(state);
        self.shared.changed.notify_one();
        Poll::Pending
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        state.reader_gone = true;
        state.events = VecDeque::new();
        let bytes = mem::take(&mut state.bytes);
        drop(state);
        self.ledger.give_back(bytes);
        self.shared.changed.notify_one();
    }
}

/// Wakes the reader, if it waits.
fn wake(mut state: MutexGuard<'_, State>) {
    let waker = state.waker.take();
    drop(state);
    if let Some(waker) = waker {
        waker.wake();
    }
}

/// Locks what no panic can leave half changed.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
