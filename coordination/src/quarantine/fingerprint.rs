//! What identifies a request that may crash servers, and the trackers of each kind.

use std::sync::Arc;

use super::{Measure, Part, Tracker};

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// It has a prompt, whose parts identify it.
    Prompt,
    /// It has none, and is identified as a whole.
    Call,
}

/// What a request has in common with others that may crash servers like it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint {
    /// Kind of the request.
    pub kind: Kind,
    /// Parts of its prompt, or the hash of the whole request.
    pub parts: Arc<[Part]>,
}

impl Fingerprint {
    /// Returns the fingerprint of a request with the parts of its prompt.
    #[must_use]
    pub fn prompt(parts: impl Into<Arc<[Part]>>) -> Self {
        Self {
            kind: Kind::Prompt,
            parts: parts.into(),
        }
    }

    /// Returns the fingerprint of a request without a prompt. `hash` is the same for requests with the same
    /// method, path, client account and body.
    #[must_use]
    pub fn call(hash: u64) -> Self {
        Self {
            kind: Kind::Call,
            parts: Arc::from([hash]),
        }
    }
}

/// The trackers of all kinds. Calls are far more frequent than prompts, and share neither their rate of
/// losses nor their capacity with them.
#[derive(Clone, Debug)]
pub struct Trackers {
    prompts: Tracker,
    calls: Tracker,
}

impl Default for Trackers {
    fn default() -> Self {
        Self {
            prompts: Tracker::new(Measure::Recent),
            calls: Tracker::new(Measure::Concurrent),
        }
    }
}

impl Trackers {
    /// Returns the tracker of a kind.
    #[must_use]
    pub fn of(&self, kind: Kind) -> &Tracker {
        match kind {
            Kind::Prompt => &self.prompts,
            Kind::Call => &self.calls,
        }
    }

    /// Returns the tracker of a kind, to record what was seen.
    pub fn of_mut(&mut self, kind: Kind) -> &mut Tracker {
        match kind {
            Kind::Prompt => &mut self.prompts,
            Kind::Call => &mut self.calls,
        }
    }
}
