//! The orders of one service, from what is observed of it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::routing::Autoscaling;

use super::history::{History, Level};
use super::need::{self, Capacity, Work};
use super::{Demand, Domain, Observation, Servers, WINDOW};

use state::{State, UNKNOWN_LIMIT};

mod state;

/// Time from the first requests until the demand is known: the window of the entries' counts, and the time
/// until all of them are known here. Counts before that are too low, and would look like growth.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time from the first requests with backups until an order may be lowered. The number of requests at servers,
/// and with it the memory that they and their backups need, reaches its level only after the duration of a
/// long generation.
const LEVEL_TIME: Duration = Duration::from_secs(10);

/// Measurements of the time for a prompt from which it is known. A single one may be from an unusual server.
const MIN_MEASURED: u32 = 16;

/// Why an order has its number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The need is greater than the order before.
    Raised,
    /// The need has been lower for a while.
    Lowered,
    /// The order is the same as before.
    Unchanged,
}

impl Reason {
    /// Returns the name of the reason in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Raised => "raised",
            Self::Lowered => "lowered",
            Self::Unchanged => "unchanged",
        }
    }
}

/// The order of one failure domain, with what it follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Order {
    /// Number of servers.
    pub desired: u32,
    /// Why it is this number.
    pub reason: Reason,
    /// Why a lower need does not lower it; empty if nothing prevents that.
    pub held_by: &'static str,
    /// What binds the servers: `prompts`, `memory` or `slots`.
    pub binding: &'static str,
    /// The need, in servers.
    pub need: f64,
    /// Work of all failure domains, in servers.
    pub work: f64,
    /// Factor by which the demand grows until new servers serve.
    pub growth: f64,
    /// Demand of all failure domains.
    pub level: Level,
    /// Time that a server needs for a prompt token, in nanoseconds; 0 if unknown.
    pub prefill_ns: f64,
    /// Servers of the failure domain.
    pub servers: Servers,
    /// Failure domains that are not lost.
    pub domains: u32,
}

/// The state of one service, as one entry observes it.
#[derive(Clone, Debug)]
pub struct Fleet {
    limits: Autoscaling,
    began_at: Option<Duration>,
    /// When requests were first known, and last.
    active: Option<(Duration, Duration)>,
    complete: bool,
    capacity: Capacity,
    rollout: bool,
    history: History,
    states: BTreeMap<Arc<str>, State>,
}

impl Fleet {
    /// Returns the state of a service of which nothing is known.
    #[must_use]
    pub fn new(limits: Autoscaling) -> Self {
        Self {
            limits,
            began_at: None,
            active: None,
            complete: false,
            capacity: Capacity::default(),
            rollout: false,
            history: History::default(),
            states: BTreeMap::new(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Autoscaling) {
        self.limits = limits;
    }

    /// Applies what is known now.
    pub fn observe(&mut self, observation: &Observation, now: Duration) {
        self.began_at.get_or_insert(now);
        self.rollout = observation.rollout;
        let absent = |name: &Arc<str>| !observation.domains.contains_key(name);
        let gone: Vec<Arc<str>> = self.states.keys().filter(|n| absent(n)).cloned().collect();
        for (name, domain) in &observation.domains {
            let state = self.states.entry(Arc::clone(name)).or_default();
            state.observe(domain, now);
        }
        for name in gone {
            if let Some(state) = self.states.get_mut(&name) {
                state.observe(&Domain::default(), now);
            }
        }
        self.states.retain(|_, state| !state.is_over(now));
        self.measure_demand(observation, now);
        self.record_needs(now);
    }

    fn measure_demand(&mut self, observation: &Observation, now: Duration) {
        let demands = self.states.values().filter_map(|state| state.demand(now));
        let total = demands.fold(Demand::default(), Demand::plus);
        let known = |state: &State| state.is_known(now);
        self.complete = !self.states.is_empty() && self.states.values().all(known);
        self.capacity = Capacity {
            prefill_ns: mean_prefill(total).or(self.capacity.prefill_ns),
            slots: observation.slots,
            memory_tokens: observation.memory_tokens,
            backups: observation.backups,
        };
        if total.requests == 0 && total.running == 0 {
            // A pause of all callers says nothing of the load that follows it.
            let forgotten =
                |(_, last): &(Duration, Duration)| now.saturating_sub(*last) >= UNKNOWN_LIMIT;
            if self.active.as_ref().is_none_or(forgotten) {
                return;
            }
        } else {
            let first = self.active.map_or(now, |(first, _)| first);
            self.active = Some((first, now));
        }
        let Some((first, _)) = self.active else {
            return;
        };
        if now.saturating_sub(first) >= SETTLE_TIME {
            self.history.push(total, now);
            for state in self.states.values_mut() {
                let demand = state.demand(now).unwrap_or_default();
                state.history.push(demand, now);
            }
        }
    }

    fn record_needs(&mut self, now: Duration) {
        if self.history.is_empty() {
            return;
        }
        let needs: Vec<f64> = self
            .states
            .values()
            .map(|state| self.need(state, now))
            .collect();
        for (state, need) in self.states.values_mut().zip(needs) {
            state.record_need(need, now);
        }
    }

    /// Returns the work of a demand when servers that are ordered now serve.
    fn work(&self, history: &History) -> Work {
        // The growth of a single failure domain is served by all.
        let growth = self.history.growth(self.limits.startup);
        Work::new(&history.level(), growth, &self.capacity)
    }

    /// Returns the number of failure domains that have servers and are not lost for long.
    fn domains(&self, now: Duration) -> u32 {
        let serving = self.states.values().filter(|state| state.is_serving(now));
        u32::try_from(serving.count()).unwrap_or(u32::MAX)
    }

    fn need(&self, state: &State, now: Duration) -> f64 {
        let live = self.states.values().map(|state| state.servers.live()).sum();
        let level = self.history.level();
        let backlog = need::backlog(&level, &self.capacity, live, self.limits.startup);
        let total = self.work(&self.history).servers() + backlog;
        let local = self.work(&state.history).servers();
        need::of_domain(total, local, self.domains(now), self.rollout)
    }

    /// Returns the order of a failure domain. It is `None` while the load is not known: nothing has to be
    /// ordered then.
    pub fn order(&mut self, failure_domain: &str, now: Duration) -> Option<Order> {
        let settled = |since: Duration| now.saturating_sub(since) >= SETTLE_TIME;
        if !self.began_at.is_some_and(settled) || self.active.is_none() {
            return None;
        }
        let held_by = self.held_by(now);
        let state = self.states.get_mut(failure_domain)?;
        let (desired, reason) = state.decide(self.limits, held_by.is_empty(), now)?;
        let need = state.need();
        let servers = state.servers;
        let work = self.work(&self.history);
        Some(Order {
            desired,
            reason,
            held_by,
            binding: work.binding(),
            need,
            work: work.servers(),
            growth: self.history.growth(self.limits.startup),
            level: self.history.level(),
            prefill_ns: self.capacity.prefill_ns.unwrap_or(0.0),
            servers,
            domains: self.domains(now),
        })
    }

    /// Forgets the order of a failure domain: another entry gives it.
    pub fn release(&mut self, failure_domain: &str) {
        if let Some(state) = self.states.get_mut(failure_domain) {
            state.release();
        }
    }

    /// Returns what prevents lower orders; empty if nothing does.
    fn held_by(&self, now: Duration) -> &'static str {
        let Some((first, last)) = self.active else {
            return "no requests yet";
        };
        let level_time = if self.capacity.backups {
            LEVEL_TIME
        } else {
            SETTLE_TIME
        };
        let silent = now.saturating_sub(last);
        let prompts = self.history.level().prompt_tokens > 0.0;
        match self.capacity.prefill_ns {
            _ if !self.complete => "demand of a failure domain unknown",
            _ if now.saturating_sub(first) < level_time => "demand known too recently",
            _ if silent >= WINDOW && silent < UNKNOWN_LIMIT => "no requests",
            None if prompts => "time for a prompt unknown",
            _ if self.states.values().any(State::is_impaired) => "servers unreachable",
            _ => "",
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times of tokens are far below 2^52 ns"
)]
fn mean_prefill(demand: Demand) -> Option<f64> {
    let measured = f64::from(demand.measured);
    (demand.measured >= MIN_MEASURED).then(|| demand.prefill_ns as f64 / measured)
}
