//! Prompts that servers probably still have in their caches.
//!
//! An engine keeps the processed parts of prompts in its spare memory and evicts the least recently used
//! ones. A part is not processed again if all parts before it are cached too. This entry records the
//! shared parts of its own requests' prompts; it does not see what other entries' requests evict, so a
//! record without use is short-lived.
//!
//! ```
//! use medlarfall_coordination::kept_prompts::{Part, Servers};
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(1);
//! let prompt = [Part { id: 1, tokens: 400 }, Part { id: 2, tokens: 500 }];
//! let mut servers = Servers::default();
//! servers.record(7, &prompt, None, now);
//! assert_eq!(servers.saved_at(7, &prompt, now), 900);
//! assert_eq!(servers.saved_at(7, &prompt[..1], now), 400);
//! assert_eq!(servers.saved_at(7, &prompt[1..], now), 0);
//! ```

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::dissemination::Tag;
use crate::placement::mix;

/// Time without use after which a part is forgotten. Requests of other entries evict parts unseen.
pub const RETENTION: Duration = Duration::from_secs(10);

/// Most parts recorded of one server: with [`MAX_SERVERS`], about 2 MB in all.
pub const MAX_PARTS: usize = 256;

/// Most servers of which parts are recorded. It also bounds the time of a look-up.
pub const MAX_SERVERS: usize = 128;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifier; equal parts have the same.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    /// Number of parts before it.
    depth: usize,
    used_at: Duration,
}

/// Parts that one server probably has, by the hash of the part and all before it.
#[derive(Clone, Debug, Default)]
struct Cache {
    parts: BTreeMap<u64, Kept>,
    used_at: Duration,
}

impl Cache {
    fn record(&mut self, shared: &[Part], memory_tokens: Option<u64>, now: Duration) {
        self.used_at = now;
        self.parts.retain(|_, kept| is_fresh(kept.used_at, now));
        for (depth, (key, tokens)) in chain(shared).take(MAX_PARTS).enumerate() {
            let kept = Kept {
                tokens,
                depth,
                used_at: now,
            };
            self.parts.insert(key, kept);
        }
        let memory = memory_tokens.unwrap_or(u64::MAX);
        let mut total: u64 = self.parts.values().map(|kept| u64::from(kept.tokens)).sum();
        while self.parts.len() > MAX_PARTS || total > memory {
            // Of the parts of one chain the last goes first: it is of no use without those before it.
            let by_use = |(_, kept): &(&u64, &Kept)| (kept.used_at, Reverse(kept.depth));
            let Some((&key, &oldest)) = self.parts.iter().min_by_key(by_use) else {
                return;
            };
            self.parts.remove(&key);
            total -= u64::from(oldest.tokens);
        }
    }

    fn saved(&self, chain: impl Iterator<Item = (u64, u32)>, now: Duration) -> u64 {
        let cached = chain.map_while(|(key, _)| self.parts.get(&key));
        let fresh = cached.take_while(|kept| is_fresh(kept.used_at, now));
        fresh.map(|kept| u64::from(kept.tokens)).sum()
    }
}

fn is_fresh(used_at: Duration, now: Duration) -> bool {
    now.saturating_sub(used_at) < RETENTION
}

/// Returns, for each part, the hash of it and of all parts before it, and its length.
fn chain(parts: &[Part]) -> impl Iterator<Item = (u64, u32)> {
    parts.iter().scan(0, |before, part| {
        *before = mix(*before ^ mix(part.id ^ mix(u64::from(part.tokens))));
        Some((*before, part.tokens))
    })
}

/// Prompt tokens that servers probably still have of one request, by server.
#[derive(Clone, Debug, Default)]
pub struct Savings(Vec<(Tag, u64)>);

impl Savings {
    /// Returns whether no server saves any token.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the most tokens that any server saves.
    #[must_use]
    pub fn most(&self) -> u64 {
        self.0.iter().map(|(_, tokens)| *tokens).max().unwrap_or(0)
    }

    /// Returns the tokens that a server need not process.
    #[must_use]
    pub fn at(&self, server: Tag) -> u64 {
        let found = self.0.binary_search_by_key(&server, |(tag, _)| *tag);
        found.map_or(0, |index| self.0[index].1)
    }
}

/// What the servers probably have in their caches.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    caches: BTreeMap<Tag, Cache>,
}

impl Servers {
    /// Records that a server processed a prompt with the parts `shared`. `memory_tokens` is the memory of
    /// the server, if it is known.
    pub fn record(
        &mut self,
        server: Tag,
        shared: &[Part],
        memory_tokens: Option<u64>,
        now: Duration,
    ) {
        if shared.is_empty() {
            return;
        }
        if !self.caches.contains_key(&server) && self.caches.len() >= MAX_SERVERS {
            self.caches.retain(|_, cache| is_fresh(cache.used_at, now));
            let oldest = self.caches.iter().min_by_key(|(_, cache)| cache.used_at);
            match oldest {
                Some((&oldest, _)) if self.caches.len() >= MAX_SERVERS => {
                    self.caches.remove(&oldest);
                }
                _ => {}
            }
        }
        let cache = self.caches.entry(server).or_default();
        cache.record(shared, memory_tokens, now);
    }

    /// Discards what is recorded of a server, since it was started anew.
    pub fn forget(&mut self, server: Tag) {
        self.caches.remove(&server);
    }

    /// Returns how many tokens of a prompt with the parts `shared` the servers probably still have.
    #[must_use]
    pub fn saved(&self, shared: &[Part], now: Duration) -> Savings {
        if shared.is_empty() {
            return Savings::default();
        }
        let saved = self
            .caches
            .iter()
            .filter(|(_, cache)| is_fresh(cache.used_at, now))
            .map(|(server, cache)| (*server, cache.saved(chain(shared), now)));
        Savings(saved.filter(|(_, tokens)| *tokens > 0).collect())
    }

    /// Returns how many tokens of a prompt with the parts `shared` one server probably still has.
    #[must_use]
    pub fn saved_at(&self, server: Tag, shared: &[Part], now: Duration) -> u64 {
        let cache = self.caches.get(&server);
        cache.map_or(0, |cache| cache.saved(chain(shared), now))
    }
}
