//! Budget of probes: an entry probes servers in proportion to the requests that it gets.
//!
//! A server that processes many prompts is silent for long and is probed by each entry with a stream
//! there. At five times the usual number of streams, entries sent 136,513 probes for 11,780 requests, each
//! on a new connection.
//!
//! ```
//! use medlarfall_coordination::probe_budget::Budget;
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(1);
//! let mut budget = Budget::new(now);
//! assert_eq!(budget.take(1_000, now), 60);
//! assert_eq!(budget.take(1, now), 0);
//! budget.record_request(now);
//! assert_eq!(budget.take(1, now), 1);
//! ```

use std::time::Duration;

/// Probes for each request. A prompt takes a second or two to process, in which its server is probed every
/// 250 ms at most.
const PER_REQUEST: f64 = 2.0;

/// Probes a second without requests: a server whose streams are all silent must still be found lost.
const PER_SECOND: f64 = 5.0;

/// Most probes that are saved: those for the servers of a failure domain that crash together.
const MOST: f64 = 60.0;

/// The probes that an entry may send.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: f64,
    updated_at: Duration,
}

impl Budget {
    /// Returns a full budget.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            saved: MOST,
            updated_at: now,
        }
    }

    fn update(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.saved = (self.saved + PER_SECOND * passed).min(MOST);
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Duration) {
        self.update(now);
        self.saved = (self.saved + PER_REQUEST).min(MOST);
    }

    /// Takes up to `wanted` probes; returns how many may be sent.
    pub fn take(&mut self, wanted: u32, now: Duration) -> u32 {
        self.update(now);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and the most probes that are saved"
        )]
        let taken = wanted.min(self.saved as u32);
        self.saved -= f64::from(taken);
        taken
    }
}
