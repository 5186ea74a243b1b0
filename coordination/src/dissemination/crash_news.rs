//! Passes on the losses and answers of requests that may crash servers.

use std::sync::Arc;
use std::time::Duration;

use crate::quarantine::{Loss, Part};

use super::news::{News, Origin};
use super::{Crashes, Scope};

/// Most losses and most answers of a kind that are kept: as many as fit into a datagram with the rest of a
/// message. A part that crashes servers shows in the ones that remain.
const CAPACITY: usize = 128;

/// The losses and answers of a kind that one entry passes on.
#[derive(Clone, Debug)]
pub struct CrashNews {
    pub losses: News<Loss>,
    pub answers: News<Arc<[Part]>>,
}

impl Default for CrashNews {
    fn default() -> Self {
        Self {
            losses: News::with_capacity(CAPACITY),
            answers: News::with_capacity(CAPACITY),
        }
    }
}

impl CrashNews {
    /// Adds what another entry saw.
    pub fn extend(&mut self, crashes: &Crashes, origin: Origin, now: Duration) {
        for (loss, age) in &crashes.losses {
            self.losses.insert(loss.clone(), *age, origin, now);
        }
        for (parts, age) in &crashes.answers {
            self.answers.insert(Arc::clone(parts), *age, origin, now);
        }
    }

    /// Returns whether something has not been sent in a scope.
    #[must_use]
    pub fn has_unsent(&self, scope: Scope) -> bool {
        self.losses.has_unsent(scope) || self.answers.has_unsent(scope)
    }

    /// Returns what the next message of a scope carries.
    pub fn batch(&mut self, scope: Scope, periodic: bool, now: Duration) -> Crashes {
        Crashes {
            losses: self.losses.batch(scope, periodic, now),
            answers: self.answers.batch(scope, periodic, now),
        }
    }

    /// Removes what is no longer new.
    pub fn expire(&mut self, now: Duration) {
        self.losses.expire(now);
        self.answers.expire(now);
    }
}
