//! How generations are followed and resumed.

use std::time::Duration;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Section `[generation]`.
#[derive(Clone, Copy, Debug)]
pub struct Generation {
    /// Shortest silence that ends an attempt.
    pub silence_floor: Duration,
    /// Longest silence that is borne before an attempt ends.
    pub silence_ceiling: Duration,
    /// Most attempts for one generation.
    pub attempts: usize,
    /// Tokens held for a reader before back-pressure starts.
    pub buffered_tokens: usize,
}

impl Default for Generation {
    fn default() -> Self {
        Self {
            silence_floor: Duration::from_millis(300),
            silence_ceiling: Duration::from_secs(2),
            attempts: 8,
            buffered_tokens: 256,
        }
    }
}

impl TryFrom<raw::Generation> for Generation {
    type Error = Problem;

    fn try_from(raw: raw::Generation) -> Result<Self, Problem> {
        let default = Self::default();
        let generation = Self {
            silence_floor: value::duration(
                "generation.silence_floor",
                raw.silence_floor,
                default.silence_floor,
            )?,
            silence_ceiling: value::duration(
                "generation.silence_ceiling",
                raw.silence_ceiling,
                default.silence_ceiling,
            )?,
            attempts: value::count("generation.attempts", raw.attempts, default.attempts)?,
            buffered_tokens: value::count(
                "generation.buffered_tokens",
                raw.buffered_tokens,
                default.buffered_tokens,
            )?,
        };
        if generation.silence_floor > generation.silence_ceiling {
            let value = humantime::format_duration(generation.silence_floor);
            return Err(value::invalid(
                "generation.silence_floor",
                &value,
                "write at most as much as `generation.silence_ceiling`",
            ));
        }
        Ok(generation)
    }
}
