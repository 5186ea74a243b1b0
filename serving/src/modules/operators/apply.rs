//! Storing a declaration: one compare-and-swap, settled by reading back if its answer is lost.
//!
//! Each value holds the identifiers of the last changes, so that a change is recognised also when
//! another operator's change came right after it.

use std::time::Duration;

use medlarfall_schema::declaration::{Change as Past, Service};
use snafu::Snafu;
use tokio::time::Instant;
use tonic::Status;

use crate::modules::declarations::PREFIX;
use crate::platform::{self, Item, Store};

mod change;

pub use change::Change;

/// Longest time in which a write whose answer was lost is settled by reading back.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);

/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reads after which a store that returns an older revision than the operator has seen is given up.
const OLD_READS: usize = 5;

/// Changes that a declaration remembers.
const HISTORY: usize = 32;

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
    /// Another change came first.
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
    /// Other changes came later, so many that it is no longer known whether this one was stored.
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
    /// The store did not take the change.
    #[snafu(display(
        "the change was not stored: {reason}; apply it again when the platform is back"
    ))]
    NotStored {
        /// What happened.
        reason: String,
    },
    /// It could not be settled whether the change was stored.
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

/// What the newest known declaration means for a change.
enum Standing {
    /// The change was stored, as this declaration.
    Stored(Box<Service>),
    /// The change may be stored after this declaration.
    Next(Box<Service>),
    /// The store is behind what the operator has seen.
    Behind(u64),
}

/// Stores a change, or returns what was stored if this very change was stored before.
///
/// `held` is the newest declaration of the service that this entry has seen: a store that returns
/// an older one is not believed.
///
/// # Errors
///
/// Returns whether the change was not stored, or may have been.
pub async fn store<S: Store>(
    store: &S,
    held: Option<&Service>,
    change: Change,
) -> Result<Service, Error> {
    let key = format!("{PREFIX}{}", change.service.name);
    let deadline = Instant::now() + SETTLE_LIMIT;
    let mut writer = Writer {
        store,
        key,
        held: held.cloned().unwrap_or_default(),
        change,
        sent: false,
        told: None,
        old_reads: 0,
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

/// The item under a key as a refused write showed it.
struct Told(Option<Item>);

/// The state of storing one change.
struct Writer<'a, S> {
    store: &'a S,
    key: String,
    held: Service,
    change: Change,
    /// Whether a write may have taken effect.
    sent: bool,
    /// What a refused write showed, which is newer than what a read may return.
    told: Option<Told>,
    old_reads: usize,
}

impl<S: Store> Writer<'_, S> {
    /// Reads, judges and writes once; returns nothing if another attempt is needed.
    async fn attempt(&mut self) -> Option<Result<Service, Error>> {
        let item = match self.read().await {
            Ok(item) => item,
            Err(error) => return self.failed(&error),
        };
        let current = match item.as_ref().map(declaration).transpose() {
            Ok(current) => current.unwrap_or_default(),
            Err(error) => return self.failed(&error),
        };
        let base = match self.judge(current) {
            Ok(Standing::Stored(service)) => return Some(Ok(*service)),
            Ok(Standing::Next(base)) => *base,
            Ok(Standing::Behind(older)) => return self.behind(older),
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
                self.told = Some(Told(current));
                None
            }
            Err(platform::Error::Lost { .. }) => {
                self.sent = true;
                None
            }
            Err(error) => self.failed(&error),
        }
    }

    /// Returns the item as a refused write showed it, or else reads it.
    async fn read(&mut self) -> Result<Option<Item>, platform::Error> {
        match self.told.take() {
            Some(Told(item)) => Ok(item),
            None => self.store.get(&self.key).await,
        }
    }

    /// Judges the change against the newest declaration known.
    fn judge(&self, current: Service) -> Result<Standing, Error> {
        let Change { service, seen } = &self.change;
        let newest = if current.revision >= self.held.revision {
            current
        } else {
            self.held.clone()
        };
        let newer = newest.revision;
        let name = service.name.clone();
        let stored = newest
            .history
            .iter()
            .find(|past| past.change_id == service.change_id);
        let kept = newest.history.first().map_or(newer, |past| past.revision);
        match stored {
            _ if newest.change_id == service.change_id => Ok(Standing::Stored(Box::new(newest))),
            Some(past) => {
                let mut service = service.clone();
                service.revision = past.revision;
                Ok(Standing::Stored(Box::new(service)))
            }
            None if newer == *seen => Ok(Standing::Next(Box::new(newest))),
            None if newer < *seen => Ok(Standing::Behind(newer)),
            None if kept > seen + 1 => Err(Error::Forgotten {
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

    /// Gives up on a failure unless a write may have taken effect, which is still to be settled.
    fn failed(&self, error: &impl ToString) -> Option<Result<Service, Error>> {
        let reason = error.to_string();
        (!self.sent).then_some(Err(Error::NotStored { reason }))
    }

    /// Gives up on a store that stays behind what the operator has seen.
    fn behind(&mut self, older: u64) -> Option<Result<Service, Error>> {
        self.old_reads += 1;
        let give_up = !self.sent && self.old_reads >= OLD_READS;
        give_up.then(|| {
            Err(Error::Older {
                name: self.change.service.name.clone(),
                seen: self.change.seen,
                older,
            })
        })
    }

    /// Returns the error of a change that could not be settled in time.
    fn unsettled(&self) -> Error {
        let reason = format!(
            "the store gave no clear answer for {} s",
            SETTLE_LIMIT.as_secs()
        );
        if self.sent {
            return Error::Unknown { reason };
        }
        Error::NotStored { reason }
    }
}

/// Adds a declaration's own change to its history, and leaves out what is too old.
pub fn record_history(service: &mut Service) {
    let skipped = (service.history.len() + 1).saturating_sub(HISTORY);
    service.history.drain(..skipped);
    service.history.push(Past {
        change_id: service.change_id.clone(),
        revision: service.revision,
    });
}

/// Returns the declaration in an item.
fn declaration(item: &Item) -> Result<Service, serde_json::Error> {
    serde_json::from_str(&item.value)
}
