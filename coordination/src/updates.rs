//! What an entry tells the others, when, and how much of a link that takes.
//!
//! The load that answers: after a failure domain's servers crash, each entry of a large fleet has
//! dozens of losses and finds to tell, and its streams change many times a second. Telling all of it
//! with each change fills links of 10 Mbit/s, and requests time out on them. So what is new is told
//! at once, the rest now and then, and messages to many others are spaced by what their links carry.

use std::time::Duration;

/// Time for which something new is told with every message that tells it again.
pub const FRESH: Duration = Duration::from_millis(1_500);

/// Time between two messages that tell the same: half of the time for which a loss that is told
/// puts a server behind the others.
const AGAIN: Duration = Duration::from_millis(250);

/// Part of a link that messages between entries may take: callers' requests need the rest.
const LINK_SHARE: f64 = 0.1;

/// Longest pause between two messages: others place streams by what they tell.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// Bytes of a datagram's headers.
const HEADERS: usize = 28;

/// Things to tell, each with the time from which it is new.
#[derive(Clone, Debug)]
pub struct Updates<T> {
    items: Vec<(T, Duration)>,
    told_at: Duration,
    untold: bool,
}

impl<T> Default for Updates<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            told_at: Duration::ZERO,
            untold: false,
        }
    }
}

impl<T: Clone + PartialEq> Updates<T> {
    /// Adds what this entry itself has found out.
    pub fn insert(&mut self, item: T, now: Duration) {
        match self.items.iter_mut().find(|(known, _)| *known == item) {
            Some((_, at)) if now.saturating_sub(*at) < FRESH => *at = now,
            Some((_, at)) => {
                *at = now;
                self.untold = true;
            }
            None => {
                self.items.push((item, now));
                self.untold = true;
            }
        }
    }

    /// Adds what another entry told: it is passed on only where all is told.
    pub fn insert_received(&mut self, item: T) {
        if self.items.iter().all(|(known, _)| *known != item) {
            self.items.push((item, Duration::ZERO));
        }
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.items.clear();
        self.untold = false;
    }

    /// Forgets what is no longer new.
    pub fn remove_expired(&mut self, now: Duration) {
        self.items.retain(|(_, at)| is_fresh(*at, now));
    }

    /// Returns whether something has not been told yet.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.untold
    }

    /// Returns what the next message tells: all of it to `everyone` now and then, else what is new.
    pub fn next_batch(&mut self, everyone: bool, now: Duration) -> Vec<T> {
        let due = everyone || self.untold || now.saturating_sub(self.told_at) >= AGAIN;
        if !due {
            return Vec::new();
        }
        self.told_at = now;
        self.untold = false;
        let told = self.items.iter();
        let told = told.filter(|(_, at)| everyone || is_fresh(*at, now));
        told.map(|(item, _)| item.clone()).collect()
    }
}

fn is_fresh(at: Duration, now: Duration) -> bool {
    !at.is_zero() && now.saturating_sub(at) < FRESH
}

/// Returns the pause after a message of `bytes` to `recipients`, of whose links and the sender's
/// the narrowest carries `link_mbps`.
///
/// Those that are told tell as much themselves, so that each link carries as much inwards.
#[must_use]
pub fn pause(bytes: usize, recipients: usize, link_mbps: u32) -> Duration {
    let sent = u32::try_from((bytes + HEADERS).saturating_mul(recipients));
    let bits = f64::from(sent.unwrap_or(u32::MAX)) * 8.0;
    let bits_per_second = f64::from(link_mbps.max(1)) * 1e6;
    Duration::from_secs_f64(bits / (bits_per_second * LINK_SHARE)).min(LONGEST_PAUSE)
}
