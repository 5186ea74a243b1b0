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
//!     budget.record_success();
//! }
//! assert!(budget.withdraw());
//!
//! let backoff = Backoff { base: Duration::from_millis(10), ceiling: Duration::from_secs(1) };
//! let mut rng = ChaCha8Rng::seed_from_u64(7);
//! let pause = backoff.pause(3, Duration::from_millis(50), &mut rng);
//! assert!(pause.is_none_or(|pause| pause < Duration::from_millis(50)));
//! ```

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

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
    pub fn record_success(&mut self) {
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

/// How much of a service's load may be repeats, over any span of time.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Repeats for each request of the span.
    pub share: f64,
    /// Repeats of the span on top of that, over all entries.
    pub reserve: f64,
    /// Length of the span.
    pub span: Duration,
}

/// Parts of a span that are counted by themselves: what is forgotten too late is a tenth at most.
const PARTS: u32 = 10;

/// Part of what all entries may repeat up to which an entry also takes what the others leave. The
/// rest is for entries that need their own part.
const LENT: f64 = 0.75;

/// Time after which what a silent peer told no longer counts; peers tell every two seconds at least.
const FRESH: Duration = Duration::from_millis(4_500);

/// Requests and repeats of one entry, or of several, over a span.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Requests of callers.
    pub requests: u32,
    /// Repeats.
    pub repeats: u32,
}

impl Usage {
    fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            repeats: self.repeats.saturating_add(other.repeats),
        }
    }
}

/// What the other entries used, as they told.
#[derive(Clone, Debug, Default)]
pub struct Others {
    told: HashMap<Arc<str>, (Duration, Usage)>,
}

impl Others {
    /// Replaces what `peer` told before.
    pub fn record(&mut self, peer: &Arc<str>, usage: Usage, now: Duration) {
        self.told.insert(Arc::clone(peer), (now, usage));
    }

    /// Returns how many entries told lately, and what they used together.
    fn total(&self, now: Duration) -> (u32, Usage) {
        let fresh = self.told.values();
        let fresh = fresh.filter(|(at, _)| now.saturating_sub(*at) < FRESH);
        fresh.fold((0, Usage::default()), |(entries, total), (_, usage)| {
            (entries + 1, total.plus(*usage))
        })
    }
}

/// Requests and repeats of one part of the span.
#[derive(Clone, Copy, Debug)]
struct Part {
    began: Duration,
    requests: u32,
    repeats: u32,
}

/// Repeats of one entry for one service, bounded by its requests of the same span.
///
/// The load that this answers: a failure domain's servers crash together, and all streams on them
/// are repeated within half a second. An entry of a large fleet has a request every other second,
/// so that a budget of its own is empty when it is needed, while hardly any of what the fleet may
/// repeat is used. Entries tell one another what they used, and take what the others leave.
#[derive(Clone, Debug)]
pub struct Window {
    bounds: Bounds,
    parts: VecDeque<Part>,
}

impl Window {
    /// Returns a window without requests.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            parts: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Duration) {
        self.part(now).requests += 1;
    }

    /// Returns what this entry used over the span.
    pub fn usage(&mut self, now: Duration) -> Usage {
        self.forget(now);
        let parts = self.parts.iter().map(|part| Usage {
            requests: part.requests,
            repeats: part.repeats,
        });
        parts.fold(Usage::default(), Usage::plus)
    }

    /// Takes a repeat and returns whether there was one. `part` is this entry's part of the reserve,
    /// and `entries` the number of others that are known.
    pub fn withdraw(&mut self, part: f64, others: &Others, entries: u32, now: Duration) -> bool {
        let own = self.usage(now);
        let (heard, used) = others.total(now);
        let all = own.plus(used);
        let share = |usage: Usage| f64::from(usage.requests) * self.bounds.share;
        let fits = |repeats: u32, most: f64| f64::from(repeats) + 1.0 <= most + ROUNDING;
        let most_of_all = share(all) + self.bounds.reserve;
        let own_part = fits(own.repeats, share(own) + part);
        // What the others leave is known only if most of them told.
        let lent = entries > 0 && heard * 2 >= entries && fits(all.repeats, most_of_all * LENT);
        let taken = fits(all.repeats, most_of_all) && (own_part || lent);
        if taken {
            self.part(now).repeats += 1;
        }
        taken
    }

    /// Forgets the parts before the span.
    fn forget(&mut self, now: Duration) {
        let span = self.bounds.span;
        while let Some(part) = self.parts.front()
            && now.saturating_sub(part.began) >= span
        {
            self.parts.pop_front();
        }
    }

    /// Returns the part that holds now.
    fn part(&mut self, now: Duration) -> &mut Part {
        self.forget(now);
        let length = self.bounds.span / PARTS;
        let open = self.parts.back();
        if open.is_none_or(|part| now.saturating_sub(part.began) >= length) {
            self.parts.push_back(Part {
                began: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
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
