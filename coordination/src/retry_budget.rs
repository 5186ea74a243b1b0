//! Retry budgets: retries are limited to a share of successes or requests, with jittered backoff.
//!
//! ```
//! use std::time::Duration;
//! use medlarfall_coordination::retry_budget::{Backoff, Budget, Policy};
//! use rand::SeedableRng;
//! use rand_chacha::ChaCha8Rng;
//!
//! let policy = Policy { share: 0.1, reserve: 1.0, ceiling: 10.0 };
//! let mut budget = Budget::new(policy);
//! assert!(budget.withdraw());
//! assert!(!budget.withdraw());
//! for _ in 0..10 {
//!     budget.record_success();
//! }
//! assert!(budget.withdraw());
//!
//! let backoff = Backoff { base: Duration::from_millis(10), ceiling: Duration::from_secs(1) };
//! let mut rng = ChaCha8Rng::seed_from_u64(7);
//! let pause = backoff.pause(3, Duration::from_millis(50), &mut rng);
//! assert!(pause.is_none_or(|pause| pause < Duration::from_millis(50)));
//! ```

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;

/// Tolerance for rounding errors in sums of fractional tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Limits of a [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Retries allowed for each success.
    pub share: f64,
    /// Retries allowed before the first success.
    pub reserve: f64,
    /// Maximum number of retries that can accumulate.
    pub ceiling: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            share: 0.1,
            reserve: 10.0,
            ceiling: 100.0,
        }
    }
}

/// The retry budget of one service, as a token bucket that successes fill.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    policy: Policy,
    tokens: f64,
}

impl Budget {
    /// Returns a budget that contains its reserve.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            tokens: policy.reserve.min(policy.ceiling),
        }
    }

    /// Adds the tokens of one success.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.policy.share).min(self.policy.ceiling);
    }

    /// Takes a token for one retry and returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens + ROUNDING_TOLERANCE < 1.0 {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }
}

/// Limits on the retries of a service over any window of time.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Retries allowed for each request in the window.
    pub share: f64,
    /// Further retries allowed in the window, over all entries.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Number of slots that a window is divided into. Counts expire up to one slot early.
const SLOTS: u32 = 10;

/// Share of the fleet's limit up to which an entry may also use what the other entries leave unused.
/// The rest is kept for entries that need their own share.
const SHARED_LIMIT: f64 = 0.75;

/// Requests and retries of one or several entries within a window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Requests from callers.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
}

impl Usage {
    /// Returns the sum of two usages.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            retries: self.retries.saturating_add(other.retries),
        }
    }

    /// Returns this usage less another, or zero where the other is greater.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            retries: self.retries.saturating_sub(other.retries),
        }
    }
}

/// What is known of the other entries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Others {
    /// Number of other entries.
    pub entries: u32,
    /// Number of those whose usage is known.
    pub reporting: u32,
    /// Their total usage.
    pub usage: Usage,
}

/// Requests and retries within one slot of the window.
#[derive(Clone, Copy, Debug)]
struct Slot {
    start: Duration,
    requests: u32,
    retries: u32,
}

/// The retries of one entry for one service, limited by the requests in the same sliding window.
///
/// When a failure domain's servers crash together, all their streams are retried within half a
/// second. An entry of a large fleet receives a request only every other second, so a separate
/// budget would be exhausted when it is needed, while most of the fleet's limit remained unused.
/// The entries therefore report their usage to one another, and each may use what the others leave.
#[derive(Clone, Debug)]
pub struct Window {
    bounds: Bounds,
    slots: VecDeque<Slot>,
}

impl Window {
    /// Returns a window without requests.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            slots: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Duration) {
        self.slot(now).requests += 1;
    }

    /// Returns this entry's usage within the window.
    pub fn usage(&mut self, now: Duration) -> Usage {
        self.remove_expired(now);
        let slots = self.slots.iter().map(|slot| Usage {
            requests: slot.requests,
            retries: slot.retries,
        });
        slots.fold(Usage::default(), Usage::plus)
    }

    /// Counts a retry if the limits allow it, and returns whether they do. `reserve_share` is this
    /// entry's share of the reserve.
    pub fn withdraw(&mut self, reserve_share: f64, others: Others, now: Duration) -> bool {
        let own = self.usage(now);
        let total = own.plus(others.usage);
        let share = |usage: Usage| f64::from(usage.requests) * self.bounds.share;
        let within =
            |retries: u32, limit: f64| f64::from(retries) + 1.0 <= limit + ROUNDING_TOLERANCE;
        let fleet_limit = share(total) + self.bounds.reserve;
        let within_own_share = within(own.retries, share(own) + reserve_share);
        // The unused rest is known only if at least half of the other entries reported.
        let within_unused = others.entries > 0
            && others.reporting * 2 >= others.entries
            && within(total.retries, fleet_limit * SHARED_LIMIT);
        let allowed = within(total.retries, fleet_limit) && (within_own_share || within_unused);
        if allowed {
            self.slot(now).retries += 1;
        }
        allowed
    }

    /// Removes the slots before the window.
    fn remove_expired(&mut self, now: Duration) {
        let window = self.bounds.window;
        while let Some(slot) = self.slots.front()
            && now.saturating_sub(slot.start) >= window
        {
            self.slots.pop_front();
        }
    }

    /// Returns the slot that contains `now`.
    fn slot(&mut self, now: Duration) -> &mut Slot {
        self.remove_expired(now);
        let length = self.bounds.window / SLOTS;
        let last = self.slots.back();
        if last.is_none_or(|slot| now.saturating_sub(slot.start) >= length) {
            self.slots.push_back(Slot {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}

/// Exponential backoff between attempts, with full jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Longest pause before the first retry.
    pub base: Duration,
    /// Longest pause before any retry.
    pub ceiling: Duration,
}

impl Backoff {
    /// Returns a random pause before retry number `retry` (from 1), or `None` if the pause would use
    /// up the time `remaining` until the deadline.
    pub fn pause(&self, retry: u32, remaining: Duration, rng: &mut impl Rng) -> Option<Duration> {
        let factor = 1_u32
            .checked_shl(retry.saturating_sub(1))
            .unwrap_or(u32::MAX);
        let ceiling = self.base.saturating_mul(factor).min(self.ceiling);
        let pause = ceiling.mul_f64(rng.random_range(0.0..=1.0));
        (pause < remaining).then_some(pause)
    }
}
