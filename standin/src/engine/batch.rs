//! The requests that an engine holds: running ones and ones that wait by priority.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::watch;

use super::{Generate, Reference};
use crate::oracle;

/// How far a generation has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Progress {
    /// Index after the last token produced.
    pub(super) produced: u64,
    /// Whether no more tokens will be produced.
    pub(super) ended: bool,
}

/// A generation that the engine holds.
#[derive(Debug)]
pub(super) struct Live {
    /// The request.
    pub(super) generate: Generate,
    /// Number of tokens of the whole answer.
    pub(super) length: u64,
    /// How far the generation has come.
    pub(super) progress: watch::Sender<Progress>,
    order: u64,
    cancelled: AtomicBool,
    readers: AtomicU64,
}

impl Live {
    /// Returns the index of the first token that this generation produces.
    pub(super) fn first(&self) -> u64 {
        self.generate.resume.len() as u64
    }

    /// Ends the generation.
    pub(super) fn cancel(&self) {
        self.cancelled.store(true, Ordering::SeqCst);
    }

    /// Returns whether the generation has been cancelled.
    pub(super) fn cancelled(&self) -> bool {
        self.cancelled.load(Ordering::SeqCst)
    }

    /// Counts a reader that came or left.
    pub(super) fn reader(&self, came: bool) {
        if came {
            self.readers.fetch_add(1, Ordering::SeqCst);
        } else {
            self.readers.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Returns whether nobody reads the generation.
    pub(super) fn orphan(&self) -> bool {
        self.readers.load(Ordering::SeqCst) == 0
    }

    /// Returns the tokens that the generation holds in memory.
    fn held_tokens(&self) -> u64 {
        oracle::prompt_tokens(&self.generate.prompt) + self.progress.borrow().produced
    }
}

/// The requests that an engine holds.
#[derive(Debug)]
pub(super) struct Batch {
    limit: usize,
    lives: HashMap<(String, u64), Arc<Live>>,
    next_order: u64,
}

impl Batch {
    /// Returns an empty batch that runs `limit` generations at once.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            lives: HashMap::new(),
            next_order: 0,
        }
    }

    /// Adds a request.
    pub(super) fn admit(&mut self, generate: &Generate) -> Arc<Live> {
        self.next_order += 1;
        let produced = generate.resume.len() as u64;
        let live = Arc::new(Live {
            length: oracle::length(&generate.version, &generate.prompt, generate.max_tokens),
            progress: watch::Sender::new(Progress {
                produced,
                ended: false,
            }),
            order: self.next_order,
            cancelled: AtomicBool::new(false),
            readers: AtomicU64::new(1),
            generate: generate.clone(),
        });
        let key = (generate.request_id.clone(), generate.attempt);
        if let Some(earlier) = self.lives.insert(key, Arc::clone(&live)) {
            earlier.cancel();
        }
        live
    }

    /// Returns the generation that a reference names.
    pub(super) fn find(&self, reference: &Reference) -> Option<Arc<Live>> {
        let key = (reference.request_id.clone(), reference.attempt);
        self.lives.get(&key).cloned()
    }

    /// Removes a generation that has ended.
    pub(super) fn remove(&mut self, live: &Arc<Live>) {
        let key = (live.generate.request_id.clone(), live.generate.attempt);
        let same = self
            .lives
            .get(&key)
            .is_some_and(|held| Arc::ptr_eq(held, live));
        if same {
            self.lives.remove(&key);
        }
    }

    /// Returns whether a generation is among those that run now.
    pub(super) fn runs(&self, live: &Live) -> bool {
        if self.lives.len() <= self.limit {
            return true;
        }
        let rank = (-live.generate.priority, live.order);
        let before = self
            .lives
            .values()
            .filter(|other| (-other.generate.priority, other.order) < rank);
        before.count() < self.limit
    }

    /// Returns the number of requests held.
    pub(super) fn live(&self) -> u64 {
        self.lives.len() as u64
    }

    /// Returns the number of generations that run now.
    pub(super) fn running(&self) -> u64 {
        self.lives.len().min(self.limit) as u64
    }

    /// Returns the tokens that all requests hold in memory.
    pub(super) fn held_tokens(&self) -> u64 {
        self.lives.values().map(|live| live.held_tokens()).sum()
    }
}
