//! Which groups of servers can't be reached as a whole.
//!
//! When a failure domain is cut off or loses its power, every send to one of its servers costs a
//! timeout. So two servers of a group that fail in short order, with no answer of any of the group
//! between, put the whole group behind the others for a while. After that one send tries it: a
//! failure renews the suspicion at once, an answer of any of its servers ends it.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

/// Time within which two servers have to fail. Probes and connects time out within 300 ms.
const SHORT_ORDER: Duration = Duration::from_millis(500);

/// Time that a group is put behind the others. Engines start again within about a second.
const SUSPICION: Duration = Duration::from_secs(1);

/// What is known of one group.
#[derive(Clone, Debug)]
struct Record {
    server: Arc<str>,
    failed_at: Duration,
    tripped: bool,
    until: Duration,
}

/// The groups in which a server failed and none has answered since.
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
    /// Notes that `server` of `group` could not be reached; returns whether the group has become
    /// suspect by that.
    pub fn record_failure(&mut self, group: K, server: &Arc<str>, now: Duration) -> bool {
        let record = self.records.entry(group).or_insert_with(|| Record {
            server: Arc::clone(server),
            failed_at: now,
            tripped: false,
            until: Duration::ZERO,
        });
        let another = record.server != *server;
        let soon = now.saturating_sub(record.failed_at) <= SHORT_ORDER;
        let was = now < record.until;
        if record.tripped || (another && soon) {
            record.tripped = true;
            record.until = now + SUSPICION;
        }
        record.server = Arc::clone(server);
        record.failed_at = now;
        now < record.until && !was
    }

    /// Notes that a server of `group` answered.
    pub fn record_response(&mut self, group: &K) {
        self.records.remove(group);
    }

    /// Returns whether `group` is put behind the others.
    #[must_use]
    pub fn suspect(&self, group: &K, now: Duration) -> bool {
        self.records
            .get(group)
            .is_some_and(|record| now < record.until)
    }
}
