//! State of one failure domain: its servers, needs and order.

use std::collections::VecDeque;
use std::time::Duration;

use super::super::history::History;
use super::super::{Demand, Domain, Servers};
use super::Reason;
use crate::routing::Autoscaling;

/// Time for which needs are known at least before an order is lowered. Until then the demand has settled.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// Time for which a greater need is remembered: a load that has fallen may come back sooner than new servers
/// serve.
const MEMORY: Duration = Duration::from_secs(20);

/// Remembered needs of which one may exceed a lower order: the greatest ones are due to chance.
const EXCEPTIONS: usize = 10;

/// Time between two steps down, and the share of the servers that remains after one, as a fraction. After
/// each step the next observations show whether the remaining servers suffice.
const STEP_TIME: Duration = Duration::from_secs(1);
const STEP: (u32, u32) = (2, 3);

/// Share of an order below which a difference is not worth an order: random arrivals change the need by as
/// much.
const TOLERANCE: f64 = 0.05;

/// Time over which the greatest number of servers is remembered. Three steps down within it leave 0.3 of the
/// servers, more than [`LOST_SHARE`].
const PEAK_TIME: Duration = Duration::from_secs(3);

/// Share of its servers below which a failure domain counts as lost, and from which it counts as back.
const LOST_SHARE: f64 = 0.25;
const BACK_SHARE: f64 = 0.6;

/// Share of suspect servers of a failure domain from which no order is lowered.
const SUSPECT_SHARE: f64 = 0.25;

/// Time for which a failure domain must be lost before the others get more servers for it. Servers that
/// crash are back after 1 to 2 s, and may count as suspect for some seconds more.
const LOST_CONFIRMATION: Duration = Duration::from_secs(4);

/// Time after which a lost failure domain is taken as it is.
const LOST_LIMIT: Duration = Duration::from_mins(1);

/// Time for which the last demand of a failure domain that is unknown counts. Then its callers have turned
/// to other entries, which count them.
const UNKNOWN_DEMAND_TIME: Duration = Duration::from_secs(10);

/// Time after which a failure domain whose demand is unknown does not prevent lower orders any more, and
/// after which the absence of requests is taken as a demand of zero.
pub(super) const UNKNOWN_LIMIT: Duration = Duration::from_mins(1);

/// State of one failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    pub(super) servers: Servers,
    /// Numbers of live servers within [`PEAK_TIME`].
    recent: VecDeque<(Duration, u32)>,
    /// Since when it is lost, and the number of servers before.
    lost: Option<(Duration, u32)>,
    /// When it was first observed.
    observed_from: Option<Duration>,
    /// Last known demand, and when it was known.
    demand: Option<(Duration, Demand)>,
    pub(super) history: History,
    /// Needs of the last seconds.
    needs: VecDeque<(Duration, f64)>,
    /// The order, if this entry gives it.
    order: Option<Given>,
}

/// An order that was given.
#[derive(Clone, Copy, Debug)]
struct Given {
    desired: u32,
    changed_at: Duration,
    reason: Reason,
}

impl State {
    pub(super) fn observe(&mut self, domain: &Domain, now: Duration) {
        self.observed_from.get_or_insert(now);
        self.servers = domain.servers;
        if let Some(demand) = domain.demand {
            self.demand = Some((now, demand));
        }
        let live = domain.servers.live();
        let old = |at: Duration| now.saturating_sub(at) > PEAK_TIME;
        while self.recent.front().is_some_and(|(at, _)| old(*at)) {
            self.recent.pop_front();
        }
        self.recent.push_back((now, live));
        let share = |of: u32| f64::from(live) / f64::from(of.max(1));
        let peak = self.peak();
        self.lost = match self.lost {
            Some((at, before))
                if share(before) >= BACK_SHARE || now.saturating_sub(at) >= LOST_LIMIT =>
            {
                None
            }
            None if peak > 1 && share(peak) < LOST_SHARE => Some((now, peak)),
            lost => lost,
        };
    }

    fn peak(&self) -> u32 {
        let numbers = self.recent.iter().map(|(_, live)| *live);
        numbers.max().unwrap_or(0)
    }

    /// Returns the demand as last known, unless that is long ago.
    pub(super) fn demand(&self, now: Duration) -> Option<Demand> {
        let known = self
            .demand
            .filter(|(at, _)| now.saturating_sub(*at) < UNKNOWN_DEMAND_TIME);
        known.map(|(_, demand)| demand)
    }

    /// Returns whether the demand is known now, or has been unknown for so long that there is none.
    pub(super) fn is_known(&self, now: Duration) -> bool {
        let since = self.demand.map(|(at, _)| at);
        let unknown = now.saturating_sub(since.or(self.observed_from).unwrap_or(now));
        since == Some(now) || unknown >= UNKNOWN_LIMIT
    }

    pub(super) fn is_serving(&self, now: Duration) -> bool {
        match self.lost {
            Some((at, _)) => now.saturating_sub(at) < LOST_CONFIRMATION,
            None => self.servers.ready > 0,
        }
    }

    /// Returns whether nothing is left of the failure domain.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        let heard = self.demand.map_or(Duration::ZERO, |(at, _)| at);
        self.servers == Servers::default()
            && self.lost.is_none()
            && now.saturating_sub(heard) >= UNKNOWN_LIMIT
    }

    /// Returns whether many of its servers were lost and are not back.
    pub(super) fn is_impaired(&self) -> bool {
        let ready = f64::from(self.servers.ready);
        let suspect = f64::from(self.servers.suspect);
        self.lost.is_some() || suspect > ready * SUSPECT_SHARE
    }

    /// Adds the need at a time.
    pub(super) fn record_need(&mut self, need: f64, now: Duration) {
        let old = |at: Duration| now.saturating_sub(at) > MEMORY;
        while self.needs.front().is_some_and(|(at, _)| old(*at)) {
            self.needs.pop_front();
        }
        self.needs.push_back((now, need));
    }

    /// Returns the last need.
    pub(super) fn need(&self) -> f64 {
        self.needs.back().map_or(0.0, |(_, need)| *need)
    }

    /// Forgets the order.
    pub(super) fn release(&mut self) {
        self.order = None;
    }

    /// Returns the number of servers to order and why; `None` if nothing is known to start from.
    pub(super) fn decide(
        &mut self,
        limits: Autoscaling,
        may_lower: bool,
        now: Duration,
    ) -> Option<(u32, Reason)> {
        let before_loss = self.lost.map_or(0, |(_, before)| before);
        let mut given = self.order.unwrap_or(Given {
            desired: self.peak().max(self.servers.ready).max(before_loss),
            changed_at: now,
            reason: Reason::Unchanged,
        });
        if self.needs.is_empty() || given.desired == 0 {
            return None;
        }
        let need = self.need();
        let lower = self.lower_to(&given, limits, now);
        let highest = f64::from(given.desired) * (1.0 + TOLERANCE);
        let raised = servers(need).clamp(limits.min, limits.max);
        let exceeds = need > highest && raised > given.desired;
        // Servers of a lost failure domain would not serve.
        let (desired, reason) = if exceeds && self.is_serving(now) {
            (raised, Reason::Raised)
        } else if let Some(desired) = lower.filter(|_| may_lower) {
            (desired, Reason::Lowered)
        } else {
            (given.desired, Reason::Unchanged)
        };
        if reason != Reason::Unchanged {
            given = Given {
                desired,
                changed_at: now,
                reason,
            };
        }
        self.order = Some(given);
        Some((desired, reason))
    }

    /// Returns the number that the order can be lowered to, if the need has been lower for long enough.
    fn lower_to(&self, given: &Given, limits: Autoscaling, now: Duration) -> Option<u32> {
        let since = |at: Duration| now.saturating_sub(at);
        let pause = match given.reason {
            Reason::Raised => limits.startup,
            Reason::Lowered => STEP_TIME,
            Reason::Unchanged => Duration::ZERO,
        };
        let (first, _) = self.needs.front()?;
        if since(*first) < HOLD_TIME || since(given.changed_at) < pause {
            return None;
        }
        let mut needs: Vec<f64> = self.needs.iter().map(|(_, need)| *need).collect();
        needs.sort_by(|left, right| right.total_cmp(left));
        // Rounded to the nearest number.
        let exceptions = (needs.len() + EXCEPTIONS / 2) / EXCEPTIONS;
        let highest = needs[exceptions.min(needs.len() - 1)].max(self.need());
        let step = given.desired.saturating_mul(STEP.0).div_ceil(STEP.1);
        let step = step.min(given.desired.saturating_sub(1));
        let desired = servers(highest).max(step).clamp(limits.min, limits.max);
        let least = (f64::from(given.desired) * TOLERANCE).max(1.0);
        let difference = f64::from(given.desired) - f64::from(desired);
        (difference >= least).then_some(desired)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is bounded before"
)]
fn servers(need: f64) -> u32 {
    need.ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}
