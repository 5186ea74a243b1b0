//! How plain services are called.

use std::time::Duration;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Section `[services]`.
#[derive(Clone, Copy, Debug)]
pub struct Services {
    /// Timeout of one call to a plain service.
    pub call_timeout: Duration,
    /// Most attempts for one idempotent call.
    pub attempts: usize,
}

impl Default for Services {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(5),
            attempts: 3,
        }
    }
}

impl TryFrom<raw::Services> for Services {
    type Error = Problem;

    fn try_from(raw: raw::Services) -> Result<Self, Problem> {
        let default = Self::default();
        Ok(Self {
            call_timeout: value::duration(
                "services.call_timeout",
                raw.call_timeout,
                default.call_timeout,
            )?,
            attempts: value::count("services.attempts", raw.attempts, default.attempts)?,
        })
    }
}
