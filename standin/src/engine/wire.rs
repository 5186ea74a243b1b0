//! Messages of the engine's protocol, and its counts for tests.

use serde::{Deserialize, Serialize};

/// A request to generate, `POST /generate`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Generate {
    /// Identifier of the request, echoed on each frame.
    pub request_id: String,
    /// Number of the attempt, echoed on each frame.
    pub attempt: u64,
    /// Version that must answer.
    pub version: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens already delivered, from which the engine resumes.
    pub resume: Vec<String>,
    /// Most tokens of the whole answer.
    pub max_tokens: u64,
    /// Priority; higher runs first.
    pub priority: i32,
}

/// A request to read on from a running generation (`POST /attach`) or to end it (`POST /cancel`).
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Reference {
    /// Identifier of the request.
    pub request_id: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Index of the first token to read.
    pub from: u64,
}

/// A frame of a generation's stream, one JSON line each.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Frame {
    /// Identifier of the request.
    pub request_id: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Index of the token; of an end frame, the number of tokens of the whole answer.
    pub index: u64,
    /// The token; absent on an end frame.
    pub token: Option<String>,
    /// Why the generation ended: `stop` or `length`.
    pub end: Option<String>,
}

/// A load report, `GET /load`, as it was some time ago.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Load {
    /// Tokens held by all requests.
    pub held_tokens: u64,
    /// Memory in tokens.
    pub memory_tokens: u64,
    /// Generations that run.
    pub running: u64,
    /// Generations that wait.
    pub waiting: u64,
}

/// Counts for tests, `GET /control/stats`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Requests to generate that were taken.
    pub requests: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Most tokens held at once.
    pub held_peak: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens of all requests.
    pub prompt_tokens: u64,
    /// How often the memory was overrun.
    pub overruns: u64,
    /// Milliseconds from the start of the engine to the last request taken.
    pub last_request_ms: u64,
    /// Generations running or waiting now.
    pub live: u64,
    /// Requests that met the faults `fail_every` or `slow_factor`.
    pub faulted: u64,
}
