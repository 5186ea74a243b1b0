//! A retry budget: retries are a bounded share of successes, and back off with jitter.
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
//!     budget.succeeded();
//! }
//! assert!(budget.withdraw());
//!
//! let backoff = Backoff { base: Duration::from_millis(10), ceiling: Duration::from_secs(1) };
//! let mut rng = ChaCha8Rng::seed_from_u64(7);
//! let pause = backoff.pause(3, Duration::from_millis(50), &mut rng);
//! assert!(pause.is_none_or(|pause| pause < Duration::from_millis(50)));
//! ```

use std::time::Duration;

use rand::Rng;

/// Slack for sums of fractions that should make a whole token.
const ROUNDING: f64 = 1e-9;

/// How much may be retried.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Retries allowed for each success.
    pub share: f64,
    /// Retries allowed before the first success.
    pub reserve: f64,
    /// Most retries that can be saved up.
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

/// The budget of one service.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    policy: Policy,
    tokens: f64,
}

impl Budget {
    /// Returns a budget that holds its reserve.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            tokens: policy.reserve.min(policy.ceiling),
        }
    }

    /// Counts a success.
    pub fn succeeded(&mut self) {
        self.tokens = (self.tokens + self.policy.share).min(self.policy.ceiling);
    }

    /// Takes a token for one retry and returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens + ROUNDING < 1.0 {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }
}

/// Pauses between attempts.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Longest pause before the first retry.
    pub base: Duration,
    /// Longest pause before any retry.
    pub ceiling: Duration,
}

impl Backoff {
    /// Returns a random pause before retry number `retry` (from 1), or nothing if it would take
    /// all that `remains` of the deadline.
    pub fn pause(&self, retry: u32, remains: Duration, rng: &mut impl Rng) -> Option<Duration> {
        let factor = 1_u32
            .checked_shl(retry.saturating_sub(1))
            .unwrap_or(u32::MAX);
        let longest = self.base.saturating_mul(factor).min(self.ceiling);
        let pause = longest.mul_f64(rng.random_range(0.0..=1.0));
        (pause < remains).then_some(pause)
    }
}
