//! Fenced orders to a backend server: an old order never undoes a newer one.
//!
//! A holder acquires a lock in the store that is bound to a lease; the revision of the lock is the
//! fencing number of its orders. A server that enforces fencing refuses numbers below the highest
//! that it has received. For a server that ignores fencing numbers, a holder sends an order only if
//! its lease is certain to outlast the order, a new holder waits for the longest time that an order
//! can be in flight, and each holder reads the state of the server before and after its order.
//!
//! With a server that ignores fencing numbers, the guarantee requires that at most twice
//! [`Policy::order_timeout`] passes between a holder's decision to send an order and its effect. A
//! holder that is paused for longer between the two can undo a newer order once, until the holder
//! of the newer order reads the server again.
//!
//! ```
//! use std::time::Duration;
//! use medlarfall_coordination::fencing::{Action, Answer, Ending, Holder, Outcome, Policy};
//!
//! let policy = Policy { order_timeout: Duration::from_secs(2), attempts: 3 };
//! let mut holder = Holder::new(policy, true);
//! let now = Duration::from_secs(10);
//! assert_eq!(holder.next(now), Action::Acquire);
//! holder.record_acquired(now, 7, now + Duration::from_secs(8));
//! assert_eq!(holder.next(now), Action::Order { fencing: 7 });
//! holder.record_answer(now, Answer::Done);
//! let ending = Ending { outcome: Outcome::Achieved, release: true };
//! assert_eq!(holder.next(now), Action::End(ending));
//! ```

use std::time::Duration;

/// Limits on orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Longest time between sending an order and its effect.
    pub order_timeout: Duration,
    /// Highest number of orders that one holder sends.
    pub attempts: u32,
}

/// The next action of a holder's driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Acquire the lock with a new lease; a lease that this holder still has must expire first.
    Acquire,
    /// Wait until this time.
    Wait {
        /// Time at which to request the next action again.
        until: Duration,
    },
    /// Read the state of the server.
    Read,
    /// Send the order.
    Order {
        /// Fencing number of the order.
        fencing: u64,
    },
    /// Stop: the holder has ended.
    End(Ending),
}

/// The result of a holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ending {
    /// Outcome of the order.
    pub outcome: Outcome,
    /// Whether the lock may be released immediately; otherwise its lease must expire, because an
    /// order may still be in flight.
    pub release: bool,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server is in the requested state.
    Achieved,
    /// The server has carried out an order of a newer holder.
    Superseded,
    /// The server did not reach the requested state.
    Failed,
}

/// The server's response to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The server carried out the order.
    Done,
    /// The server refused the fencing number.
    Fenced,
    /// The order was not sent, or was refused before it had an effect.
    NotRun,
    /// The response was lost: the order may take effect for as long as it can be in flight.
    Lost,
}

/// An acquired lock: its fencing number, the time until which its lease is certain to last, and the
/// time from which the holder may use it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Lock {
    fencing: u64,
    until: Duration,
    usable_at: Duration,
}

/// The next step of a holder once its lock is usable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Acquire,
    Read,
    Order,
    End(Outcome),
}

/// State machine of one holder, whose order brings a server into a requested state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    policy: Policy,
    enforced: bool,
    lock: Option<Lock>,
    step: Step,
    sent: u32,
    in_flight_until: Duration,
}

impl Holder {
    /// Returns a holder for one order; `enforced` states whether the server enforces fencing.
    #[must_use]
    pub fn new(policy: Policy, enforced: bool) -> Self {
        Self {
            policy,
            enforced,
            lock: None,
            step: Step::Acquire,
            sent: 0,
            in_flight_until: Duration::ZERO,
        }
    }

    /// Returns the next action at `now`. An order must be sent immediately, before any other
    /// action.
    pub fn next(&mut self, now: Duration) -> Action {
        match (self.step, self.lock) {
            (Step::End(outcome), _) => Action::End(Ending {
                outcome,
                release: self.enforced || now >= self.in_flight_until,
            }),
            (Step::Acquire, _) | (_, None) => Action::Acquire,
            (_, Some(lock)) if now < lock.usable_at => Action::Wait {
                until: lock.usable_at,
            },
            (Step::Read, Some(_)) => Action::Read,
            (Step::Order, Some(lock)) => self.order(lock, now),
        }
    }

    /// Returns the order, or the end if all attempts are used. If the server ignores fencing numbers
    /// and the lease may expire before the order takes effect, returns a new acquisition.
    fn order(&mut self, lock: Lock, now: Duration) -> Action {
        if self.sent >= self.policy.attempts {
            self.step = Step::End(Outcome::Failed);
            return self.next(now);
        }
        let outlasts = now + self.policy.order_timeout <= lock.until;
        if !self.enforced && !outlasts {
            self.lock = None;
            self.step = Step::Acquire;
            return Action::Acquire;
        }
        self.sent += 1;
        self.in_flight_until = now + 2 * self.policy.order_timeout;
        Action::Order {
            fencing: lock.fencing,
        }
    }

    /// Records at `now` that the lock was acquired at revision `fencing`. Its lease is certain to
    /// last until `until`, which is counted from before the lease was requested.
    pub fn record_acquired(&mut self, now: Duration, fencing: u64, until: Duration) {
        let wait = if self.enforced {
            Duration::ZERO
        } else {
            self.policy.order_timeout
        };
        self.lock = Some(Lock {
            fencing,
            until,
            usable_at: now + wait,
        });
        // An enforcing server must receive the new number even if it is already in the requested
        // state, because an older order may still be in flight.
        self.step = if self.enforced {
            Step::Order
        } else {
            Step::Read
        };
    }

    /// Records the result of a read of the server: whether it is in the requested state, or nothing
    /// if it could not be read.
    pub fn record_read(&mut self, in_state: Option<bool>) {
        self.step = match in_state {
            Some(true) => Step::End(Outcome::Achieved),
            Some(false) => Step::Order,
            None => Step::End(Outcome::Failed),
        };
    }

    /// Records the response to an order.
    pub fn record_answer(&mut self, now: Duration, answer: Answer) {
        let may_take_effect = answer == Answer::Lost;
        if !may_take_effect {
            self.in_flight_until = now;
        }
        self.step = match answer {
            Answer::Fenced => Step::End(Outcome::Superseded),
            Answer::Done | Answer::NotRun | Answer::Lost if !self.enforced => Step::Read,
            Answer::Done => Step::End(Outcome::Achieved),
            Answer::NotRun | Answer::Lost => Step::Order,
        };
    }
}
