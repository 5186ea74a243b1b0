//! Logs.

use log::LevelFilter;
use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Section `[log]`.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Least severe level that is written.
    pub level: LevelFilter,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
        }
    }
}

impl TryFrom<raw::Log> for Log {
    type Error = Problem;

    fn try_from(raw: raw::Log) -> Result<Self, Problem> {
        let Some(level) = raw.level else {
            return Ok(Self::default());
        };
        let remedy = "write `error`, `warn`, `info`, `debug` or `trace`";
        let level = level
            .parse()
            .map_err(|_| value::invalid("log.level", &level, remedy))?;
        Ok(Self { level })
    }
}
