//! Which servers there are.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::registry::{Effect, Server};

use crate::dialect::Dialect;
use crate::exchange::Found;

use super::{Backend, Relay};

impl<D: Dialect> Relay<D> {
    /// Takes in what a server announced, and how much longer it is slow after its start.
    pub fn announce(&self, server: Server, cold: Duration, revision: u64) {
        let id = Arc::clone(&server.id);
        let now = self.clock.now();
        let effect = self.beliefs(|beliefs| {
            beliefs.cold.retain(|_, end| now < *end);
            if !cold.is_zero() {
                beliefs.cold.insert(Arc::clone(&id), now + cold);
            }
            let effect = beliefs.roster.register(server, revision);
            if effect != Effect::Stale {
                beliefs.forget_unlisted();
                beliefs.refresh(&self.settings, &id);
            }
            effect
        });
        self.believed(effect, &id, revision);
    }

    /// Takes in that a server's entry was removed.
    pub fn remove(&self, id: &Arc<str>, revision: u64) {
        let now = self.clock.now();
        let effect = self.beliefs(|beliefs| {
            let effect = beliefs.roster.remove(id, revision, now);
            beliefs.refresh(&self.settings, id);
            effect
        });
        self.believed(effect, id, revision);
    }

    /// Takes in that a complete list read at `revision` named only `listed`.
    pub fn retain(&self, listed: &HashSet<Arc<str>>, revision: u64) {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            beliefs.roster.retain(listed, revision, now);
            beliefs.refresh_all(&self.settings);
        });
        self.tell();
    }

    /// Notes whether the store answers, and drops servers that did not come back after an outage.
    pub fn store_answers(&self, answers: bool) {
        let now = self.clock.now();
        let expired = self.beliefs(|beliefs| {
            if answers {
                beliefs.roster.store_responded(now);
            } else {
                beliefs.roster.store_lost();
            }
            let expired = beliefs.roster.expire(now);
            for id in &expired {
                beliefs.refresh(&self.settings, id);
            }
            expired
        });
        for id in &expired {
            self.believed(Effect::Gone, id, 0);
        }
    }

    pub(super) fn believed(&self, effect: Effect, id: &str, revision: u64) {
        if effect == Effect::Stale {
            return;
        }
        let effect = format!("{effect:?}").to_lowercase();
        log::info!(server = id, revision, effect = effect.as_str(); "list of servers changed");
        self.tell();
    }

    pub(super) fn tell(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Takes in a server that was found in place of `gone`, while the store does not answer; `heard`
    /// from another entry, or by this one.
    pub fn adopt(&self, gone: &Server, id: &Arc<str>, born_ms: Option<u64>, heard: bool) {
        let now = self.clock.now();
        let server = Server {
            id: Arc::clone(id),
            leaving: false,
            started_ms: born_ms,
            ..gone.clone()
        };
        let effect = self.beliefs(|beliefs| {
            let effect = beliefs.roster.adopt(server);
            let found = Found {
                before: Arc::clone(&gone.id),
                now: Arc::clone(id),
                born_ms,
            };
            match effect {
                Effect::Stale => {}
                _ if heard => beliefs.found.insert_received(found),
                _ => beliefs.found.insert(found, now),
            }
            beliefs.forget_unlisted();
            beliefs.refresh(&self.settings, id);
            effect
        });
        if !heard {
            self.streams_changed.notify_one();
        }
        self.believed(effect, id, 0);
    }

    /// Returns the server that has taken the place of `gone`.
    #[must_use]
    pub fn successor(&self, gone: &Backend) -> Option<Arc<Backend>> {
        let server = &gone.server;
        self.beliefs(|beliefs| {
            let backends = beliefs.backends.get(&server.service)?;
            let mut there = backends.iter();
            let there = there.find(|other| other.server.address == server.address)?;
            (there.server.id != server.id).then(|| Arc::clone(there))
        })
    }

    /// Returns whether the store answers.
    #[must_use]
    pub fn store_up(&self) -> bool {
        self.beliefs(|beliefs| beliefs.roster.store_available())
    }

    /// Returns whether a server is still as it was when it was chosen: it neither leaves, nor has
    /// gone, nor has another start taken its address.
    #[must_use]
    pub fn current(&self, backend: &Arc<Backend>) -> bool {
        let now = self.clock.now();
        self.listed(backend) && !backend.load(|load| load.suspect(now))
    }

    /// Returns whether a server is still listed as it was when it was chosen.
    #[must_use]
    pub fn listed(&self, backend: &Arc<Backend>) -> bool {
        self.beliefs(|beliefs| {
            let mut all = beliefs.backends.values().flatten();
            let mut listed = false;
            all.all(|other| {
                listed |= Arc::ptr_eq(other, backend);
                Arc::ptr_eq(other, backend) || other.server.address != backend.server.address
            }) && listed
        })
    }
}
