//! Detection of groups of servers that are unreachable as a whole.
//!
//! When a failure domain is cut off or loses its power, every request sent to one of its servers
//! costs a timeout. If two servers of a group fail within a short time, and none of the group
//! responds in between, the whole group is ranked behind the others for a while. The next request
//! after that is a trial: a failure renews the suspicion immediately, and a response from any server
//! of the group ends it.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time between the failures of two servers. Probes and connects time out within 300 ms.
const FAILURE_WINDOW: Duration = Duration::from_millis(500);

/// Time for which a group is ranked behind the others. Engines restart within about a second.
const SUSPICION: Duration = Duration::from_secs(1);

/// Failure state of one group.
#[derive(Clone, Debug)]
struct Record {
    server: Arc<str>,
    failed_at: Duration,
    tripped: bool,
    suspect_until: Duration,
}

/// The groups in which a server failed and none has responded since.
#[derive(Clone, Debug)]
pub struct Groups<K> {
    records: HashMap<K, Record>,
}

impl<K> Default for Groups<K> {
    fn default() -> Self {
        Self {
            records: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> Groups<K> {
    /// Records that `server` of `group` could not be reached, and returns whether this made the group
    /// suspect.
    pub fn record_failure(&mut self, group: K, server: &Arc<str>, now: Duration) -> bool {
        let record = self.records.entry(group).or_insert_with(|| Record {
            server: Arc::clone(server),
            failed_at: now,
            tripped: false,
            suspect_until: Duration::ZERO,
        });
        let other_server = record.server != *server;
        let within_window = now.saturating_sub(record.failed_at) <= FAILURE_WINDOW;
        let was_suspect = now < record.suspect_until;
        if record.tripped || (other_server && within_window) {
            record.tripped = true;
            record.suspect_until = now + SUSPICION;
        }
        record.server = Arc::clone(server);
        record.failed_at = now;
        now < record.suspect_until && !was_suspect
    }

    /// Records that a server of `group` responded.
    pub fn record_response(&mut self, group: &K) {
        self.records.remove(group);
    }

    /// Returns whether no group has an unanswered failure.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether `group` is ranked behind the others.
    #[must_use]
    pub fn suspect(&self, group: &K, now: Duration) -> bool {
        self.records
            .get(group)
            .is_some_and(|record| now < record.suspect_until)
    }
}
