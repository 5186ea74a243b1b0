//! Counts of requests on their way to the entry that reports usage.
//!
//! Entries report to the hubs of their failure domain; hubs send sums to the entry that holds the duty, and
//! to no other. All messages carry cumulative counts of the windows that are not settled.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::true_time::TrueTime;
use crate::usage::{Count, Counter, Fleet, Report, Sums};

/// Longest time between two reports with counts.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The same for an entry that is stopping: its last counts must not be lost with it.
const LEAVING_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two messages with sums while an ended window is not settled.
const SUMS_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two messages with sums otherwise: less than this is lost if a whole failure domain fails.
const OPEN_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time after an entry became a hub until which reports may not have been sent to it.
const JOINING: Duration = Duration::from_millis(1_100);

/// State of the counts at one entry.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    incarnation: u64,
    window_ms: u64,
    counter: Counter,
    /// Sums of the failure domain, while this entry is its hub.
    sums: Option<Sums>,
    /// When it became a hub.
    hub_since: Duration,
    fleet: Fleet,
    time: TrueTime,
    settled: Option<u64>,
    /// The entry that reports usage.
    holder: Option<Arc<str>>,
    reported_at: Option<Duration>,
    sent_at: Option<Duration>,
}

impl Exchange {
    /// Returns the state of a process that starts when its wall clock shows `wall_ms`.
    pub(super) fn new(incarnation: u64, window: Duration, wall_ms: u64) -> Self {
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX).max(1);
        Self {
            incarnation,
            window_ms,
            counter: Counter::new(incarnation, window, wall_ms),
            sums: None,
            hub_since: Duration::ZERO,
            fleet: Fleet::new(window_ms),
            time: TrueTime::default(),
            settled: None,
            holder: None,
            reported_at: None,
            sent_at: None,
        }
    }

    pub(super) fn record_clock(&mut self, entry: &Arc<str>, wall_ms: u64, now: Duration) {
        self.time.record(entry, wall_ms, now);
    }

    pub(super) fn true_ms(&self, wall_ms: u64, now: Duration) -> u64 {
        self.time.at(wall_ms, now)
    }

    pub(super) fn count_request(&mut self, account: &Arc<str>, wall_ms: u64, now: Duration) {
        let now_ms = self.time.at(wall_ms, now);
        self.counter.count(account, now_ms);
    }

    pub(super) fn set_holder(&mut self, holder: Option<Arc<str>>) {
        self.holder = holder;
    }

    pub(super) fn holder(&self) -> Option<&Arc<str>> {
        self.holder.as_ref()
    }

    pub(super) fn settled(&self) -> Option<u64> {
        self.settled
    }

    /// Drops the windows up to `index`.
    pub(super) fn settle(&mut self, index: u64, now: Duration) {
        if self.settled.is_some_and(|settled| settled >= index) {
            return;
        }
        self.settled = Some(index);
        self.counter.settle(index);
        self.fleet.settle(index, now);
        if let Some(sums) = &mut self.sums {
            sums.settle(index, now);
        }
    }

    /// Starts or stops adding up the failure domain's counts.
    pub(super) fn set_hub(&mut self, hub: bool, now: Duration) {
        self.hub_since = now + JOINING;
        self.sums = hub.then(|| Sums::new(self.incarnation, self.window_ms));
    }

    /// Returns the time until a report with counts is due.
    pub(super) fn report_due(&self, leaving: bool, now: Duration) -> Duration {
        let interval = if leaving {
            LEAVING_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        let due = self.reported_at.map_or(Duration::ZERO, |at| at + interval);
        due.saturating_sub(now)
    }

    /// Returns the counts for a report, if they are due.
    pub(super) fn report(&mut self, leaving: bool, wall_ms: u64, now: Duration) -> Option<Report> {
        if !self.report_due(leaving, now).is_zero() {
            return None;
        }
        self.reported_at = Some(now);
        let now_ms = self.time.at(wall_ms, now);
        Some(self.counter.report(now_ms))
    }

    /// Applies the report of an entry of this failure domain; `leaving` says whether it is stopping.
    pub(super) fn record_report(
        &mut self,
        entry: &Arc<str>,
        leaving: bool,
        report: Report,
        now: Duration,
    ) {
        let interval = if leaving {
            LEAVING_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        if let Some(sums) = &mut self.sums {
            sums.record(entry, report, interval, now);
        }
    }

    /// Applies the sums of a failure domain.
    pub(super) fn record_sums(
        &mut self,
        failure_domain: &Arc<str>,
        hub: &Arc<str>,
        report: Report,
        now: Duration,
    ) {
        self.fleet.record(failure_domain, hub, report, now);
    }

    /// Returns the time until sums are due to be sent; `None` if this entry has none.
    pub(super) fn sums_due(&self, wall_ms: u64, now: Duration) -> Option<Duration> {
        self.sums.as_ref()?;
        let window = self.time.at(wall_ms, now) / self.window_ms;
        let ended = self.settled.is_none_or(|settled| settled + 1 < window);
        let interval = if ended { SUMS_INTERVAL } else { OPEN_INTERVAL };
        let due = self.sent_at.map_or(Duration::ZERO, |at| at + interval);
        Some(due.saturating_sub(now))
    }

    /// Returns the sums of this failure domain, with the requests that `own` has counted until now.
    pub(super) fn sums(&mut self, own: &Arc<str>, wall_ms: u64, now: Duration) -> Option<Report> {
        let now_ms = self.time.at(wall_ms, now);
        let sums = self.sums.as_mut()?;
        sums.record(own, self.counter.report(now_ms), REPORT_INTERVAL, now);
        self.sent_at = Some(now);
        let since_ms = self.time.at(wall_ms, now);
        let summing = u64::try_from(now.saturating_sub(self.hub_since).as_millis());
        let joining = u64::try_from(self.hub_since.saturating_sub(now).as_millis());
        let since_ms = since_ms.saturating_sub(summing.unwrap_or(u64::MAX));
        Some(sums.report(since_ms.saturating_add(joining.unwrap_or_default()), now))
    }

    /// Returns what is known of a window.
    pub(super) fn count(&self, index: u64, expected: &BTreeSet<Arc<str>>, now: Duration) -> Count {
        self.fleet.count(index, expected, now)
    }
}
