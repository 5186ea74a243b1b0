//! Streams at each server and retries of each service, summed by the failure domain of the entries.
//!
//! Digests carry the values that changed and, in turn, some of the others. A value that is not
//! repeated for [`FRESH`] no longer counts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::autoscaling::Demand;
use crate::reader_election::Rank;
use crate::retry_budget::Usage;

use super::{Scope, Tag};

/// Time after which values that are not repeated no longer count. Each value is repeated within
/// about 2 s.
pub const FRESH: Duration = Duration::from_millis(4_500);

/// Time after which another hub of a failure domain replaces a silent one as its source.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time from a report until a digest contains it.
const REPORT_DELAY: Duration = Duration::from_millis(60);

/// Digests within which all values of a failure domain are repeated.
const ROTATION: usize = 5;

/// Number of streams at one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// All streams, including those in prefill.
    pub streams: u32,
    /// Streams in prefill, which wait for their first event.
    pub prefilling: u32,
    /// Backups of streams at other servers. Only those of services whose servers are scaled are counted.
    pub backups: u32,
}

impl Count {
    /// Returns the sum of two counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            streams: self.streams.saturating_add(other.streams),
            prefilling: self.prefilling.saturating_add(other.prefilling),
            backups: self.backups.saturating_add(other.backups),
        }
    }

    /// Returns this count less another, or zero where the other is greater.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            streams: self.streams.saturating_sub(other.streams),
            prefilling: self.prefilling.saturating_sub(other.prefilling),
            backups: self.backups.saturating_sub(other.backups),
        }
    }

    /// Returns whether there is neither a stream nor a backup.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.streams == 0 && self.backups == 0
    }
}

/// State of the entries of one failure domain, in part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// The failure domain.
    pub failure_domain: Arc<str>,
    /// Entries whose reports are counted.
    pub entries: u32,
    /// Streams at servers.
    pub streams: Vec<(Tag, Count)>,
    /// Requests and retries of all entries, by service.
    pub usage: Vec<(Arc<str>, Usage)>,
    /// Demand of all entries, by service whose servers are scaled.
    pub demands: Vec<(Arc<str>, Demand)>,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    count: Count,
    refreshed_at: Duration,
    changed: u64,
}

#[derive(Clone, Debug, Default)]
struct Domain {
    source: Option<(Rank, Duration)>,
    heard_at: Duration,
    entries: u32,
    rows: BTreeMap<Tag, Row>,
    usage: HashMap<Arc<str>, Usage>,
    usage_changed: u64,
    /// Demand by service, and when it was known.
    demands: HashMap<Arc<str>, (Demand, Duration)>,
    /// For each scope, the first server whose value is repeated next.
    next_repeated: [Tag; Scope::COUNT],
}

/// The values of all failure domains, as known to one entry.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    sequence: u64,
    domains: BTreeMap<Arc<str>, Domain>,
    totals: HashMap<Tag, Count>,
    /// Streams of this entry, as it reported them last: they are part of the totals.
    reported_streams: HashMap<Tag, Count>,
    /// The report before, and when it was replaced.
    reported_before: (HashMap<Tag, Count>, Duration),
    /// Retries of this entry, as it reported them last.
    reported_usage: HashMap<Arc<str>, Usage>,
}

impl Ledger {
    /// Returns whether the hub with the rank `rank` is the source of a failure domain's values: no
    /// hub ranked before it was heard of recently.
    pub fn accepts(&mut self, failure_domain: &Arc<str>, rank: Rank, now: Duration) -> bool {
        let domain = self.domains.entry(Arc::clone(failure_domain)).or_default();
        let accepted = domain.source.is_none_or(|(source, heard_at)| {
            rank <= source || now.saturating_sub(heard_at) > SOURCE_TIMEOUT
        });
        if accepted {
            domain.source = Some((rank, now));
        }
        accepted
    }

    /// Applies values of a failure domain.
    pub fn apply(&mut self, summary: Summary, now: Duration) {
        for (server, count) in summary.streams {
            self.set(&summary.failure_domain, server, count, now);
        }
        let domain = self.domains.entry(summary.failure_domain).or_default();
        domain.heard_at = now;
        domain.entries = summary.entries;
        for (service, demand) in summary.demands {
            domain.demands.insert(service, (demand, now));
        }
        for (service, usage) in summary.usage {
            let known = domain.usage.insert(service, usage);
            if known.is_none_or(|known| known.retries != usage.retries) {
                self.sequence += 1;
                domain.usage_changed = self.sequence;
            }
        }
    }

    /// Sets the streams of a failure domain's entries at one server.
    pub fn set(&mut self, failure_domain: &Arc<str>, server: Tag, count: Count, now: Duration) {
        let domain = self.domains.entry(Arc::clone(failure_domain)).or_default();
        let row = domain.rows.entry(server).or_insert(Row {
            count: Count::default(),
            refreshed_at: now,
            changed: 0,
        });
        row.refreshed_at = now;
        if row.count == count {
            return;
        }
        self.sequence += 1;
        row.changed = self.sequence;
        let total = self.totals.entry(server).or_default();
        *total = total.minus(row.count).plus(count);
        row.count = count;
    }

    /// Drops the values that were not repeated in time.
    pub fn expire(&mut self, now: Duration) {
        for domain in self.domains.values_mut() {
            let totals = &mut self.totals;
            domain.rows.retain(|server, row| {
                let fresh = now.saturating_sub(row.refreshed_at) < FRESH;
                if let Some(total) = totals.get_mut(server).filter(|_| !fresh) {
                    *total = total.minus(row.count);
                }
                fresh
            });
        }
        self.totals.retain(|_, total| !total.is_empty());
    }

    /// Drops all values of a failure domain but the number of its entries.
    pub fn clear(&mut self, failure_domain: &str) {
        let Some(domain) = self.domains.get_mut(failure_domain) else {
            return;
        };
        for (server, row) in std::mem::take(&mut domain.rows) {
            if let Some(total) = self.totals.get_mut(&server) {
                *total = total.minus(row.count);
            }
        }
        domain.usage.clear();
        domain.demands.clear();
    }

    /// Returns the streams of the other entries at a server.
    ///
    /// The totals contain a report of this entry only after a while. Until then a stream that it has
    /// just started is rather counted twice than left out.
    #[must_use]
    pub fn at(&self, server: Tag, now: Duration) -> Count {
        let in_report = |report: &HashMap<Tag, Count>| report.get(&server).copied();
        let total = self.totals.get(&server).copied().unwrap_or_default();
        let mut own = in_report(&self.reported_streams).unwrap_or_default();
        let (before, replaced_at) = &self.reported_before;
        if now.saturating_sub(*replaced_at) < REPORT_DELAY {
            let before = in_report(before).unwrap_or_default();
            own.streams = own.streams.min(before.streams);
            own.prefilling = own.prefilling.min(before.prefilling);
            own.backups = own.backups.min(before.backups);
        }
        total.minus(own)
    }

    /// Records what this entry reports of itself.
    pub fn set_reported(
        &mut self,
        streams: impl IntoIterator<Item = (Tag, Count)>,
        usage: impl IntoIterator<Item = (Arc<str>, Usage)>,
        now: Duration,
    ) {
        let streams = streams.into_iter().collect();
        if self.reported_streams != streams {
            let before = std::mem::replace(&mut self.reported_streams, streams);
            self.reported_before = (before, now);
        }
        self.reported_usage = usage.into_iter().collect();
    }

    /// Returns the requests and retries of the other entries for a service.
    #[must_use]
    pub fn others_usage(&self, service: &str, now: Duration) -> Usage {
        let fresh = self.fresh(now);
        let usage = fresh.filter_map(|domain| domain.usage.get(service));
        let total = usage.fold(Usage::default(), |total, usage| total.plus(*usage));
        let own = self.reported_usage.get(service);
        total.minus(own.copied().unwrap_or_default())
    }

    /// Returns the demand for a service in each failure domain that has entries; `None` where that of any
    /// entry is unknown.
    pub fn demands(
        &self,
        service: &str,
        now: Duration,
    ) -> impl Iterator<Item = (&Arc<str>, Option<Demand>)> {
        let domains = self.domains.iter().filter(|(_, domain)| domain.entries > 0);
        domains.map(move |(name, domain)| {
            let demand = domain.demands.get(service);
            let known = demand.filter(|(demand, at)| {
                now.saturating_sub(*at) < FRESH && demand.entries >= domain.entries
            });
            (name, known.map(|(demand, _)| *demand))
        })
    }

    /// Returns the number of known entries, whether or not they reported recently.
    #[must_use]
    pub fn entries(&self) -> u32 {
        self.domains.values().map(|domain| domain.entries).sum()
    }

    /// Returns the number of entries in the failure domains that reported recently.
    #[must_use]
    pub fn reporting(&self, now: Duration) -> u32 {
        self.fresh(now).map(|domain| domain.entries).sum()
    }

    /// Returns whether a failure domain's hub was heard of recently.
    #[must_use]
    pub fn hears(&self, failure_domain: &str, now: Duration) -> bool {
        let domain = self.domains.get(failure_domain);
        domain.is_some_and(|domain| now.saturating_sub(domain.heard_at) < FRESH)
    }

    /// Returns the sequence number of the last change of a failure domain's retries.
    #[must_use]
    pub fn usage_changed(&self, failure_domain: &str) -> u64 {
        let domain = self.domains.get(failure_domain);
        domain.map_or(0, |domain| domain.usage_changed)
    }

    /// Returns the sequence number of the last change.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the values for a digest of a scope that changed after the sequence number `after`: those
    /// of all failure domains, or for the hubs of others only those of `own`. With `repeat`, some of
    /// the unchanged values are included.
    pub fn summaries(&mut self, scope: Scope, own: &str, after: u64, repeat: bool) -> Vec<Summary> {
        let domains = self.domains.iter_mut();
        let domains = domains.filter(|(name, _)| scope != Scope::Hubs || ***name == *own);
        let summaries = domains.map(|(name, domain)| domain.summary(name, scope, after, repeat));
        let worth_sending =
            |summary: &Summary| repeat || !summary.streams.is_empty() || !summary.usage.is_empty();
        summaries.filter(worth_sending).collect()
    }

    fn fresh(&self, now: Duration) -> impl Iterator<Item = &Domain> {
        let domains = self.domains.values();
        domains.filter(move |domain| now.saturating_sub(domain.heard_at) < FRESH)
    }
}

impl Domain {
    fn summary(&mut self, name: &Arc<str>, scope: Scope, after: u64, repeat: bool) -> Summary {
        let changed = self.rows.iter().filter(|(_, row)| row.changed > after);
        let mut streams: Vec<(Tag, Count)> = changed.map(|(tag, row)| (*tag, row.count)).collect();
        if repeat {
            let number = self.rows.len().div_ceil(ROTATION);
            let start = self.next_repeated[scope.index()];
            let ring = self.rows.range(start..).chain(self.rows.range(..start));
            let mut ring = ring.map(|(tag, row)| (*tag, row));
            let repeated = ring.by_ref().take(number);
            let unchanged = repeated.filter(|(_, row)| row.changed <= after);
            streams.extend(unchanged.map(|(tag, row)| (tag, row.count)));
            self.next_repeated[scope.index()] = ring.next().map_or(0, |(tag, _)| tag);
        }
        let usage = if repeat || self.usage_changed > after {
            let usage = self.usage.iter();
            usage
                .map(|(service, usage)| (Arc::clone(service), *usage))
                .collect()
        } else {
            Vec::new()
        };
        // Only hubs order servers.
        let demands = if repeat && scope == Scope::Hubs {
            let demands = self.demands.iter();
            demands
                .map(|(service, (demand, _))| (Arc::clone(service), *demand))
                .collect()
        } else {
            Vec::new()
        };
        Summary {
            failure_domain: Arc::clone(name),
            entries: self.entries,
            streams,
            usage,
            demands,
        }
    }
}
