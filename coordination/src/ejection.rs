//! Ejection of backend servers that fail again and again, bounded so that a fault that all share
//! does not empty the pool.
//!
//! ```
//! use std::time::Duration;
//! use medlarfall_coordination::ejection::Ejector;
//!
//! let mut ejector = Ejector::new();
//! let now = Duration::from_secs(1);
//! for _ in 0..3 {
//!     ejector.record_failure("a".into(), now);
//! }
//! assert!(ejector.ejected("a", 4, now));
//! assert!(!ejector.ejected("a", 4, now + Duration::from_secs(60)));
//! ```

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Failures in a row after which a server is ejected.
const FAILURES: u32 = 3;

/// Shortest time that a server is ejected for.
const SHORTEST: Duration = Duration::from_secs(1);

/// Longest time that a server is ejected for.
const LONGEST: Duration = Duration::from_secs(30);

/// Most doublings of the time.
const DOUBLINGS: u32 = 5;

/// At most one server in this many is ejected at once.
const POOL_PART: usize = 2;

/// What is known of one server.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    until: Duration,
}

/// Decides which servers of one pool are ejected.
#[derive(Clone, Debug, Default)]
pub struct Ejector {
    records: HashMap<Arc<str>, Record>,
}

impl Ejector {
    /// Returns an ejector that has ejected nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no server has failed lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Notes that a server failed.
    pub fn record_failure(&mut self, server: Arc<str>, now: Duration) {
        let record = self.records.entry(server).or_default();
        record.failures = record.failures.saturating_add(1);
        if record.failures < FAILURES {
            return;
        }
        let doublings = (record.failures - FAILURES).min(DOUBLINGS);
        record.until = now + (SHORTEST * 2_u32.pow(doublings)).min(LONGEST);
    }

    /// Notes that a server answered; it is no longer ejected.
    pub fn record_success(&mut self, server: &str) {
        self.records.remove(server);
    }

    /// Returns whether a server of a pool of `pool` servers is ejected at `now`.
    #[must_use]
    pub fn ejected(&self, server: &str, pool: usize, now: Duration) -> bool {
        let Some(record) = self.records.get(server).filter(|record| record.until > now) else {
            return false;
        };
        let rank = |name: &str, record: &Record| (record.until, name.to_owned());
        let own = rank(server, record);
        let ahead = self
            .records
            .iter()
            .filter(|(name, other)| other.until > now && rank(name, other) > own);
        ahead.count() < pool / POOL_PART
    }
}
