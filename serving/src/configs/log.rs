//! Logging and trace sampling.

use log::LevelFilter;
use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Section `[log]`.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Least severe level that is written.
    pub level: LevelFilter,
    /// One in this many of the requests without a trace context is traced.
    pub trace_every: u64,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            trace_every: 100,
        }
    }
}

impl TryFrom<raw::Log> for Log {
    type Error = Problem;

    fn try_from(raw: raw::Log) -> Result<Self, Problem> {
        let default = Self::default();
        let remedy = "write `error`, `warn`, `info`, `debug` or `trace`";
        let level = match raw.level {
            None => default.level,
            Some(level) => level
                .parse()
                .map_err(|_| value::invalid("log.level", &level, remedy))?,
        };
        let trace_every = match raw.trace_every {
            None => default.trace_every,
            Some(0) => {
                let remedy = "write a whole number above zero";
                return Err(value::invalid("log.trace_every", &0, remedy));
            }
            Some(every) => every,
        };
        Ok(Self { level, trace_every })
    }
}
