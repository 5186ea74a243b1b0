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
pub const READER_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

/// Time that each further entry waits before it steps in, so that those before it are heard first.
/// A fleet that stepped in at once would fill the narrow links with what each has to tell.
const STEP: Duration = Duration::from_millis(30);

/// Longest time that an entry waits on top of [`FRESH`].
const LONGEST_WAIT: Duration = Duration::from_millis(1_500);

/// Longest pause after a call that failed; each call is paid for, and an outage lasts seconds.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause after the first call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Pause after calls that failed while other entries read: what they tell serves this one too.
const TURNED_AWAY_PAUSE: Duration = Duration::from_secs(2);

/// Failures in a row from which the store turns this entry away. One or two may be an answer that was
/// lost, or a watch that fell silent, and the other readers may just have lost theirs as well.
const TURNED_AWAY: u32 = 3;

/// Returns the longest pause after `failures` calls to the store in a row; `others_read` says whether
/// other entries read it with success.
#[must_use]
pub fn retry_pause(failures: u32, others_read: bool) -> Duration {
    if others_read && failures >= TURNED_AWAY {
        return TURNED_AWAY_PAUSE;
    }
    let doubled = FIRST_PAUSE * 2_u32.pow(failures.saturating_sub(1).min(6));
    doubled.min(RETRY_PAUSE)
}

/// What this entry knows of the others' reading.
#[derive(Clone, Debug)]
pub struct Election {
    own: Rank,
    known: HashMap<Arc<str>, Known>,
}

/// Another entry.
#[derive(Clone, Copy, Debug)]
struct Known {
    rank: Rank,
    /// When it told last that it reads with success.
    read_at: Option<Duration>,
}

/// An entry's place in the order: the fastest link first, then by a hash of the name.
type Rank = (Reverse<u32>, u64);

fn rank(name: &str, link_mbps: u32) -> Rank {
    (Reverse(link_mbps), name_hash(name))
}

impl Election {
    /// Returns what an entry knows at its start.
    #[must_use]
    pub fn new(own: &str, link_mbps: u32) -> Self {
        Self {
            own: rank(own, link_mbps),
            known: HashMap::new(),
        }
    }

    /// Takes in whether another entry, with a link of `link_mbps`, reads with success.
    pub fn record(&mut self, entry: &Arc<str>, link_mbps: u32, reads: bool, now: Duration) {
        let known = self.known.entry(Arc::clone(entry)).or_insert(Known {
            rank: rank(entry, link_mbps),
            read_at: None,
        });
        known.rank = rank(entry, link_mbps);
        match (reads, known.read_at) {
            (true, _) => known.read_at = Some(now),
            // It has just stopped: the wait of those behind it begins now.
            (false, Some(at)) if now.saturating_sub(at) <= FRESH => {
                known.read_at = Some(now.saturating_sub(FRESH));
            }
            (false, _) => {}
        }
    }

    /// Returns whether any other entry reads with success, whatever its place.
    #[must_use]
    pub fn others_read(&self, now: Duration) -> bool {
        self.reading(FRESH, now).next().is_some()
    }

    /// Returns whether this entry has to read.
    #[must_use]
    pub fn must_read(&self, now: Duration) -> bool {
        let before = self.known.values().filter(|known| known.rank < self.own);
        let place = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let wait = STEP.saturating_mul(place).min(LONGEST_WAIT);
        let reading = self.reading(FRESH + wait, now);
        reading.filter(|known| known.rank < self.own).count() < READERS
    }

    /// Returns the entries that read within the time `fresh` before now.
    fn reading(&self, fresh: Duration, now: Duration) -> impl Iterator<Item = &Known> {
        let recent = move |at: Duration| now.saturating_sub(at) <= fresh;
        let known = self.known.values();
        known.filter(move |known| known.read_at.is_some_and(recent))
    }
}
