//! Expected output of the stand-in engine, as a pure function of version, prompt and token index.
//!
//! A test checks an answer by comparing it with [`answer`].

use xxhash_rust::xxh3::xxh3_64;

/// Largest `max_tokens`, in tokens, for which the answer always has `max_tokens` tokens.
const FIXED_LENGTH_LIMIT: u64 = 16;

/// Returns the token at `index` of the answer that `version` gives to `prompt`.
#[must_use]
pub fn token(version: &str, prompt: &str, index: u64) -> String {
    format!(" {:06x}", hash(version, prompt, index) & 0x00ff_ffff)
}

/// Returns the number of tokens in the complete answer.
///
/// It lies between half of `max_tokens` and `max_tokens`, and equals `max_tokens` up to 16 tokens.
#[must_use]
pub fn length(version: &str, prompt: &str, max_tokens: u64) -> u64 {
    if max_tokens <= FIXED_LENGTH_LIMIT {
        return max_tokens;
    }
    let half = max_tokens / 2;
    half + hash(version, prompt, u64::MAX) % (max_tokens - half + 1)
}

/// Returns the complete text of the answer that `version` gives to `prompt`.
#[must_use]
pub fn answer(version: &str, prompt: &str, max_tokens: u64) -> String {
    (0..length(version, prompt, max_tokens))
        .map(|index| token(version, prompt, index))
        .collect()
}

/// Returns the number of tokens in a prompt: one for each word, and one for an empty prompt.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count().max(1) as u64
}

/// Hashes the inputs of one token; each string is length-prefixed so that different inputs never
/// give the same bytes.
fn hash(version: &str, prompt: &str, index: u64) -> u64 {
    let mut bytes = Vec::with_capacity(version.len() + prompt.len() + 24);
    for part in [version, prompt] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    bytes.extend_from_slice(&index.to_le_bytes());
    xxh3_64(&bytes)
}
