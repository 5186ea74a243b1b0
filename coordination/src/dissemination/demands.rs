//! What callers ask for at the entries, of services whose capacity is nearly used up.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::room;
use crate::room::shares::{condense, sum, without};

/// What is asked for, by service.
pub type AccountDemand = Vec<(Arc<str>, Vec<room::Demand>)>;

/// Most services whose demand a message carries: those with the highest.
pub const SERVICES: usize = 4;

/// Most keys of a service that are taken from a message: the named ones, and a sum for each priority.
pub const KEYS: usize = room::shares::NAMED + 10;

/// Time after which what a silent entry or hub said no longer counts. They send every 400 ms while there is
/// something to say, and the share of an entry that dies is to be free within 2 s.
const FRESH: Duration = Duration::from_secs(1);

/// What one entry knows of the demand at all.
#[derive(Clone, Debug, Default)]
pub(super) struct Demands {
    /// As this entry reported last.
    own: HashMap<Arc<str>, Vec<room::Demand>>,
    /// By entry of this failure domain, for a hub.
    members: HashMap<Arc<str>, (AccountDemand, Duration)>,
    /// By other failure domain, for a hub.
    domains: BTreeMap<Arc<str>, (AccountDemand, Duration)>,
    /// Of all entries, from a hub.
    total: Option<(AccountDemand, Duration)>,
}

impl Demands {
    /// Records this entry's own report.
    pub(super) fn set_reported(&mut self, demand: &AccountDemand) {
        self.own = demand.iter().cloned().collect();
    }

    /// Records the report of an entry of this failure domain.
    pub(super) fn record_member(&mut self, entry: &Arc<str>, demand: AccountDemand, now: Duration) {
        if demand.is_empty() {
            self.members.remove(entry);
        } else {
            self.members.insert(Arc::clone(entry), (demand, now));
        }
    }

    /// Records what a hub of another failure domain said.
    pub(super) fn record_domain(
        &mut self,
        domain: &Arc<str>,
        demand: AccountDemand,
        now: Duration,
    ) {
        self.domains.insert(Arc::clone(domain), (demand, now));
    }

    /// Records what a hub of this failure domain said.
    pub(super) fn record_total(&mut self, demand: AccountDemand, now: Duration) {
        self.total = Some((demand, now));
    }

    /// Returns the demand at the entries of this failure domain.
    pub(super) fn of_domain(&self, now: Duration) -> AccountDemand {
        add(self.members.values().filter(|(_, at)| is_fresh(*at, now)))
    }

    /// Returns the demand at all entries, as a hub knows it.
    pub(super) fn of_all(&self, now: Duration) -> AccountDemand {
        let heard = self.members.values().chain(self.domains.values());
        add(heard.filter(|(_, at)| is_fresh(*at, now)))
    }

    /// Returns the demand for a service at the other entries.
    pub(super) fn of_others(&self, service: &str, hub: bool, now: Duration) -> Vec<room::Demand> {
        let of_service = |demand: &AccountDemand| {
            let found = demand.iter().find(|(name, _)| **name == *service);
            found.map(|(_, demand)| demand.clone()).unwrap_or_default()
        };
        let all = if hub {
            of_service(&self.of_all(now))
        } else {
            let total = self.total.as_ref();
            let total = total.filter(|(_, at)| now.saturating_sub(*at) < 2 * FRESH);
            total
                .map(|(demand, _)| of_service(demand))
                .unwrap_or_default()
        };
        let own = self.own.get(service);
        own.map_or(all.clone(), |own| without(&all, own))
    }

    /// Forgets what is no longer repeated.
    pub(super) fn expire(&mut self, now: Duration) {
        self.members.retain(|_, (_, at)| is_fresh(*at, now));
        self.domains.retain(|_, (_, at)| is_fresh(*at, now));
    }
}

fn is_fresh(at: Duration, now: Duration) -> bool {
    now.saturating_sub(at) < FRESH
}

/// Returns the sum of demands, within the bounds of a message.
fn add<'demand>(
    demands: impl Iterator<Item = &'demand (AccountDemand, Duration)>,
) -> AccountDemand {
    let mut services: BTreeMap<&Arc<str>, Vec<room::Demand>> = BTreeMap::new();
    for (service, demand) in demands.flat_map(|(demand, _)| demand) {
        services.entry(service).or_default().extend(demand);
    }
    let services = services.into_iter();
    let services = services.map(|(service, demand)| (Arc::clone(service), condense(sum(demand))));
    limit(services.collect())
}

/// Returns the demand of the services with the highest.
#[must_use]
pub fn limit(mut demand: AccountDemand) -> AccountDemand {
    let total = |demand: &[room::Demand]| -> u64 {
        demand.iter().map(|demand| u64::from(demand.rate)).sum()
    };
    demand.sort_by_key(|(_, demand)| std::cmp::Reverse(total(demand)));
    demand.truncate(SERVICES);
    demand
}
