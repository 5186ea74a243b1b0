//! Buffers of events between a generation's task and its caller's connection, limited for each
//! generation and for the entry.
//!
//! The entry's limit is never exceeded: if a new event would exceed it, the entry first discards
//! the largest buffer, that of an idle reader if there is one. The discarded tokens were not
//! delivered, so the generation produces them again when the reader continues.

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

/// Time without a read after which a reader counts as idle.
const IDLE_AFTER: Duration = Duration::from_millis(500);

new_key_type! {
    /// Key of an outbox in the limiter.
    struct Key;
}

/// Accounts for the bytes buffered in all outboxes of an entry and enforces their limit.
#[derive(Debug)]
pub struct Limiter {
    limit: usize,
    buffered: AtomicUsize,
    peak: AtomicUsize,
    gauge: Gauge,
    discards: Counter,
    outboxes: Mutex<SlotMap<Key, Weak<Shared>>>,
}

/// State shared by the two ends of an outbox.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    events: VecDeque<Event>,
    bytes: usize,
    discarded_from: Option<u64>,
    reader_waits: bool,
    reader_dropped: bool,
    closed: bool,
    waker: Option<Waker>,
    read_at: Option<Instant>,
}

/// The end of an outbox that the generation's task writes.
#[derive(Debug)]
pub(super) struct Outbox {
    shared: Arc<Shared>,
    limiter: Arc<Limiter>,
    key: Key,
    limit: usize,
}

/// The end of an outbox that the caller's connection reads.
#[derive(Debug)]
pub struct Reader {
    shared: Arc<Shared>,
    limiter: Arc<Limiter>,
}

/// State of a reader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReaderState {
    /// Its buffer has room.
    Ready,
    /// Its buffer has reached the generation's limit.
    Full,
    /// Its buffer was discarded; the index is that of the first token that was not delivered.
    Discarded(u64),
    /// The reader was dropped.
    Dropped,
}

impl Limiter {
    /// Returns a limiter of outboxes that may buffer `limit` bytes in total.
    #[must_use]
    pub fn new(limit: usize, metrics: &Metrics) -> Arc<Self> {
        Arc::new(Self {
            limit,
            buffered: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            gauge: metrics.buffered_bytes.clone(),
            discards: metrics.buffers_discarded.clone(),
            outboxes: Mutex::default(),
        })
    }

    /// Returns the bytes buffered now.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.load(Ordering::SeqCst)
    }

    /// Returns the most bytes that were buffered at the same time.
    #[must_use]
    pub fn peak_bytes(&self) -> usize {
        self.peak.load(Ordering::SeqCst)
    }

    /// Reserves `bytes` if they fit within the limit; returns whether they did.
    fn reserve(&self, bytes: usize) -> bool {
        let add = |buffered: usize| buffered.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let reserved = self
            .buffered
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, add);
        let Ok(before) = reserved else {
            return false;
        };
        self.peak.fetch_max(before + bytes, Ordering::SeqCst);
        self.update_gauge();
        true
    }

    /// Releases reserved bytes.
    fn release(&self, bytes: usize) {
        self.buffered.fetch_sub(bytes, Ordering::SeqCst);
        self.update_gauge();
    }

    fn update_gauge(&self) {
        self.gauge
            .set(i64::try_from(self.buffered_bytes()).unwrap_or(i64::MAX));
    }

    /// Discards the largest buffer of an idle reader, or the largest of all if none is idle;
    /// returns the number of bytes.
    fn discard_largest(&self) -> usize {
        let outboxes: Vec<Arc<Shared>> = lock(&self.outboxes)
            .values()
            .filter_map(Weak::upgrade)
            .collect();
        let largest = outboxes
            .iter()
            .max_by_key(|shared| lock(&shared.state).discard_priority());
        let bytes = largest.map_or(0, |shared| shared.discard());
        if bytes > 0 {
            self.release(bytes);
            self.discards.inc();
        }
        bytes
    }
}

impl State {
    /// Returns the priority by which a buffer is discarded: idle readers first, then by size.
    fn discard_priority(&self) -> (bool, usize) {
        let idle = self
            .read_at
            .is_none_or(|read_at| read_at.elapsed() > IDLE_AFTER);
        (self.bytes > 0 && idle, self.bytes)
    }
}

impl Shared {
    /// Discards the buffered events and returns their bytes.
    fn discard(&self) -> usize {
        let mut state = lock(&self.state);
        let first = state.events.iter().find_map(Event::first_index);
        state.discarded_from = state.discarded_from.or(first);
        state.events.clear();
        state.events.shrink_to_fit();
        let bytes = mem::take(&mut state.bytes);
        drop(state);
        self.changed.notify_one();
        bytes
    }
}

/// Returns a new outbox that counts as full from `limit` buffered bytes, and its reader.
pub(super) fn open(limiter: &Arc<Limiter>, limit: usize) -> (Outbox, Reader) {
    let shared = Arc::new(Shared {
        state: Mutex::default(),
        changed: Notify::new(),
    });
    let key = lock(&limiter.outboxes).insert(Arc::downgrade(&shared));
    let reader = Reader {
        shared: Arc::clone(&shared),
        limiter: Arc::clone(limiter),
    };
    let outbox = Outbox {
        shared,
        limiter: Arc::clone(limiter),
        key,
        limit,
    };
    (outbox, reader)
}

impl Outbox {
    /// Adds an event and returns the reader's state.
    ///
    /// The event is dropped if the reader is gone or earlier events were discarded, or if it does
    /// not fit into the entry's limit even after every buffer was discarded.
    pub(super) fn push(&self, event: Event) -> ReaderState {
        let bytes = event.bytes();
        while !self.limiter.reserve(bytes) {
            if self.limiter.discard_largest() == 0 {
                lock(&self.shared.state).discarded_from = event.first_index();
                return self.reader_state();
            }
        }
        let mut state = lock(&self.shared.state);
        if state.reader_dropped || state.discarded_from.is_some() {
            drop(state);
            self.limiter.release(bytes);
            return self.reader_state();
        }
        state.events.push_back(event);
        state.bytes += bytes;
        wake(state);
        self.reader_state()
    }

    /// Adds the final event of a failed generation regardless of the limits.
    pub(super) fn push_final(&self, event: Event) {
        let mut state = lock(&self.shared.state);
        state.events.push_back(event);
        wake(state);
    }

    /// Returns the reader's state.
    pub(super) fn reader_state(&self) -> ReaderState {
        let state = lock(&self.shared.state);
        match state.discarded_from {
            _ if state.reader_dropped => ReaderState::Dropped,
            Some(index) => ReaderState::Discarded(index),
            None if state.bytes >= self.limit => ReaderState::Full,
            None => ReaderState::Ready,
        }
    }

    /// Waits until the reader's state is no longer [`ReaderState::Full`].
    pub(super) async fn wait_for_room(&self) -> ReaderState {
        loop {
            match self.reader_state() {
                ReaderState::Full => self.shared.changed.notified().await,
                state => return state,
            }
        }
    }

    /// Waits until the reader has read everything and waits for more, until it is dropped, or until
    /// its buffer is discarded.
    pub(super) async fn wait_drained(&self) -> ReaderState {
        loop {
            match self.reader_state() {
                ReaderState::Ready | ReaderState::Full if !self.reader_waits() => {
                    self.shared.changed.notified().await;
                }
                state => return state,
            }
        }
    }

    /// Waits until the reader is dropped.
    pub(super) async fn reader_dropped(&self) {
        while self.reader_state() != ReaderState::Dropped {
            self.shared.changed.notified().await;
        }
    }

    /// Accepts events again after the buffer was discarded.
    pub(super) fn reopen(&self) {
        lock(&self.shared.state).discarded_from = None;
    }

    fn reader_waits(&self) -> bool {
        let state = lock(&self.shared.state);
        state.reader_waits && state.events.is_empty()
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        lock(&self.limiter.outboxes).remove(self.key);
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
            self.limiter.release(bytes);
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
        state.reader_dropped = true;
        state.events = VecDeque::new();
        let bytes = mem::take(&mut state.bytes);
        drop(state);
        self.limiter.release(bytes);
        self.shared.changed.notify_one();
    }
}

/// Wakes the reader if it is waiting.
fn wake(mut state: MutexGuard<'_, State>) {
    let waker = state.waker.take();
    drop(state);
    if let Some(waker) = waker {
        waker.wake();
    }
}

/// Locks a mutex; poisoning is ignored, since a panic cannot leave the guarded state inconsistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
