//! This entry's view of the registered backend servers, from a list in the store that lags and is
//! unavailable during outages of the store.
//!
//! Of several registrations at an address, one is in use at most ([`Registry::holder`]).
//!
//! A server that has registered as leaving, that says in an answer that it leaves, or whose
//! registration was removed while the store was available, gets no new requests. A registration that
//! lapsed during an outage does not mean that its server has failed: the server is kept until
//! [`LAPSE_GRACE`] after the store has recovered, by which time a live server has registered again.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::history::Revision;

mod addresses;
mod removed;

use addresses::Addresses;
pub use addresses::Unused;
pub use removed::COPY_GRACE;
use removed::Removed;

/// Time after the recovery of the store within which live servers register again, as the platform
/// specifies.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Time after the recovery of the store by which the grace period ends even if the store is interrupted
/// again and again. An interruption that is longer than [`LAPSE_GRACE`] is an outage of its own.
pub const MAX_GRACE: Duration = Duration::from_secs(6);

/// Time for which the last registration of a removed server is known, and that an unregistered server said
/// that it leaves. A store is restored from copies that are some seconds old.
const REMOVED_TIME: Duration = Duration::from_mins(2);

/// The registration of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Unique name.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is about to stop and accepts no new requests.
    pub leaving: bool,
    /// Start time in Unix milliseconds; distinguishes two starts under the same name.
    pub started_ms: Option<u64>,
}

/// The last known registration of one server.
#[derive(Clone, Debug)]
struct Record {
    server: Arc<Server>,
    sequence: u64,
    revision: Revision,
    /// Revision by which it claims its address; a later one goes first.
    claim: Revision,
    /// Whether it was found at its address, and has not registered.
    found: bool,
    lapsed: bool,
}

/// What a server said of its leaving.
#[derive(Clone, Copy, Debug)]
struct Departure {
    started_ms: Option<u64>,
    at: Duration,
}

impl Departure {
    /// Returns whether it holds for the start of the server at `started_ms`: that start or an earlier one.
    fn applies_to(self, started_ms: Option<u64>) -> bool {
        match (started_ms, self.started_ms) {
            (Some(started_ms), Some(left)) => started_ms <= left,
            _ => true,
        }
    }
}

/// Start time of a server and the number of its registration since, which order a server's registrations
/// across restores of the store.
type Age = (Option<u64>, u64);

impl Record {
    fn age(&self) -> Age {
        (self.server.started_ms, self.sequence)
    }
}

/// The registered servers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    records: HashMap<Arc<str>, Record>,
    addresses: Addresses,
    /// Services that are configured; `None` if that is not known.
    services: Option<HashSet<Arc<str>>>,
    removed: HashMap<Arc<str>, Removed>,
    departures: HashMap<Arc<str>, Departure>,
    store_down: bool,
    lost_at: Duration,
    /// Latest end of the current grace period.
    settled_by: Duration,
    settled_from: Duration,
    /// Whether servers may have lapsed that were not removed since.
    expiry_due: bool,
}

/// The effect of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// None: the change is older than the known state.
    Stale,
    /// The server is new, or has restarted.
    Joined,
    /// Another property of the server changed.
    Changed,
    /// The registration is not in use: its service is not configured, or another server holds its address.
    Unused,
    /// The server is leaving.
    Leaving,
    /// The server has gone.
    Gone,
    /// The registration lapsed during an outage; the server is kept for now.
    Lapsed,
}

impl Registry {
    /// Returns an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the store does not respond.
    pub fn store_lost(&mut self, now: Duration) {
        if !self.store_down {
            self.store_down = true;
            self.lost_at = now;
        }
    }

    /// Records that the store responds.
    pub fn store_responded(&mut self, now: Duration) {
        if !self.store_down {
            return;
        }
        self.store_down = false;
        let interrupted = self.lost_at < self.settled_from;
        if interrupted && now.saturating_sub(self.lost_at) < LAPSE_GRACE {
            let ends = (now + LAPSE_GRACE).min(self.settled_by);
            self.settled_from = self.settled_from.max(ends);
        } else {
            self.begin_grace(now);
        }
    }

    /// Records that the store was restored from a copy, which may lack registrations of live servers.
    pub fn store_restored(&mut self, now: Duration) {
        self.begin_grace(now);
    }

    fn begin_grace(&mut self, now: Duration) {
        self.settled_from = now + LAPSE_GRACE;
        self.settled_by = now + MAX_GRACE;
        self.expiry_due = true;
    }

    /// Applies a server's registration at a revision of the store; `sequence` increases with each
    /// registration of the server since its start.
    pub fn register(&mut self, mut server: Server, sequence: u64, revision: Revision) -> Effect {
        server.leaving |= self.said_to_leave(&server.id, server.started_ms);
        if self.is_from_copy(&server, sequence, revision) {
            return Effect::Stale;
        }
        let known = self.records.get(&server.id);
        let known_revision = known.map_or_else(Revision::default, |record| record.revision);
        let removed = self.removed.get(&server.id);
        let removed = removed.map_or_else(Revision::default, |removed| removed.revision);
        let current = known.is_some_and(|record| !record.lapsed);
        if revision <= removed
            || revision < known_revision
            || (revision == known_revision && current)
        {
            return Effect::Stale;
        }
        let restarted = known.is_none_or(|record| record.server.started_ms != server.started_ms);
        // A restored store gives its registrations other revisions: these are no new claims.
        let restored = known.filter(|known| {
            let same = known.age() == (server.started_ms, sequence);
            same && known.server.address == server.address
                && known.revision.is_of_earlier_era(revision)
        });
        let claim = restored.map_or(revision, |known| known.claim);
        let leaving = server.leaving;
        self.removed.remove(&server.id);
        let id = Arc::clone(&server.id);
        self.insert(Record {
            sequence,
            revision,
            claim,
            found: false,
            lapsed: false,
            server: Arc::new(server),
        });
        match leaving {
            _ if self.get(&id).is_none() => Effect::Unused,
            true => Effect::Leaving,
            false if restarted => Effect::Joined,
            false => Effect::Changed,
        }
    }

    /// Records that a server that started at `started_ms` said itself that it leaves. Whatever the store has
    /// of this start, the server is not ready again.
    pub fn record_departure(
        &mut self,
        id: &Arc<str>,
        started_ms: Option<u64>,
        now: Duration,
    ) -> Effect {
        let known = self.departures.get(id);
        let known = known.and_then(|departure| departure.started_ms);
        let departure = Departure {
            started_ms: started_ms.max(known),
            at: now,
        };
        self.departures.insert(Arc::clone(id), departure);
        match self.records.get_mut(id) {
            Some(record)
                if !record.server.leaving && departure.applies_to(record.server.started_ms) =>
            {
                Arc::make_mut(&mut record.server).leaving = true;
                Effect::Leaving
            }
            _ => Effect::Stale,
        }
    }

    /// Returns whether a server that started at `started_ms` said that it leaves.
    fn said_to_leave(&self, id: &str, started_ms: Option<u64>) -> bool {
        let departure = self.departures.get(id);
        departure.is_some_and(|departure| departure.applies_to(started_ms))
    }

    /// Adds a server that was discovered at the address of a known one while the store does not
    /// respond. It is removed unless it registers within the grace period after the store's recovery.
    pub fn adopt(&mut self, server: Server) -> Effect {
        let known = self.records.contains_key(&server.id) || self.removed.contains_key(&server.id);
        if known || self.said_to_leave(&server.id, server.started_ms) {
            return Effect::Stale;
        }
        let record = Record {
            sequence: 0,
            revision: Revision::default(),
            claim: self.latest_claim(server.address),
            found: true,
            lapsed: true,
            server: Arc::new(server),
        };
        // Another server answers there: those that are registered there have ended, unless they register again.
        for id in self.neighbours_at(record.server.address) {
            if let Some(ended) = self.records.get_mut(&id) {
                ended.lapsed = true;
            }
        }
        let joins = self.is_configured(&record.server.service);
        self.insert(record);
        if joins {
            Effect::Joined
        } else {
            Effect::Unused
        }
    }

    /// Returns whether the store responds.
    #[must_use]
    pub fn store_available(&self) -> bool {
        !self.store_down
    }

    /// Returns whether the store responds and those that write to it have had time to write again what it
    /// lost.
    #[must_use]
    pub fn settled(&self, now: Duration) -> bool {
        !self.store_down && now >= self.settled_from
    }

    /// Applies the removal of a registration, or its replacement by content that is not a
    /// registration.
    pub fn remove(&mut self, id: &str, revision: Revision, now: Duration) -> Effect {
        let settled = self.settled(now);
        let Some(record) = self.records.get_mut(id) else {
            let removed = self.removed.entry(Arc::from(id)).or_default();
            removed.revision = revision.max(removed.revision);
            removed.at = now;
            removed.listed = None;
            return Effect::Stale;
        };
        if revision < record.revision {
            return Effect::Stale;
        }
        if !settled && !record.server.leaving {
            record.lapsed = true;
            return Effect::Lapsed;
        }
        let removed = Removed {
            revision,
            age: record.age(),
            leaving: record.server.leaving,
            at: now,
            listed: None,
        };
        let used = self.get(id).is_some();
        self.take(id);
        self.removed.insert(Arc::from(id), removed);
        if used { Effect::Gone } else { Effect::Unused }
    }

    /// Applies a complete list, read at `revision`, that contains only the servers of `listed`.
    pub fn retain(&mut self, listed: &HashSet<Arc<str>>, revision: Revision, now: Duration) {
        let missing: Vec<Arc<str>> = self
            .records
            .iter()
            .filter(|(id, record)| !listed.contains(*id) && record.revision <= revision)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in missing {
            self.remove(&id, revision, now);
        }
        for (id, removed) in &mut self.removed {
            removed
                .listed
                .take_if(|record| !listed.contains(id) && record.revision <= revision);
        }
    }

    /// Removes the servers that have not registered again within the grace period, and returns their
    /// names.
    pub fn expire(&mut self, now: Duration) -> Vec<Arc<str>> {
        self.removed.retain(|_, removed| {
            removed.listed.is_some() || now.saturating_sub(removed.at) < REMOVED_TIME
        });
        let records = &self.records;
        self.departures.retain(|id, departure| {
            records.contains_key(id) || now.saturating_sub(departure.at) < REMOVED_TIME
        });
        if !self.settled(now) {
            return Vec::new();
        }
        self.expiry_due = false;
        let expired: Vec<Arc<str>> = self
            .records
            .iter()
            .filter(|(_, record)| record.lapsed)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &expired {
            self.take(id);
        }
        expired
    }

    /// Returns when [`expire`](Self::expire) is due next: at the end of the grace period. While the store does
    /// not respond, that is not known.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        (self.expiry_due && !self.store_down).then_some(self.settled_from)
    }

    /// Returns the registration of a server that is in use: its service is configured, and it holds its
    /// address.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Server>> {
        let record = self.records.get(id).filter(|record| self.holds(record));
        record.map(|record| &record.server)
    }

    /// Returns the servers of a service that accept new requests.
    pub fn ready(&self, service: &str) -> impl Iterator<Item = &Arc<Server>> {
        self.iter()
            .filter(move |server| &*server.service == service && !server.leaving)
    }

    /// Returns all servers in use.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Server>> {
        let used = self.records.values().filter(|record| self.holds(record));
        used.map(|record| &record.server)
    }

    /// Returns the number of registrations, those included that are not in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether nothing is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
