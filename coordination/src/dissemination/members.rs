//! The entries that report to a hub, and the sums of their reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::autoscaling::Demand;
use crate::retry_budget::Usage;

use super::ledger::Count;
use super::{Report, Tag};

/// Time after which the report of a silent entry no longer counts. Entries report at least each
/// second.
const FRESH: Duration = Duration::from_millis(3_500);

/// Time for which a hub sends digests to a silent entry: one that starts again while the store is
/// unavailable learns of its hubs by these.
const REMEMBERED: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Member {
    address: Option<SocketAddr>,
    heard_at: Duration,
    counted: bool,
    streams: Vec<(Tag, Count)>,
    usage: Vec<(Arc<str>, Usage)>,
    demands: Vec<(Arc<str>, Demand)>,
}

/// What a report changed.
#[derive(Clone, Debug, Default)]
pub(super) struct Change {
    /// Servers whose sums may have changed.
    pub(super) servers: Vec<Tag>,
    /// Whether requests or retries may have changed.
    pub(super) usage: bool,
    /// Demand of all entries, by service, if it may have changed.
    pub(super) demands: Vec<(Arc<str>, Demand)>,
    /// Whether the entry's streams differ from those that it reported before.
    pub(super) streams: bool,
    /// Whether the entry has reported for the first time, or again after a silence.
    pub(super) joined: bool,
}

/// The entries that report, with their last reports.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    members: HashMap<Arc<str>, Member>,
    sums: HashMap<Tag, Count>,
}

impl Members {
    /// Replaces the report of an entry; `address` is `None` for the own entry. Returns what may have
    /// changed.
    pub(super) fn record(
        &mut self,
        entry: &Arc<str>,
        address: Option<SocketAddr>,
        report: &Report,
        now: Duration,
    ) -> Change {
        let member = Member {
            address,
            heard_at: now,
            counted: true,
            streams: report.streams.clone(),
            usage: report.usage.clone(),
            demands: report.demands.clone(),
        };
        let before = self.members.insert(Arc::clone(entry), member);
        let joined = before.as_ref().is_none_or(|before| !before.counted);
        let demands = !report.demands.is_empty();
        let (before, usage, known) = before
            .map(|before| (before.streams, before.usage, before.demands))
            .unwrap_or_default();
        if let Some(member) = self.members.get_mut(entry).filter(|_| !demands) {
            member.demands = known;
        }
        let changed = before != report.streams;
        for (server, count) in &before {
            let sum = self.sums.entry(*server).or_default();
            *sum = sum.minus(*count);
        }
        for (server, count) in &report.streams {
            let sum = self.sums.entry(*server).or_default();
            *sum = sum.plus(*count);
        }
        let after = report.streams.iter();
        let mut servers: Vec<Tag> = before.iter().chain(after).map(|(tag, _)| *tag).collect();
        servers.sort_unstable();
        servers.dedup();
        Change {
            servers,
            usage: usage != report.usage,
            demands: if demands || joined {
                self.demands()
            } else {
                Vec::new()
            },
            streams: changed,
            joined,
        }
    }

    /// Stops counting the reports of silent entries and returns what changed. Forgets entries that are
    /// silent for long.
    pub(super) fn expire(&mut self, now: Duration) -> Change {
        let mut change = Change::default();
        for member in self.members.values_mut() {
            if !member.counted || now.saturating_sub(member.heard_at) < FRESH {
                continue;
            }
            member.counted = false;
            member.usage.clear();
            member.demands.clear();
            change.usage = true;
            for (server, count) in std::mem::take(&mut member.streams) {
                if let Some(sum) = self.sums.get_mut(&server) {
                    *sum = sum.minus(count);
                }
                change.servers.push(server);
            }
        }
        self.members
            .retain(|_, member| now.saturating_sub(member.heard_at) < REMEMBERED);
        if change.usage {
            change.demands = self.demands();
        }
        self.sums.retain(|_, sum| !sum.is_empty());
        change
    }

    /// Returns the sum of all entries' streams at a server.
    pub(super) fn at(&self, server: Tag) -> Count {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    /// Returns all sums that are not zero.
    pub(super) fn sums(&self) -> impl Iterator<Item = (Tag, Count)> {
        self.sums.iter().map(|(server, sum)| (*server, *sum))
    }

    /// Returns the number of entries whose reports count.
    pub(super) fn counted(&self) -> u32 {
        let counted = self.members.values().filter(|member| member.counted);
        u32::try_from(counted.count()).unwrap_or(u32::MAX)
    }

    /// Returns the requests and retries of all entries, by service.
    pub(super) fn usage(&self) -> Vec<(Arc<str>, Usage)> {
        let mut sums: HashMap<&Arc<str>, Usage> = HashMap::new();
        let members = self.members.values().filter(|member| member.counted);
        for (service, usage) in members.flat_map(|member| &member.usage) {
            let sum = sums.entry(service).or_default();
            *sum = sum.plus(*usage);
        }
        let sums = sums.into_iter();
        sums.map(|(service, usage)| (Arc::clone(service), usage))
            .collect()
    }

    /// Returns the demand of all entries, by service.
    pub(super) fn demands(&self) -> Vec<(Arc<str>, Demand)> {
        let mut sums: HashMap<&Arc<str>, Demand> = HashMap::new();
        let members = self.members.values().filter(|member| member.counted);
        for (service, demand) in members.flat_map(|member| &member.demands) {
            let sum = sums.entry(service).or_default();
            *sum = sum.plus(*demand);
        }
        let sums = sums.into_iter();
        sums.map(|(service, demand)| (Arc::clone(service), demand))
            .collect()
    }

    /// Returns the addresses of the entries to send digests to, those of silent ones only with
    /// `silent`.
    pub(super) fn addresses(&self, silent: bool) -> Vec<SocketAddr> {
        let members = self.members.values();
        let members = members.filter(|member| silent || member.counted);
        members.filter_map(|member| member.address).collect()
    }
}
