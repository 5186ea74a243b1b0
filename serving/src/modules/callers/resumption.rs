//! Sealing and opening the resume tokens of one answer.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarfall_coordination::resume_token::{Binding, Digest, Error, Key, Token, chain};

use crate::configs::keys::Keys;
use crate::modules::generation::{Order, Origin};

/// Seals the resume token of each event of an answer.
#[derive(Clone, Debug)]
pub(super) struct Sealer {
    key: Key,
    binding: Binding,
    delivered: Digest,
}

impl Sealer {
    /// Returns what seals the tokens of an answer of which nothing was delivered.
    pub(super) fn new(keys: &Keys, binding: Binding) -> Self {
        Self {
            key: Key::new(keys.resume.bytes()),
            binding,
            delivered: Digest::default(),
        }
    }

    /// Opens a token that a caller shows.
    pub(super) fn open(&self, text: &str, lifetime: Duration) -> Result<Token, Error> {
        self.key
            .open(text, &self.binding, now(), lifetime.as_secs())
    }

    /// Goes on after what a token says was delivered.
    pub(super) fn go_on(&mut self, token: &Token) {
        self.delivered = token.delivered;
    }

    /// Seals the resume token of the next event.
    pub(super) fn seal(
        &mut self,
        order: &Order,
        index: u64,
        text: &str,
        origin: &Origin,
    ) -> String {
        self.delivered = chain(self.delivered, text);
        self.key.seal(&Token {
            request_id: Arc::clone(&order.request_id),
            service: Arc::clone(&order.service),
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

/// Returns the seconds since 1970.
fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
