//! Stores a change of a declaration by compare-and-swap; after a lost answer, reads the declaration
//! again to find out whether the change was stored.
//!
//! Each stored declaration holds the identifiers of its last changes, so that a change is recognised
//! even if another operator's change has replaced it.

use std::time::Duration;

use medlarfall_schema::declaration::{Change as Past, Service};
use snafu::Snafu;
use tokio::time::Instant;
use tonic::Status;

use crate::modules::declarations::PREFIX;
use crate::platform::{self, Item, Store};

mod change;

pub use change::Change;

/// Time limit for storing a change, including reading it again after lost answers.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reads of a revision older than the operator has seen after which the change is refused.
const MAX_OUTDATED_READS: usize = 5;

/// Changes kept in the history of a declaration.
const HISTORY_LIMIT: usize = 32;

/// Why a change was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// A value of the declaration cannot be used.
    #[snafu(display("`{key} = {value}` cannot be used: {remedy}"))]
    Invalid {
        /// Name of the value.
        key: &'static str,
        /// The value.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
    /// Another change was stored first.
    #[snafu(display(
        "service `{name}` is at revision {newer}, not {seen}: list it, then apply your change to that revision"
    ))]
    Conflict {
        /// Name of the service.
        name: String,
        /// Revision that the operator has seen.
        seen: u64,
        /// Revision in the store.
        newer: u64,
    },
    /// So many changes were stored since that the history no longer shows whether this one was.
    #[snafu(display(
        "service `{name}` is at revision {newer}, not {seen}, and the changes right after {seen} are no longer kept: list it, and if your change is not in it apply the change to that revision"
    ))]
    Forgotten {
        /// Name of the service.
        name: String,
        /// Revision that the operator has seen.
        seen: u64,
        /// Revision in the store.
        newer: u64,
    },
    /// The store returns an older revision than the operator has seen.
    #[snafu(display(
        "the change was not stored: the store returns revision {older} of service `{name}`, older than {seen}; check the revision, and apply the change again when the store is up to date"
    ))]
    Older {
        /// Name of the service.
        name: String,
        /// Revision that the operator has seen.
        seen: u64,
        /// Revision that the store returns.
        older: u64,
    },
    /// The store refused the change.
    #[snafu(display(
        "the change was not stored: {reason}; apply it again when the platform is back"
    ))]
    NotStored {
        /// What happened.
        reason: String,
    },
    /// It is not known whether the change was stored.
    #[snafu(display(
        "it is not known whether the change was stored: {reason}; apply it again with the same change id"
    ))]
    Unknown {
        /// What happened.
        reason: String,
    },
}

impl From<Error> for Status {
    fn from(error: Error) -> Self {
        let message = error.to_string();
        match error {
            Error::Invalid { .. } => Self::invalid_argument(message),
            Error::Conflict { .. } | Error::Forgotten { .. } => Self::aborted(message),
            Error::Older { .. } | Error::NotStored { .. } => Self::unavailable(message),
            Error::Unknown { .. } => Self::unknown(message),
        }
    }
}

/// How a change compares with the newest known declaration.
enum Comparison {
    /// The change was stored, as this declaration.
    Stored(Box<Service>),
    /// The change is based on this declaration and may be stored.
    Next(Box<Service>),
    /// The store returned this revision, which is older than the one that the operator has seen.
    Behind(u64),
}

/// Stores a change and returns the stored declaration; a change that is already stored is not stored
/// again.
///
/// `known` is the newest declaration of the service that this entry has seen; it is used in place of
/// an older one that the store returns.
///
/// # Errors
///
/// Returns why the change was refused, or that it is not known whether it was stored.
pub async fn store<S: Store>(
    store: &S,
    known: Option<&Service>,
    change: Change,
) -> Result<Service, Error> {
    let key = format!("{PREFIX}{}", change.service.name);
    let deadline = Instant::now() + SETTLE_LIMIT;
    let mut writer = Writer {
        store,
        key,
        known: known.cloned().unwrap_or_default(),
        change,
        maybe_stored: false,
        conflicting: None,
        outdated_reads: 0,
    };
    loop {
        if let Some(outcome) = writer.attempt().await {
            return outcome;
        }
        if Instant::now() >= deadline {
            return Err(writer.unsettled());
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// The stored item, or its absence, as returned by a write that was refused as a conflict.
struct ConflictingItem(Option<Item>);

/// The state of one change that is being stored.
struct Writer<'a, S> {
    store: &'a S,
    key: String,
    known: Service,
    change: Change,
    /// Whether a write may have taken effect.
    maybe_stored: bool,
    /// Item returned by a refused write; a read might return an older one.
    conflicting: Option<ConflictingItem>,
    outdated_reads: usize,
}

impl<S: Store> Writer<'_, S> {
    /// Reads, compares and writes once; returns nothing if another attempt is needed.
    async fn attempt(&mut self) -> Option<Result<Service, Error>> {
        let item = match self.read().await {
            Ok(item) => item,
            Err(error) => return self.failed(&error),
        };
        let current = match item.as_ref().map(declaration).transpose() {
            Ok(current) => current.unwrap_or_default(),
            Err(error) => return self.failed(&error),
        };
        let base = match self.compare(current) {
            Ok(Comparison::Stored(service)) => return Some(Ok(*service)),
            Ok(Comparison::Next(base)) => *base,
            Ok(Comparison::Behind(older)) => return self.behind(older),
            Err(error) => return Some(Err(error)),
        };
        let service = self.next(&base);
        let value = match serde_json::to_string(&service) {
            Ok(value) => value,
            Err(error) => return self.failed(&error),
        };
        let expected = item.map_or(0, |item| item.revision);
        match self.store.put(&self.key, value, expected, None).await {
            Ok(_) => Some(Ok(service)),
            Err(platform::Error::Conflict { current }) => {
                self.conflicting = Some(ConflictingItem(current));
                None
            }
            Err(platform::Error::Lost { .. }) => {
                self.maybe_stored = true;
                None
            }
            Err(error) => self.failed(&error),
        }
    }

    /// Returns the item that a refused write returned, or else reads it from the store.
    async fn read(&mut self) -> Result<Option<Item>, platform::Error> {
        match self.conflicting.take() {
            Some(ConflictingItem(item)) => Ok(item),
            None => self.store.get(&self.key).await,
        }
    }

    /// Compares the change with the newest known declaration.
    fn compare(&self, current: Service) -> Result<Comparison, Error> {
        let Change { service, seen } = &self.change;
        let newest = if current.revision >= self.known.revision {
            current
        } else {
            self.known.clone()
        };
        let newer = newest.revision;
        let name = service.name.clone();
        let stored = newest
            .history
            .iter()
            .find(|past| past.change_id == service.change_id);
        let oldest_kept = newest.history.first().map_or(newer, |past| past.revision);
        match stored {
            _ if newest.change_id == service.change_id => Ok(Comparison::Stored(Box::new(newest))),
            Some(past) => {
                let mut service = service.clone();
                service.revision = past.revision;
                Ok(Comparison::Stored(Box::new(service)))
            }
            None if newer == *seen => Ok(Comparison::Next(Box::new(newest))),
            None if newer < *seen => Ok(Comparison::Behind(newer)),
            None if oldest_kept > seen + 1 => Err(Error::Forgotten {
                name,
                seen: *seen,
                newer,
            }),
            None => Err(Error::Conflict {
                name,
                seen: *seen,
                newer,
            }),
        }
    }

    /// Returns the declaration to store after `base`.
    fn next(&self, base: &Service) -> Service {
        let mut service = self.change.service.clone();
        service.moved = base.moved;
        service.history.clone_from(&base.history);
        record_history(&mut service);
        service
    }

    /// Returns an error, or nothing if a write may have taken effect and must be looked up first.
    fn failed(&self, error: &impl ToString) -> Option<Result<Service, Error>> {
        let reason = error.to_string();
        (!self.maybe_stored).then_some(Err(Error::NotStored { reason }))
    }

    /// Returns an error once the store has returned outdated revisions repeatedly, unless a write may
    /// have taken effect.
    fn behind(&mut self, older: u64) -> Option<Result<Service, Error>> {
        self.outdated_reads += 1;
        let refused = !self.maybe_stored && self.outdated_reads >= MAX_OUTDATED_READS;
        refused.then(|| {
            Err(Error::Older {
                name: self.change.service.name.clone(),
                seen: self.change.seen,
                older,
            })
        })
    }

    /// Returns the error of a change whose outcome is unknown at the deadline.
    fn unsettled(&self) -> Error {
        let reason = format!(
            "the store gave no clear answer for {} s",
            SETTLE_LIMIT.as_secs()
        );
        if self.maybe_stored {
            return Error::Unknown { reason };
        }
        Error::NotStored { reason }
    }
}

/// Adds a declaration's own change to its history, and removes the oldest changes above
/// [`HISTORY_LIMIT`].
pub fn record_history(service: &mut Service) {
    let skipped = (service.history.len() + 1).saturating_sub(HISTORY_LIMIT);
    service.history.drain(..skipped);
    service.history.push(Past {
        change_id: service.change_id.clone(),
        revision: service.revision,
    });
}

/// Parses the declaration in an item.
fn declaration(item: &Item) -> Result<Service, serde_json::Error> {
    serde_json::from_str(&item.value)
}
