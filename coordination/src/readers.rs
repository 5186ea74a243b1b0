//! Which entries read the store for all of them.
//!
//! Each call to the store is paid for and its rates grow more slowly than the fleet, so that a few
//! entries read and tell the others what changed. Nothing is agreed on: an entry reads unless it
//! hears of enough others, before it in an order that all know, that read with success. The
//! fastest links come first: telling a large fleet what changed takes megabytes a second. Where
//! readers die, are cut off or are turned away by the store, the next ones begin by themselves.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::placement::name_hash;

/// Entries that read. Two, so that what one misses, or is late with, the other tells.
const READERS: usize = 2;

/// Time after which a silent reader no longer counts. Readers tell at least every
/// [`READER_TELLS`]; three messages in a row are lost only with their sender or the path. A server
/// that leaves has to be known everywhere within 2 s.
const FRESH: Duration = Duration::from_millis(1_250);

/// Longest time between two messages of a reader.
pub const READER_TELLS: Duration = Duration::from_millis(400);

/// What this entry knows of the others' reading.
#[derive(Clone, Debug)]
pub struct Readers {
    own: Rank,
    heard: HashMap<Arc<str>, (Rank, Duration)>,
}

/// An entry's place in the order: the fastest link first, then by a hash of the name.
type Rank = (Reverse<u32>, u64);

fn rank(name: &str, link_mbps: u32) -> Rank {
    (Reverse(link_mbps), name_hash(name))
}

impl Readers {
    /// Returns what an entry knows at its start.
    #[must_use]
    pub fn new(own: &str, link_mbps: u32) -> Self {
        Self {
            own: rank(own, link_mbps),
            heard: HashMap::new(),
        }
    }

    /// Takes in whether another entry, with a link of `link_mbps`, reads with success.
    pub fn told(&mut self, entry: &Arc<str>, link_mbps: u32, reads: bool, now: Duration) {
        if reads {
            let heard = (rank(entry, link_mbps), now);
            self.heard.insert(Arc::clone(entry), heard);
        } else {
            self.heard.remove(entry);
        }
    }

    /// Returns whether any other entry reads with success, whatever its place.
    #[must_use]
    pub fn others_read(&self, now: Duration) -> bool {
        let mut heard = self.heard.values();
        heard.any(|(_, heard)| now.saturating_sub(*heard) <= FRESH)
    }

    /// Returns whether this entry has to read.
    #[must_use]
    pub fn must_read(&self, now: Duration) -> bool {
        let before = self
            .heard
            .values()
            .filter(|(rank, heard)| *rank < self.own && now.saturating_sub(*heard) <= FRESH);
        before.count() < READERS
    }
}
