//! Storing a declaration: one compare-and-swap, settled by reading back if its answer is lost.

use medlarfall_schema::declaration::{Kind, Service};
use medlarfall_schema::operator::ApplyRequest;
use snafu::Snafu;
use tonic::Status;

use crate::modules::declarations::PREFIX;
use crate::platform::{self, Item, Store};

/// How often a write whose answer was lost is settled by reading back.
const SETTLE_ATTEMPTS: usize = 3;

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
            Error::Conflict { .. } => Self::aborted(message),
            Error::NotStored { .. } => Self::unavailable(message),
            Error::Unknown { .. } => Self::unknown(message),
        }
    }
}

/// A checked change of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    service: Service,
    seen: u64,
}

impl TryFrom<ApplyRequest> for Change {
    type Error = Error;

    fn try_from(request: ApplyRequest) -> Result<Self, Error> {
        let mut service = request.service.unwrap_or_default();
        let named = !service.name.is_empty() && service.name.chars().all(allowed);
        if !named {
            return Err(invalid(
                "service.name",
                &service.name,
                "write a name of letters, digits, `-` and `.`",
            ));
        }
        if service.kind() == Kind::Unspecified {
            return Err(invalid(
                "service.kind",
                "unspecified",
                "write generation or plain",
            ));
        }
        if service.version.is_empty() {
            return Err(invalid(
                "service.version",
                "",
                "name the version that new requests are sent to",
            ));
        }
        if request.change_id.is_empty() {
            return Err(invalid(
                "change_id",
                "",
                "send an identifier of your own for each change",
            ));
        }
        let seen = service.revision;
        service.revision = seen + 1;
        service.change_id = request.change_id;
        Ok(Self { service, seen })
    }
}

/// Returns whether a character may stand in a service's name.
fn allowed(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '-' | '.')
}

/// Returns the error of a value that cannot be used.
fn invalid(key: &'static str, value: &str, remedy: &'static str) -> Error {
    Error::Invalid {
        key,
        value: value.to_owned(),
        remedy,
    }
}

/// Stores a change, or returns what stands there if this very change was stored before.
pub async fn store<S: Store>(store: &S, mut change: Change) -> Result<Service, Error> {
    let key = format!("{PREFIX}{}", change.service.name);
    let mut sent = false;
    for _ in 0..SETTLE_ATTEMPTS {
        let item = match store.get(&key).await {
            Ok(item) => item,
            Err(error) if sent => return Err(unknown(&error)),
            Err(error) => return Err(not_stored(&error)),
        };
        let current = item.as_ref().map(held).transpose()?.unwrap_or_default();
        if current.change_id == change.service.change_id {
            return Ok(current);
        }
        if current.revision != change.seen {
            return Err(conflict(&change, current.revision));
        }
        change.service.moved = current.moved;
        let value = serde_json::to_string(&change.service).map_err(|error| not_stored(&error))?;
        let expected = item.map_or(0, |item| item.revision);
        match store.put(&key, value, expected, None).await {
            Ok(_) => return Ok(change.service),
            Err(platform::Error::Conflict { .. }) => {}
            Err(platform::Error::Lost { .. }) => sent = true,
            Err(error) if sent => return Err(unknown(&error)),
            Err(error) => return Err(not_stored(&error)),
        }
    }
    Err(Error::Unknown {
        reason: "the store's answers were lost".to_owned(),
    })
}

/// Returns the declaration in an item.
fn held(item: &Item) -> Result<Service, Error> {
    serde_json::from_str(&item.value).map_err(|error| not_stored(&error))
}

/// Returns the error of a change that came after another.
fn conflict(change: &Change, newer: u64) -> Error {
    Error::Conflict {
        name: change.service.name.clone(),
        seen: change.seen,
        newer,
    }
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
