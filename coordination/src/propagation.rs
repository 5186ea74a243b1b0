//! Divides the time within which a change of the store must be in force at every entry among the steps
//! that it takes to get there.
//!
//! Two entries read the store for all. If both fail, the change is in force after the sum of
//!
//! - the time until the failure is noticed: `confirmation` and `overdue` for readers that the store no longer
//!   answers, `silent_reader` for those that no longer send messages,
//! - the time until others step in, `hand_over` at most,
//! - their first call and the messages that pass on its result.
//!
//! The first two take 33/40 of the bound at most, so that an eighth and more is left for the last. An entry
//! that is passed over by a message has the time from [`peers`](Budget::peers) on to catch up.
//!
//! ```
//! use medlarfall_coordination::propagation::Budget;
//! use std::time::Duration;
//!
//! let budget = Budget::new(Duration::from_secs(2));
//! assert_eq!(budget.peers(), Duration::from_millis(500));
//! assert_eq!(budget.transfer(), Duration::from_secs(1));
//! ```

use std::time::Duration;

/// Time within which a change must be in force if the settings give none.
const DEFAULT_BOUND: Duration = Duration::from_secs(2);

/// Shortest and longest time that is divided.
const MIN_BOUND: Duration = Duration::from_secs(1);
const MAX_BOUND: Duration = Duration::from_secs(10);

/// Longest time between two confirmations, and by which a watch may be late. An outage of the store must be
/// known, and a lost call told from one, before registrations lapse after three heartbeats of silence.
const MAX_CONFIRMATION: Duration = Duration::from_millis(1_500);
const MAX_OVERDUE: Duration = Duration::from_millis(400);

/// Least and longest time without a message after which an entry counts as silent: three messages of a reader,
/// and what an entry that starts may wait for hubs that are gone.
const MIN_SILENCE: Duration = Duration::from_millis(1_250);
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// The time for a change to be in force at every entry, and its parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    bound: Duration,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(DEFAULT_BOUND)
    }
}

impl Budget {
    /// Divides the time `bound`, counted from the store's acknowledgement. The parts are those of a time from
    /// 1 to 10 s: entries send each other messages every 0.4 s, and the store limits the length of a watch.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound: bound.clamp(MIN_BOUND, MAX_BOUND),
        }
    }

    /// Returns the time that is divided.
    #[must_use]
    pub fn bound(&self) -> Duration {
        self.bound
    }

    /// Time for which an entry that is behind asks peers only.
    #[must_use]
    pub fn peers(&self) -> Duration {
        self.bound / 4
    }

    /// Time within which an entry sends the changes that a peer asks for, or refuses at once.
    #[must_use]
    pub fn transfer(&self) -> Duration {
        self.bound / 2
    }

    /// Time after which an entry that is behind no longer waits for a peer that is still sending. What remains
    /// carries the largest value of the store over a link of 10 Mbit/s if the bound is 3 s.
    #[must_use]
    pub fn peer_response(&self) -> Duration {
        self.bound * 5 / 8
    }

    /// Longest time without a byte of a peer's response before it counts as lost.
    #[must_use]
    pub fn silence(&self) -> Duration {
        self.bound / 4
    }

    /// Longest time from the end of one watch of a reader until that of the next one, if the store answers at
    /// once.
    #[must_use]
    pub fn confirmation(&self) -> Duration {
        (self.bound * 3 / 5).min(MAX_CONFIRMATION)
    }

    /// Time by which a watch may be late before its reader no longer says that it reads.
    #[must_use]
    pub fn overdue(&self) -> Duration {
        (self.bound / 10).min(MAX_OVERDUE)
    }

    /// Time without a message after which a reader, or the hubs of an entry, no longer count. They send one at
    /// least every 400 ms.
    #[must_use]
    pub fn silent_reader(&self) -> Duration {
        (self.bound * 5 / 8).clamp(MIN_SILENCE, MAX_SILENCE)
    }

    /// Longest time that an entry leaves to those before it to step in for a reader.
    #[must_use]
    pub fn hand_over(&self) -> Duration {
        self.bound / 8
    }
}
