//! Servers whose registration was removed, and registrations that come back with a store that was restored
//! from a copy.

use std::sync::Arc;
use std::time::Duration;

use crate::history::Revision;

use super::{Age, Effect, Record, Registry, Server};

/// Time after [`LAPSE_GRACE`](super::LAPSE_GRACE) by which a restored store has removed the registrations of
/// silent servers again, as the platform does after three heartbeat intervals.
pub const COPY_GRACE: Duration = Duration::from_secs(8);

/// The last registration of a server that was removed.
#[derive(Clone, Debug, Default)]
pub(super) struct Removed {
    pub(super) revision: Revision,
    pub(super) age: Age,
    /// Whether the server was leaving.
    pub(super) leaving: bool,
    pub(super) at: Duration,
    /// The registration that a restored store still has. A server that is silent or gone is removed again;
    /// one that is alive need not write it again.
    pub(super) listed: Option<Record>,
}

impl Registry {
    /// Returns whether a registration is older than what was known of the server before the store was
    /// restored from a copy. A server that was known to be leaving or gone would be used again.
    pub(super) fn is_from_copy(
        &mut self,
        server: &Server,
        sequence: u64,
        revision: Revision,
    ) -> bool {
        let age = (server.started_ms, sequence);
        if let Some(removed) = self.removed.get_mut(&server.id) {
            let from_copy = removed.revision.is_of_earlier_era(revision) && age <= removed.age;
            if from_copy && !removed.leaving && !server.leaving {
                removed.listed = Some(Record {
                    server: Arc::new(server.clone()),
                    sequence,
                    revision,
                    claim: revision,
                    found: false,
                    lapsed: false,
                });
            }
            return from_copy;
        }
        match self.records.get_mut(&server.id) {
            Some(known) if known.revision.is_of_earlier_era(revision) && age < known.age() => {
                known.revision = revision;
                known.lapsed = false;
                true
            }
            _ => false,
        }
    }

    /// Registers the removed servers that a restored store has had registered for so long that they are
    /// alive, and returns their names.
    pub fn accept_listed(&mut self, now: Duration) -> Vec<Arc<str>> {
        if !self.settled(now.saturating_sub(COPY_GRACE)) {
            return Vec::new();
        }
        let listed = self.removed.values_mut();
        let listed: Vec<Record> = listed.filter_map(|removed| removed.listed.take()).collect();
        let mut accepted = Vec::new();
        for record in listed {
            let id = Arc::clone(&record.server.id);
            self.removed.remove(&id);
            let server = Arc::unwrap_or_clone(record.server);
            let effect = self.register(server, record.sequence, record.revision);
            if effect == Effect::Joined {
                accepted.push(id);
            }
        }
        accepted
    }
}
