//! Serde representation of [`Kind`] as a lower-case name instead of its number, for TOML and JSON.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serializer};

use crate::declaration::Kind;

/// Serializes the number of a kind as its name; an unknown number becomes `unspecified`.
///
/// Serde's `with` attribute requires that the value is passed by reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
pub(crate) fn serialize<S: Serializer>(kind: &i32, serializer: S) -> Result<S::Ok, S::Error> {
    let name = match Kind::try_from(*kind) {
        Ok(Kind::Generation) => "generation",
        Ok(Kind::Plain) => "plain",
        Ok(Kind::Unspecified) | Err(_) => "unspecified",
    };
    serializer.serialize_str(name)
}

/// Deserializes the number of a kind from its name.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i32, D::Error> {
    let name = String::deserialize(deserializer)?;
    match name.as_str() {
        "generation" => Ok(Kind::Generation.into()),
        "plain" => Ok(Kind::Plain.into()),
        "unspecified" => Ok(Kind::Unspecified.into()),
        _ => Err(D::Error::custom(format!(
            "`kind = {name}` cannot be used: write \"generation\" or \"plain\""
        ))),
    }
}
