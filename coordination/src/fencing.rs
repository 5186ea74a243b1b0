//! Orders to a server from one holder at a time: an old order never undoes a newer one.
//!
//! A holder takes a lock that a lease holds in the store; the lock's revision is its fencing number.
//! A server that enforces fencing refuses numbers below the highest seen. For one that ignores it,
//! a holder orders only while its lease surely outlasts the order, a new holder waits out the
//! longest order in flight, and each reads the server before its order and after it.
//!
//! With a server that ignores fencing this holds as long as no more than twice
//! [`Policy::order_timeout`] passes between a holder's decision to order and the effect; a holder
//! that is paused for longer right between the two can undo a newer order once, until the newer
//! order's holder reads the server again.
//!
//! ```
//! use std::time::Duration;
//! use medlarfall_coordination::fencing::{Action, Answer, Ending, Holder, Outcome, Policy};
//!
//! let policy = Policy { order_timeout: Duration::from_secs(2), attempts: 3 };
//! let mut holder = Holder::new(policy, true);
//! let now = Duration::from_secs(10);
//! assert_eq!(holder.next(now), Action::Acquire);
//! holder.acquired(now, 7, now + Duration::from_secs(8));
//! assert_eq!(holder.next(now), Action::Order { fencing: 7 });
//! holder.answered(now, Answer::Done);
//! let ending = Ending { outcome: Outcome::Achieved, release: true };
//! assert_eq!(holder.next(now), Action::End(ending));
//! ```

use std::time::Duration;

/// Bounds on orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Longest time between sending an order and its effect.
    pub order_timeout: Duration,
    /// Most orders that one holder sends.
    pub attempts: u32,
}

/// What the holder is to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Take the lock with a new lease; one that this holder still has must run out before.
    Acquire,
    /// Wait until this time.
    Wait {
        /// The time.
        until: Duration,
    },
    /// Read the state of the server.
    Read,
    /// Send the order.
    Order {
        /// Fencing number of the order.
        fencing: u64,
    },
    /// Nothing more.
    End(Ending),
}

/// How the holder ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ending {
    /// What came of the order.
    pub outcome: Outcome,
    /// Whether the lock may be given up at once; otherwise its lease must run out, since an order
    /// may still be in flight.
    pub release: bool,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server is in the ordered state.
    Achieved,
    /// The server has obeyed a newer holder.
    Superseded,
    /// The server did not come to be in the ordered state.
    Failed,
}

/// The server's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It carried the order out.
    Done,
    /// It refused the fencing number.
    Fenced,
    /// The order was not sent, or was refused before it had an effect.
    NotRun,
    /// The answer was lost: the order may take effect for as long as it can be in flight.
    Lost,
}

/// A holder's lock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Lock {
    fencing: u64,
    until: Duration,
    quiet_at: Duration,
}

/// What the holder does next with its lock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Acquire,
    Read,
    Order,
    End(Outcome),
}

/// One holder's way to one order.
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
    /// Returns a holder that is to give an order to a server that enforces fencing, or does not.
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

    /// Returns what is to be done at `now`. An order must be sent at once, before anything else.
    pub fn next(&mut self, now: Duration) -> Action {
        match (self.step, self.lock) {
            (Step::End(outcome), _) => Action::End(Ending {
                outcome,
                release: self.enforced || now >= self.in_flight_until,
            }),
            (Step::Acquire, _) | (_, None) => Action::Acquire,
            (_, Some(lock)) if now < lock.quiet_at => Action::Wait {
                until: lock.quiet_at,
            },
            (Step::Read, Some(_)) => Action::Read,
            (Step::Order, Some(lock)) => self.order(lock, now),
        }
    }

    /// Orders if the lease surely outlasts the order.
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

    /// Notes at `now` that the lock was taken under revision `fencing`; its lease surely lasts until
    /// `until`, counted from before it was asked for.
    pub fn record_acquired(&mut self, now: Duration, fencing: u64, until: Duration) {
        let quiet = if self.enforced {
            Duration::ZERO
        } else {
            self.policy.order_timeout
        };
        self.lock = Some(Lock {
            fencing,
            until,
            quiet_at: now + quiet,
        });
        // An enforcing server must see the new number even if its state is right already: an older
        // order may be in flight.
        self.step = if self.enforced {
            Step::Order
        } else {
            Step::Read
        };
    }

    /// Notes what reading the server showed: whether it is in the ordered state, or nothing if it
    /// could not be read.
    pub fn record_read(&mut self, in_state: Option<bool>) {
        self.step = match in_state {
            Some(true) => Step::End(Outcome::Achieved),
            Some(false) => Step::Order,
            None => Step::End(Outcome::Failed),
        };
    }

    /// Notes the answer to an order.
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
