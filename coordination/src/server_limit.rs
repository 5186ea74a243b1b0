//! Limits that servers name: the requests a second that a server takes from all entries together.
//!
//! An entry uses its share of a server's limit, and learns limits from the answers that it gets and
//! from the other entries. It keeps a limit until an answer names none. When it has not heard of the
//! server for a while, it goes on at the limit's pace until the next answer tells.
//!
//! ```
//! use medlarfall_coordination::server_limit::{Limit, Named};
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(1);
//! let mut limit = Limit::default();
//! assert!(limit.wait(0.5, now).is_zero());
//! limit.record(Named::per_second(4.0), now, 0.0);
//! assert_eq!(limit.wait(0.5, now), Duration::from_millis(500));
//! ```

use std::time::Duration;

/// Time over which unused requests add up, at the limit's pace; at least one request does.
const BURST: Duration = Duration::from_millis(500);

/// Most requests that are sent in advance, such as resumes at the only server that has a backup.
const MAX_DEBT: f64 = 5.0;

/// Part of a request that is left out by rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Time after which a belief that was confirmed is announced to the other entries again.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// Change of a limit that is announced, as a share of it.
const ANNOUNCED_CHANGE: f64 = 0.05;

/// Longest wait that is estimated, for limits of almost nothing.
const LONGEST_WAIT: Duration = Duration::from_mins(1);

/// What a server said last: its limit in thousandths of a request a second, or that it has none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Named(pub Option<u32>);

impl Named {
    /// Returns a limit in requests a second. Values that are no limit count as none.
    #[must_use]
    pub fn per_second(limit: f64) -> Self {
        if !limit.is_finite() || limit < 0.0 {
            return Self(None);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "out of range values become the nearest one"
        )]
        let thousandths = (limit * 1_000.0) as u32;
        Self(Some(thousandths))
    }

    /// Returns the limit in requests a second, if there is one.
    #[must_use]
    pub fn rate(self) -> Option<f64> {
        self.0.map(|thousandths| f64::from(thousandths) / 1_000.0)
    }

    fn differs(self, other: Self) -> bool {
        match (self.rate(), other.rate()) {
            (Some(rate), Some(other)) => (rate - other).abs() > ANNOUNCED_CHANGE * other,
            (rate, other) => rate.is_some() != other.is_some(),
        }
    }
}

/// The limit of one server, and the part of it that this entry has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    named: Named,
    heard_at: Duration,
    /// Requests that may be sent now.
    tokens: f64,
    updated_at: Duration,
    announced: Named,
    announced_at: Duration,
}

impl Limit {
    /// Records what a server said at `at`; older news than the last are ignored. `start` is the part of
    /// a request, from 0 to 1, that may be sent at once when a limit is new: with different parts, the
    /// entries do not send their first request at the same moment. Returns whether the belief changed.
    pub fn record(&mut self, named: Named, at: Duration, start: f64) -> bool {
        if at < self.heard_at {
            return false;
        }
        let before = std::mem::replace(&mut self.named, named);
        self.heard_at = at;
        if before.0.is_none() {
            self.tokens = start;
            self.updated_at = at;
        }
        before.differs(named)
    }

    /// Returns the limit if the other entries must be told: it changed or was not confirmed to them
    /// for a while.
    pub fn announce(&mut self, now: Duration) -> Option<Named> {
        let due = now.saturating_sub(self.announced_at) >= ANNOUNCE_INTERVAL;
        let due = due && self.named.0.is_some();
        (due || self.named.differs(self.announced)).then(|| {
            self.record_announcement(self.named, now);
            self.named
        })
    }

    /// Records that some entry has announced what the server said.
    pub fn record_announcement(&mut self, named: Named, now: Duration) {
        self.announced = named;
        self.announced_at = now;
    }

    /// Returns what the server said last.
    #[must_use]
    pub fn named(&self) -> Named {
        self.named
    }

    /// Returns the time until this entry may send a request, if `share` of the limit is its own.
    #[must_use]
    pub fn wait(&self, share: f64, now: Duration) -> Duration {
        let Some(rate) = self.named.rate() else {
            return Duration::ZERO;
        };
        let missing = 1.0 - self.tokens_at(rate * share, now);
        if missing <= ROUNDING_TOLERANCE {
            return Duration::ZERO;
        }
        let wait = Duration::try_from_secs_f64(missing / (rate * share));
        wait.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT)
    }

    /// Counts a request that is sent, whether or not the limit allows it.
    pub fn take(&mut self, share: f64, now: Duration) {
        let Some(rate) = self.named.rate() else {
            return;
        };
        let tokens = self.tokens_at(rate * share, now);
        self.tokens = (tokens - 1.0).max(-MAX_DEBT);
        self.updated_at = now;
    }

    fn tokens_at(&self, pace: f64, now: Duration) -> f64 {
        let most = (pace * BURST.as_secs_f64()).max(1.0);
        let passed = now.saturating_sub(self.updated_at);
        (self.tokens + pace * passed.as_secs_f64()).min(most)
    }
}

/// Returns an entry's share of the limits of a service's servers: its share of the service's requests.
/// An entry without requests keeps the share of one, so that its next request finds some.
#[must_use]
pub fn share(own_requests: u32, all_requests: u32, entries: u32) -> f64 {
    let own = f64::from(own_requests) + 1.0;
    let all = f64::from(all_requests.max(own_requests)) + f64::from(entries.max(1));
    own / all
}

/// Order in which refused callers return, so that they find a request each and don't return at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Returns {
    last: Duration,
    /// When the last pause ends.
    pause_end: Duration,
}

impl Returns {
    /// Returns when the next refused caller may return: after `wait`, and `pace` requests a second
    /// after the caller before.
    pub fn next(&mut self, wait: Duration, pace: f64, now: Duration) -> Duration {
        let gap = Duration::try_from_secs_f64(1.0 / pace).unwrap_or(LONGEST_WAIT);
        let next = (now + wait).max(self.last + gap.min(LONGEST_WAIT));
        self.last = next.min(now + LONGEST_WAIT);
        self.last.saturating_sub(now)
    }

    /// Returns when the next caller that is refused in a pause may return, like [`Returns::next`]. Callers
    /// of an earlier pause that has ended don't count: their servers have had time to serve them.
    pub fn next_in_pause(&mut self, wait: Duration, pace: f64, now: Duration) -> Duration {
        if now >= self.pause_end {
            self.last = Duration::ZERO;
        }
        self.pause_end = now + wait;
        self.next(wait, pace, now)
    }
}
