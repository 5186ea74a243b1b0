//! Counts of requests by usage window and account.
//!
//! Window `k` begins `k` times its length after the start of 1970, in true time. Each entry counts its
//! requests with a [`Counter`] and reports cumulative counts; a hub adds up the reports of its failure domain
//! ([`Sums`]), and the entry that reports usage adds up the failure domains ([`Fleet`]). All counts of a window
//! only increase, so a message may be lost, repeated or contain a part of them. [`Reporter`] decides when a
//! window is reported.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

mod fleet;
mod reporter;
mod sums;

pub use fleet::{Count, Fleet};
pub use reporter::{Bounds, Record, Reporter, Step, Term};
pub use sums::Sums;

/// Most windows that are kept without being settled: two minutes, if a window takes 5 s.
pub const WINDOWS: usize = 24;

/// Most accounts whose counts one message contains. The others follow in the next ones.
const ROWS: usize = 600;

/// Requests by account.
pub type Counts = BTreeMap<Arc<str>, u64>;

/// Requests of one window in a message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Window {
    /// Number of the window.
    pub index: u64,
    /// Requests of all accounts.
    pub total: u64,
    /// Requests that failed entries may have counted without reporting them.
    pub at_risk: u64,
    /// Whether some entries may still have counts that are not included.
    pub open: bool,
    /// Requests of some accounts.
    pub counts: Vec<(Arc<str>, u64)>,
}

/// Counts in a message: those of one entry, or the sums of a failure domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Incarnation of the process that counted or summed.
    pub incarnation: u64,
    /// Time from which it has counted or summed all, in Unix milliseconds.
    pub since_ms: u64,
    /// Time up to which it has counted or summed all, in Unix milliseconds.
    pub until_ms: u64,
    /// Windows with requests that are not settled.
    pub windows: Vec<Window>,
}

/// Counts of a window that were received in parts.
#[derive(Clone, Debug, Default)]
struct Merged {
    counts: Counts,
    sum: u64,
    total: u64,
    at_risk: u64,
    open: bool,
}

impl Merged {
    fn merge(&mut self, window: Window) {
        for (account, count) in window.counts {
            let known = self.counts.entry(account).or_default();
            self.sum += count.saturating_sub(*known);
            *known = count.max(*known);
        }
        self.total = self.total.max(window.total);
        self.at_risk = window.at_risk;
        self.open = window.open;
    }

    /// Returns whether all parts have arrived.
    fn is_whole(&self) -> bool {
        self.sum >= self.total
    }
}

/// Selects which accounts a message contains, so that several messages contain all.
#[derive(Clone, Debug, Default)]
struct Rotation {
    next: usize,
}

impl Rotation {
    /// Removes all but the next [`ROWS`] counts from the windows.
    fn limit(&mut self, windows: &mut [Window]) {
        let rows: usize = windows.iter().map(|window| window.counts.len()).sum();
        if rows <= ROWS {
            self.next = 0;
            return;
        }
        let start = self.next % rows;
        let mut position = 0;
        for window in windows {
            window.counts.retain(|_| {
                let distance = (position + rows - start) % rows;
                position += 1;
                distance < ROWS
            });
        }
        self.next = start + ROWS;
    }
}

/// Counts the requests of one entry.
#[derive(Clone, Debug)]
pub struct Counter {
    incarnation: u64,
    since_ms: u64,
    window_ms: u64,
    settled: Option<u64>,
    windows: BTreeMap<u64, Counts>,
    rotation: Rotation,
}

impl Counter {
    /// Returns the counter of a process that starts at `now_ms`.
    #[must_use]
    pub fn new(incarnation: u64, window: Duration, now_ms: u64) -> Self {
        Self {
            incarnation,
            since_ms: now_ms,
            window_ms: millis(window).max(1),
            settled: None,
            windows: BTreeMap::new(),
            rotation: Rotation::default(),
        }
    }

    /// Counts a request of an account that begins to run at `now_ms`. A request in a settled window, as after
    /// a step of all clocks, belongs to the one after it.
    pub fn count(&mut self, account: &Arc<str>, now_ms: u64) {
        let first = self.settled.map_or(0, |settled| settled + 1);
        let index = (now_ms / self.window_ms).max(first);
        let window = self.windows.entry(index).or_default();
        *window.entry(Arc::clone(account)).or_default() += 1;
        if self.windows.len() > WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Drops the windows up to `index`.
    pub fn settle(&mut self, index: u64) {
        if self.settled.is_none_or(|settled| settled < index) {
            self.settled = Some(index);
            self.windows = self.windows.split_off(&(index + 1));
        }
    }

    /// Returns what has been counted up to `now_ms`.
    pub fn report(&mut self, now_ms: u64) -> Report {
        let windows = self.windows.iter().map(|(index, counts)| Window {
            index: *index,
            total: counts.values().sum(),
            counts: counts
                .iter()
                .map(|(account, count)| (Arc::clone(account), *count))
                .collect(),
            ..Window::default()
        });
        let mut windows: Vec<Window> = windows.collect();
        self.rotation.limit(&mut windows);
        Report {
            incarnation: self.incarnation,
            since_ms: self.since_ms,
            until_ms: now_ms,
            windows,
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
