//! Failure detection of a server that runs streams, by silence and probes.
//!
//! Silence alone proves little: an engine in the prefill of a long prompt is silent for a while. A
//! server that has sent nothing for [`Bounds::silence_limit`] is therefore probed on a separate
//! connection, and is considered lost after [`Bounds::probe_limit`] consecutive probes without a
//! response. One response, or one event of any stream, counts as activity of the server for all its
//! streams.

use std::time::Duration;

/// Timing of the detector.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Silence after which a server with at least one stream past its prefill is probed.
    pub silence_limit: Duration,
    /// Silence after which a server whose streams are all in prefill is probed.
    pub prefill_silence_limit: Duration,
    /// Time limit for the response to a probe.
    pub probe_timeout: Duration,
    /// Consecutive failed probes after which the server is lost.
    pub probe_limit: u32,
    /// Silence of a single stream after which its connection is dead although the server is alive.
    pub stream_silence_limit: Duration,
}

impl Default for Bounds {
    /// A pause of 700 ms makes a stream late, of which detecting the loss may take about half:
    /// 100 ms of silence and two probes of 80 ms each. A stream in prefill has seconds until it is
    /// late.
    fn default() -> Self {
        Self {
            silence_limit: Duration::from_millis(100),
            prefill_silence_limit: Duration::from_millis(250),
            probe_timeout: Duration::from_millis(80),
            probe_limit: 2,
            stream_silence_limit: Duration::from_millis(420),
        }
    }
}

/// The next step of the detector.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Check again at this time.
    Wait(Duration),
    /// Probe the server.
    Probe,
    /// The server is lost.
    Lost,
}

/// The failure detector of one server.
#[derive(Clone, Copy, Debug)]
pub struct Detector {
    bounds: Bounds,
    active_at: Duration,
    failed_probes: u32,
}

impl Detector {
    /// Returns a detector whose server was last active at `now`.
    #[must_use]
    pub fn new(bounds: Bounds, now: Duration) -> Self {
        Self {
            bounds,
            active_at: now,
            failed_probes: 0,
        }
    }

    /// Records that the server sent something.
    pub fn record_activity(&mut self, now: Duration) {
        self.active_at = self.active_at.max(now);
        self.failed_probes = 0;
    }

    /// Counts a probe without a response, unless the server was active after the probe was sent.
    pub fn record_failed_probe(&mut self, sent_at: Duration) {
        if self.active_at <= sent_at {
            self.failed_probes += 1;
        }
    }

    /// Returns the next step; `prefilling` says that no stream of the server has received an event.
    #[must_use]
    pub fn next_step(&self, now: Duration, prefilling: bool) -> Step {
        let limit = if prefilling {
            self.bounds.prefill_silence_limit
        } else {
            self.bounds.silence_limit
        };
        let due = self.active_at + limit;
        match self.failed_probes {
            failed if failed >= self.bounds.probe_limit => Step::Lost,
            0 if now < due => Step::Wait(due),
            _ => Step::Probe,
        }
    }

    /// Returns whether the last probe got no response.
    #[must_use]
    pub fn has_failed_probe(&self) -> bool {
        self.failed_probes > 0
    }

    /// Returns how long the server has been silent.
    #[must_use]
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.active_at)
    }
}
