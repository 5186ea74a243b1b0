//! Measures the times of generations.

use std::time::{Duration, Instant};

/// What one generation measured.
#[derive(Default)]
pub(super) struct Sample {
    /// Time to the first token, in microseconds.
    pub(super) first: u64,
    /// Times between two tokens, in microseconds.
    pub(super) between: Vec<u64>,
    /// Whether the answer differs from the oracle's.
    pub(super) wrong: bool,
}

/// Measures the times of one generation's tokens.
pub(super) struct Stopwatch {
    started: Instant,
    last: Option<Instant>,
    sample: Sample,
}

impl Stopwatch {
    /// Starts measuring.
    pub(super) fn start() -> Self {
        Self {
            started: Instant::now(),
            last: None,
            sample: Sample::default(),
        }
    }

    /// Notes a token.
    pub(super) fn token(&mut self) {
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.sample.first = microseconds(now - self.started),
            Some(last) => self.sample.between.push(microseconds(now - last)),
        }
    }

    /// Returns what was measured.
    pub(super) fn sample(mut self, wrong: bool) -> Sample {
        self.sample.wrong = wrong;
        self.sample
    }
}

/// Returns a duration in whole microseconds.
pub(super) fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
