//! Measures the token latencies of generations.

use std::time::{Duration, Instant};

/// Measurements of one generation.
#[derive(Default)]
pub(super) struct Sample {
    /// Time to the first token, in microseconds.
    pub(super) ttft_us: u64,
    /// Times between successive tokens, in microseconds.
    pub(super) gaps_us: Vec<u64>,
    /// Whether the answer differs from the oracle's.
    pub(super) wrong: bool,
}

/// Measures the arrival times of one generation's tokens.
pub(super) struct Stopwatch {
    started: Instant,
    last: Option<Instant>,
    sample: Sample,
}

impl Stopwatch {
    /// Starts the measurement at the time of the request.
    pub(super) fn start() -> Self {
        Self {
            started: Instant::now(),
            last: None,
            sample: Sample::default(),
        }
    }

    /// Records the arrival of a token.
    pub(super) fn record_token(&mut self) {
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.sample.ttft_us = microseconds(now - self.started),
            Some(last) => self.sample.gaps_us.push(microseconds(now - last)),
        }
    }

    /// Returns the measurements; `wrong` states that the answer differs from the oracle's.
    pub(super) fn finish(mut self, wrong: bool) -> Sample {
        self.sample.wrong = wrong;
        self.sample
    }
}

/// Returns a duration in whole microseconds.
pub(super) fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
