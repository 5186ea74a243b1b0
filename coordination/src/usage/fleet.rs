//! Sums of the counts of all failure domains, kept by the entry that reports usage.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{Counts, Merged, Report, WINDOWS};

/// Time after which the sums of a silent hub are dropped. Its failure domain is expected to report for as
/// long; the registration of a failed entry lasts for 20 s.
const REMEMBERED: Duration = Duration::from_secs(30);

/// Most by which the known beginning of a hub's sums changes as true time is corrected.
const SINCE_CORRECTION_MS: u64 = 2_000;

/// What one hub has summed.
#[derive(Clone, Debug)]
struct Hub {
    incarnation: u64,
    heard_at: Duration,
    since_ms: u64,
    until_ms: u64,
    windows: BTreeMap<u64, Merged>,
    /// Requests of the last window that was settled.
    last_total: u64,
}

/// What is known of a window.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Requests by account, as far as they are known.
    pub counts: Counts,
    /// Requests that may be missing: those that failed entries may have counted without reporting them, and
    /// those of failure domains that have not reported the window.
    pub missing: u64,
    /// Failure domains that have not counted beyond the end of the window.
    pub waiting: Vec<Arc<str>>,
    /// Whether no hub of some failure domain has received all reports of the window.
    pub gap: bool,
}

/// The sums of all failure domains.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    window_ms: u64,
    settled: Option<u64>,
    hubs: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Hub>>,
}

impl Fleet {
    /// Returns the sums of an entry that has received none.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            ..Self::default()
        }
    }

    /// Applies the sums of a hub.
    pub fn record(
        &mut self,
        failure_domain: &Arc<str>,
        hub: &Arc<str>,
        report: Report,
        now: Duration,
    ) {
        let hubs = self.hubs.entry(Arc::clone(failure_domain)).or_default();
        let last_total = hubs.values().map(|hub| hub.last_total).max();
        let known = hubs.entry(Arc::clone(hub)).or_insert(Hub {
            incarnation: report.incarnation,
            heard_at: now,
            since_ms: report.since_ms,
            until_ms: 0,
            windows: BTreeMap::new(),
            last_total: last_total.unwrap_or_default(),
        });
        // A hub that was none for a while begins anew. True time is corrected by less than that.
        let restarted = known.incarnation != report.incarnation
            || report.since_ms.abs_diff(known.since_ms) > SINCE_CORRECTION_MS;
        if restarted {
            known.incarnation = report.incarnation;
            known.windows.clear();
        }
        known.heard_at = now;
        known.until_ms = report.until_ms;
        known.since_ms = report.since_ms;
        for window in report.windows {
            if self.settled.is_none_or(|settled| window.index > settled) {
                known.windows.entry(window.index).or_default().merge(window);
            }
        }
        while known.windows.len() > WINDOWS {
            known.windows.pop_first();
        }
    }

    /// Drops the windows up to `index`, and the hubs that are silent for long.
    pub fn settle(&mut self, index: u64, now: Duration) {
        if self.settled.is_some_and(|settled| settled >= index) {
            return;
        }
        self.settled = Some(index);
        for hubs in self.hubs.values_mut() {
            hubs.retain(|_, hub| now.saturating_sub(hub.heard_at) < REMEMBERED);
            for hub in hubs.values_mut() {
                if let Some(window) = hub.windows.get(&index) {
                    hub.last_total = window.total;
                }
                hub.windows = hub.windows.split_off(&(index + 1));
            }
        }
        self.hubs.retain(|_, hubs| !hubs.is_empty());
    }

    /// Returns what is known of a window; `expected` are the failure domains with entries.
    #[must_use]
    pub fn count(&self, index: u64, expected: &BTreeSet<Arc<str>>, now: Duration) -> Count {
        let mut count = Count::default();
        let heard = self.hubs.iter().filter(|(_, hubs)| {
            let heard = |hub: &Hub| now.saturating_sub(hub.heard_at) < REMEMBERED;
            hubs.values().any(heard)
        });
        let heard = heard.map(|(failure_domain, _)| failure_domain);
        let domains: BTreeSet<&Arc<str>> = expected.iter().chain(heard).collect();
        for failure_domain in domains {
            self.add_domain(&mut count, index, failure_domain);
        }
        count
    }

    /// Adds the requests of a failure domain: those of its hub that has received the most.
    fn add_domain(&self, count: &mut Count, index: u64, failure_domain: &Arc<str>) {
        let began_ms = index.saturating_mul(self.window_ms);
        let end_ms = began_ms.saturating_add(self.window_ms);
        let hubs = self.hubs.get(failure_domain);
        let best = hubs
            .into_iter()
            .flat_map(BTreeMap::values)
            .max_by_key(|hub| {
                let window = hub.windows.get(&index);
                let whole = window.is_none_or(|window| window.is_whole() && !window.open);
                let complete = whole && hub.until_ms >= end_ms;
                let sum = window.map_or(0, |window| window.sum);
                (complete, hub.since_ms <= began_ms, sum)
            });
        let Some(hub) = best else {
            count.waiting.push(Arc::clone(failure_domain));
            // Nothing is known of its requests: none of them can be left out.
            count.missing = u64::MAX;
            return;
        };
        let window = hub.windows.get(&index);
        let whole = window.is_none_or(|window| window.is_whole() && !window.open);
        count.gap |= hub.since_ms > began_ms;
        if let Some(window) = window {
            for (account, requests) in &window.counts {
                *count.counts.entry(Arc::clone(account)).or_default() += requests;
            }
            count.missing = count.missing.saturating_add(window.at_risk);
        }
        if whole && hub.until_ms >= end_ms {
            return;
        }
        count.waiting.push(Arc::clone(failure_domain));
        let covered_ms = hub.until_ms.clamp(began_ms, end_ms) - began_ms;
        // The usual requests of a window: in others, or as in the part of this one that is covered.
        let others = hub.windows.values().map(|window| window.total).max();
        let total = window.map_or(0, |window| window.total);
        let extrapolated = total.saturating_mul(self.window_ms).checked_div(covered_ms);
        let usual = hub.last_total.max(others.unwrap_or_default());
        let usual = usual.max(extrapolated.unwrap_or_default());
        let uncovered = usual.saturating_mul(self.window_ms - covered_ms);
        let unreceived = window.map_or(0, |window| window.total.saturating_sub(window.sum));
        let missing = uncovered / self.window_ms.max(1) + unreceived;
        count.missing = count.missing.saturating_add(missing);
    }
}
