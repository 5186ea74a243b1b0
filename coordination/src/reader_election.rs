//! Election of the few entries that read the store on behalf of all entries.
//!
//! Each call to the store is charged, and its rate limits grow more slowly than the fleet, so a few
//! of the hubs read it and announce the changes to the others. The election needs no consensus: all
//! hubs use the same ranking, and a hub reads unless enough entries ranked before it announce
//! that they read successfully. Entries with the fastest links rank first, since announcing changes
//! to a large fleet takes megabytes a second. When readers die, are cut off or are refused by the
//! store, the entries ranked next take over.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::placement::name_hash;
use crate::propagation::Budget;

/// Number of readers. With two, changes that one misses or announces late come from the other.
const READERS: usize = 2;

/// Longest interval between two messages of a reader.
pub const READER_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

/// Additional waiting time per rank before an entry takes over, so that it first receives the
/// announcements of the entries before it. If the whole fleet took over at the same time, the
/// announcements would saturate narrow links. [`Budget::hand_over`] limits the sum.
const WAIT_PER_RANK: Duration = Duration::from_millis(30);

/// Longest pause after a failed call. Each call is charged, and an outage lasts seconds.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Pause after the first failed call.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Pause after repeated failures while other entries read successfully: their announcements also
/// serve this entry.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// Shortest and longest pause after a failed call of an entry that is no hub: all of them ask the store when
/// their hubs say that it is unavailable, and hear from the hubs when it is back.
const MEMBER_PAUSES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));

/// Consecutive failures from which the store is considered to refuse this entry. One or two may be
/// a lost response or a silent watch, and the other readers may just have lost theirs as well.
const REFUSED_FAILURES: u32 = 3;

/// Returns the longest pause after `failures` consecutive failed calls to the store. `others_read`
/// says whether other entries read it successfully.
#[must_use]
pub fn retry_pause(failures: u32, others_read: bool) -> Duration {
    if others_read && failures >= REFUSED_FAILURES {
        return REFUSED_PAUSE;
    }
    let backoff = INITIAL_RETRY_PAUSE * 2_u32.pow(failures.saturating_sub(1).min(6));
    backoff.min(MAX_RETRY_PAUSE)
}

/// Returns the longest pause of an entry that is no hub after `failures` consecutive failed calls to the store.
#[must_use]
pub fn member_retry_pause(failures: u32) -> Duration {
    let (first, longest) = MEMBER_PAUSES;
    let backoff = first * 2_u32.pow(failures.saturating_sub(1).min(6));
    backoff.min(longest)
}

/// This entry's view of the election.
#[derive(Clone, Debug)]
pub struct Election {
    own: Rank,
    budget: Budget,
    peers: HashMap<Arc<str>, Peer>,
}

/// The state of another entry.
#[derive(Clone, Copy, Debug)]
struct Peer {
    rank: Rank,
    heard_at: Duration,
    /// When it last announced that it reads successfully.
    read_at: Option<Duration>,
}

/// An entry's rank: the fastest link first, since readers and hubs send to many entries, then by a hash
/// of the name.
pub type Rank = (Reverse<u32>, u64);

/// Returns the rank of an entry.
#[must_use]
pub fn rank(name: &str, link_mbps: u32) -> Rank {
    (Reverse(link_mbps), name_hash(name))
}

impl Election {
    /// Returns the view of an entry named `own` that knows no other entries.
    #[must_use]
    pub fn new(own: &str, link_mbps: u32, budget: Budget) -> Self {
        Self {
            own: rank(own, link_mbps),
            budget,
            peers: HashMap::new(),
        }
    }

    /// Records another entry's announcement of whether it reads successfully, and its link speed.
    pub fn record(&mut self, entry: &Arc<str>, link_mbps: u32, reads: bool, now: Duration) {
        let silent_after = self.budget.silent_reader();
        let peer = self.peers.entry(Arc::clone(entry)).or_insert(Peer {
            rank: rank(entry, link_mbps),
            heard_at: now,
            read_at: None,
        });
        peer.rank = rank(entry, link_mbps);
        peer.heard_at = now;
        match (reads, peer.read_at) {
            (true, _) => peer.read_at = Some(now),
            // It has just stopped reading: the waiting time of the entries behind it begins now.
            (false, Some(at)) if now.saturating_sub(at) <= silent_after => {
                peer.read_at = Some(now.saturating_sub(silent_after));
            }
            (false, _) => {}
        }
    }

    /// Returns whether any other entry reads successfully, whatever its rank.
    #[must_use]
    pub fn others_read(&self, now: Duration) -> bool {
        self.reading(self.budget.silent_reader(), now)
            .next()
            .is_some()
    }

    /// Returns whether this entry must read the store.
    #[must_use]
    pub fn must_read(&self, now: Duration) -> bool {
        let silent_after = self.budget.silent_reader();
        // Those that are silent leave their places to the others.
        let before = self.peers.values().filter(|peer| {
            peer.rank < self.own && now.saturating_sub(peer.heard_at) <= silent_after
        });
        let position = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let wait = WAIT_PER_RANK.saturating_mul(position);
        let wait = wait.min(self.budget.hand_over());
        let reading = self.reading(silent_after + wait, now);
        reading.filter(|peer| peer.rank < self.own).count() < READERS
    }

    /// Returns the entries that announced successful reading within `fresh` before `now`.
    fn reading(&self, fresh: Duration, now: Duration) -> impl Iterator<Item = &Peer> {
        let recent = move |at: Duration| now.saturating_sub(at) <= fresh;
        let peers = self.peers.values();
        peers.filter(move |peer| peer.read_at.is_some_and(recent))
    }
}
