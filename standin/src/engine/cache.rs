//! Prefix cache of the engine, with LRU eviction. Its events are published after a delay and,
//! optionally, with gaps.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a cache block, in tokens.
const BLOCK_TOKENS: usize = 16;

/// Maximum number of events kept for readers; the oldest are dropped.
const EVENT_LIMIT: usize = 10_000;

/// Storage or eviction of one cache block, `GET /cache-events`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Event {
    /// Sequence number of the event; a missing number means that an event was lost.
    pub sequence: u64,
    /// Hash of the prompt up to and including the block.
    pub block: u64,
    /// Whether the block was stored or, if false, evicted.
    pub stored: bool,
}

/// The prefix cache of an engine.
#[derive(Debug)]
pub(super) struct Cache {
    block_limit: usize,
    lag: Duration,
    gap_every: u64,
    last_used: HashMap<u64, u64>,
    recency: VecDeque<(u64, u64)>,
    clock: u64,
    sequence: u64,
    events: VecDeque<(Instant, Event)>,
}

impl Cache {
    /// Returns an empty cache of `tokens` tokens that publishes its events after `lag`.
    ///
    /// Every `gap_every`-th event is never published; 0 publishes all.
    pub(super) fn new(tokens: u64, lag: Duration, gap_every: u64) -> Self {
        Self {
            block_limit: usize::try_from(tokens).unwrap_or(usize::MAX) / BLOCK_TOKENS,
            lag,
            gap_every,
            last_used: HashMap::new(),
            recency: VecDeque::new(),
            clock: 0,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Stores the blocks of a prompt and returns how many tokens of its prefix were cached already.
    pub(super) fn admit(&mut self, prompt: &str, now: Instant) -> u64 {
        let mut cached = 0;
        let mut prefix_cached = true;
        for block in block_hashes(prompt) {
            prefix_cached &= self.last_used.contains_key(&block);
            if prefix_cached {
                cached += BLOCK_TOKENS as u64;
            }
            self.touch(block, now);
        }
        self.evict(now);
        cached
    }

    /// Returns the events with a sequence number above `after` that are published at `now`.
    pub(super) fn events(&self, after: u64, now: Instant) -> Vec<Event> {
        self.events
            .iter()
            .take_while(|(at, _)| *at + self.lag <= now)
            .filter(|(_, event)| event.sequence > after)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Marks a block as the most recently used, and stores it if it is new.
    fn touch(&mut self, block: u64, now: Instant) {
        self.clock += 1;
        self.recency.push_back((self.clock, block));
        if self.last_used.insert(block, self.clock).is_none() {
            self.publish(block, true, now);
        }
    }

    /// Evicts the least recently used blocks until the cache is within its limit.
    fn evict(&mut self, now: Instant) {
        while self.last_used.len() > self.block_limit {
            let Some((clock, block)) = self.recency.pop_front() else {
                return;
            };
            if self.last_used.get(&block) == Some(&clock) {
                self.last_used.remove(&block);
                self.publish(block, false, now);
            }
        }
    }

    /// Records an event, or drops it if its sequence number falls on a gap.
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
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}

/// Returns a hash for each full block of a prompt, which covers the blocks before it as well.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let tokens: Vec<&str> = prompt.split_whitespace().collect();
    let mut hash = 0;
    tokens
        .chunks_exact(BLOCK_TOKENS)
        .map(|block| {
            hash = xxh3_64_with_seed(block.join(" ").as_bytes(), hash);
            hash
        })
        .collect()
}
