//! Measures the events of one run, to compare versions of a service.

use std::time::Duration;

use crate::state::Sight;

/// Events after which the mean time between them is told.
const EVENTS: u32 = 16;

/// Measures one run.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    sent_at: Duration,
    first_at: Duration,
    events: u32,
}

impl Probe {
    /// Returns a probe of a run that was sent at `sent_at`.
    pub fn new(sent_at: Duration) -> Self {
        Self {
            sent_at,
            first_at: sent_at,
            events: 0,
        }
    }

    /// Notes an event, and returns what it shows.
    pub fn event(&mut self, now: Duration) -> Option<Sight> {
        self.events = self.events.saturating_add(1);
        match self.events {
            1 => {
                self.first_at = now;
                Some(Sight {
                    failed: Some(false),
                    first: Some(now.saturating_sub(self.sent_at)),
                    ..Sight::default()
                })
            }
            EVENTS => Some(Sight {
                gap: Some(now.saturating_sub(self.first_at) / (EVENTS - 1)),
                ..Sight::default()
            }),
            _ => None,
        }
    }
}
