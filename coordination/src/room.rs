//! Admission to a service whose servers have less capacity than its callers ask for.
//!
//! Each entry knows the capacity of a service from its estimates of the servers, and what is asked for at
//! all entries from their messages. It divides the capacity among priorities and accounts ([`shares`]), so
//! that all entries find the same part of each account's demand, and lets that part of its own requests
//! through. A request beyond it waits if its turn comes in time, and is rejected at once otherwise. While
//! there is enough capacity, all requests are sent at once.
//!
//! ```
//! use medlarfall_coordination::room::{Capacity, Decision, Key, Others, Request, Room};
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let key = Key { priority: 1, account: 7 };
//! let request = Request { key, cost: 1.0, target: ms(150), deadline: ms(400) };
//! let mut room = Room::default();
//! room.observe(Capacity { rate: 100.0, time: ms(30) }, ms(0));
//! assert_eq!(room.arrive(request, &Others::default(), ms(1)), Decision::Send);
//! ```

use std::collections::HashMap;
use std::time::Duration;

use crate::server_limit::Returns;

mod credits;
mod request;
pub mod shares;
mod turns;

use credits::Credits;
pub use request::{Capacity, Decision, Others, Reason, Request};
use shares::Shares;
pub use shares::{Demand, Key};
pub use turns::Ticket;
use turns::{Turns, Waiting};

/// Age from which the capacity no longer counts. Servers report with each response, so older values mean
/// that no server answers, and their rejections decide.
const CAPACITY_VALIDITY: Duration = Duration::from_secs(2);

/// Part of the capacity from which entries tell each other what is asked for.
const SHARED_LOAD: f64 = 0.7;

/// Part of the capacity from which requests are counted against shares. Below it, queues at servers are
/// shorter than the duration of a request.
const TIGHT_LOAD: f64 = 0.9;

/// Time for which a rejection by a server counts as a sign that the service is full.
const REJECTION_VALIDITY: Duration = Duration::from_secs(1);

/// Time between two divisions of the capacity.
const DIVIDE_INTERVAL: Duration = Duration::from_millis(50);

/// Mean wait at servers that requests are let through for, relative to the time of a request. With shorter
/// queues, slots are empty at times, since entries don't know each other's latest requests.
const WANTED_WAIT: f64 = 1.3;

/// Span over which the waits that servers report are averaged.
const WAIT_SPAN: Duration = Duration::from_millis(400);

/// Span over which a wait decays without reports. An entry with a few requests a second has one in it.
const WAIT_DECAY: Duration = Duration::from_secs(1);

/// Bounds of the correction of the estimated capacity by the queues that result.
const CORRECTION: (f64, f64) = (0.6, 1.15);

/// Change of the correction in a second, if queues are empty or twice as long as wanted.
const CORRECTION_PACE: f64 = 0.08;

/// Change of the rate while queues are empty or twice as long as wanted. Reports are older than queues last,
/// so with a larger change the queues swing between empty and full.
const PRESSURE: f64 = 0.2;

/// Part of the target latency by which a request may wait longer than it was promised (1/n).
const PROMISE_MARGIN: u32 = 8;

/// Part (1/n) of the time left to the target that a request may wait for its turn. The rest covers queues at
/// its server that are longer than the mean.
const WAIT_SHARE: u32 = 3;

/// Longest time after which a rejected caller is told to return.
const LONGEST_RETURN: Duration = Duration::from_secs(10);

/// Admission of one entry to one service.
#[derive(Debug, Default)]
pub struct Room {
    capacity: Option<(Capacity, Duration)>,
    correction: Option<f64>,
    credits: Credits,
    shares: Shares,
    divided_at: Option<Duration>,
    tight: bool,
    rejected_at: Option<Duration>,
    /// Mean wait at servers in seconds, and when a server last reported one.
    wait: Option<(f64, Duration)>,
    turns: Turns,
    returns: HashMap<u8, Returns>,
}

impl Room {
    /// Records the capacity.
    pub fn observe(&mut self, capacity: Capacity, now: Duration) {
        self.capacity = Some((capacity, now));
    }

    /// Records the wait that a request would have had at a server when that responded.
    pub fn record_wait(&mut self, wait: Duration, now: Duration) {
        let sample = wait.as_secs_f64();
        let Some((mean, at)) = self.wait else {
            self.wait = Some((sample, now));
            return;
        };
        let passed = now.saturating_sub(at);
        let weight = 1.0 - (-passed.as_secs_f64() / WAIT_SPAN.as_secs_f64()).exp();
        // Reports that arrive together count together.
        let mean = mean + (sample - mean) * weight.max(0.02);
        self.wait = Some((mean, now));
        let missing = self.missing_wait();
        let passed = passed.min(REJECTION_VALIDITY).as_secs_f64();
        self.correct(1.0 + CORRECTION_PACE * passed * missing);
    }

    /// Returns how much shorter the mean wait at servers is than wanted, from -1 to 1.
    fn missing_wait(&self) -> f64 {
        let (Some((capacity, _)), Some((mean, _))) = (self.capacity, self.wait) else {
            return 0.0;
        };
        let wanted = (capacity.time.as_secs_f64() * WANTED_WAIT).max(1e-3);
        let missing = ((wanted - mean) / wanted).clamp(-1.0, 1.0);
        // Without pressure, an empty queue does not mean that there is more capacity than estimated.
        if self.tight {
            missing
        } else {
            missing.min(0.0)
        }
    }

    /// Returns the mean wait at the servers. Without reports it decays, since the queues drain.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Duration {
        let wait = self.wait.map_or(0.0, |(mean, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            mean * (-age / WAIT_DECAY.as_secs_f64()).exp()
        });
        Duration::try_from_secs_f64(wait).unwrap_or_default()
    }

    /// Records that a server rejected a request, although it was let through.
    pub fn record_rejection(&mut self, now: Duration) {
        self.rejected_at = Some(now);
        self.tight = true;
        self.correct(0.97);
    }

    fn correct(&mut self, factor: f64) {
        let correction = self.correction.unwrap_or(1.0) * factor;
        self.correction = Some(correction.clamp(CORRECTION.0, CORRECTION.1));
    }

    /// Returns the capacity, corrected by the queues that resulted from it, if it is known.
    #[must_use]
    pub fn rate(&self, now: Duration) -> Option<f64> {
        let capacity = self.capacity(now)?;
        let pressure = 1.0 + PRESSURE * self.missing_wait();
        Some(capacity.rate * self.correction.unwrap_or(1.0) * pressure)
    }

    fn capacity(&self, now: Duration) -> Option<Capacity> {
        let (capacity, at) = self.capacity?;
        (now.saturating_sub(at) < CAPACITY_VALIDITY).then_some(capacity)
    }

    /// Returns whether requests are counted against shares.
    #[must_use]
    pub fn is_tight(&self) -> bool {
        self.tight
    }

    /// Returns the part of a key's demand that is let through.
    #[must_use]
    pub fn part(&self, key: Key) -> f64 {
        if self.tight {
            self.shares.part(key)
        } else {
            1.0
        }
    }

    /// Returns the factor by which queues at servers have corrected the estimated capacity.
    #[must_use]
    pub fn correction(&self) -> f64 {
        self.correction.unwrap_or(1.0)
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.turns.len()
    }

    /// Returns what is asked for at this entry, if the others need it: the capacity is nearly used up.
    pub fn demand(&mut self, others: &Others, now: Duration) -> Vec<Demand> {
        let Some(rate) = self.rate(now) else {
            return Vec::new();
        };
        let own = self.credits.demand(now);
        if !self.tight && wanted(&own, others) < rate * SHARED_LOAD {
            return Vec::new();
        }
        shares::condense(own, shares::REPORTED)
    }

    /// Divides the capacity anew, if it is time.
    fn divide(&mut self, others: &Others, now: Duration) {
        let recently = |at: Duration| now.saturating_sub(at) < DIVIDE_INTERVAL;
        if self.divided_at.is_some_and(recently) {
            return;
        }
        self.divided_at = Some(now);
        let Some(rate) = self.rate(now) else {
            self.tight = false;
            return;
        };
        self.credits.accrue(&self.shares, now);
        let own = self.credits.demand(now);
        let own_rate: f64 = own.iter().map(Demand::rate).sum();
        let rejected = self
            .rejected_at
            .is_some_and(|at| now.saturating_sub(at) < REJECTION_VALIDITY);
        let queued = self
            .capacity(now)
            .is_some_and(|capacity| self.wait(now) > capacity.time);
        let rate = if others.silent {
            rate / f64::from(others.entries.max(1))
        } else if others.demand.is_empty() {
            rate * own_rate / (own_rate + others.rate).max(1e-6)
        } else {
            rate
        };
        let all = if others.silent {
            own
        } else {
            shares::sum(own.into_iter().chain(others.demand.iter().copied()))
        };
        let wanted: f64 = all.iter().map(Demand::rate).sum();
        self.tight = wanted > rate * TIGHT_LOAD || rejected || queued;
        self.shares = Shares::divide(rate, &all);
        let spare = (rate - wanted).max(0.0) * own_rate / wanted.max(1e-3);
        self.credits.set_spare(spare);
    }

    /// Decides about a request.
    pub fn arrive(&mut self, request: Request, others: &Others, now: Duration) -> Decision {
        let Request {
            key,
            cost,
            target,
            deadline,
        } = request;
        let time = self
            .capacity(now)
            .map_or(Duration::ZERO, |known| known.time);
        let busy = self.wait(now) + time;
        // Requests that can only be late get what those that can be on time leave, and are not counted.
        let hopeless = time > target;
        if !hopeless {
            self.credits.record(key, cost, &self.shares, now);
        }
        self.divide(others, now);
        if !self.tight {
            return Decision::Send;
        }
        if busy > deadline {
            return self.reject(key, Reason::Deadline, busy.saturating_sub(deadline), now);
        }
        let part = self.shares.part(key);
        let on_time = busy <= target;
        let yields = self.yields(key, now);
        let first = on_time && !self.turns.is_before(key);
        if on_time && !yields && (part >= 1.0 || (first && self.credits.take(key, cost))) {
            return Decision::Send;
        }
        let ahead = self.turns.cost_before(key);
        let turn = self.credits.turn(key, cost + ahead, part);
        let turn = turn.max(busy.saturating_sub(target.max(time)));
        let turn = if yields { turn.max(time) } else { turn };
        let late = turn * WAIT_SHARE + busy > target;
        // Late requests get what is left by those that can be on time.
        let turn = if late {
            turn.max(self.credits.spare_turn(cost + self.turns.late_cost()))
        } else {
            turn
        };
        if turn + busy > deadline {
            return self.reject(key, Reason::Share, turn, now);
        }
        if self.turns.is_full() {
            return self.reject(key, Reason::Queue, turn, now);
        }
        let longest = turn + target / PROMISE_MARGIN;
        let longest = longest.min(deadline.saturating_sub(busy));
        let weight = self.credits.rate(key) * part;
        let ticket = self.turns.push(Waiting {
            key,
            cost,
            weight,
            late,
        });
        Decision::Wait { ticket, longest }
    }

    /// Returns whether queues at servers are longer than wanted.
    fn wait_is_long(&self, now: Duration) -> bool {
        let wanted = self
            .capacity(now)
            .map(|known| known.time.mul_f64(WANTED_WAIT));
        wanted.is_some_and(|wanted| self.wait(now) > wanted)
    }

    /// Returns whether a request must wait for the queues at servers to shorten, since they delay more urgent
    /// ones: servers take requests in the order in which they come.
    fn yields(&self, key: Key, now: Duration) -> bool {
        self.wait_is_long(now) && self.shares.has_more_urgent(key.priority)
    }

    /// Returns the requests whose turn it is.
    pub fn poll(&mut self, others: &Others, now: Duration) -> Vec<Ticket> {
        if self.turns.len() == 0 {
            return Vec::new();
        }
        self.divide(others, now);
        self.credits.accrue(&self.shares, now);
        if !self.tight {
            return self.turns.drain();
        }
        let wait_is_long = self.wait_is_long(now);
        let (credits, shares) = (&mut self.credits, &self.shares);
        self.turns.pop(|waiting| {
            if wait_is_long && shares.has_more_urgent(waiting.key.priority) {
                return false;
            }
            if waiting.late {
                return credits.take_unused(waiting.cost);
            }
            shares.part(waiting.key) >= 1.0 || credits.take(waiting.key, waiting.cost)
        })
    }

    /// Forgets a request that waits, whose caller has left.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.turns.remove(ticket);
    }

    /// Rejects a request whose longest wait has ended; returns when its caller may return.
    pub fn give_up(&mut self, ticket: Ticket, key: Key, now: Duration) -> Duration {
        self.turns.remove(ticket);
        let turn = self.credits.turn(key, 1.0, self.shares.part(key));
        self.next_return(key, turn, now)
    }

    fn reject(&mut self, key: Key, reason: Reason, wait: Duration, now: Duration) -> Decision {
        let retry_after = self.next_return(key, wait, now);
        Decision::Reject {
            reason,
            retry_after,
        }
    }

    /// Returns when the next rejected caller of a priority may return: callers return at the pace at which
    /// this entry lets requests of the priority through.
    pub fn next_return(&mut self, key: Key, wait: Duration, now: Duration) -> Duration {
        let pace = self.credits.pace(key.priority, &self.shares);
        let returns = self.returns.entry(key.priority).or_default();
        // A caller who returns sooner than a request takes finds the same queues.
        let least = self
            .capacity
            .map_or(Duration::ZERO, |(known, _)| known.time);
        let next = returns.next(wait.max(least).min(LONGEST_RETURN), pace.max(0.1), now);
        next.min(LONGEST_RETURN)
    }
}

/// Returns what is asked for at all entries, in requests a second.
fn wanted(own: &[Demand], others: &Others) -> f64 {
    let own: f64 = own.iter().map(Demand::rate).sum();
    let named: f64 = others.demand.iter().map(Demand::rate).sum();
    own + named.max(others.rate)
}
