//! The runtime's clock, as a duration since the start of the entry.

use std::time::Duration;

use tokio::time::Instant;

/// Measures the time since an origin; tests pause and advance it with the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the origin.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the instant at a time since the origin.
    #[must_use]
    pub fn instant(&self, time: Duration) -> Instant {
        self.origin + time
    }
}
