//! Pauses that servers ask for: a server that turns a request away may say for how long it wants no
//! other from this entry.
//!
//! A pause belongs to one start of a server. It outlasts changes of the server's registration, and ends
//! with its time or when the server has started again.
//!
//! ```
//! use medlarfall_coordination::server_pause::{Pauses, Start};
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(1);
//! let first = Start { id: "a", started_ms: Some(1_000) };
//! let mut pauses = Pauses::default();
//! pauses.record(first, Duration::from_secs(3), now);
//! assert_eq!(pauses.wait(first, now), Duration::from_secs(3));
//! let second = Start { started_ms: Some(2_000), ..first };
//! assert!(pauses.wait(second, now).is_zero());
//! ```

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest pause after one answer. A server that is busy asks for seconds or a few minutes; one that
/// asked for hours by mistake would be out of use until its restart.
pub const LONGEST_PAUSE: Duration = Duration::from_mins(10);

/// One start of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Start<'id> {
    /// Name of the server.
    pub id: &'id str,
    /// Start time in Unix milliseconds.
    pub started_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    started_ms: Option<u64>,
    until: Duration,
}

/// The pauses of all servers.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    pauses: HashMap<Arc<str>, Pause>,
}

impl Pauses {
    /// Records that a server asked for a pause. Returns whether it was not paused before.
    pub fn record(&mut self, server: Start, pause: Duration, now: Duration) -> bool {
        self.pauses.retain(|_, pause| now < pause.until);
        let asked = Pause {
            started_ms: server.started_ms,
            until: now + pause.min(LONGEST_PAUSE),
        };
        let Some(known) = self.pauses.get_mut(server.id) else {
            self.pauses.insert(Arc::from(server.id), asked);
            return !pause.is_zero();
        };
        match asked.started_ms.cmp(&known.started_ms) {
            Ordering::Less => false,
            Ordering::Equal => {
                known.until = known.until.max(asked.until);
                false
            }
            Ordering::Greater => {
                *known = asked;
                !pause.is_zero()
            }
        }
    }

    /// Returns the time until a server may get a request.
    #[must_use]
    pub fn wait(&self, server: Start, now: Duration) -> Duration {
        match self.pauses.get(server.id) {
            Some(pause) if pause.started_ms == server.started_ms => pause.until.saturating_sub(now),
            _ => Duration::ZERO,
        }
    }
}
