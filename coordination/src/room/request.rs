//! What admission is asked, what it knows, and what it answers.

use std::time::Duration;

use super::shares::{Demand, Key};
use super::turns::Ticket;

/// Capacity of a service, from the estimates of its servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Requests a second that its servers complete at their present speed.
    pub rate: f64,
    /// Time of a request at a server, or until the first event of a stream, without the wait.
    pub time: Duration,
}

/// What is known of the other entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Others {
    /// What is asked for there, if they say so.
    pub demand: Vec<Demand>,
    /// Requests a second at the other entries, which they share at any load.
    pub rate: f64,
    /// Known entries, this one included.
    pub entries: u32,
    /// Whether none of the other known entries is heard of.
    pub silent: bool,
}

/// A request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its priority and account.
    pub key: Key,
    /// Its work, in usual requests.
    pub cost: f64,
    /// Time until its response is late.
    pub target: Duration,
    /// Time until its response is of no use.
    pub deadline: Duration,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Its account has its share, or more urgent requests use the capacity.
    Share,
    /// The servers' queues last beyond its deadline.
    Deadline,
    /// Too many requests wait.
    Queue,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send it now.
    Send,
    /// Wait until [`super::Room::poll`] returns the ticket, but not longer than `longest`.
    Wait {
        /// Names the request.
        ticket: Ticket,
        /// Longest wait, after which [`super::Room::give_up`] rejects it.
        longest: Duration,
    },
    /// Reject it.
    Reject {
        /// Why.
        reason: Reason,
        /// Time until the caller may return.
        retry_after: Duration,
    },
}
