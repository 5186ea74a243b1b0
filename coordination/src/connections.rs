//! Limits on the connections to a server, which all entries keep together.
//!
//! A server resets connections beyond its limit, and the requests on them may have run. An entry counts its own
//! connections, and learns from each response how many requests are at the server. While that is far below
//! the limit, nothing is held back. Near the limit, the entry keeps to its share by demand. A share of less than
//! one connection, or a fraction of one, is drawn anew in each short period, so that all entries together use
//! the limit although they don't talk to each other.
//!
//! ```
//! use medlarfall_coordination::connections::{Connections, Terms};
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(1);
//! let terms = Terms { most: 40, slots: 4, share: 0.1, pair: 7 };
//! let mut connections = Connections::default();
//! assert!(connections.has_room(&terms, now));
//! connections.record_report(39, 4, now);
//! assert!(connections.has_room(&terms, now));
//! for _ in 0..4 {
//!     connections.open();
//! }
//! assert!(!connections.has_room(&terms, now));
//! connections.close();
//! connections.close();
//! assert!(connections.has_room(&terms, now));
//! ```

use std::time::Duration;

use crate::placement::mix;

/// Part of a limit from which entries keep to their shares. Reports of several entries' requests that are as old
/// as a call can hide as many requests again.
const NEAR: f64 = 0.5;

/// Least part of a limit that is left for probes and for requests whose connections take long to close.
const RESERVE: f64 = 0.05;

/// Standard deviations of the sum of all entries' drawn connections that are left.
const DEVIATIONS: f64 = 2.0;

/// Waiting requests for each slot from which a queue is long. Servers then reset connections below the limit.
const LONG_QUEUE: f64 = 4.0;

/// Least part of a limit that is used, and of that while the queue is long.
const LEAST_USE: f64 = 0.5;

/// Time for which new connections to a server that has reset one are doubtful: a few calls.
const RESET_MEMORY: Duration = Duration::from_millis(500);

/// Time for which a report or a reset tells how busy a server is: a few periods of [`draw`], since an entry hears
/// nothing of a busy server in those in which it draws no connection.
const MEMORY: Duration = Duration::from_secs(3);

/// Time for which a fraction of a connection is drawn, in milliseconds: several calls, since connections of the
/// period before remain until their calls end.
const PERIOD_MS: u64 = 1_000;

/// What a decision depends on, beside the connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Most connections of all entries to the server.
    pub most: u32,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// This entry's share of the service's requests, from 0 to 1.
    pub share: f64,
    /// Hash that names the entry and the server.
    pub pair: u64,
}

/// What a server reported.
#[derive(Clone, Copy, Debug)]
struct Report {
    others: u32,
    waiting: u32,
    at: Duration,
}

/// The connections of one entry to a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connections {
    open: u32,
    report: Option<Report>,
    reset_at: Option<Duration>,
}

impl Connections {
    /// Counts a connection, before it is opened.
    pub fn open(&mut self) {
        self.open = self.open.saturating_add(1);
    }

    /// Counts a connection that has been closed.
    pub fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.open
    }

    /// Records a server's report of all its requests, and of those that wait.
    pub fn record_report(&mut self, requests: u32, waiting: u32, now: Duration) {
        self.report = Some(Report {
            others: requests.saturating_sub(self.open),
            waiting,
            at: now,
        });
    }

    /// Records that the server ended a connection without a response.
    pub fn record_reset(&mut self, now: Duration) {
        self.reset_at = Some(now);
    }

    /// Returns whether the server has ended a connection without a response lately.
    #[must_use]
    pub fn has_reset(&self, now: Duration) -> bool {
        self.reset_at
            .is_some_and(|at| now.saturating_sub(at) < RESET_MEMORY)
    }

    /// Returns whether the entry may open another connection.
    #[must_use]
    pub fn has_room(&self, terms: &Terms, now: Duration) -> bool {
        let report = self.report.as_ref();
        let report = report.filter(|report| now.saturating_sub(report.at) < MEMORY);
        let usable = usable(terms, report.map_or(0, |report| report.waiting));
        let others = report.map_or(0, |report| report.others);
        let all = f64::from(self.open.saturating_add(others));
        let reset = self.reset_at.filter(|at| {
            let newer = report.is_none_or(|report| report.at < *at);
            newer && now.saturating_sub(*at) < MEMORY
        });
        if reset.is_none() && all < usable * NEAR {
            return true;
        }
        // The part of the last connection that the entry has is drawn.
        f64::from(self.open) + draw(terms.pair, now) < usable * terms.share
    }
}

/// Returns how many connections all entries together use while `waiting` requests wait.
fn usable(terms: &Terms, waiting: u32) -> f64 {
    let most = f64::from(terms.most);
    // Of as many entries as have such a share, each draws the fraction of a connection.
    let fraction = (most * terms.share).fract();
    let variance = fraction * (1.0 - fraction) / terms.share.max(f64::EPSILON);
    let reserve = (most * RESERVE).max(1.0).max(variance.sqrt() * DEVIATIONS);
    let long = f64::from(terms.slots.max(1)) * LONG_QUEUE;
    let excess = (f64::from(waiting) - long).max(0.0) / long;
    (most - reserve).max(most * LEAST_USE) * (1.0 - excess).max(LEAST_USE)
}

/// Returns a number from 0 to 1 for a pair of an entry and a server, which a hash names. It differs among pairs.
/// It changes with each [`PERIOD_MS`], at another moment for each pair.
fn draw(pair: u64, now: Duration) -> f64 {
    let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    let phase = mix(pair) % PERIOD_MS;
    let period = millis.saturating_add(phase) / PERIOD_MS;
    let hash = mix(mix(pair) ^ period);
    let steps = u32::try_from(hash >> 32).unwrap_or(0);
    f64::from(steps) / f64::from(u32::MAX)
}
