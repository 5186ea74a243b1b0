//! Instance list of the platform: live and leaving instances, visible after a delay.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// An instance of the instance list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Instance {
    /// Unique name of the instance.
    pub name: String,
    /// Role: `engine`, `service` or `entry`.
    pub role: String,
    /// Service to which a backend server belongs; empty for entries.
    pub service: String,
    /// Version that a backend server serves; empty for entries.
    pub version: String,
    /// Address of the HTTP port of an engine or service, or of the peers' port of an entry.
    pub address: String,
    /// Failure domain that the instance runs in.
    pub failure_domain: String,
    /// Region that the instance runs in.
    pub region: String,
    /// Memory of an engine, in tokens; 0 for other roles.
    pub memory_tokens: u64,
    /// Whether the instance is about to stop.
    pub leaving: bool,
}

/// Instance list, with the changes that are not visible yet.
#[derive(Debug)]
pub(super) struct List {
    lag: Duration,
    pending: Vec<(Instant, String, Option<Instance>)>,
    visible: BTreeMap<String, Instance>,
}

impl List {
    /// Returns an empty list whose changes become visible after `lag`.
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            pending: Vec::new(),
            visible: BTreeMap::new(),
        }
    }

    /// Adds or replaces an instance.
    pub(super) fn put(&mut self, instance: Instance) {
        let name = instance.name.clone();
        self.pending
            .push((Instant::now() + self.lag, name, Some(instance)));
    }

    /// Removes an instance.
    pub(super) fn remove(&mut self, name: &str) {
        self.pending
            .push((Instant::now() + self.lag, name.to_owned(), None));
    }

    /// Returns the instances that are visible at `now`.
    pub(super) fn visible(&mut self, now: Instant) -> Vec<Instance> {
        let due = self.pending.partition_point(|(at, ..)| *at <= now);
        for (_, name, instance) in self.pending.drain(..due) {
            match instance {
                Some(instance) => self.visible.insert(name, instance),
                None => self.visible.remove(&name),
            };
        }
        self.visible.values().cloned().collect()
    }
}
