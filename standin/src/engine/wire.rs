//! Messages of the engine's HTTP protocol, and the counters that its control endpoint returns.

use serde::{Deserialize, Serialize};

/// A request to generate an answer, the body of `POST /generate`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Generate {
    /// Identifier of the request, repeated in each frame.
    pub request_id: String,
    /// Number of the attempt, repeated in each frame.
    pub attempt: u64,
    /// Model version that must serve the request.
    pub version: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Tokens that were delivered already; the engine continues after them.
    pub resume: Vec<String>,
    /// Maximum number of tokens of the answer, the resumed ones included.
    pub max_tokens: u64,
    /// Scheduling priority; higher values run first.
    pub priority: i32,
}

/// Reference to a generation, to read its stream (`POST /attach`) or to end it (`POST /cancel`).
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Reference {
    /// Identifier of the request.
    pub request_id: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Index of the first token to read; only used by `/attach`.
    pub from: u64,
}

/// A frame of a generation's stream, sent as one line of JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Frame {
    /// Identifier of the request.
    pub request_id: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Index of the token; in the end frame, the number of tokens of the complete answer.
    pub index: u64,
    /// The token; absent in the end frame.
    pub token: Option<String>,
    /// Why the generation ended, `stop` or `length`; only present in the end frame.
    pub end: Option<String>,
}

/// A load report, `GET /load`; it lags by the configured delay.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Load {
    /// Tokens of prompts and outputs that all requests hold in memory.
    pub held_tokens: u64,
    /// Size of the engine's memory, in tokens.
    pub memory_tokens: u64,
    /// Number of running generations.
    pub running: u64,
    /// Number of waiting generations.
    pub waiting: u64,
}

/// Counters since the start, `GET /control/stats`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Requests to generate that were accepted for a version that the engine serves.
    pub requests: u64,
    /// Generated tokens.
    pub tokens: u64,
    /// Highest number of tokens held in memory at once.
    pub held_peak: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens of all requests.
    pub prompt_tokens: u64,
    /// How often the requests exceeded the memory.
    pub overruns: u64,
    /// Time from the start of the engine to the last accepted request, in milliseconds.
    pub last_request_ms: u64,
    /// Generations that are running or waiting now.
    pub live: u64,
    /// Requests that the faults `fail_every` or `slow_factor` applied to.
    pub faulted: u64,
}
