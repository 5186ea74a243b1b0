//! Which backend servers a generation passes over because it lost attempts there.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::backend::Server;

/// How long a server is passed over after a first loss if no other is left.
const FIRST_BACK_OFF: Duration = Duration::from_millis(250);

/// Longest time that a server is passed over if no other is left.
const LONGEST_BACK_OFF: Duration = Duration::from_secs(4);

/// How long a server is passed over while others are left.
const MEMORY: Duration = Duration::from_secs(30);

/// What was lost on a server.
#[derive(Clone, Copy, Debug)]
struct Loss {
    at: Duration,
    back_off: Duration,
}

/// The servers on which a generation lost attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Exclusion {
    losses: HashMap<Arc<str>, Loss>,
}

impl Exclusion {
    /// Notes a loss at the time `now`.
    pub(super) fn lost(&mut self, server: &Server, now: Duration) {
        let earlier = self.losses.get(&server.name);
        let back_off = earlier.map_or(FIRST_BACK_OFF, |loss| {
            (loss.back_off * 2).min(LONGEST_BACK_OFF)
        });
        let loss = Loss { at: now, back_off };
        self.losses.insert(Arc::clone(&server.name), loss);
    }

    /// Returns the servers to pass over while others are left.
    pub(super) fn avoided(&self, now: Duration) -> Vec<Arc<str>> {
        self.within(now, |_| MEMORY)
    }

    /// Returns the servers to pass over in any case.
    pub(super) fn barred(&self, now: Duration) -> Vec<Arc<str>> {
        self.within(now, |loss| loss.back_off)
    }

    fn within(&self, now: Duration, length: fn(&Loss) -> Duration) -> Vec<Arc<str>> {
        self.losses
            .iter()
            .filter(|(_, loss)| now < loss.at + length(loss))
            .map(|(name, _)| Arc::clone(name))
            .collect()
    }
}
