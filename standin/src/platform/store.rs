//! Key-value store with compare-and-swap, leases and a history of changes for watches.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Maximum size of a value, in bytes.
const VALUE_LIMIT: usize = 1 << 20;

/// Maximum number of changes kept for watches; beyond it the older half is dropped, and a watch
/// from an older revision misses those changes.
const CHANGE_LIMIT: usize = 100_000;

/// A key with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Revision of the store that wrote the value.
    pub revision: u64,
}

/// A change of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The new value, or `None` if the key was deleted.
    pub value: Option<String>,
    /// Revision of the store that the change produced.
    pub revision: u64,
}

/// Why a write was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// The key's revision is not the expected one; contains the current item.
    Conflict(Option<Item>),
    /// The lease has ended or was never granted.
    NoSuchLease,
    /// The value exceeds the size limit.
    TooLarge,
}

/// A lease, at whose end the keys written with it are deleted.
#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// A stored value, with the lease that it depends on.
#[derive(Clone, Debug)]
struct StoredValue {
    value: String,
    revision: u64,
    lease: Option<u64>,
}

/// The store.
#[derive(Debug, Default)]
pub(super) struct Store {
    revision: u64,
    items: BTreeMap<String, StoredValue>,
    previous: BTreeMap<String, Option<StoredValue>>,
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
        self.expire_leases(now);
        self.items.get(key).map(|stored| to_item(key, stored))
    }

    /// Returns the item under `key` before the last change of the key.
    pub(super) fn get_stale(&self, key: &str) -> Option<Item> {
        let stored = match self.previous.get(key) {
            Some(previous) => previous.as_ref(),
            None => self.items.get(key),
        };
        stored.map(|stored| to_item(key, stored))
    }

    /// Returns the items whose keys start with `prefix`; with `stale`, as before their last change.
    pub(super) fn list(&mut self, prefix: &str, stale: bool, now: Instant) -> Vec<Item> {
        self.expire_leases(now);
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
                self.items.get(key).map(|stored| to_item(key, stored))
            })
            .collect()
    }

    /// Returns the changes after revision `after` of the keys that start with `prefix`.
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

    /// Writes or, without a value, deletes `key` if its revision is `expected`.
    ///
    /// An expected revision of 0 requires that the key does not exist; `None` accepts any revision.
    pub(super) fn write(
        &mut self,
        key: &str,
        value: Option<String>,
        expected: Option<u64>,
        lease: Option<u64>,
        now: Instant,
    ) -> Result<u64, Refusal> {
        self.expire_leases(now);
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
        let revision = current.map_or(0, |stored| stored.revision);
        if expected.is_some_and(|expected| expected != revision) {
            return Err(Refusal::Conflict(
                current.map(|stored| to_item(key, stored)),
            ));
        }
        Ok(self.apply(key, value, lease))
    }

    /// Grants a lease that expires after `ttl` unless it is renewed.
    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.next_lease += 1;
        let expires = now + ttl;
        self.leases.insert(self.next_lease, Lease { ttl, expires });
        self.next_lease
    }

    /// Renews a lease; returns whether it was still valid.
    pub(super) fn renew(&mut self, lease: u64, now: Instant) -> bool {
        self.expire_leases(now);
        match self.leases.get_mut(&lease) {
            Some(lease) => {
                lease.expires = now + lease.ttl;
                true
            }
            None => false,
        }
    }

    /// Ends a lease; returns whether it was still valid.
    pub(super) fn revoke(&mut self, lease: u64, now: Instant) -> bool {
        let valid = self.renew(lease, now);
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.expires = now;
        }
        self.expire_leases(now);
        valid
    }

    /// Removes the expired leases and deletes the keys that were written with them.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let count = self.leases.len();
        self.leases.retain(|_, lease| lease.expires > now);
        if self.leases.len() == count {
            return;
        }
        let expired_keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, stored)| {
                stored
                    .lease
                    .is_some_and(|lease| !self.leases.contains_key(&lease))
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired_keys {
            self.apply(&key, None, None);
        }
    }

    /// Applies a change, records it for watches and returns its revision.
    fn apply(&mut self, key: &str, value: Option<String>, lease: Option<u64>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let previous = match &value {
            Some(value) => self.items.insert(
                key.to_owned(),
                StoredValue {
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
        if self.changes.len() > CHANGE_LIMIT {
            self.changes.drain(..CHANGE_LIMIT / 2);
        }
        revision
    }
}

/// Returns the item of a key and its stored value.
fn to_item(key: &str, stored: &StoredValue) -> Item {
    Item {
        key: key.to_owned(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}
