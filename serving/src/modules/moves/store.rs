//! Reading and writing moves in the platform's store.

use medlarfall_coordination::rollout::{Phase, Record};
use medlarfall_schema::declaration::Service;
use snafu::Snafu;

use super::PREFIX;
use crate::modules::declarations;
use crate::modules::operators::apply;
use crate::platform::{Error as StoreError, Item, Store};

/// How often a write is tried against others and settled by reading back.
const ATTEMPTS: usize = 5;

/// Why a move was not stored.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// Another move of the service is under way.
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
    /// There is no such move.
    #[snafu(display(
        "service `{service}` has no move {id}: watch the service to see its last move"
    ))]
    Absent {
        /// The service.
        service: String,
        /// Identifier of the move.
        id: String,
    },
    /// The store did not take the write, or it could not be settled whether it did.
    #[snafu(display("it could not be settled what the store holds: {reason}; send it again"))]
    Unsettled {
        /// What happened.
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

/// Returns the record in an item.
fn parse(item: &Item) -> Result<Record, Error> {
    serde_json::from_str(&item.value).map_err(|error| Error::Unsettled {
        reason: format!("a stored move cannot be read: {error}"),
    })
}

/// Changes the record of a service by compare-and-swap until it stands or is not to be changed.
///
/// A lost answer is settled by reading back: `change` sees its own write and leaves it.
async fn swap<S: Store>(
    store: &S,
    service: &str,
    change: impl Fn(Option<Record>) -> Result<Result<Record, Record>, Error>,
) -> Result<Record, Error> {
    let key = format!("{PREFIX}{service}");
    for _ in 0..ATTEMPTS {
        let item = store.get(&key).await?;
        let held = item.as_ref().map(parse).transpose()?;
        let next = match change(held)? {
            Ok(next) => next,
            Err(stays) => return Ok(stays),
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

/// Returns the last move of a service.
///
/// # Errors
///
/// Returns that the store did not answer.
pub async fn read<S: Store>(store: &S, service: &str) -> Result<Option<Record>, Error> {
    let item = store.get(&format!("{PREFIX}{service}")).await?;
    item.as_ref().map(parse).transpose()
}

/// Stores a new move unless one is under way; the same move again is no change.
///
/// # Errors
///
/// Returns that another move is under way, or that the write could not be settled.
pub async fn start<S: Store>(store: &S, record: &Record) -> Result<Record, Error> {
    swap(store, &record.service, |held| match held {
        Some(held) if held.id == record.id => Ok(Err(held)),
        Some(held) if !held.phase.ended() => Err(Error::Running {
            service: held.service.to_string(),
            version: held.to.to_string(),
            id: held.id.to_string(),
        }),
        held => Ok(Ok(Record {
            number: held.map_or(0, |held| held.number) + 1,
            ..record.clone()
        })),
    })
    .await
}

/// Stores a later phase of a move and returns the record that stands; an end is never changed.
///
/// # Errors
///
/// Returns that the service has no move, or that the write could not be settled.
pub async fn write<S: Store>(store: &S, record: &Record) -> Result<Record, Error> {
    swap(store, &record.service, |held| {
        let held = held.ok_or_else(|| absent(&record.service, &record.id))?;
        Ok(record.clone().replacement_for(&held).ok_or(held))
    })
    .await
}

/// Takes the move with an identifier back, unless its end is recorded, and returns the record.
///
/// # Errors
///
/// Returns that the service has no such move, or that the write could not be settled.
pub async fn cancel<S: Store>(store: &S, service: &str, id: &str) -> Result<Record, Error> {
    swap(store, service, |held| {
        let held = held.filter(|held| *held.id == *id);
        let held = held.ok_or_else(|| absent(service, id))?;
        let cancelled = held.clone().brake(CANCELLED);
        Ok(cancelled.replacement_for(&held).ok_or(held))
    })
    .await
}

/// Reason of a move that an operator took back.
pub const CANCELLED: &str = "an operator cancelled it";

/// Returns the error of a move that does not exist.
fn absent(service: &str, id: &str) -> Error {
    Error::Absent {
        service: service.to_owned(),
        id: id.to_owned(),
    }
}

/// Declares the version of a move that is done, once.
///
/// The declaration names the last move whose version it holds, so that a step that is repeated
/// after a crash, or by another entry, never undoes a later declaration.
///
/// # Errors
///
/// Returns that the declaration could not be read or written; the step is to be repeated.
pub async fn declare<S: Store>(store: &S, record: &Record) -> Result<(), Error> {
    let key = format!("{}{}", declarations::PREFIX, record.service);
    let Some(item) = store.get(&key).await? else {
        return Ok(());
    };
    let mut service: Service =
        serde_json::from_str(&item.value).map_err(|error| Error::Unsettled {
            reason: format!("a stored declaration cannot be read: {error}"),
        })?;
    let due =
        record.phase == Phase::Done && !service.deleted && super::is_pending(record, &service);
    if !due {
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
