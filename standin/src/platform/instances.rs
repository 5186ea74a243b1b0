//! The list of live and leaving instances, which lags behind the truth.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// An instance on the list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// `engine`, `service` or `entry`.
    pub role: String,
    /// Service that a backend server stands behind; empty for entries.
    pub service: String,
    /// Version that a backend server serves; empty for entries.
    pub version: String,
    /// Address of the instance: an engine's or service's HTTP port, an entry's peers' port.
    pub address: String,
    /// Failure domain that the instance runs in.
    pub failure_domain: String,
    /// Region that the instance runs in.
    pub region: String,
    /// Memory of an engine, in tokens; 0 for others.
    pub memory_tokens: u64,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// The list, and what of it can be seen already.
#[derive(Debug)]
pub(super) struct List {
    lag: Duration,
    changes: Vec<(Instant, String, Option<Instance>)>,
    seen: BTreeMap<String, Instance>,
}

impl List {
    /// Returns an empty list whose changes can be seen after `lag`.
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            changes: Vec::new(),
            seen: BTreeMap::new(),
        }
    }

    /// Adds or replaces an instance.
    pub(super) fn put(&mut self, instance: Instance) {
        let name = instance.name.clone();
        self.changes
            .push((Instant::now() + self.lag, name, Some(instance)));
    }

    /// Removes an instance.
    pub(super) fn remove(&mut self, name: &str) {
        self.changes
            .push((Instant::now() + self.lag, name.to_owned(), None));
    }

    /// Returns the instances that can be seen at `now`.
    pub(super) fn seen(&mut self, now: Instant) -> Vec<Instance> {
        let due = self.changes.partition_point(|(at, ..)| *at <= now);
        for (_, name, instance) in self.changes.drain(..due) {
            match instance {
                Some(instance) => self.seen.insert(name, instance),
                None => self.seen.remove(&name),
            };
        }
        self.seen.values().cloned().collect()
    }
}
