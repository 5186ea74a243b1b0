//! The streams of the other entries at each server, from the entries' reports to one another.
//!
//! The prefill of a prompt takes a second, several entries place streams on the same servers, and
//! the servers' own load reports are older than that. Entries that counted only their own streams
//! would place three prompts on one server while others are idle. A peer's report replaces its
//! previous one, so a lost message has no lasting effect, and the last report of a silent peer
//! expires.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time after which the report of a silent peer expires. Peers report at least every 2 s.
pub const FRESH: Duration = Duration::from_millis(4_500);

/// Number of streams at one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// All streams, including those in prefill.
    pub streams: u32,
    /// Streams in prefill, which wait for their first event.
    pub prefilling: u32,
}

/// The last report of one peer.
#[derive(Clone, Debug, Default)]
struct Report {
    received_at: Duration,
    counts: HashMap<Arc<str>, Count>,
}

/// The reports of all peers, and their totals for each server.
#[derive(Clone, Debug, Default)]
pub struct Table {
    peers: HashMap<Arc<str>, Report>,
    totals: HashMap<Arc<str>, Count>,
}

impl Table {
    /// Replaces the last report of `peer`.
    pub fn record(&mut self, peer: Arc<str>, counts: HashMap<Arc<str>, Count>, now: Duration) {
        self.remove(&peer);
        for (server, count) in &counts {
            let total = self.totals.entry(Arc::clone(server)).or_default();
            total.streams += count.streams;
            total.prefilling += count.prefilling;
        }
        self.peers.insert(
            peer,
            Report {
                received_at: now,
                counts,
            },
        );
    }

    /// Removes the reports of silent peers.
    pub fn expire(&mut self, now: Duration) {
        let silent: Vec<Arc<str>> = self
            .peers
            .iter()
            .filter(|(_, report)| now.saturating_sub(report.received_at) > FRESH)
            .map(|(peer, _)| Arc::clone(peer))
            .collect();
        for peer in &silent {
            self.remove(peer);
        }
    }

    /// Returns the number of the peers' streams at a server.
    #[must_use]
    pub fn at(&self, server: &str) -> Count {
        self.totals.get(server).copied().unwrap_or_default()
    }

    /// Returns the number of peers with a current report.
    #[must_use]
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    fn remove(&mut self, peer: &str) {
        let Some(report) = self.peers.remove(peer) else {
            return;
        };
        for (server, count) in report.counts {
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
