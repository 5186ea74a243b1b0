//! Writes the kind of a service as a word, in TOML and JSON.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serializer};

use crate::declaration::Kind;

/// Writes a kind; serde passes it by reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
pub(crate) fn serialize<S: Serializer>(kind: &i32, serializer: S) -> Result<S::Ok, S::Error> {
    let word = match Kind::try_from(*kind) {
        Ok(Kind::Generation) => "generation",
        Ok(Kind::Plain) => "plain",
        Ok(Kind::Unspecified) | Err(_) => "unspecified",
    };
    serializer.serialize_str(word)
}

/// Reads a kind.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i32, D::Error> {
    let word = String::deserialize(deserializer)?;
    match word.as_str() {
        "generation" => Ok(Kind::Generation.into()),
        "plain" => Ok(Kind::Plain.into()),
        "unspecified" => Ok(Kind::Unspecified.into()),
        _ => Err(D::Error::custom(format!(
            "`kind = {word}` cannot be used: write \"generation\" or \"plain\""
        ))),
    }
}
