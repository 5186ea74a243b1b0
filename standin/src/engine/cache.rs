//! The prefix cache and its events, which are published late and with gaps.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in one block of the cache.
const BLOCK_TOKENS: usize = 16;

/// Most events kept for readers.
const EVENTS_KEPT: usize = 10_000;

/// A change of the cache.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Event {
    /// Number of the event; a missing number is a gap.
    pub sequence: u64,
    /// Hash of the prompt up to and including the block.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// The prefix cache of an engine.
#[derive(Debug)]
pub(super) struct Cache {
    blocks_limit: usize,
    lag: Duration,
    gap_every: u64,
    used: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
    sequence: u64,
    events: VecDeque<(Instant, Event)>,
}

impl Cache {
    /// Returns an empty cache of `tokens` whose events are published after `lag`.
    pub(super) fn new(tokens: u64, lag: Duration, gap_every: u64) -> Self {
        Self {
            blocks_limit: usize::try_from(tokens).unwrap_or(usize::MAX) / BLOCK_TOKENS,
            lag,
            gap_every,
            used: HashMap::new(),
            order: VecDeque::new(),
            clock: 0,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Stores the blocks of a prompt and returns how many of its tokens were cached before.
    pub(super) fn admit(&mut self, prompt: &str, now: Instant) -> u64 {
        let mut cached = 0;
        let mut unbroken = true;
        for block in blocks(prompt) {
            unbroken &= self.used.contains_key(&block);
            if unbroken {
                cached += BLOCK_TOKENS as u64;
            }
            self.touch(block, now);
        }
        self.evict(now);
        cached
    }

    /// Returns the events after `after` that are published at `now`.
    pub(super) fn events(&self, after: u64, now: Instant) -> Vec<Event> {
        self.events
            .iter()
            .take_while(|(at, _)| *at + self.lag <= now)
            .filter(|(_, event)| event.sequence > after)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Marks a block as just used.
    fn touch(&mut self, block: u64, now: Instant) {
        self.clock += 1;
        self.order.push_back((self.clock, block));
        if self.used.insert(block, self.clock).is_none() {
            self.publish(block, true, now);
        }
    }

    /// Evicts the blocks that were used longest ago until the cache fits.
    fn evict(&mut self, now: Instant) {
        while self.used.len() > self.blocks_limit {
            let Some((clock, block)) = self.order.pop_front() else {
                return;
            };
            if self.used.get(&block) == Some(&clock) {
                self.used.remove(&block);
                self.publish(block, false, now);
            }
        }
    }

    /// Records an event, or leaves a gap in its place.
    fn publish(&mut self, block: u64, stored: bool, now: Instant) {
        self.sequence += 1;
        let sequence = self.sequence;
        if self.gap_every > 0 && sequence.is_multiple_of(self.gap_every) {
            return;
        }
        self.events.push_back((
            now,
            Event {
                sequence,
                block,
                stored,
            },
        ));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}

/// Returns the hash of each whole block of a prompt, chained over the blocks before it.
fn blocks(prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hash = 0;
    words
        .chunks_exact(BLOCK_TOKENS)
        .map(|block| {
            hash = xxh3_64_with_seed(block.join(" ").as_bytes(), hash);
            hash
        })
        .collect()
}
