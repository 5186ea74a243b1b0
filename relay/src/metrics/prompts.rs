//! Metrics of the prompts that are sent to servers.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

use super::add;

/// Tokens of prompts in prefill.
#[derive(Debug)]
pub struct Prompts {
    /// Tokens of the prompts that were sent.
    pub tokens: Counter,
    /// Tokens among them that the server probably had in its cache.
    pub kept_tokens: Counter,
}

impl Prompts {
    /// Registers the metrics.
    pub(super) fn new(registry: &mut Registry) -> Self {
        let tokens = "Prompt tokens sent";
        let kept = "Prompt tokens sent to a server that probably has them";
        Self {
            tokens: add(registry, "prompt_tokens", tokens, Counter::default()),
            kept_tokens: add(registry, "kept_prompt_tokens", kept, Counter::default()),
        }
    }

    /// Counts the tokens of a prompt that is sent, of which the server probably has `kept` in its cache.
    pub fn count(&self, tokens: u64, kept: u64) {
        self.tokens.inc_by(tokens);
        self.kept_tokens.inc_by(kept.min(tokens));
    }
}
