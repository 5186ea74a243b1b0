//! What callers ask for at the entries, of services whose capacity is nearly used up.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::room;
use crate::room::shares::{NAMED, condense, sum, without};

/// What is asked for, by service.
pub type AccountDemand = Vec<(Arc<str>, Vec<room::Demand>)>;

/// Most services whose demand a message carries: those with the highest.
pub const SERVICES: usize = 1;

/// Most keys of a service that are taken from a message: the named ones, and a sum for each priority.
pub const KEYS: usize = NAMED + 10;

/// Time between two reports of an entry with demand. At 400 ms, the messages of an entry exceeded 7 KB/s.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(550);

/// Shortest time between two reports that carry demand; other reports are sent at any time.
const INTERVAL: Duration = Duration::from_millis(390);

/// Time after which what a silent entry or hub said no longer counts. It has time for two
/// reports, and with two digests of 400 ms each the share of an entry that dies is free within 2 s.
const FRESH: Duration = Duration::from_millis(1_150);

/// What one entry knows of the demand at all.
#[derive(Clone, Debug, Default)]
pub(super) struct Demands {
    /// When this entry reported its demand last.
    reported_at: Option<Duration>,
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
    /// Returns what this entry's next report says of its demand, once in [`INTERVAL`]: entries send other
    /// reports at any time.
    pub(super) fn report(
        &mut self,
        demand: &AccountDemand,
        now: Duration,
    ) -> Option<AccountDemand> {
        let recently = |at: Duration| now.saturating_sub(at) < INTERVAL;
        if self.reported_at.is_some_and(recently) {
            return None;
        }
        self.reported_at = Some(now);
        self.own = demand.iter().cloned().collect();
        Some(demand.clone())
    }

    /// Records the report of an entry of this failure domain.
    pub(super) fn record_member(&mut self, entry: &Arc<str>, demand: AccountDemand, now: Duration) {
        // Most reports say nothing of it. Demand that has ended is not repeated.
        if !demand.is_empty() {
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
        if !demand.is_empty() {
            self.domains.insert(Arc::clone(domain), (demand, now));
        }
    }

    /// Records what a hub of this failure domain said.
    pub(super) fn record_total(&mut self, demand: AccountDemand, now: Duration) {
        if !demand.is_empty() {
            self.total = Some((demand, now));
        }
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
            let total = total.filter(|(_, at)| is_fresh(*at, now));
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
    let services =
        services.map(|(service, demand)| (Arc::clone(service), condense(sum(demand), NAMED)));
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
