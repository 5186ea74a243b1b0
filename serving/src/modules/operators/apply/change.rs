//! Validated changes of declarations.

use medlarfall_schema::declaration::{Kind, Service};
use medlarfall_schema::operator::ApplyRequest;

use super::Error;

/// Longest name or identifier, in bytes.
const NAME_LIMIT: usize = 100;

/// A validated change of one service's declaration.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The declaration to store.
    pub(super) service: Service,
    /// Revision that the operator has seen, on which the change is based.
    pub(super) seen: u64,
}

impl Change {
    /// Returns the name of the service.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.service.name
    }
}

impl TryFrom<ApplyRequest> for Change {
    type Error = Error;

    fn try_from(request: ApplyRequest) -> Result<Self, Error> {
        let mut service = request.service.unwrap_or_default();
        check(&service)?;
        let id_valid = !request.change_id.is_empty() && request.change_id.len() <= NAME_LIMIT;
        if !id_valid {
            return Err(invalid(
                "change_id",
                &request.change_id,
                "send an identifier of your own for each change, of at most 100 bytes",
            ));
        }
        let seen = service.revision;
        let Some(revision) = seen.checked_add(1) else {
            return Err(invalid(
                "service.revision",
                &seen.to_string(),
                "write the revision that `list` shows, or 0 for a new service",
            ));
        };
        service.revision = revision;
        service.change_id = request.change_id;
        service.history = Vec::new();
        Ok(Self { service, seen })
    }
}

/// Validates a declaration.
fn check(service: &Service) -> Result<(), Error> {
    let name_valid = !service.name.is_empty()
        && service.name.len() <= NAME_LIMIT
        && service.name.chars().all(allowed);
    if !name_valid {
        return Err(invalid(
            "service.name",
            &service.name,
            "write a name of letters, digits, `-` and `.`, of at most 100 bytes",
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
    for route in &service.routes {
        let uppercase = route
            .method
            .chars()
            .all(|letter| letter.is_ascii_uppercase());
        if route.method.is_empty() || !uppercase {
            return Err(invalid(
                "service.routes.method",
                &route.method,
                "write an HTTP method in capitals",
            ));
        }
        if !route.path_prefix.starts_with('/') {
            return Err(invalid(
                "service.routes.path_prefix",
                &route.path_prefix,
                "write a path that starts with `/`",
            ));
        }
    }
    Ok(())
}

/// Returns whether a character is allowed in a service's name.
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
