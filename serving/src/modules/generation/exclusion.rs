//! Backend servers that a generation avoids because it lost attempts on them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::backend::Server;

/// How long a server is excluded after the first loss, even if no other server is available.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest time for which a server is excluded even if no other server is available.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How long a server is avoided after a loss while others are available.
const AVOID_PERIOD: Duration = Duration::from_secs(30);

/// The last loss on a server.
#[derive(Clone, Copy, Debug)]
struct Loss {
    at: Duration,
    backoff: Duration,
}

/// The servers on which a generation lost attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Exclusion {
    losses: HashMap<Arc<str>, Loss>,
}

impl Exclusion {
    /// Records the loss of an attempt on a server at `now`; the backoff doubles with each one.
    pub(super) fn record_loss(&mut self, server: &Server, now: Duration) {
        let earlier = self.losses.get(&server.name);
        let backoff = earlier.map_or(INITIAL_BACKOFF, |loss| (loss.backoff * 2).min(MAX_BACKOFF));
        let loss = Loss { at: now, backoff };
        self.losses.insert(Arc::clone(&server.name), loss);
    }

    /// Returns the servers to avoid while others are available.
    pub(super) fn avoided(&self, now: Duration) -> Vec<Arc<str>> {
        self.losses_within(now, |_| AVOID_PERIOD)
    }

    /// Returns the servers that must not be used even if no other is available.
    pub(super) fn excluded(&self, now: Duration) -> Vec<Arc<str>> {
        self.losses_within(now, |loss| loss.backoff)
    }

    fn losses_within(&self, now: Duration, period: fn(&Loss) -> Duration) -> Vec<Arc<str>> {
        self.losses
            .iter()
            .filter(|(_, loss)| now < loss.at + period(loss))
            .map(|(name, _)| Arc::clone(name))
            .collect()
    }
}
