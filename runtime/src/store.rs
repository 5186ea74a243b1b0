//! The platform: a key-value service with compare-and-swap, leases and watches, and the instance
//! list.
//!
//! [`Store`] is the interface that the rest of the system uses; each platform has an adapter.

use std::future::Future;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

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

/// The items under a prefix.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// Revision of the store at which they were read.
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

/// The changes that a watch returned.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Revision of the store up to which they are complete.
    pub revision: u64,
}

/// An instance on the platform's list.
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
    /// Address of the instance.
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

/// A lease that the platform granted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Lease(pub u64);

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The call had no effect: it was refused, or never reached the platform.
    #[snafu(display("the platform did not take the call: {reason}; try again when it is back"))]
    Unavailable {
        /// What happened.
        reason: String,
    },
    /// The call may have taken effect: its answer was lost.
    #[snafu(display(
        "the platform's answer was lost: {reason}; read the key back before trying again"
    ))]
    Lost {
        /// What happened.
        reason: String,
    },
    /// The key had another revision than the expected one.
    #[snafu(display("the key was changed by another; read it and try again"))]
    Conflict {
        /// The item as it is now.
        current: Option<Item>,
    },
    /// The lease has ended.
    #[snafu(display("the lease has ended; ask for a new one"))]
    LeaseEnded,
    /// The changes after the revision of a watch are no longer kept.
    #[snafu(display("the platform no longer has the history; read the keys anew"))]
    HistoryGone,
    /// The value is larger than the platform takes.
    #[snafu(display("the value is too large for the platform; make it smaller than 1 MiB"))]
    TooLarge,
}

/// The key-value service.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>, Error>> + Send;

    /// Writes a key if its revision is `expected` (0: if it has no value) and returns the new one.
    fn put(
        &self,
        key: &str,
        value: String,
        expected: u64,
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Deletes a key if its revision is `expected`.
    fn delete(&self, key: &str, expected: u64) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads the keys that start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Waits for changes, after revision `after`, of keys that start with `prefix`.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        timeout: Duration,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Asks for a lease that lasts `ttl` unless it is renewed.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Ends a lease.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the instance list.
    fn instances(&self) -> impl Future<Output = Result<Vec<Instance>, Error>> + Send;
}
