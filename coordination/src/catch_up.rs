//! Decides from whom an entry that is behind the others fetches the changes of the store that it lacks:
//! from peers that have them, and from the store itself if no peer delivers them in time.
//!
//! An entry is behind while it has heard of a revision that it does not know. Whatever the reason for which
//! peers fail (a response that is too large, too slow or not decoded, a peer that is busy or gone), the
//! time that an entry stays behind is bounded: after a quarter of the time within which changes must be in
//! force it reads the store, which fails only if the store does.

use std::net::SocketAddr;
use std::time::Duration;

use crate::history::Revision;
use crate::propagation::Budget;

/// Time that an entry waits for the changes to arrive by message before it fetches them.
const MESSAGE_DELAY: Duration = Duration::from_millis(60);

/// Pause after the first failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause between two attempts.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Peers that are kept: the last ones that were ahead.
const PEERS: usize = 4;

/// Announced revisions that are kept with their times.
const ANNOUNCEMENTS: usize = 16;

/// Whom the changes are fetched from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The peer at an address.
    Peer(SocketAddr),
    /// The store.
    Store,
}

/// What an entry does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing: it is not behind.
    Idle,
    /// It waits until a time, unless it hears of another revision before.
    Wait(Duration),
    /// It fetches the changes, and gives up at the time `until`.
    Fetch {
        /// From whom.
        source: Source,
        /// When the attempt ends at the latest.
        until: Duration,
    },
}

/// How far an entry is behind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lag {
    /// Difference between the newest revision that it has heard of and its own; 1 if they are of different
    /// eras.
    pub revisions: u64,
    /// Time since it has heard of the first revision that it lacks.
    pub time: Duration,
    /// Attempts that failed since.
    pub failures: u32,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    address: SocketAddr,
    revision: Revision,
    failures: u32,
}

/// The state of one entry.
#[derive(Clone, Debug)]
pub struct CatchUp {
    budget: Budget,
    /// Part from 0 to 1 by which this entry differs from the others, so that they don't read at once.
    part: f64,
    /// Revisions that were announced, with the time at which each was heard of first, oldest first.
    announced: Vec<(Revision, Duration)>,
    /// Peers that are ahead; the last one that announced a revision comes last.
    peers: Vec<Peer>,
    failures: u32,
    /// Whether reading the store has failed since.
    store_failed: bool,
    /// Time before which nothing is fetched that has failed.
    pause_until: Duration,
}

impl CatchUp {
    /// Returns the state of an entry that is not behind.
    #[must_use]
    pub fn new(budget: Budget, part: f64) -> Self {
        Self {
            budget,
            part,
            announced: Vec::new(),
            peers: Vec::new(),
            failures: 0,
            store_failed: false,
            pause_until: Duration::ZERO,
        }
    }

    /// Records that a peer has read the store up to `revision`; this entry knows it up to `own`. Returns
    /// whether this entry is behind.
    pub fn record_peer(
        &mut self,
        address: SocketAddr,
        revision: Revision,
        own: Revision,
        now: Duration,
    ) -> bool {
        let known = self.peers.iter().position(|peer| peer.address == address);
        let failures = known.map_or(0, |index| self.peers.remove(index).failures);
        if revision <= own {
            return !self.is_current(own);
        }
        if self.peers.len() == PEERS {
            self.peers.remove(0);
        }
        self.peers.push(Peer {
            address,
            revision,
            failures,
        });
        let full = self.announced.len() == ANNOUNCEMENTS;
        match self.announced.last_mut() {
            Some((last, _)) if *last >= revision => {}
            Some((last, _)) if full => *last = revision,
            _ => self.announced.push((revision, now)),
        }
        true
    }

    /// Records the revision that this entry knows. Returns how far it was behind, if it no longer is.
    pub fn record_own(&mut self, own: Revision, now: Duration) -> Option<Lag> {
        let before = self.whole_lag(now);
        self.peers.retain(|peer| peer.revision > own);
        let first = self.announced.first().copied();
        self.announced.retain(|(revision, _)| *revision > own);
        if self.announced.first().copied() != first {
            // It advances: the sources of what is missing now have not failed.
            self.failures = 0;
            self.store_failed = false;
            self.pause_until = Duration::ZERO;
            for peer in &mut self.peers {
                peer.failures = 0;
            }
        }
        before.filter(|_| self.announced.is_empty())
    }

    /// Returns how far it has been behind since all announced revisions were missing.
    fn whole_lag(&self, now: Duration) -> Option<Lag> {
        let ((first, since), (newest, _)) = self.announced.first().zip(self.announced.last())?;
        Some(Lag {
            revisions: newest.number.saturating_sub(first.number) + 1,
            time: now.saturating_sub(*since),
            failures: self.failures,
        })
    }

    /// Records that an attempt gave nothing, with a number from 0 to 1 drawn at random.
    pub fn record_failure(&mut self, source: Source, random: f64, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.store_failed |= source == Source::Store;
        for peer in &mut self.peers {
            if source == Source::Peer(peer.address) {
                peer.failures += 1;
            }
        }
        let pause = FIRST_PAUSE * 2_u32.pow((self.failures - 1).min(10));
        self.pause_until = now + pause.min(MAX_PAUSE).mul_f64(0.5 + random / 2.0);
    }

    /// Returns how far this entry is behind.
    #[must_use]
    pub fn lag(&self, own: Revision, now: Duration) -> Lag {
        let Some((_, since)) = self.announced.iter().find(|(it, _)| *it > own) else {
            return Lag::default();
        };
        let newest = self.announced.last().map_or(own, |(newest, _)| *newest);
        Lag {
            revisions: if newest.era == own.era {
                newest.number.saturating_sub(own.number)
            } else {
                1
            },
            time: now.saturating_sub(*since),
            failures: self.failures,
        }
    }

    fn is_current(&self, own: Revision) -> bool {
        self.announced.iter().all(|(revision, _)| *revision <= own)
    }

    /// Returns what an entry that knows the changes up to `own` does next. `spread` is the time over which all
    /// entries may read the store within its rates.
    #[must_use]
    pub fn next(&self, own: Revision, spread: Duration, now: Duration) -> Step {
        let first = self.announced.iter().find(|(it, _)| *it > own);
        let Some((_, since)) = first.copied() else {
            return Step::Idle;
        };
        let delay = if own.number == 0 {
            Duration::ZERO
        } else {
            MESSAGE_DELAY
        };
        if now < since + delay {
            return Step::Wait(since + delay);
        }
        let ahead = self.peers.iter().filter(|peer| peer.revision > own);
        let exhausted = ahead.clone().all(|peer| peer.failures > 0);
        // The last one that announced a revision first: it is alive.
        let peer = ahead.rev().min_by_key(|peer| peer.failures);
        let asks_peer = if self.store_failed {
            // The store may be unavailable to this entry alone.
            self.failures % 2 == 1
        } else {
            !exhausted && now < since + self.budget.peers()
        };
        match peer {
            Some(peer) if asks_peer && (peer.failures == 0 || now >= self.pause_until) => {
                Step::Fetch {
                    source: Source::Peer(peer.address),
                    until: (since + self.budget.peer_response()).max(now + self.budget.peers()),
                }
            }
            _ => {
                let spread_until = since + delay + spread.mul_f64(self.part);
                let ready_at = if self.store_failed {
                    self.pause_until.max(spread_until)
                } else {
                    spread_until
                };
                if now < ready_at {
                    return Step::Wait(ready_at);
                }
                Step::Fetch {
                    source: Source::Store,
                    until: now + self.budget.bound(),
                }
            }
        }
    }
}
