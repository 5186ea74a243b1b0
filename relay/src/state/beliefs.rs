//! What this entry believes of configuration, servers and other entries.

use medlarfall_coordination::canary::Canary;
use medlarfall_coordination::group_outage::Groups;
use medlarfall_coordination::reader_election::Election;
use medlarfall_coordination::registry::Registry;
use medlarfall_coordination::retry_budget::{Bounds, Others, Window};
use medlarfall_coordination::routing::Table;
use medlarfall_coordination::shared_load;
use medlarfall_coordination::updates::Updates;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::exchange::Found;

use super::{Backend, Settings};

/// Entries among which a reserve of repeats is divided at least: one that has just started may not
/// know the others yet.
const FEWEST_ENTRIES: u32 = 5;

/// Least reserve of repeats of one entry, so that one loss is always made good.
const LEAST_RESERVE: f64 = 3.0;

/// What is believed of configuration and servers.
#[derive(Debug, Default)]
pub(super) struct Beliefs {
    pub(super) table: Option<Arc<Table>>,
    /// When the configuration in force was learnt.
    pub(super) table_at: Duration,
    /// When the list of servers was last known to be whole.
    pub(super) servers_at: Duration,
    pub(super) roster: Registry,
    pub(super) backends: HashMap<Arc<str>, Vec<Arc<Backend>>>,
    pub(super) retries: HashMap<Arc<str>, Window>,
    /// What the other entries repeated, by service.
    pub(super) others_retries: HashMap<Arc<str>, Others>,
    /// Whether this entry repeated something that it has not told.
    pub(super) retries_untold: bool,
    /// The last move of each service that was ordered.
    pub(super) canaries: HashMap<Arc<str>, Canary>,
    /// Services whose last move has an end in the store.
    pub(super) recorded: HashSet<Arc<str>>,
    /// Until when servers that started lately are slow.
    pub(super) cold: HashMap<Arc<str>, Duration>,
    pub(super) groups: Groups<Group>,
    pub(super) peers: HashMap<Arc<str>, Peer>,
    pub(super) readers: Option<Election>,
    pub(super) shared: shared_load::Table,
    pub(super) to_search: Vec<Arc<Backend>>,
    /// Servers that were found in place of others while the store is away.
    pub(super) found: Updates<Found>,
    /// Servers that this entry could not reach lately.
    pub(super) lost: Updates<Arc<str>>,
}

/// Another entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Peer {
    /// Where it takes messages.
    pub(super) address: SocketAddr,
    /// Failure domain that it runs in, once it has told.
    pub(super) failure_domain: Option<Arc<str>>,
    /// Speed of its machine's link, in Mbit/s; nothing until it has told.
    pub(super) link_mbps: Option<u32>,
}

/// The servers of a service in one failure domain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Group {
    pub(super) service: Arc<str>,
    pub(super) failure_domain: Arc<str>,
}

impl Beliefs {
    /// Returns the repeats of a service.
    pub(super) fn repeats(&mut self, service: &Arc<str>, bounds: Bounds) -> &mut Window {
        let window = self.retries.entry(Arc::clone(service));
        window.or_insert_with(|| Window::new(bounds))
    }

    /// Returns this entry's part of a reserve of repeats.
    pub(super) fn reserve(&self, bounds: Bounds) -> f64 {
        let entries = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let part = bounds.reserve / f64::from(entries.max(FEWEST_ENTRIES));
        part.max(LEAST_RESERVE)
    }

    /// Brings the backends in line with what the roster says of one server.
    pub(super) fn refresh(&mut self, settings: &Settings, id: &Arc<str>) {
        let known = self.roster.get(id).filter(|server| !server.leaving);
        for backends in self.backends.values_mut() {
            backends.retain(|backend| {
                backend.server.id != *id || known.is_some_and(|known| *known == backend.server)
            });
        }
        let Some(server) = known else {
            return;
        };
        let backends = self
            .backends
            .entry(Arc::clone(&server.service))
            .or_default();
        if backends.iter().all(|backend| backend.server.id != *id) {
            backends.push(Arc::new(Backend::new(Arc::clone(server), settings)));
        }
    }

    /// Drops the backends that the roster no longer lists.
    pub(super) fn forget_unlisted(&mut self) {
        let roster = &self.roster;
        for backends in self.backends.values_mut() {
            backends.retain(|backend| roster.get(&backend.server.id).is_some());
        }
    }

    /// Brings the backends in line with the whole roster.
    pub(super) fn refresh_all(&mut self, settings: &Settings) {
        self.forget_unlisted();
        let ids: Vec<Arc<str>> = self
            .roster
            .iter()
            .map(|server| Arc::clone(&server.id))
            .collect();
        for id in &ids {
            self.refresh(settings, id);
        }
    }
}
