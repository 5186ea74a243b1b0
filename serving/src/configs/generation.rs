//! How generations are monitored, buffered and resumed.

use std::time::Duration;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Section `[generation]`.
#[derive(Clone, Copy, Debug)]
pub struct Generation {
    /// Lower limit of the silence timeout of an attempt.
    pub silence_floor: Duration,
    /// Upper limit of the silence timeout of an attempt.
    pub silence_ceiling: Duration,
    /// Largest number of consecutive attempts that are lost without a new token.
    pub attempts: usize,
    /// Text buffered for one reader before back-pressure starts, in bytes.
    pub buffered_bytes: usize,
    /// Text buffered for all readers, in bytes; above it, the text of the idle reader with the largest
    /// buffer is discarded, or the largest of all if none is idle.
    pub held_limit: usize,
    /// How long a reader's full buffer may block the engine before the generation is parked.
    pub park_after: Duration,
    /// Longest wait for the first token of an attempt while the engine answers probes.
    pub first_token_timeout: Duration,
    /// How long a resume token is valid.
    pub resume_token_lifetime: Duration,
}

impl Default for Generation {
    fn default() -> Self {
        Self {
            silence_floor: Duration::from_millis(300),
            silence_ceiling: Duration::from_secs(2),
            attempts: 8,
            buffered_bytes: 64 << 10,
            held_limit: 64 << 20,
            park_after: Duration::from_secs(1),
            first_token_timeout: Duration::from_secs(30),
            resume_token_lifetime: Duration::from_hours(1),
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
            buffered_bytes: value::size(
                "generation.buffered_bytes",
                raw.buffered_bytes,
                default.buffered_bytes,
            )?,
            held_limit: value::size("generation.held_limit", raw.held_limit, default.held_limit)?,
            park_after: value::duration(
                "generation.park_after",
                raw.park_after,
                default.park_after,
            )?,
            first_token_timeout: value::duration(
                "generation.first_token_timeout",
                raw.first_token_timeout,
                default.first_token_timeout,
            )?,
            resume_token_lifetime: value::duration(
                "generation.resume_token_lifetime",
                raw.resume_token_lifetime,
                default.resume_token_lifetime,
            )?,
        };
        generation.check_consistency()
    }
}

impl Generation {
    /// Rejects values that contradict each other.
    fn check_consistency(self) -> Result<Self, Problem> {
        if self.silence_floor > self.silence_ceiling {
            let value = humantime::format_duration(self.silence_floor);
            return Err(value::invalid(
                "generation.silence_floor",
                &value,
                "write at most as much as `generation.silence_ceiling`",
            ));
        }
        if self.first_token_timeout < self.silence_ceiling {
            let value = humantime::format_duration(self.first_token_timeout);
            return Err(value::invalid(
                "generation.first_token_timeout",
                &value,
                "write at least as much as `generation.silence_ceiling`",
            ));
        }
        if self.held_limit < self.buffered_bytes {
            return Err(value::invalid(
                "generation.held_limit",
                &self.held_limit,
                "write at least as much as `generation.buffered_bytes`",
            ));
        }
        Ok(self)
    }
}
