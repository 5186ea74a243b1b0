//! Divides the time within which a change of the store must be in force at every entry among the steps
//! that it takes to get there.
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
    /// Divides the time `bound`, counted from the store's acknowledgement.
    #[must_use]
    pub const fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Time within which a change must be in force at every entry.
    #[must_use]
    pub const fn bound(&self) -> Duration {
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
}
