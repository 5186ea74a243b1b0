//! Changes of values in the platform's store by compare-and-swap.
//!
//! If the response to a write is lost, [`update`] reads the value back; the change identifier in the
//! value shows whether the write took effect.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tonic::Status;

use crate::platform::{self, Item, Store};

/// Number of times that a change is read and written before its result counts as unknown.
const ATTEMPTS: usize = 3;

/// A stored value that contains the identifier of the change that wrote it.
pub trait Value: Clone + Default + DeserializeOwned + Serialize + Send + Sync {
    /// Returns the identifier of the change that wrote this value.
    fn change_id(&self) -> &str;
}

/// Error of a change that was not made or whose result is unknown.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The value has changed since the operator read it.
    #[snafu(display(
        "`{key}` is at revision {newer}, not {seen}: read it, then send your change for that revision"
    ))]
    Conflict {
        /// The key.
        key: String,
        /// Revision that the operator read.
        seen: u64,
        /// Revision in the store.
        newer: u64,
    },
    /// The key does not exist.
    #[snafu(display("there is no `{key}` in the store: check the name"))]
    Absent {
        /// The key.
        key: String,
    },
    /// The store did not accept the change.
    #[snafu(display(
        "the change was not stored: {reason}; send it again when the platform is back"
    ))]
    NotStored {
        /// Cause.
        reason: String,
    },
    /// It is unknown whether the change was stored.
    #[snafu(display(
        "it is not known whether the change was stored: {reason}; send it again with the same change id"
    ))]
    Unknown {
        /// Cause.
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

/// Replaces the value of `key` with the result of `next`. Returns the stored value unchanged if
/// `change_id` has already written it.
///
/// # Errors
///
/// Returns the error of `next`, or that the store did not accept the change, or that its result is
/// unknown.
pub async fn update<S: Store, V: Value>(
    store: &S,
    key: &str,
    change_id: &str,
    next: impl Fn(Option<V>) -> Result<V, Error> + Send,
) -> Result<V, Error> {
    let mut sent = false;
    for _ in 0..ATTEMPTS {
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

/// Parses the value of an item.
fn read<V: Value>(item: &Item) -> Result<V, Error> {
    serde_json::from_str(&item.value).map_err(|error| not_stored(&error))
}

/// Returns the error of a change that was not stored.
fn not_stored(error: &impl ToString) -> Error {
    Error::NotStored {
        reason: error.to_string(),
    }
}

/// Returns the error of a change with an unknown result.
fn unknown(error: &impl ToString) -> Error {
    Error::Unknown {
        reason: error.to_string(),
    }
}
