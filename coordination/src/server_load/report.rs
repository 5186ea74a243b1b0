//! Load that a server reports in its responses.

use std::ops::RangeInclusive;

/// Most requests at one server, and most slots, that a report may state.
const MAX_REQUESTS: u32 = 1_000_000;

/// Range of plausible slowness: from a twentieth of the usual time to a hundred times it.
const SLOWNESS: RangeInclusive<f64> = 0.05..=100.0;

/// Load header of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Requests that run at the server.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Requests that it processes concurrently; 0 if it does not state it.
    pub slots: u32,
    /// Time that work takes at present relative to the usual time, 1.0; `None` if the server does not
    /// state it.
    pub slowness: Option<f64>,
}

impl Report {
    /// Returns a report, or `None` if its counts are implausible. Implausible slots and slowness are
    /// treated as not stated. `slowness_percent` is 100 at the usual speed.
    #[must_use]
    pub fn checked(
        running: u32,
        waiting: u32,
        slots: Option<u32>,
        slowness_percent: Option<f64>,
    ) -> Option<Self> {
        let slowness = slowness_percent.map(|percent| percent / 100.0);
        (running <= MAX_REQUESTS && waiting <= MAX_REQUESTS).then(|| Self {
            running,
            waiting,
            slots: slots.filter(|slots| *slots <= MAX_REQUESTS).unwrap_or(0),
            slowness: slowness.filter(|slowness| SLOWNESS.contains(slowness)),
        })
    }

    /// Returns the requests at the server, running and waiting.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
