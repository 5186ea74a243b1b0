//! The backend servers that are known, from a list that lags and whose keeper has outages.
//!
//! A server that announced that it leaves, or whose entry was removed while the keeper was in
//! order, gets nothing new. An entry that lapsed during an outage says nothing of its server: it
//! is kept until [`LAPSE_GRACE`] after the keeper's return, by which time a live server is back.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after the keeper's return in which live servers announce themselves again. Source: the
/// users' letter on the platform, two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// A backend server as it announces itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Unique name.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// When it started, in Unix milliseconds; tells apart two starts under one name.
    pub started_ms: Option<u64>,
}

/// What the keeper said last of one server.
#[derive(Clone, Debug)]
struct Record {
    server: Arc<Server>,
    revision: u64,
    lapsed: bool,
}

/// The servers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    records: HashMap<Arc<str>, Record>,
    removed: HashMap<Arc<str>, u64>,
    away: bool,
    trusted_from: Duration,
}

/// What a change did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Nothing: the change is older than what is known.
    Stale,
    /// The server is new, or has started again.
    Joined,
    /// Something else about the server changed.
    Changed,
    /// The server is leaving.
    Leaving,
    /// The server has gone.
    Gone,
    /// The entry lapsed during an outage; the server is kept for now.
    Lapsed,
}

impl Registry {
    /// Returns an empty roster.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the keeper does not answer.
    pub fn store_lost(&mut self) {
        self.away = true;
    }

    /// Notes that the keeper answers.
    pub fn store_responded(&mut self, now: Duration) {
        if self.away {
            self.away = false;
            self.trusted_from = now + LAPSE_GRACE;
        }
    }

    /// Takes in what a server announced at a revision of the keeper.
    pub fn register(&mut self, server: Server, revision: u64) -> Effect {
        let known = self.records.get(&server.id);
        let seen = known.map_or(0, |record| record.revision);
        let removed = self.removed.get(&server.id).copied().unwrap_or(0);
        let told = known.is_some_and(|record| !record.lapsed);
        if revision <= removed || revision < seen || (revision == seen && told) {
            return Effect::Stale;
        }
        if self.superseded(&server, revision) {
            return Effect::Stale;
        }
        let again = known.is_none_or(|record| record.server.started_ms != server.started_ms);
        let effect = match server.leaving {
            true => Effect::Leaving,
            false if again => Effect::Joined,
            false => Effect::Changed,
        };
        self.removed.remove(&server.id);
        self.records
            .retain(|id, other| *id == server.id || other.server.address != server.address);
        let record = Record {
            revision,
            lapsed: false,
            server: Arc::new(server),
        };
        self.records.insert(Arc::clone(&record.server.id), record);
        effect
    }

    /// Returns whether another server has started at the address of `server` since it started.
    fn superseded(&self, server: &Server, revision: u64) -> bool {
        self.records.iter().any(|(id, other)| {
            let later = match (other.server.started_ms, server.started_ms) {
                (Some(other), Some(own)) => other > own,
                _ => other.revision > revision,
            };
            *id != server.id && other.server.address == server.address && later
        })
    }

    /// Takes in a server that was found at the address of one that is known, while the keeper does
    /// not answer. It is dropped unless it announces itself soon after the keeper's return.
    pub fn adopt(&mut self, server: Server) -> Effect {
        if self.records.contains_key(&server.id) || self.removed.contains_key(&server.id) {
            return Effect::Stale;
        }
        self.records
            .retain(|_, record| record.server.address != server.address);
        let record = Record {
            revision: 0,
            lapsed: true,
            server: Arc::new(server),
        };
        self.records.insert(Arc::clone(&record.server.id), record);
        Effect::Joined
    }

    /// Returns whether the keeper answers.
    #[must_use]
    pub fn store_available(&self) -> bool {
        !self.away
    }

    /// Takes in that an entry was removed, or holds nothing that names a server.
    pub fn remove(&mut self, id: &str, revision: u64, now: Duration) -> Effect {
        let trusted = !self.away && now >= self.trusted_from;
        let Some(record) = self.records.get_mut(id) else {
            let removed = self.removed.entry(Arc::from(id)).or_default();
            *removed = revision.max(*removed);
            return Effect::Stale;
        };
        if revision < record.revision {
            return Effect::Stale;
        }
        if !trusted && !record.server.leaving {
            record.lapsed = true;
            return Effect::Lapsed;
        }
        self.records.remove(id);
        self.removed.insert(Arc::from(id), revision);
        Effect::Gone
    }

    /// Takes in that a complete list read at `revision` named only the servers of `listed`.
    pub fn retain(&mut self, listed: &HashSet<Arc<str>>, revision: u64, now: Duration) {
        let missing: Vec<Arc<str>> = self
            .records
            .iter()
            .filter(|(id, record)| !listed.contains(*id) && record.revision <= revision)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in missing {
            self.remove(&id, revision, now);
        }
        self.removed.retain(|_, removed| *removed > revision);
    }

    /// Removes the servers whose lapsed entries did not come back in time, and returns their names.
    pub fn expire(&mut self, now: Duration) -> Vec<Arc<str>> {
        if self.away || now < self.trusted_from {
            return Vec::new();
        }
        let expired: Vec<Arc<str>> = self
            .records
            .iter()
            .filter(|(_, record)| record.lapsed)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &expired {
            self.records.remove(id);
        }
        expired
    }

    /// Returns a server.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Server>> {
        self.records.get(id).map(|record| &record.server)
    }

    /// Returns the servers of a service that take new requests.
    pub fn ready(&self, service: &str) -> impl Iterator<Item = &Arc<Server>> {
        self.records
            .values()
            .map(|record| &record.server)
            .filter(move |server| &*server.service == service && !server.leaving)
    }

    /// Returns every server that is known.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.records.values().map(|record| &record.server)
    }

    /// Returns the number of servers that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
