//! This entry's view of the configuration, the servers and the other entries.

use medlarfall_coordination::autoscaling::meter::Meter;
use medlarfall_coordination::canary::{Canary, Order};
use medlarfall_coordination::dissemination::Node;
use medlarfall_coordination::evidence::Cohort;
use medlarfall_coordination::group_outage::Groups;
use medlarfall_coordination::history::Revision;
use medlarfall_coordination::kept_prompts;
use medlarfall_coordination::quarantine::{Fingerprint, Trackers};
use medlarfall_coordination::registry::Registry;
use medlarfall_coordination::retry_budget::{Bounds, Window};
use medlarfall_coordination::routing::Table;
use medlarfall_coordination::server_limit::Returns;
use medlarfall_coordination::server_pause::Pauses;
use medlarfall_coordination::warmup::Warmups;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::demand::Demands;
use super::{Backend, Settings, expected_time};

/// Least number of entries that a reserve of retries is divided by: an entry that has just started
/// may not know the others yet.
const MIN_ENTRIES: u32 = 5;

/// Least reserve of retries of one entry, so that a single loss can always be retried.
const MIN_RESERVE: f64 = 3.0;

/// The view, behind the lock of [`super::Relay`].
#[derive(Debug)]
pub(super) struct View {
    pub(super) table: Option<Arc<Table>>,
    /// When the configuration in force was received.
    pub(super) table_at: Duration,
    /// When the list of servers was last known to be complete.
    pub(super) servers_confirmed_at: Duration,
    pub(super) registry: Registry,
    pub(super) backends: HashMap<Arc<str>, Vec<Arc<Backend>>>,
    pub(super) retry_windows: HashMap<Arc<str>, Window>,
    /// Demand for the services whose servers are scaled.
    pub(super) demand_meters: HashMap<Arc<str>, Meter>,
    /// The demand that is shared, and when it was computed.
    pub(super) shared_demands: Option<(Duration, Demands)>,
    /// Last ordered move of each service.
    pub(super) canaries: HashMap<Arc<str>, Canary>,
    /// Orders that the store has since a restore and that may be older than the known ones, with their
    /// revisions; `None` if it has none.
    pub(super) unsettled_orders: HashMap<Arc<str>, (Option<Order>, Revision)>,
    /// Services whose last move has a recorded end.
    pub(super) recorded_moves: HashSet<Arc<str>>,
    /// Warm-ups of recently started servers.
    pub(super) warmups: Warmups,
    pub(super) groups: Groups<Group>,
    pub(super) pending_searches: Vec<Arc<Backend>>,
    /// Requests that crash servers.
    pub(super) quarantine: Trackers,
    /// Blocked combinations that are recorded in the store, with the revision, by key.
    pub(super) quarantine_records: HashMap<Arc<str>, (Fingerprint, Revision)>,
    /// Records of blocked combinations that were removed from the store: the revision of each, and when it
    /// was removed, by key.
    pub(super) removed_quarantine_records: HashMap<Arc<str>, (Revision, Duration)>,
    /// Combinations whose records the store lost when it was restored.
    pub(super) lost_quarantine_records: HashSet<Fingerprint>,
    /// Pauses that servers asked for.
    pub(super) pauses: Pauses,
    /// When callers that limits or pauses refused return, by service.
    pub(super) returns: HashMap<Arc<str>, Returns>,
    /// Usual values of each service whose servers report their slowness.
    pub(super) usual: HashMap<Arc<str>, expected_time::Service>,
    /// Prompts that servers probably have in their caches.
    pub(super) kept_prompts: kept_prompts::Servers,
    /// What this entry shares with the others, and what it knows of them.
    pub(super) node: Node,
}

/// The servers of a service in one failure domain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Group {
    pub(super) service: Arc<str>,
    pub(super) failure_domain: Arc<str>,
}

impl View {
    /// Returns the view of an entry that knows nothing.
    pub(super) fn new(node: Node) -> Self {
        Self {
            table: None,
            table_at: Duration::ZERO,
            servers_confirmed_at: Duration::ZERO,
            registry: Registry::default(),
            backends: HashMap::new(),
            retry_windows: HashMap::new(),
            demand_meters: HashMap::new(),
            shared_demands: None,
            canaries: HashMap::new(),
            unsettled_orders: HashMap::new(),
            recorded_moves: HashSet::new(),
            warmups: Warmups::default(),
            groups: Groups::default(),
            pending_searches: Vec::new(),
            quarantine: Trackers::default(),
            quarantine_records: HashMap::new(),
            removed_quarantine_records: HashMap::new(),
            lost_quarantine_records: HashSet::new(),
            pauses: Pauses::default(),
            returns: HashMap::new(),
            usual: HashMap::new(),
            kept_prompts: kept_prompts::Servers::default(),
            node,
        }
    }

    /// Returns the retry window of a service.
    pub(super) fn retry_window(&mut self, service: &Arc<str>, bounds: Bounds) -> &mut Window {
        let window = self.retry_windows.entry(Arc::clone(service));
        window.or_insert_with(|| Window::new(bounds))
    }

    /// Returns the requests of this entry and of all for a service, over the window of its retries.
    pub(super) fn requests(&mut self, service: &str, now: Duration) -> (u32, u32) {
        let window = self.retry_windows.get_mut(service);
        let own = window.map_or(0, |window| window.usage(now).requests);
        let others = self.node.others(service, now).usage.requests;
        (own, own.saturating_add(others))
    }

    /// Returns this entry's part of a reserve of retries.
    pub(super) fn reserve(&self, bounds: Bounds) -> f64 {
        let entries = self.node.entries().max(MIN_ENTRIES);
        let part = bounds.reserve / f64::from(entries);
        part.max(MIN_RESERVE)
    }

    /// Returns the version that a service moves to, if it moves.
    pub(super) fn target_version(&self, service: &str) -> Option<&str> {
        let canary = self.canaries.get(service)?;
        Some(&canary.order().version)
    }

    /// Returns the cohort that may serve a request of a service now that was assigned one when it arrived.
    pub(super) fn current_cohort(
        &self,
        service: &str,
        assigned: Option<Cohort>,
        now: Duration,
    ) -> Option<Cohort> {
        let canary = self.canaries.get(service);
        canary.map_or(assigned, |canary| canary.reassign(assigned, now))
    }

    /// Updates the backends from the registration of one server.
    pub(super) fn update_backends(&mut self, settings: &Settings, id: &Arc<str>) {
        let known = self.registry.get(id).filter(|server| !server.leaving);
        for backends in self.backends.values_mut() {
            backends.retain(|backend| {
                backend.server.id != *id || known.is_some_and(|known| *known == backend.server)
            });
        }
        let Some(server) = known else {
            return;
        };
        let table = self.table.as_ref();
        let service = table.and_then(|table| table.service(&server.service));
        let max_connections = service.and_then(|service| service.max_connections);
        let backends = self
            .backends
            .entry(Arc::clone(&server.service))
            .or_default();
        if backends.iter().all(|backend| backend.server.id != *id) {
            let backend = Backend::new(Arc::clone(server), settings);
            backend.set_max_connections(max_connections);
            self.kept_prompts.forget(backend.tag());
            backends.push(Arc::new(backend));
        }
    }

    /// Updates the backends from the registrations of some servers.
    pub(super) fn update_servers(&mut self, settings: &Settings, ids: &[Arc<str>]) {
        for id in ids {
            self.update_backends(settings, id);
        }
    }

    /// Applies the configured limits on connections to the backends.
    pub(super) fn limit_connections(&self) {
        for (service, backends) in &self.backends {
            let service = self.table.as_ref().and_then(|table| table.service(service));
            let limit = service.and_then(|service| service.max_connections);
            for backend in backends {
                backend.set_max_connections(limit);
            }
        }
    }

    /// Drops the backends that are no longer in use.
    fn remove_unlisted(&mut self) {
        let registry = &self.registry;
        for backends in self.backends.values_mut() {
            backends.retain(|backend| registry.get(&backend.server.id).is_some());
        }
    }

    /// Updates the backends from all registrations.
    pub(super) fn update_all_backends(&mut self, settings: &Settings) {
        self.remove_unlisted();
        let ids: Vec<Arc<str>> = self
            .registry
            .iter()
            .map(|server| Arc::clone(&server.id))
            .collect();
        for id in &ids {
            self.update_backends(settings, id);
        }
    }
}
