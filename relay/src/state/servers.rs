//! Registration, removal and replacement of servers in this entry's view.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::dissemination::Successor;
use medlarfall_coordination::history::Revision;
use medlarfall_coordination::registry::{Effect, Server};
use medlarfall_coordination::server_pause::Start;

use crate::codec::Codec;

use super::{Backend, Relay};

/// Where a change of the list of servers comes from.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// A server's registration, or its end.
    Store,
    /// An answer of the server.
    Answer,
    /// Another entry.
    Peer,
}

impl<C: Codec> Relay<C> {
    /// Applies a server's registration; `warmup` is its remaining warm-up time, and `sequence` the number of
    /// the registration since the server's start.
    pub fn register_server(
        &self,
        server: Server,
        warmup: Duration,
        sequence: u64,
        revision: Revision,
    ) {
        let id = Arc::clone(&server.id);
        let now = self.clock.now();
        let effect = self.view(|view| {
            let started_ms = server.started_ms;
            let mut affected = view.registry.neighbours(&id);
            let effect = view.registry.register(server, sequence, revision);
            if effect != Effect::Stale {
                let id = &id;
                view.warmups.record(Start { id, started_ms }, warmup, now);
                affected.extend(view.registry.neighbours(id));
                view.update_servers(&self.settings, &affected);
            }
            effect
        });
        self.registry_changed(effect, &id, Source::Store, revision);
    }

    /// Applies the removal of a server's registration.
    pub fn remove_server(&self, id: &Arc<str>, revision: Revision) {
        let now = self.clock.now();
        let effect = self.view(|view| {
            let affected = view.registry.neighbours(id);
            let effect = view.registry.remove(id, revision, now);
            view.update_servers(&self.settings, &affected);
            effect
        });
        self.registry_changed(effect, id, Source::Store, revision);
    }

    /// Records that a server said in an answer that it leaves. It gets no new requests from then on.
    pub fn record_departure(&self, id: &Arc<str>, started_ms: Option<u64>) {
        let now = self.clock.now();
        let effect = self.view(|view| {
            let effect = view.registry.record_departure(id, started_ms, now);
            if effect != Effect::Stale {
                view.update_backends(&self.settings, id);
            }
            effect
        });
        self.registry_changed(effect, id, Source::Answer, Revision::default());
    }

    /// Applies a complete listing: `listed` are the servers registered at `revision`.
    pub fn retain_servers(&self, listed: &HashSet<Arc<str>>, revision: Revision) {
        let now = self.clock.now();
        self.view(|view| {
            view.registry.retain(listed, revision, now);
            view.update_all_backends(&self.settings);
        });
        self.notify_changed();
    }

    /// Returns the era of the store that is known; 0 if none is.
    #[must_use]
    pub fn store_era(&self) -> u64 {
        self.changelog(|changelog| changelog.revision().era)
    }

    /// Records the era of a list of all keys, read at a revision. If it is a new one, the store was restored
    /// from a copy: servers that the copy lacks count as lapsed and are kept for the grace period.
    pub fn enter_era(&self, era: u64, revision: u64) {
        let known = self.changelog(|changelog| changelog.revision());
        let restored = self.changelog(|changelog| changelog.enter(era));
        let current = self.store_era().max(era);
        self.metrics
            .store_era
            .set(i64::try_from(current).unwrap_or(i64::MAX));
        let booted = self.boot_clock.now();
        self.duties(|duties| duties.set_era(current, booted));
        if !restored {
            return;
        }
        self.notify_duties();
        let now = self.clock.now();
        self.view(|view| view.registry.store_restored(now));
        log::warn!(
            era, revision, known_era = known.era, known_revision = known.number;
            "the store was restored from a copy"
        );
    }

    /// Records whether the store is available.
    pub fn set_store_available(&self, available: bool) {
        let now = self.clock.now();
        let changed = self.view(|view| {
            let before = view.registry.next_expiry();
            if available {
                view.registry.store_responded(now);
            } else {
                view.registry.store_lost(now);
            }
            view.registry.next_expiry() != before
        });
        if changed {
            self.notify_changed();
        }
        self.expire_servers();
    }

    /// Returns when [`expire_servers`](Self::expire_servers) is due next, if that is known.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.view(|view| view.registry.next_expiry())
    }

    /// Drops servers that did not return within the grace period after an outage, and adds removed ones that
    /// a restored store has kept.
    pub fn expire_servers(&self) {
        let now = self.clock.now();
        let (expired, accepted) = self.view(|view| {
            let expired = view.registry.expire(now);
            let accepted = view.registry.accept_listed(now);
            if !expired.is_empty() || !accepted.is_empty() {
                view.update_all_backends(&self.settings);
            }
            (expired, accepted)
        });
        for id in &expired {
            self.registry_changed(Effect::Gone, id, Source::Store, Revision::default());
        }
        for id in &accepted {
            self.registry_changed(Effect::Joined, id, Source::Store, Revision::default());
        }
    }

    fn registry_changed(&self, effect: Effect, id: &str, source: Source, revision: Revision) {
        if effect == Effect::Stale {
            return;
        }
        let effect = format!("{effect:?}").to_lowercase();
        let source = format!("{source:?}").to_lowercase();
        log::info!(
            server = id, source = source.as_str(), era = revision.era, revision = revision.number,
            effect = effect.as_str();
            "list of servers changed"
        );
        self.notify_changed();
    }

    pub(super) fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Adds a server that was found in place of `lost` while the store is unavailable, by this
    /// entry or, if `from_peer`, by another one.
    pub fn adopt(&self, lost: &Server, id: &Arc<str>, started_ms: Option<u64>, from_peer: bool) {
        let now = self.clock.now();
        let server = Server {
            id: Arc::clone(id),
            leaving: false,
            started_ms,
            ..lost.clone()
        };
        let effect = self.view(|view| {
            let effect = view.registry.adopt(server);
            let found = Successor {
                predecessor: Arc::clone(&lost.id),
                id: Arc::clone(id),
                started_ms,
            };
            match effect {
                Effect::Stale => {}
                _ if from_peer => {}
                _ => view.node.add_successor(found, now),
            }
            let affected = view.registry.neighbours(id);
            view.update_servers(&self.settings, &affected);
            effect
        });
        if !from_peer {
            self.streams_changed.notify_one();
        }
        let source = if from_peer {
            Source::Peer
        } else {
            Source::Answer
        };
        self.registry_changed(effect, id, source, Revision::default());
    }

    /// Returns the server that has replaced `lost` at its address.
    #[must_use]
    pub fn successor(&self, lost: &Backend) -> Option<Arc<Backend>> {
        let server = &lost.server;
        self.view(|view| {
            let backends = view.backends.get(&server.service)?;
            let mut others = backends.iter();
            let successor = others.find(|other| other.server.address == server.address)?;
            (successor.server.id != server.id).then(|| Arc::clone(successor))
        })
    }

    /// Returns whether a server is still listed as this object.
    #[must_use]
    pub fn lists(&self, backend: &Arc<Backend>) -> bool {
        self.view(|view| {
            let backends = view.backends.get(&backend.server.service);
            let mut backends = backends.into_iter().flatten();
            backends.any(|other| Arc::ptr_eq(other, backend))
        })
    }

    /// Returns whether the store is available.
    #[must_use]
    pub fn store_available(&self) -> bool {
        self.view(|view| view.registry.store_available())
    }

    /// Returns whether a server is still listed as it was when it was chosen, and is not suspect.
    #[must_use]
    pub fn is_current(&self, backend: &Arc<Backend>) -> bool {
        let now = self.clock.now();
        self.is_listed(backend) && !backend.load(|load| load.suspect(now))
    }

    /// Returns whether a server is still listed as it was when it was chosen, and no other server
    /// has its address.
    #[must_use]
    pub fn is_listed(&self, backend: &Arc<Backend>) -> bool {
        self.view(|view| {
            let mut all = view.backends.values().flatten();
            let mut listed = false;
            all.all(|other| {
                listed |= Arc::ptr_eq(other, backend);
                Arc::ptr_eq(other, backend) || other.server.address != backend.server.address
            }) && listed
        })
    }
}
