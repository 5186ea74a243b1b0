//! The operators' order to move a service, and what its state in the store means for the known one.

use std::sync::Arc;
use std::time::Duration;

use crate::history::Revision;

/// The operators' order to move a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The version to move to.
    pub version: Arc<str>,
    /// Revision of the order in the store.
    pub revision: Revision,
    /// Duration of the move.
    pub duration: Duration,
}

/// What the state of an order in the store means for the known order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reading {
    /// It is older than the known order, or the same.
    Stale,
    /// It is the known order, in a store that was restored or to which the operators wrote it again.
    Repeated,
    /// It may be older than the known order: the store was restored, and the operators may still have to
    /// write their order again.
    Unsettled,
    /// It replaces the known order.
    Newer,
}

impl Order {
    /// Compares this order with the one that the store has at a revision, or with its absence. `settled` is
    /// false for a time after the store has been unavailable or restored.
    #[must_use]
    pub fn compare(&self, read: Option<&Order>, revision: Revision, settled: bool) -> Reading {
        let restored = self.revision.is_of_earlier_era(revision);
        let repeats = |read: &Order| read.version == self.version && read.duration == self.duration;
        match read {
            _ if revision <= self.revision => Reading::Stale,
            Some(read) if repeats(read) && (restored || !settled) => Reading::Repeated,
            _ if restored && !settled => Reading::Unsettled,
            _ => Reading::Newer,
        }
    }
}
