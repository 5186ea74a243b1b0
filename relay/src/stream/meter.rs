//! Measures the events of one run, for the comparison of a service's versions.

use std::time::Duration;

use crate::state::Measurement;

/// Events after which the mean time between them is reported.
const GAP_EVENTS: u32 = 16;

/// Measurement of one run.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    sent_at: Duration,
    first_at: Duration,
    events: u32,
}

impl Meter {
    /// Returns a meter of a run whose request was sent at `sent_at`.
    pub fn new(sent_at: Duration) -> Self {
        Self {
            sent_at,
            first_at: sent_at,
            events: 0,
        }
    }

    /// Counts an event, and returns a measurement if it completes one.
    pub fn event(&mut self, now: Duration) -> Option<Measurement> {
        self.events = self.events.saturating_add(1);
        match self.events {
            1 => {
                self.first_at = now;
                Some(Measurement {
                    failed: Some(false),
                    first: Some(now.saturating_sub(self.sent_at)),
                    ..Measurement::default()
                })
            }
            GAP_EVENTS => Some(Measurement {
                gap: Some(now.saturating_sub(self.first_at) / (GAP_EVENTS - 1)),
                ..Measurement::default()
            }),
            _ => None,
        }
    }
}
