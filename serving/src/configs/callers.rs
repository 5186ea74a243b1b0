//! Limits on callers' requests.

use std::time::Duration;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Section `[callers]`.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// Largest body of a request, in bytes.
    pub body_limit: usize,
    /// Largest header section of a request, in bytes.
    pub header_limit: usize,
    /// Time limit for receiving the headers of a caller's request, and separately for its body.
    pub request_timeout: Duration,
    /// Largest number of open connections from callers.
    pub connections: usize,
    /// Time limit for the complete answer.
    pub answer_timeout: Duration,
    /// How long a caller may read nothing of its answer before its connection is closed.
    pub write_stall_timeout: Duration,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            body_limit: 4 << 20,
            header_limit: 32 << 10,
            request_timeout: Duration::from_secs(10),
            connections: 10_000,
            answer_timeout: Duration::from_mins(30),
            write_stall_timeout: Duration::from_mins(1),
        }
    }
}

impl TryFrom<raw::Callers> for Callers {
    type Error = Problem;

    fn try_from(raw: raw::Callers) -> Result<Self, Problem> {
        let default = Self::default();
        let callers = Self {
            body_limit: value::size("callers.body_limit", raw.body_limit, default.body_limit)?,
            header_limit: value::size(
                "callers.header_limit",
                raw.header_limit,
                default.header_limit,
            )?,
            request_timeout: value::duration(
                "callers.request_timeout",
                raw.request_timeout,
                default.request_timeout,
            )?,
            connections: value::count("callers.connections", raw.connections, default.connections)?,
            answer_timeout: value::duration(
                "callers.answer_timeout",
                raw.answer_timeout,
                default.answer_timeout,
            )?,
            write_stall_timeout: value::duration(
                "callers.write_stall_timeout",
                raw.write_stall_timeout,
                default.write_stall_timeout,
            )?,
        };
        if callers.answer_timeout < callers.request_timeout {
            let value = humantime::format_duration(callers.answer_timeout);
            return Err(value::invalid(
                "callers.answer_timeout",
                &value,
                "write at least as much as `callers.request_timeout`",
            ));
        }
        Ok(callers)
    }
}
