//! Work of requests, and the usual values of a service.

use std::time::Duration;

use crate::dissemination::Count;

/// Duration of a call until the first one of the service has ended.
const INITIAL_CALL: Duration = Duration::from_millis(50);

/// Time to process a prompt token until the first prompt of the service is processed.
const INITIAL_TOKEN: Duration = Duration::from_micros(200);

/// Length of a prompt, in tokens, until the first one was sent.
const INITIAL_PROMPT: f64 = 2_000.0;

/// Longest plausible prompt, in tokens.
const MAX_PROMPT: u64 = 10_000_000;

/// Work of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// A call.
    Call,
    /// A stream.
    Stream {
        /// Length of its prompt, in tokens; `None` if it is not stated.
        prompt_tokens: Option<u64>,
        /// Streams of other entries at the server.
        peers: Count,
    },
}

/// Usual values of a service, which stand in for those of a server that are not known yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// Duration of a call at usual slowness, in seconds.
    pub call: f64,
    /// Time to process a prompt token at usual slowness, in seconds.
    pub token: f64,
    /// Length of a prompt, in tokens.
    pub prompt: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            call: INITIAL_CALL.as_secs_f64(),
            token: INITIAL_TOKEN.as_secs_f64(),
            prompt: INITIAL_PROMPT,
        }
    }
}

/// Returns the length of a prompt, unless it is not stated or implausible.
pub(super) fn plausible_length(prompt_tokens: Option<u64>) -> Option<f64> {
    let length = prompt_tokens.filter(|length| (1..=MAX_PROMPT).contains(length));
    length.map(tokens)
}

/// Returns a number of tokens as a float.
pub(super) fn tokens(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
