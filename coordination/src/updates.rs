//! A buffer of recent updates that an entry sends to its peers, and the pacing of its messages.
//!
//! After the servers of a failure domain crash, each entry of a large fleet has dozens of lost and
//! rediscovered servers to announce, and its streams change many times a second. Sending everything
//! with each change saturates links of 10 Mbit/s, and requests time out on them. New updates are
//! therefore sent immediately and the others periodically, and messages to many peers are paced by
//! the capacity of their links.

use std::time::Duration;

/// Time for which an update is new and is included in repeated messages.
pub const FRESH: Duration = Duration::from_millis(1_500);

/// Time between two messages with the same updates: half of the time for which an announced loss
/// ranks a server behind the others.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// Share of a link that messages between entries may use; callers' requests need the rest.
const LINK_SHARE: f64 = 0.1;

/// Longest pause between two messages, since peers place streams by their content.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Size of a datagram's headers, in bytes.
const HEADER_BYTES: usize = 28;

/// Updates to send, each with the time at which this entry itself last added it, or zero if it was
/// received from another entry.
#[derive(Clone, Debug)]
pub struct Updates<T> {
    items: Vec<(T, Duration)>,
    sent_at: Duration,
    unsent: bool,
}

impl<T> Default for Updates<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            sent_at: Duration::ZERO,
            unsent: false,
        }
    }
}

impl<T: Clone + PartialEq> Updates<T> {
    /// Adds an update that this entry has made itself.
    pub fn insert(&mut self, update: T, now: Duration) {
        match self.items.iter_mut().find(|(known, _)| *known == update) {
            Some((_, added_at)) if now.saturating_sub(*added_at) < FRESH => *added_at = now,
            Some((_, added_at)) => {
                *added_at = now;
                self.unsent = true;
            }
            None => {
                self.items.push((update, now));
                self.unsent = true;
            }
        }
    }

    /// Adds an update received from another entry, which is forwarded only in messages to all
    /// entries.
    pub fn insert_received(&mut self, update: T) {
        if self.items.iter().all(|(known, _)| *known != update) {
            self.items.push((update, Duration::ZERO));
        }
    }

    /// Removes all updates.
    pub fn clear(&mut self) {
        self.items.clear();
        self.unsent = false;
    }

    /// Removes the updates that are no longer new.
    pub fn remove_expired(&mut self, now: Duration) {
        self.items.retain(|(_, added_at)| is_fresh(*added_at, now));
    }

    /// Returns whether an update has not been sent yet.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.unsent
    }

    /// Returns the updates for the next message: all of them if it goes to `everyone`, otherwise the
    /// new ones if any is unsent or due again.
    pub fn next_batch(&mut self, everyone: bool, now: Duration) -> Vec<T> {
        let due = everyone || self.unsent || now.saturating_sub(self.sent_at) >= RESEND_INTERVAL;
        if !due {
            return Vec::new();
        }
        self.sent_at = now;
        self.unsent = false;
        let batch = self.items.iter();
        let batch = batch.filter(|(_, added_at)| everyone || is_fresh(*added_at, now));
        batch.map(|(update, _)| update.clone()).collect()
    }
}

fn is_fresh(added_at: Duration, now: Duration) -> bool {
    !added_at.is_zero() && now.saturating_sub(added_at) < FRESH
}

/// Returns the pause after a message of `bytes` to `recipients` peers. `link_mbps` is the capacity of
/// the narrowest link among theirs and the sender's.
///
/// The recipients send as much themselves, so each link carries the same amount inbound.
#[must_use]
pub fn pause(bytes: usize, recipients: usize, link_mbps: u32) -> Duration {
    let bytes_sent = u32::try_from((bytes + HEADER_BYTES).saturating_mul(recipients));
    let bits = f64::from(bytes_sent.unwrap_or(u32::MAX)) * 8.0;
    let bits_per_second = f64::from(link_mbps.max(1)) * 1e6;
    Duration::from_secs_f64(bits / (bits_per_second * LINK_SHARE)).min(MAX_PAUSE)
}
