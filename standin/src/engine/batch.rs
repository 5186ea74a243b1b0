//! Generations that an engine holds: up to the batch limit they run, the others wait by priority.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::watch;

use super::{Generate, Reference};
use crate::oracle;

/// Progress of a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Progress {
    /// Index of the next token to produce.
    pub(super) produced: u64,
    /// Whether no more tokens will be produced.
    pub(super) ended: bool,
}

/// A generation that the engine holds.
#[derive(Debug)]
pub(super) struct Generation {
    /// The request.
    pub(super) request: Generate,
    /// Number of tokens in the complete answer.
    pub(super) length: u64,
    /// Current progress, watched by the readers.
    pub(super) progress: watch::Sender<Progress>,
    sequence: u64,
    cancelled: AtomicBool,
    readers: AtomicU64,
}

impl Generation {
    /// Returns the index of the first token that this generation produces.
    pub(super) fn first_index(&self) -> u64 {
        self.request.resume.len() as u64
    }

    /// Marks the generation as cancelled; its task then ends.
    pub(super) fn cancel(&self) {
        self.cancelled.store(true, Ordering::SeqCst);
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::SeqCst)
    }

    /// Updates the number of readers after one was attached or, if `attached` is false, detached.
    pub(super) fn count_reader(&self, attached: bool) {
        if attached {
            self.readers.fetch_add(1, Ordering::SeqCst);
        } else {
            self.readers.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Returns whether the generation has no reader.
    pub(super) fn is_orphaned(&self) -> bool {
        self.readers.load(Ordering::SeqCst) == 0
    }

    /// Returns the number of tokens that the generation holds in memory.
    fn held_tokens(&self) -> u64 {
        oracle::prompt_tokens(&self.request.prompt) + self.progress.borrow().produced
    }
}

/// The generations that an engine holds, by request identifier and attempt.
#[derive(Debug)]
pub(super) struct Batch {
    limit: usize,
    generations: HashMap<(String, u64), Arc<Generation>>,
    next_sequence: u64,
}

impl Batch {
    /// Returns an empty batch that runs `limit` generations at once.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            generations: HashMap::new(),
            next_sequence: 0,
        }
    }

    /// Adds a request, and cancels an earlier one with the same identifier and attempt.
    pub(super) fn admit(&mut self, request: &Generate) -> Arc<Generation> {
        self.next_sequence += 1;
        let produced = request.resume.len() as u64;
        let generation = Arc::new(Generation {
            length: oracle::length(&request.version, &request.prompt, request.max_tokens),
            progress: watch::Sender::new(Progress {
                produced,
                ended: false,
            }),
            sequence: self.next_sequence,
            cancelled: AtomicBool::new(false),
            readers: AtomicU64::new(1),
            request: request.clone(),
        });
        let key = (request.request_id.clone(), request.attempt);
        if let Some(earlier) = self.generations.insert(key, Arc::clone(&generation)) {
            earlier.cancel();
        }
        generation
    }

    /// Returns the generation that `reference` identifies.
    pub(super) fn find(&self, reference: &Reference) -> Option<Arc<Generation>> {
        let key = (reference.request_id.clone(), reference.attempt);
        self.generations.get(&key).cloned()
    }

    /// Removes a generation that has ended, unless another one has replaced it.
    pub(super) fn remove(&mut self, generation: &Arc<Generation>) {
        let key = (
            generation.request.request_id.clone(),
            generation.request.attempt,
        );
        let current = self
            .generations
            .get(&key)
            .is_some_and(|held| Arc::ptr_eq(held, generation));
        if current {
            self.generations.remove(&key);
        }
    }

    /// Returns whether the priority and age of a generation let it run now.
    pub(super) fn is_running(&self, generation: &Generation) -> bool {
        if self.generations.len() <= self.limit {
            return true;
        }
        let rank = (-generation.request.priority, generation.sequence);
        let before = self
            .generations
            .values()
            .filter(|other| (-other.request.priority, other.sequence) < rank);
        before.count() < self.limit
    }

    /// Returns the number of running and waiting generations.
    pub(super) fn count(&self) -> u64 {
        self.generations.len() as u64
    }

    /// Returns the number of running generations.
    pub(super) fn running_count(&self) -> u64 {
        self.generations.len().min(self.limit) as u64
    }

    /// Returns the number of tokens that all generations hold in memory.
    pub(super) fn held_tokens(&self) -> u64 {
        self.generations
            .values()
            .map(|generation| generation.held_tokens())
            .sum()
    }
}
