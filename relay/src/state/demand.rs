//! Demand for the services whose servers are scaled, and what is known of their servers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::autoscaling::{Demand, Domain, Observation, Servers};
use medlarfall_coordination::routing::Autoscaling;

use crate::codec::Codec;

use super::view::View;
use super::{Backend, Relay};

/// Age up to which a computed demand is shared: messages are polled up to a hundred times a second, and
/// carry the demand once a second.
const MAX_AGE: Duration = Duration::from_millis(250);

/// Demand by service.
pub(super) type Demands = Vec<(Arc<str>, Demand)>;

impl<C: Codec> Relay<C> {
    /// Returns whether servers are scaled in this deployment.
    #[must_use]
    pub fn scales(&self) -> bool {
        let duties = self.settings.duties;
        duties.is_some_and(|duties| duties.autoscaling)
    }

    /// Counts a request of a caller for a service, if its servers are scaled.
    pub fn count_demand(&self, service: &Arc<str>, prompt_tokens: u64) {
        if !self.scales() {
            return;
        }
        let now = self.clock.now();
        self.view(|view| {
            if view.limits(service).is_some() {
                let meter = view.demand_meters.entry(Arc::clone(service)).or_default();
                meter.record_request(prompt_tokens, now);
            }
        });
    }

    /// Returns whether the time of a prompt at a server is measured: no stream there waits for its first
    /// event, as far as is known, and the server does not warm up.
    #[must_use]
    pub fn measures_prefill(&self, backend: &Backend) -> bool {
        if !self.scales() {
            return false;
        }
        let now = self.clock.now();
        let own = backend.load(|load| load.streams());
        self.view(|view| {
            let peers = view.node.streams_at(backend.tag(), now);
            let warming_up = view.warmups.lasts(&backend.server.id, now);
            own.prefilling + peers.prefilling == 0 && !warming_up
        })
    }

    /// Records the time to the first event of a prompt that was sent to an idle server.
    pub fn record_prefill(&self, backend: &Backend, prompt_tokens: u64, took: Duration) {
        let service = &backend.server.service;
        self.view(|view| {
            if let Some(meter) = view.demand_meters.get_mut(service) {
                meter.record_prefill(prompt_tokens, took);
            }
        });
    }

    /// Returns what is known of each service whose servers are scaled, with the limits.
    #[must_use]
    pub fn observe_scaled(&self) -> BTreeMap<Arc<str>, (Autoscaling, Observation)> {
        let now = self.clock.now();
        self.view(|view| {
            let services = view.scaled_services();
            let observed = services.into_iter().map(|(service, limits)| {
                let observation = view.observe(&service, now);
                (service, (limits, observation))
            });
            observed.collect()
        })
    }
}

impl View {
    fn limits(&self, service: &str) -> Option<Autoscaling> {
        self.table.as_ref()?.service(service)?.autoscaling
    }

    fn scaled_services(&self) -> Vec<(Arc<str>, Autoscaling)> {
        let names = self.table.iter().flat_map(|table| table.services());
        let scaled = names.filter_map(|name| Some((Arc::clone(name), self.limits(name)?)));
        scaled.collect()
    }

    /// Returns this entry's demand for each service whose servers are scaled.
    pub(super) fn own_demands(&mut self, now: Duration) -> Demands {
        match &self.shared_demands {
            Some((at, demands)) if now.saturating_sub(*at) < MAX_AGE => demands.clone(),
            _ => {
                let demands = self.measure_demands(now);
                self.shared_demands = Some((now, demands.clone()));
                demands
            }
        }
    }

    fn measure_demands(&mut self, now: Duration) -> Demands {
        let services = self.scaled_services();
        self.demand_meters
            .retain(|name, _| services.iter().any(|(service, _)| service == name));
        let demand = |(service, _): (Arc<str>, Autoscaling)| {
            let meter = self.demand_meters.entry(Arc::clone(&service)).or_default();
            let mut demand = meter.demand(now);
            for backend in self.backends.get(&service).into_iter().flatten() {
                let count = backend.load(|load| load.streams());
                demand.running = demand.running.saturating_add(count.streams);
                demand.waiting = demand.waiting.saturating_add(count.prefilling);
            }
            (service, demand)
        };
        services.into_iter().map(demand).collect()
    }

    fn observe(&self, service: &str, now: Duration) -> Observation {
        let demands = self.node.demands(service, now);
        let mut domains: BTreeMap<Arc<str>, Domain> = demands
            .into_iter()
            .map(|(name, demand)| {
                let servers = Servers::default();
                (name, Domain { demand, servers })
            })
            .collect();
        let registered = self.registry.iter();
        let mut slots = (0_u32, 0_u32);
        for server in registered.filter(|server| *server.service == *service) {
            // A failure domain without entries has no demand.
            let name = Arc::clone(&server.failure_domain);
            let domain = domains.entry(name).or_insert(Domain {
                demand: Some(Demand::default()),
                servers: Servers::default(),
            });
            if server.leaving {
                domain.servers.draining += 1;
                continue;
            }
            domain.servers.ready += 1;
            domain.servers.starting += u32::from(self.warmups.lasts(&server.id, now));
            slots = (slots.0.saturating_add(server.slots), slots.1 + 1);
        }
        for backend in self.backends.get(service).into_iter().flatten() {
            let suspect = backend.load(|load| load.suspect(now));
            let domain = domains.get_mut(&backend.server.failure_domain);
            if let Some(domain) = domain.filter(|_| suspect) {
                domain.servers.suspect += 1;
            }
        }
        let configured = self.table.as_ref().and_then(|table| table.service(service));
        Observation {
            domains,
            slots: slots.0.checked_div(slots.1).unwrap_or(0),
            memory_tokens: configured.map_or(0, |service| service.memory_tokens),
            backups: configured.is_some_and(|service| service.backups),
            rollout: self.rolls_out(service),
        }
    }

    /// Returns whether a service moves to another version and the end of the move is not recorded.
    fn rolls_out(&self, service: &str) -> bool {
        self.canaries.contains_key(service) && !self.recorded_moves.contains(service)
    }
}
