//! A monotonic clock that gives the time as a duration since its creation.

use std::time::Duration;

use tokio::time::Instant;

/// Measures the time since an origin. It follows Tokio's clock, so tests can pause and advance it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock whose origin is the current time.
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

    /// Converts a time since the origin to an instant.
    #[must_use]
    pub fn instant(&self, time: Duration) -> Instant {
        self.origin + time
    }
}
