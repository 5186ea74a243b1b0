//! Ejection of backend servers that fail repeatedly (outlier detection), bounded so that a fault
//! that all servers share does not empty the pool.
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

/// Consecutive failures after which a server is ejected.
const CONSECUTIVE_FAILURES: u32 = 3;

/// Shortest time for which a server is ejected.
const MIN_EJECTION: Duration = Duration::from_secs(1);

/// Longest time for which a server is ejected.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Maximum number of times that the ejection time is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// Divisor of the pool size: at most one server in this many is ejected at the same time.
const POOL_DIVISOR: usize = 2;

/// Failure state of one server.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    ejected_until: Duration,
}

/// The ejection state of one pool of servers.
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

    /// Returns whether no server has failed since its last success.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a failure of a server.
    pub fn record_failure(&mut self, server: Arc<str>, now: Duration) {
        let record = self.records.entry(server).or_default();
        record.failures = record.failures.saturating_add(1);
        if record.failures < CONSECUTIVE_FAILURES {
            return;
        }
        let doublings = (record.failures - CONSECUTIVE_FAILURES).min(MAX_DOUBLINGS);
        record.ejected_until = now + (MIN_EJECTION * 2_u32.pow(doublings)).min(MAX_EJECTION);
    }

    /// Records a success of a server, which ends its ejection.
    pub fn record_success(&mut self, server: &str) {
        self.records.remove(server);
    }

    /// Returns whether a server of a pool of `pool` servers is ejected at `now`.
    #[must_use]
    pub fn ejected(&self, server: &str, pool: usize, now: Duration) -> bool {
        let Some(record) = self
            .records
            .get(server)
            .filter(|record| record.ejected_until > now)
        else {
            return false;
        };
        let rank = |name: &str, record: &Record| (record.ejected_until, name.to_owned());
        let own = rank(server, record);
        let ahead = self
            .records
            .iter()
            .filter(|(name, other)| other.ejected_until > now && rank(name, other) > own);
        ahead.count() < pool / POOL_DIVISOR
    }
}
