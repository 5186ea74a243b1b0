//! What the hubs of an entry's failure domain say of the store.
//!
//! A hub that is cut off from the store says that it is unavailable, while the other one reads it or hears from
//! those that do. One that says that it is available knows better: the store counts as unavailable only if all
//! hubs that are heard say so, and then the entry asks the store itself: its hubs may be cut off together. An
//! outage that began with their word, or began and ended with each digest, would keep removed servers in use.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The word of one hub.
#[derive(Clone, Copy, Debug)]
struct Word {
    available: bool,
    at: Duration,
}

/// The last word of each hub.
#[derive(Clone, Debug)]
pub(super) struct HubWords {
    words: BTreeMap<Arc<str>, Word>,
    /// Time after which a word no longer counts.
    fresh: Duration,
    /// Since when all hubs that are heard have said that the store is unavailable.
    unavailable_since: Option<Duration>,
    heard_at: Option<Duration>,
}

impl HubWords {
    /// Returns the state before any hub was heard; a word counts for the time `fresh`.
    pub(super) fn new(fresh: Duration) -> Self {
        Self {
            words: BTreeMap::new(),
            fresh,
            unavailable_since: None,
            heard_at: None,
        }
    }

    /// Records what a hub says of the store.
    pub(super) fn record(&mut self, hub: &Arc<str>, available: bool, now: Duration) {
        let word = Word { available, at: now };
        self.words.insert(Arc::clone(hub), word);
        self.words
            .retain(|_, word| now.saturating_sub(word.at) <= self.fresh);
        let available = self.words.values().any(|word| word.available);
        let since = self.unavailable_since.unwrap_or(now);
        self.unavailable_since = (!available).then_some(since);
        self.heard_at = Some(now);
    }

    /// Returns since when the hubs have said that the store is unavailable.
    pub(super) fn unavailable_since(&self) -> Option<Duration> {
        self.unavailable_since
    }

    /// Returns when a hub was last heard of.
    pub(super) fn heard_at(&self) -> Option<Duration> {
        self.heard_at
    }
}
