//! One change of a value in the platform's store: compare-and-swap, settled by reading back if its
//! answer is lost.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tonic::Status;

use crate::platform::{self, Item, Store};

/// How often a write whose answer was lost is settled by reading back.
const SETTLE_ATTEMPTS: usize = 3;

/// A value that says which change wrote it.
pub trait Value: Clone + Default + DeserializeOwned + Serialize + Send + Sync {
    /// Returns the identifier of the change that wrote the value.
    fn change_id(&self) -> &str;
}

/// Why a change was not made.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// Another change came first.
    #[snafu(display(
        "`{key}` is at revision {newer}, not {seen}: read it, then send your change for that revision"
    ))]
    Conflict {
        /// The key.
        key: String,
        /// Revision that the operator has seen.
        seen: u64,
        /// Revision in the store.
        newer: u64,
    },
    /// There is nothing to change.
    #[snafu(display("there is no `{key}` in the store: check the name"))]
    Absent {
        /// The key.
        key: String,
    },
    /// The store did not take the change.
    #[snafu(display(
        "the change was not stored: {reason}; send it again when the platform is back"
    ))]
    NotStored {
        /// What happened.
        reason: String,
    },
    /// It could not be settled whether the change was stored.
    #[snafu(display(
        "it is not known whether the change was stored: {reason}; send it again with the same change id"
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
            Error::Conflict { .. } => Self::aborted(message),
            Error::Absent { .. } => Self::not_found(message),
            Error::NotStored { .. } => Self::unavailable(message),
            Error::Unknown { .. } => Self::unknown(message),
        }
    }
}

/// Changes the value under `key` to what `next` makes of it, or returns what stands there if this
/// very change was made before.
///
/// # Errors
///
/// Returns the refusal of `next`, that the store did not take the change, or that this is not known.
pub async fn update<S: Store, V: Value>(
    store: &S,
    key: &str,
    change_id: &str,
    next: impl Fn(Option<V>) -> Result<V, Error> + Send,
) -> Result<V, Error> {
    let mut sent = false;
    for _ in 0..SETTLE_ATTEMPTS {
        let item = match store.get(key).await {
            Ok(item) => item,
            Err(error) if sent => return Err(unknown(&error)),
            Err(error) => return Err(not_stored(&error)),
        };
        let current = item.as_ref().map(read::<V>).transpose()?;
        if let Some(current) = &current
            && current.change_id() == change_id
        {
            return Ok(current.clone());
        }
        let value = next(current)?;
        let text = serde_json::to_string(&value).map_err(|error| not_stored(&error))?;
        let expected = item.map_or(0, |item| item.revision);
        match store.put(key, text, expected, None).await {
            Ok(_) => return Ok(value),
            Err(platform::Error::Conflict { .. }) => {}
            Err(platform::Error::Lost { .. }) => sent = true,
            Err(error) if sent => return Err(unknown(&error)),
            Err(error) => return Err(not_stored(&error)),
        }
    }
    Err(Error::Unknown {
        reason: "the store's answers were lost, or others changed the value at the same time"
            .to_owned(),
    })
}

/// Returns the value in an item.
fn read<V: Value>(item: &Item) -> Result<V, Error> {
    serde_json::from_str(&item.value).map_err(|error| not_stored(&error))
}

/// Returns the error of a change that was not stored.
fn not_stored(error: &impl ToString) -> Error {
    Error::NotStored {
        reason: error.to_string(),
    }
}

/// Returns the error of a change of which it is not known whether it was stored.
fn unknown(error: &impl ToString) -> Error {
    Error::Unknown {
        reason: error.to_string(),
    }
}
