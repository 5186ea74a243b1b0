//! Whether a server that runs streams still lives.
//!
//! Silence alone proves little: an engine that reads a long prompt is silent for a while. So a
//! server from which nothing came for [`Bounds::quiet`] is asked on a connection of its own, and
//! is taken for lost when [`Bounds::questions`] questions in a row find no answer. One answer, or
//! one event of any of its streams, counts for all of them.

use std::time::Duration;

/// Times of the detector.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Silence after which a server is asked that makes events.
    pub silence_limit: Duration,
    /// Silence after which a server is asked that only reads prompts.
    pub reading: Duration,
    /// Longest wait for an answer.
    pub probe_timeout: Duration,
    /// Unanswered questions after which the server is lost.
    pub probe_limit: u32,
    /// Silence of a single stream, at a server that lives, after which its connection is dead.
    pub stream_silence_limit: Duration,
}

impl Default for Bounds {
    /// A pause of 700 ms makes a stream late, of which finding the loss may take about half:
    /// 100 ms of silence and two questions of 80 ms each. A stream whose prompt is read has seconds
    /// until it is late.
    fn default() -> Self {
        Self {
            silence_limit: Duration::from_millis(100),
            reading: Duration::from_millis(250),
            probe_timeout: Duration::from_millis(80),
            probe_limit: 2,
            stream_silence_limit: Duration::from_millis(420),
        }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Look again at this time.
    Wait(Duration),
    /// Ask the server.
    Probe,
    /// The server is lost.
    Lost,
}

/// The detector of one server.
#[derive(Clone, Copy, Debug)]
pub struct Detector {
    bounds: Bounds,
    heard_at: Duration,
    unanswered: u32,
}

impl Detector {
    /// Returns a detector that has heard of the server just now.
    #[must_use]
    pub fn new(bounds: Bounds, now: Duration) -> Self {
        Self {
            bounds,
            heard_at: now,
            unanswered: 0,
        }
    }

    /// Notes that something came from the server.
    pub fn record_activity(&mut self, now: Duration) {
        self.heard_at = self.heard_at.max(now);
        self.unanswered = 0;
    }

    /// Notes that a question found no answer, unless something was heard since it was `asked_at`.
    pub fn record_failed_probe(&mut self, asked_at: Duration) {
        if self.heard_at <= asked_at {
            self.unanswered += 1;
        }
    }

    /// Returns what to do next; `reading` says that no stream of the server has made an event.
    #[must_use]
    pub fn next_step(&self, now: Duration, reading: bool) -> Step {
        let quiet = if reading {
            self.bounds.reading
        } else {
            self.bounds.silence_limit
        };
        let due = self.heard_at + quiet;
        match self.unanswered {
            unanswered if unanswered >= self.bounds.probe_limit => Step::Lost,
            0 if now < due => Step::Wait(due),
            _ => Step::Probe,
        }
    }

    /// Returns how long the server has been silent.
    #[must_use]
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard_at)
    }
}
