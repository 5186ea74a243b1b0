//! What the other entries have at each server, as they tell one another.
//!
//! The load that this answers: a prompt takes a second to read, several entries place streams on
//! the same servers, and a server's own report is older than that. Entries that count only their
//! own streams put three prompts on one server while others are free. What a peer tells replaces
//! all that it told before, so a lost message does no lasting harm; what it told last is forgotten
//! when it falls silent.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after which what a silent peer told is forgotten; peers tell every two seconds at least.
pub const FRESH: Duration = Duration::from_millis(4_500);

/// Streams at one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Streams, those that wait for their first event included.
    pub streams: u32,
    /// Streams that wait for their first event: their prompts are read.
    pub prefilling: u32,
}

/// What one peer told.
#[derive(Clone, Debug, Default)]
struct Told {
    at: Duration,
    counts: HashMap<Arc<str>, Count>,
}

/// What all peers told.
#[derive(Clone, Debug, Default)]
pub struct Table {
    peers: HashMap<Arc<str>, Told>,
    totals: HashMap<Arc<str>, Count>,
}

impl Table {
    /// Replaces what `peer` told before.
    pub fn record(&mut self, peer: Arc<str>, counts: HashMap<Arc<str>, Count>, now: Duration) {
        self.forget(&peer);
        for (server, count) in &counts {
            let total = self.totals.entry(Arc::clone(server)).or_default();
            total.streams += count.streams;
            total.prefilling += count.prefilling;
        }
        self.peers.insert(peer, Told { at: now, counts });
    }

    /// Forgets what silent peers told.
    pub fn expire(&mut self, now: Duration) {
        let silent: Vec<Arc<str>> = self
            .peers
            .iter()
            .filter(|(_, told)| now.saturating_sub(told.at) > FRESH)
            .map(|(peer, _)| Arc::clone(peer))
            .collect();
        for peer in &silent {
            self.forget(peer);
        }
    }

    /// Returns what the peers have at a server.
    #[must_use]
    pub fn at(&self, server: &str) -> Count {
        self.totals.get(server).copied().unwrap_or_default()
    }

    /// Returns the number of peers that told something lately.
    #[must_use]
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    fn forget(&mut self, peer: &str) {
        let Some(told) = self.peers.remove(peer) else {
            return;
        };
        for (server, count) in told.counts {
            let Some(total) = self.totals.get_mut(&server) else {
                continue;
            };
            total.streams = total.streams.saturating_sub(count.streams);
            total.prefilling = total.prefilling.saturating_sub(count.prefilling);
            if total.streams == 0 {
                self.totals.remove(&server);
            }
        }
    }
}
