//! Sums of the counts of one failure domain, kept by its hubs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Counts, Merged, Report, Rotation, WINDOWS, Window, millis};

/// Time after which a silent entry counts as failed. Entries report once a second.
const SILENCE: Duration = Duration::from_millis(3_500);

/// Time by which a report may be later than its interval.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// Processes that are kept without counts that are still needed.
const PROCESSES: usize = 4_096;

/// What one process has counted.
#[derive(Clone, Debug)]
struct Process {
    heard_at: Duration,
    until_ms: u64,
    /// Whether a later process of the entry was heard of.
    replaced: bool,
    windows: BTreeMap<u64, Merged>,
    /// Longest time between its reports: what it counted for this time may be lost with it.
    interval_ms: u64,
    /// Requests per second in the windows that it reported last.
    rate: f64,
}

/// The counts of the entries of one failure domain.
#[derive(Clone, Debug)]
pub struct Sums {
    incarnation: u64,
    window_ms: u64,
    settled: Option<u64>,
    processes: BTreeMap<(Arc<str>, u64), Process>,
    rotation: Rotation,
}

impl Sums {
    /// Returns the sums of a hub that has received no reports.
    #[must_use]
    pub fn new(incarnation: u64, window_ms: u64) -> Self {
        Self {
            incarnation,
            window_ms,
            settled: None,
            processes: BTreeMap::new(),
            rotation: Rotation::default(),
        }
    }

    /// Applies the report of an entry, which sends the next one after `interval`.
    pub fn record(&mut self, entry: &Arc<str>, report: Report, interval: Duration, now: Duration) {
        let key = (Arc::clone(entry), report.incarnation);
        if !self.processes.contains_key(&key) {
            let first = (Arc::clone(entry), 0);
            let last = (Arc::clone(entry), u64::MAX);
            for (_, process) in self.processes.range_mut(first..=last) {
                process.replaced = true;
            }
        }
        let process = self.processes.entry(key).or_insert(Process {
            heard_at: now,
            until_ms: 0,
            replaced: false,
            windows: BTreeMap::new(),
            interval_ms: 0,
            rate: 0.0,
        });
        process.interval_ms = millis(interval + REPORT_DELAY);
        process.heard_at = now;
        // A clock that was wrong at the start is put right.
        process.until_ms = report.until_ms;
        let newest = report.windows.iter().max_by_key(|window| window.index);
        let newest = newest.map(|window| (window.index, window.total));
        if let Some((index, total)) = newest {
            let began_ms = index.saturating_mul(self.window_ms);
            let covered = report.until_ms.saturating_sub(began_ms).min(self.window_ms);
            // A rate of the first moments of a window says little.
            if covered * 4 >= self.window_ms || process.rate == 0.0 {
                process.rate = ratio(total.saturating_mul(1_000), covered.max(100));
            }
        }
        for window in report.windows {
            if self.settled.is_none_or(|settled| window.index > settled) {
                process
                    .windows
                    .entry(window.index)
                    .or_default()
                    .merge(window);
            }
        }
        while process.windows.len() > WINDOWS {
            process.windows.pop_first();
        }
        if self.processes.len() > PROCESSES {
            let oldest = self
                .processes
                .iter()
                .min_by_key(|(_, process)| process.heard_at);
            let oldest = oldest.map(|(key, _)| key.clone());
            self.processes.retain(|key, _| Some(key) != oldest.as_ref());
        }
    }

    /// Drops the windows up to `index`, and the processes that failed before it.
    pub fn settle(&mut self, index: u64, now: Duration) {
        if self.settled.is_some_and(|settled| settled >= index) {
            return;
        }
        self.settled = Some(index);
        let end_ms = (index + 1).saturating_mul(self.window_ms);
        for process in self.processes.values_mut() {
            process.windows = process.windows.split_off(&(index + 1));
        }
        self.processes.retain(|_, process| {
            let gone = process.has_failed(now) && process.until_ms + process.interval_ms < end_ms;
            !gone || !process.windows.is_empty()
        });
    }

    /// Returns the sums, those of some accounts if there are many. The hub has received all reports since
    /// `since_ms`, in Unix milliseconds.
    pub fn report(&mut self, since_ms: u64, now: Duration) -> Report {
        let mut windows: BTreeMap<u64, (Window, Counts)> = BTreeMap::new();
        let mut until_ms = u64::MAX;
        for process in self.processes.values() {
            for (index, merged) in &process.windows {
                let (window, counts) = windows.entry(*index).or_default();
                window.open |= !merged.is_whole();
                for (account, count) in &merged.counts {
                    *counts.entry(Arc::clone(account)).or_default() += count;
                }
            }
            if !process.has_failed(now) {
                until_ms = until_ms.min(process.until_ms);
            }
        }
        let failed = self.processes.values();
        let failed = failed.filter(|process| process.has_failed(now));
        for process in failed {
            // The requests that it may have counted after its last report, in the window of that time.
            let index = process.until_ms / self.window_ms;
            let rest_ms = (index + 1) * self.window_ms - process.until_ms;
            let (first_ms, second_ms) = match process.interval_ms.checked_sub(rest_ms) {
                Some(second_ms) => (rest_ms, second_ms),
                None => (process.interval_ms, 0),
            };
            for (index, lost_ms) in [(index, first_ms), (index + 1, second_ms)] {
                let lost = requests(process.rate, lost_ms);
                if lost > 0 && self.settled.is_none_or(|settled| index > settled) {
                    windows.entry(index).or_default().0.at_risk += lost;
                }
            }
        }
        let windows = windows.into_iter().map(|(index, (window, counts))| Window {
            index,
            total: counts.values().sum(),
            counts: counts.into_iter().collect(),
            ..window
        });
        let mut windows: Vec<Window> = windows.collect();
        self.rotation.limit(&mut windows);
        Report {
            incarnation: self.incarnation,
            since_ms,
            until_ms: if until_ms == u64::MAX { 0 } else { until_ms },
            windows,
        }
    }
}

impl Process {
    /// Returns whether the process counts no more, as far as is known.
    fn has_failed(&self, now: Duration) -> bool {
        self.replaced || now.saturating_sub(self.heard_at) > SILENCE
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of requests are far below 2^52"
)]
fn ratio(requests: u64, milliseconds: u64) -> f64 {
    requests as f64 / milliseconds as f64
}

/// Returns the requests in a time at a rate per second, rounded up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "numbers of requests are positive and far below 2^52"
)]
fn requests(rate: f64, milliseconds: u64) -> u64 {
    (rate * milliseconds as f64 / 1_000.0).ceil() as u64
}
