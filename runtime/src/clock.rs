//! Clocks that give the time as a duration since their creation.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
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

/// Measures the time since an origin, also while the machine is suspended: a monotonic clock stops then,
/// while leases go on to expire.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    clock: Clock,
    booted: Duration,
}

impl BootClock {
    /// Returns a clock whose origin is the current time.
    #[must_use]
    pub fn start() -> Self {
        Self {
            clock: Clock::start(),
            booted: since_boot(),
        }
    }

    /// Returns the time since the origin: that of Tokio's clock or the time since the machine's boot,
    /// whichever advanced more.
    #[must_use]
    pub fn now(&self) -> Duration {
        let booted = since_boot().saturating_sub(self.booted);
        self.clock.now().max(booted)
    }
}

/// Returns the time since the machine's boot, suspension included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::try_from(time).unwrap_or_default()
}

/// Returns what the machine's wall clock shows, in Unix milliseconds.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
