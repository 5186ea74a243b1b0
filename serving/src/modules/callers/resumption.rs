//! Sealing and opening of one answer's resume tokens.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarfall_coordination::resume_token::{Binding, Digest, Error, Key, Token, chain};

use crate::configs::keys::Keys;
use crate::modules::generation::{Origin, Request};

/// Seals the resume tokens of an answer's events.
#[derive(Clone, Debug)]
pub(super) struct Sealer {
    key: Key,
    binding: Binding,
    delivered: Digest,
}

impl Sealer {
    /// Returns a sealer for an answer of which nothing has been delivered.
    pub(super) fn new(keys: &Keys, binding: Binding) -> Self {
        Self {
            key: Key::new(keys.resume.bytes()),
            binding,
            delivered: Digest::default(),
        }
    }

    /// Opens a token that a caller sent, and checks its binding and age.
    pub(super) fn open(&self, text: &str, lifetime: Duration) -> Result<Token, Error> {
        self.key
            .open(text, &self.binding, now(), lifetime.as_secs())
    }

    /// Continues after the generated tokens that a resume token declares as delivered.
    pub(super) fn resume_after(&mut self, token: &Token) {
        self.delivered = token.delivered;
    }

    /// Seals the resume token of the next event.
    pub(super) fn seal(
        &mut self,
        request: &Request,
        index: u64,
        text: &str,
        origin: &Origin,
    ) -> String {
        self.delivered = chain(self.delivered, text);
        self.key.seal(&Token {
            request_id: Arc::clone(&request.request_id),
            service: Arc::clone(&request.service),
            version: Arc::clone(&origin.version),
            server: Arc::clone(&origin.server),
            attempt: origin.attempt,
            index,
            issued: now(),
            binding: self.binding,
            delivered: self.delivered,
        })
    }
}

/// Returns the Unix time in seconds.
fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
