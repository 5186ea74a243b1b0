//! Parsing and validation of single values: names, addresses, durations, sizes and counts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytesize::ByteSize;
use snafu::Snafu;

/// A problem with one value.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Problem {
    /// A required value is not set.
    #[snafu(display("`{key}` is not set: {remedy}"))]
    Missing {
        /// Section and name of the setting.
        key: &'static str,
        /// Instruction for the operator.
        remedy: &'static str,
    },
    /// A value is malformed or out of range.
    #[snafu(display("`{key} = {value}` cannot be used: {remedy}"))]
    Invalid {
        /// Section and name of the setting.
        key: &'static str,
        /// Value to show; secrets are masked.
        value: String,
        /// Instruction for the operator on what to write instead.
        remedy: &'static str,
    },
}

/// Returns the problem of a value that cannot be used.
pub(super) fn invalid(
    key: &'static str,
    value: &(impl ToString + ?Sized),
    remedy: &'static str,
) -> Problem {
    Problem::Invalid {
        key,
        value: value.to_string(),
        remedy,
    }
}

/// Returns a required name, which must not be empty and has only letters, digits, `-`, `.` and `_`.
pub(super) fn name(key: &'static str, value: Option<String>) -> Result<Arc<str>, Problem> {
    let remedy = "write a name of letters, digits, `-` and `.`";
    let value = value.ok_or(Problem::Missing { key, remedy })?;
    let allowed =
        |character: char| character.is_ascii_alphanumeric() || matches!(character, '-' | '.' | '_');
    if value.is_empty() || !value.chars().all(allowed) {
        return Err(invalid(key, &value, remedy));
    }
    Ok(Arc::from(value))
}

/// Returns a required address.
pub(super) fn address(key: &'static str, value: Option<String>) -> Result<SocketAddr, Problem> {
    let remedy = "write an IP number and a port, such as \"10.0.0.7:8080\"";
    let value = value.ok_or(Problem::Missing { key, remedy })?;
    value.parse().map_err(|_| invalid(key, &value, remedy))
}

/// Returns a duration above zero.
pub(super) fn duration(
    key: &'static str,
    value: Option<String>,
    default: Duration,
) -> Result<Duration, Problem> {
    let Some(value) = value else {
        return Ok(default);
    };
    match humantime::parse_duration(&value) {
        Ok(duration) if !duration.is_zero() => Ok(duration),
        _ => Err(invalid(
            key,
            &value,
            "write a duration above zero with its unit, such as \"250ms\" or \"4s\"",
        )),
    }
}

/// Returns a size in bytes, above zero.
pub(super) fn size(
    key: &'static str,
    value: Option<String>,
    default: usize,
) -> Result<usize, Problem> {
    let Some(value) = value else {
        return Ok(default);
    };
    let remedy = "write a size above zero with its unit, such as \"64KiB\" or \"16MiB\"";
    let has_unit = value.ends_with(|character: char| character.is_ascii_alphabetic());
    match value.parse::<ByteSize>() {
        Ok(size) if size.as_u64() > 0 && has_unit => {
            usize::try_from(size.as_u64()).map_err(|_| invalid(key, &value, remedy))
        }
        _ => Err(invalid(key, &value, remedy)),
    }
}

/// Returns a count above zero.
pub(super) fn count(
    key: &'static str,
    value: Option<u64>,
    default: usize,
) -> Result<usize, Problem> {
    match value {
        None => Ok(default),
        Some(0) => Err(invalid(key, &0, "write a whole number above zero")),
        Some(count) => {
            usize::try_from(count).map_err(|_| invalid(key, &count, "write a smaller number"))
        }
    }
}
