//! Reads and writes moves in the platform's store.

use medlarfall_coordination::rollout::{Phase, Record};
use medlarfall_schema::declaration::Service;
use snafu::Snafu;

use super::PREFIX;
use crate::modules::declarations;
use crate::modules::operators::apply;
use crate::platform::{Error as StoreError, Item, Store};

/// Attempts at a write whose expected revision was outdated or whose answer was lost.
const ATTEMPTS: usize = 5;

/// Why a move was not stored.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// Another move of the service is in progress.
    #[snafu(display(
        "service `{service}` is being moved to `{version}` by move {id}: watch it or cancel it first"
    ))]
    Running {
        /// The service.
        service: String,
        /// Version that it is moved to.
        version: String,
        /// Identifier of the move.
        id: String,
    },
    /// The service has no move with this identifier.
    #[snafu(display(
        "service `{service}` has no move {id}: watch the service to see its last move"
    ))]
    Absent {
        /// The service.
        service: String,
        /// Identifier of the move.
        id: String,
    },
    /// The store refused the write, or it is not known whether it was stored.
    #[snafu(display("it could not be settled what the store holds: {reason}; send it again"))]
    Unsettled {
        /// Cause of the failure.
        reason: String,
    },
}

impl From<StoreError> for Error {
    fn from(error: StoreError) -> Self {
        Self::Unsettled {
            reason: error.to_string(),
        }
    }
}

/// Parses the record in an item.
fn parse(item: &Item) -> Result<Record, Error> {
    serde_json::from_str(&item.value).map_err(|error| Error::Unsettled {
        reason: format!("a stored move cannot be read: {error}"),
    })
}

/// Changes the record of a service by compare-and-swap and returns the record that is then stored.
///
/// `change` returns the new record, or as its inner error the stored one that is to stay. After a
/// lost answer the record is read again: if the write took effect, `change` gets its own result and
/// must keep it.
async fn swap<S: Store>(
    store: &S,
    service: &str,
    change: impl Fn(Option<Record>) -> Result<Result<Record, Record>, Error>,
) -> Result<Record, Error> {
    let key = format!("{PREFIX}{service}");
    for _ in 0..ATTEMPTS {
        let item = store.get(&key).await?;
        let stored = item.as_ref().map(parse).transpose()?;
        let next = match change(stored)? {
            Ok(next) => next,
            Err(kept) => return Ok(kept),
        };
        let value = serde_json::to_string(&next).map_err(|error| Error::Unsettled {
            reason: error.to_string(),
        })?;
        let expected = item.map_or(0, |item| item.revision);
        match store.put(&key, value, expected, None).await {
            Ok(_) => return Ok(next),
            Err(StoreError::Conflict { .. } | StoreError::Lost { .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(Error::Unsettled {
        reason: "others changed it, or the store's answers were lost".to_owned(),
    })
}

/// Reads the latest move of a service.
///
/// # Errors
///
/// Returns an error if the store does not answer or the record cannot be parsed.
pub async fn read<S: Store>(store: &S, service: &str) -> Result<Option<Record>, Error> {
    let item = store.get(&format!("{PREFIX}{service}")).await?;
    item.as_ref().map(parse).transpose()
}

/// Stores a new move unless another is in progress. Starting the same move again returns the stored
/// record.
///
/// # Errors
///
/// Returns an error if another move is in progress, or if it is not known whether the move was
/// stored.
pub async fn start<S: Store>(store: &S, record: &Record) -> Result<Record, Error> {
    swap(store, &record.service, |stored| match stored {
        Some(stored) if stored.id == record.id => Ok(Err(stored)),
        Some(stored) if !stored.phase.ended() => Err(Error::Running {
            service: stored.service.to_string(),
            version: stored.to.to_string(),
            id: stored.id.to_string(),
        }),
        stored => Ok(Ok(Record {
            number: stored.map_or(0, |stored| stored.number) + 1,
            ..record.clone()
        })),
    })
    .await
}

/// Stores a later phase of a move and returns the record that is then stored. The record of an ended
/// move is never changed.
///
/// # Errors
///
/// Returns an error if the service has no move, or if it is not known whether the phase was stored.
pub async fn write<S: Store>(store: &S, record: &Record) -> Result<Record, Error> {
    swap(store, &record.service, |stored| {
        let stored = stored.ok_or_else(|| absent(&record.service, &record.id))?;
        Ok(record.clone().replacement_for(&stored).ok_or(stored))
    })
    .await
}

/// Cancels the move `id` of a service unless it has ended, and returns the stored record.
///
/// # Errors
///
/// Returns an error if the service has no such move, or if it is not known whether the cancellation
/// was stored.
pub async fn cancel<S: Store>(store: &S, service: &str, id: &str) -> Result<Record, Error> {
    swap(store, service, |stored| {
        let stored = stored.filter(|stored| *stored.id == *id);
        let stored = stored.ok_or_else(|| absent(service, id))?;
        let cancelled = stored.clone().brake(CANCELLED);
        Ok(cancelled.replacement_for(&stored).ok_or(stored))
    })
    .await
}

/// Stored reason of a move that an operator cancelled.
pub const CANCELLED: &str = "an operator cancelled it";

/// Returns the error of a move that does not exist.
fn absent(service: &str, id: &str) -> Error {
    Error::Absent {
        service: service.to_owned(),
        id: id.to_owned(),
    }
}

/// Declares the version of a completed move, once.
///
/// The declaration holds the number of the latest move that set its version, so that repeating this
/// step after a crash, or at another entry, never overwrites a later declaration.
///
/// # Errors
///
/// Returns an error if the declaration could not be read or written; the caller must retry.
pub async fn declare<S: Store>(store: &S, record: &Record) -> Result<(), Error> {
    let key = format!("{}{}", declarations::PREFIX, record.service);
    let Some(item) = store.get(&key).await? else {
        return Ok(());
    };
    let mut service: Service =
        serde_json::from_str(&item.value).map_err(|error| Error::Unsettled {
            reason: format!("a stored declaration cannot be read: {error}"),
        })?;
    let undeclared =
        record.phase == Phase::Done && !service.deleted && super::is_pending(record, &service);
    if !undeclared {
        return Ok(());
    }
    service.version = record.to.to_string();
    service.moved = record.number;
    service.revision += 1;
    service.change_id = format!("move-{}", record.id);
    apply::record_history(&mut service);
    let value = serde_json::to_string(&service).map_err(|error| Error::Unsettled {
        reason: error.to_string(),
    })?;
    store.put(&key, value, item.revision, None).await?;
    Ok(())
}
