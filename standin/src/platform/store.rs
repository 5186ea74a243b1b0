//! The key-value store: compare-and-swap, leases and the changes that watches return.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Largest value, in bytes.
const VALUE_LIMIT: usize = 1 << 20;

/// Most changes kept for watches; a watch that asks for older ones gets the newest value of each.
const CHANGES_KEPT: usize = 100_000;

/// A value under a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Revision of the store at which the value was written.
    pub revision: u64,
}

/// A change of one key; no value means that the key was deleted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: Option<String>,
    /// Revision of the store that the change made.
    pub revision: u64,
}

/// Why a write was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// Another revision was expected; holds the current item.
    Conflict(Option<Item>),
    /// The lease has ended or never was.
    NoSuchLease,
    /// The value is too large.
    TooLarge,
}

/// A lease.
#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// A value with its lease.
#[derive(Clone, Debug)]
struct Held {
    value: String,
    revision: u64,
    lease: Option<u64>,
}

/// The store.
#[derive(Debug, Default)]
pub(super) struct Store {
    revision: u64,
    items: BTreeMap<String, Held>,
    previous: BTreeMap<String, Option<Held>>,
    changes: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl Store {
    /// Returns the revision of the last change.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the item under `key`.
    pub(super) fn get(&mut self, key: &str, now: Instant) -> Option<Item> {
        self.expire(now);
        self.items.get(key).map(|held| item(key, held))
    }

    /// Returns the item that stood under `key` before its last change.
    pub(super) fn get_stale(&self, key: &str) -> Option<Item> {
        let held = match self.previous.get(key) {
            Some(previous) => previous.as_ref(),
            None => self.items.get(key),
        };
        held.map(|held| item(key, held))
    }

    /// Returns the items whose keys start with `prefix`, as they are or as they were.
    pub(super) fn list(&mut self, prefix: &str, stale: bool, now: Instant) -> Vec<Item> {
        self.expire(now);
        let keys: Vec<&String> = self
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .collect();
        keys.into_iter()
            .filter_map(|key| {
                if stale {
                    return self.get_stale(key);
                }
                self.items.get(key).map(|held| item(key, held))
            })
            .collect()
    }

    /// Returns the changes of keys with `prefix` after revision `after`.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Vec<Change> {
        let start = self
            .changes
            .partition_point(|change| change.revision <= after);
        self.changes[start..]
            .iter()
            .filter(|change| change.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Writes or deletes `key` if its revision is the expected one; 0 expects no value.
    pub(super) fn write(
        &mut self,
        key: &str,
        value: Option<String>,
        expected: Option<u64>,
        lease: Option<u64>,
        now: Instant,
    ) -> Result<u64, Refusal> {
        self.expire(now);
        if value
            .as_ref()
            .is_some_and(|value| value.len() > VALUE_LIMIT)
        {
            return Err(Refusal::TooLarge);
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(Refusal::NoSuchLease);
        }
        let current = self.items.get(key);
        let revision = current.map_or(0, |held| held.revision);
        if expected.is_some_and(|expected| expected != revision) {
            return Err(Refusal::Conflict(current.map(|held| item(key, held))));
        }
        Ok(self.put(key, value, lease))
    }

    /// Grants a lease that lasts `ttl` unless it is renewed.
    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.next_lease += 1;
        let expires = now + ttl;
        self.leases.insert(self.next_lease, Lease { ttl, expires });
        self.next_lease
    }

    /// Renews a lease; returns whether it was still held.
    pub(super) fn renew(&mut self, lease: u64, now: Instant) -> bool {
        self.expire(now);
        match self.leases.get_mut(&lease) {
            Some(lease) => {
                lease.expires = now + lease.ttl;
                true
            }
            None => false,
        }
    }

    /// Ends a lease; returns whether it was still held.
    pub(super) fn revoke(&mut self, lease: u64, now: Instant) -> bool {
        let held = self.renew(lease, now);
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.expires = now;
        }
        self.expire(now);
        held
    }

    /// Ends the leases that have run out and deletes what they held.
    pub(super) fn expire(&mut self, now: Instant) {
        let held = self.leases.len();
        self.leases.retain(|_, lease| lease.expires > now);
        if self.leases.len() == held {
            return;
        }
        let lapsed: Vec<String> = self
            .items
            .iter()
            .filter(|(_, held)| {
                held.lease
                    .is_some_and(|lease| !self.leases.contains_key(&lease))
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in lapsed {
            self.put(&key, None, None);
        }
    }

    /// Records a change and returns its revision.
    fn put(&mut self, key: &str, value: Option<String>, lease: Option<u64>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let previous = match &value {
            Some(value) => self.items.insert(
                key.to_owned(),
                Held {
                    value: value.clone(),
                    revision,
                    lease,
                },
            ),
            None => self.items.remove(key),
        };
        self.previous.insert(key.to_owned(), previous);
        self.changes.push(Change {
            key: key.to_owned(),
            value,
            revision,
        });
        if self.changes.len() > CHANGES_KEPT {
            self.changes.drain(..CHANGES_KEPT / 2);
        }
        revision
    }
}

/// Returns the item that a held value stands for.
fn item(key: &str, held: &Held) -> Item {
    Item {
        key: key.to_owned(),
        value: held.value.clone(),
        revision: held.revision,
    }
}
