//! What one entry measures of a service: its requests, and the time that servers need for a prompt.
//!
//! ```
//! use medlarfall_coordination::autoscaling::meter::Meter;
//! use std::time::Duration;
//!
//! let mut meter = Meter::default();
//! meter.record_request(5_200, Duration::from_secs(1));
//! for _ in 0..8 {
//!     meter.record_prefill(5_200, Duration::from_millis(1_040));
//! }
//! let demand = meter.demand(Duration::from_secs(2));
//! assert_eq!((demand.requests, demand.prompt_tokens), (1, 5_200));
//! assert_eq!(demand.prefill_ns / u64::from(demand.measured), 200_000);
//! assert_eq!(meter.demand(Duration::from_secs(4)).requests, 0);
//! ```

use std::collections::VecDeque;
use std::time::Duration;

use super::{Demand, WINDOW};

/// Length of a slot of the window. Counts expire up to one slot early.
const SLOT: Duration = Duration::from_millis(250);

/// Measurements of prefill that are kept. At an entry with one request a second, these are those of the
/// last half minute.
const SAMPLES: usize = 32;

/// Share of the measurements that are faster than the shared value. The slower ones include prompts that
/// other entries sent to the same server at the same time; the fastest ones are from the fastest servers,
/// of which there are few.
const QUANTILE: (usize, usize) = (2, 5);

/// Least length of a prompt that is measured, in tokens. The time to the first event of a shorter one is
/// mostly the network's.
const MIN_PROMPT: u64 = 256;

/// Longest measured time of a token, in nanoseconds, and longest prompt, in tokens: implausible values are
/// ignored.
const MAX_TOKEN_NS: u64 = 100_000_000;
const MAX_PROMPT: u64 = 10_000_000;

#[derive(Clone, Copy, Debug)]
struct Slot {
    start: Duration,
    requests: u32,
    prompt_tokens: u64,
}

/// The measurements of one service at one entry.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    slots: VecDeque<Slot>,
    /// Time that an idle server needed for a prompt token, in nanoseconds.
    prefills: VecDeque<u64>,
}

impl Meter {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, prompt_tokens: u64, now: Duration) {
        self.expire(now);
        let last = self.slots.back();
        if last.is_none_or(|slot| now.saturating_sub(slot.start) >= SLOT) {
            self.slots.push_back(Slot {
                start: now,
                requests: 0,
                prompt_tokens: 0,
            });
        }
        if let Some(slot) = self.slots.back_mut() {
            slot.requests = slot.requests.saturating_add(1);
            let tokens = prompt_tokens.min(MAX_PROMPT);
            slot.prompt_tokens = slot.prompt_tokens.saturating_add(tokens);
        }
    }

    /// Records the time to the first event of a prompt that was sent to a server with no other prompt.
    pub fn record_prefill(&mut self, prompt_tokens: u64, took: Duration) {
        if !(MIN_PROMPT..=MAX_PROMPT).contains(&prompt_tokens) {
            return;
        }
        let nanos = u64::try_from(took.as_nanos()).unwrap_or(u64::MAX);
        let of_token = nanos / prompt_tokens;
        if of_token == 0 || of_token > MAX_TOKEN_NS {
            return;
        }
        if self.prefills.len() >= SAMPLES {
            self.prefills.pop_front();
        }
        self.prefills.push_back(of_token);
    }

    /// Returns the demand at this entry, without the numbers of requests at servers.
    #[must_use]
    pub fn demand(&mut self, now: Duration) -> Demand {
        self.expire(now);
        let mut demand = Demand {
            entries: 1,
            ..Demand::default()
        };
        for slot in &self.slots {
            demand.requests = demand.requests.saturating_add(slot.requests);
            demand.prompt_tokens = demand.prompt_tokens.saturating_add(slot.prompt_tokens);
        }
        if !self.prefills.is_empty() {
            let mut sorted: Vec<u64> = self.prefills.iter().copied().collect();
            sorted.sort_unstable();
            let quantile = sorted[sorted.len() * QUANTILE.0 / QUANTILE.1];
            demand.measured = u32::try_from(sorted.len()).unwrap_or(0);
            demand.prefill_ns = quantile.saturating_mul(u64::from(demand.measured));
        }
        demand
    }

    fn expire(&mut self, now: Duration) {
        while let Some(slot) = self.slots.front()
            && now.saturating_sub(slot.start) >= WINDOW
        {
            self.slots.pop_front();
        }
    }
}
