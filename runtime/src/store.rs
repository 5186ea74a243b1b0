//! The interface to the platform: a key-value store with compare-and-swap, leases and watches, and
//! the list of instances.
//!
//! The rest of the system uses the trait [`Store`]; an adapter for each platform implements it.

use std::future::Future;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A key with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Revision of the store at which the value was written.
    pub revision: u64,
}

/// The items whose keys start with a prefix.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// Revision of the store at which the items were read.
    pub revision: u64,
    /// Era of the store that answered, which increases when it is restored from a copy; 0 if it names
    /// none.
    #[serde(default)]
    pub era: u64,
}

/// A change of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The new value; `None` if the key was deleted.
    pub value: Option<String>,
    /// Revision of the store that the change created.
    pub revision: u64,
}

impl Change {
    /// Returns the size of the key and the value, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, String::len)
    }
}

impl From<Item> for Change {
    fn from(item: Item) -> Self {
        Self {
            key: item.key,
            value: Some(item.value),
            revision: item.revision,
        }
    }
}

/// The changes that a watch returned.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Revision of the store up to which the changes are complete.
    pub revision: u64,
    /// Era of the store that answered, which increases when it is restored from a copy; 0 if it names
    /// none.
    #[serde(default)]
    pub era: u64,
}

/// An instance on the platform's list of instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// `engine`, `service` or `entry`.
    pub role: String,
    /// Service that a backend server belongs to; empty for entries.
    pub service: String,
    /// Version that a backend server serves; empty for entries.
    pub version: String,
    /// Address of the instance.
    pub address: String,
    /// Failure domain that the instance runs in.
    pub failure_domain: String,
    /// Region that the instance runs in.
    pub region: String,
    /// KV-cache capacity of an engine, in tokens; 0 for other roles.
    pub memory_tokens: u64,
    /// Whether the instance is shutting down and takes no new requests.
    pub leaving: bool,
}

/// A lease that the platform granted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Lease(pub u64);

/// A key that must have a revision for a write of another key to be carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guard<'key> {
    /// The key.
    pub key: &'key str,
    /// The revision; 0 means that the key must not exist.
    pub revision: u64,
}

/// A write that was carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Written {
    /// Revision of the store that the write created.
    pub revision: u64,
    /// Era of the store that answered; 0 if it names none.
    pub era: u64,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The call had no effect: the platform refused it or did not receive it.
    #[snafu(display("the platform did not take the call: {reason}; try again when it is back"))]
    Unavailable {
        /// Cause of the failure.
        reason: String,
    },
    /// The call may have taken effect: its response was lost.
    #[snafu(display(
        "the platform's answer was lost: {reason}; read the key back before trying again"
    ))]
    Lost {
        /// Cause of the failure.
        reason: String,
    },
    /// The key does not have the expected revision.
    #[snafu(display("the key was changed by another; read it and try again"))]
    Conflict {
        /// The current item; `None` if the key has no value.
        current: Option<Item>,
    },
    /// The lease has expired or was revoked.
    #[snafu(display("the lease has ended; ask for a new one"))]
    LeaseEnded,
    /// The platform no longer has the changes after the revision that a watch started from.
    #[snafu(display("the platform no longer has the history; read the keys anew"))]
    HistoryGone,
    /// The value exceeds the size limit of the platform.
    #[snafu(display("the value is too large for the platform; make it smaller than 1 MiB"))]
    TooLarge,
}

/// The platform's key-value store and list of instances.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>, Error>> + Send;

    /// Writes a key if its revision is `expected` and returns the new revision. An `expected` of 0
    /// means that the key must not exist.
    fn put(
        &self,
        key: &str,
        value: String,
        expected: u64,
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Writes a key, whatever its value is, if the key of `guard` has the expected revision. The default is
    /// for platforms without transactions over several keys: it only writes keys that guard themselves, and
    /// names no era.
    fn put_guarded(
        &self,
        key: &str,
        value: String,
        lease: Option<Lease>,
        guard: Guard<'_>,
    ) -> impl Future<Output = Result<Written, Error>> + Send {
        async move {
            if guard.key != key {
                return Err(Error::Unavailable {
                    reason: "the platform has no transactions over several keys".to_owned(),
                });
            }
            let revision = self.put(key, value, guard.revision, lease).await?;
            Ok(Written { revision, era: 0 })
        }
    }

    /// Deletes a key if its revision is `expected` and returns the new revision of the store.
    fn delete(&self, key: &str, expected: u64) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads the items whose keys start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Reads the items whose keys start with `prefix`, as they were up to a few seconds ago, which may
    /// cost the platform less.
    fn list_cached(&self, prefix: &str) -> impl Future<Output = Result<Listing, Error>> + Send {
        self.list(prefix)
    }

    /// Waits up to `timeout` for changes after revision `after` of keys that start with `prefix`.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        timeout: Duration,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Returns the bytes of the responses to lists and watches so far, those under way included: while they
    /// arrive, a call is not lost.
    fn received(&self) -> u64 {
        0
    }

    /// Requests a lease that expires after `ttl` unless it is renewed.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Renews a lease and returns the era of the store that answered; 0 if it names none. After a restore the
    /// lease may be that of another.
    fn renew_in_era(&self, lease: Lease) -> impl Future<Output = Result<u64, Error>> + Send {
        async move { self.renew(lease).await.map(|()| 0) }
    }

    /// Ends a lease.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the list of instances.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>, Error>> + Send;
}
