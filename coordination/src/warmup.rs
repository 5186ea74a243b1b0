//! Warm-up of servers: the time after its start in which a server is slow, as it registers it.
//!
//! A registration tells the time that remained when it was written, and is read later: soon after, or in a
//! list long after, or once more when the store has been restored from a copy. So the warm-up of a start
//! ends at the earliest time that any of its registrations gives.
//!
//! ```
//! use medlarfall_coordination::server_pause::Start;
//! use medlarfall_coordination::warmup::Warmups;
//! use std::time::Duration;
//!
//! let at = Duration::from_secs;
//! let server = Start { id: "a", started_ms: Some(1_000) };
//! let mut warmups = Warmups::default();
//! warmups.record(server, at(3), at(10));
//! assert!(warmups.lasts("a", at(12)));
//! warmups.record(server, at(3), at(20));
//! assert!(!warmups.lasts("a", at(21)));
//! ```

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::server_pause::Start;

/// Time after its end for which a warm-up is remembered. A store is restored from copies that are some
/// seconds old.
const MEMORY: Duration = Duration::from_mins(2);

#[derive(Clone, Copy, Debug)]
struct Warmup {
    started_ms: Option<u64>,
    until: Duration,
}

/// The warm-ups of all servers.
#[derive(Clone, Debug, Default)]
pub struct Warmups {
    warmups: HashMap<Arc<str>, Warmup>,
    /// When those that are over are next forgotten.
    forget_at: Duration,
}

impl Warmups {
    /// Records the time that remains of a server's warm-up by a registration. A start without a time may
    /// be another one than before.
    pub fn record(&mut self, server: Start, remaining: Duration, now: Duration) {
        if now >= self.forget_at {
            self.forget_at = now + MEMORY;
            self.warmups.retain(|_, known| now < known.until + MEMORY);
        }
        let read = Warmup {
            started_ms: server.started_ms,
            until: now + remaining,
        };
        match self.warmups.get_mut(server.id) {
            Some(known) if known.started_ms > read.started_ms => {}
            Some(known) if read.started_ms.is_some() && known.started_ms == read.started_ms => {
                known.until = known.until.min(read.until);
            }
            _ if remaining.is_zero() => {
                self.warmups.remove(server.id);
            }
            _ => {
                self.warmups.insert(Arc::from(server.id), read);
            }
        }
    }

    /// Returns whether a server is warming up.
    #[must_use]
    pub fn lasts(&self, id: &str, now: Duration) -> bool {
        self.warmups.get(id).is_some_and(|known| now < known.until)
    }
}
