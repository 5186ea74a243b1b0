//! State that entries exchange: what this entry shares, and what it learns from the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use medlarfall_coordination::dissemination::{
    Contact, Count, Message, Outgoing, Own, Received, Successor, Tag,
};
use medlarfall_coordination::quarantine::Kind;
use medlarfall_coordination::retry_budget::Usage;
use medlarfall_runtime::clock::wall_ms;

use crate::admission;
use crate::codec::Codec;

use super::Relay;
use super::view::View;

impl<C: Codec> Relay<C> {
    /// Applies the registration of an entry in the store: its failure domain and how to reach it, or
    /// `None` if the registration ended or is unreadable.
    pub fn record_registration(&self, entry: &Arc<str>, contact: Option<(Arc<str>, Contact)>) {
        let address = contact
            .as_ref()
            .map(|(_, contact)| contact.address.to_string());
        let changed = self.view(|view| view.node.record_registration(entry, contact));
        if !changed || *entry == self.settings.entry {
            return;
        }
        match address {
            Some(address) => {
                log::info!(peer = &**entry, address = address.as_str(); "peer discovered");
            }
            None => log::info!(peer = &**entry; "registration of a peer ended"),
        }
    }

    /// Returns whether this entry must be registered in the store, so that others find it.
    #[must_use]
    pub fn must_register(&self) -> bool {
        self.view(|view| view.node.must_register())
    }

    /// Returns the number of known entries, this one included.
    #[must_use]
    pub fn entries(&self) -> u32 {
        self.view(|view| view.node.entries())
    }

    /// Returns whether this entry is a hub of its failure domain.
    #[must_use]
    pub fn is_hub(&self) -> bool {
        self.view(|view| view.node.is_hub())
    }

    /// Returns whether this entry has to read the store for the others.
    #[must_use]
    pub fn must_read(&self) -> bool {
        let now = self.clock.now();
        self.settings.peer_address.is_none() || self.view(|view| view.node.must_read(now))
    }

    /// Returns whether a peer reads the store and its last call succeeded.
    #[must_use]
    pub fn others_read(&self) -> bool {
        let now = self.clock.now();
        self.view(|view| view.node.others_read(now))
    }

    /// Returns whether the store is available according to the entries that read it.
    #[must_use]
    pub fn hub_store_available(&self) -> bool {
        self.view(|view| view.node.hub_store_available())
    }

    /// Returns this entry's streams at each server that has any.
    #[must_use]
    pub fn own_streams(&self) -> Vec<(Tag, Count)> {
        self.view(|view| {
            let backends = view.backends.values().flatten();
            let busy = backends.filter(|backend| {
                backend.streams.load(Ordering::Relaxed) > 0
                    || backend.backups.load(Ordering::Relaxed) > 0
            });
            busy.map(|backend| (backend.tag(), backend.load(|load| load.streams())))
                .collect()
        })
    }

    /// Returns the messages to send now.
    #[must_use]
    pub fn poll_messages(&self) -> Vec<Outgoing> {
        let now = self.clock.now();
        let revision = self.changelog(|changelog| changelog.revision());
        let leaving = *self.stopping.borrow();
        let reads_store = self.reads_store.load(Ordering::Relaxed);
        let streams = self.own_streams();
        let scales = self.scales();
        let counts = self.settings.duties.is_some_and(|it| it.usage_reporting);
        let account_demand = admission::demand(self);
        let (was_hub, outgoing) = self.view(|view| {
            let own = Own {
                streams,
                usage: view.retry_usage(now),
                demands: if scales {
                    view.own_demands(now)
                } else {
                    Vec::new()
                },
                account_demand,
                revision,
                reads_store,
                store_available: view.registry.store_available(),
                leaving,
                wall_ms: counts.then(wall_ms),
            };
            view.node.set_own(own);
            if view.registry.store_available() {
                view.node.clear_successors();
            }
            view.share_moves(now);
            (view.node.is_hub(), view.node.poll(now))
        });
        let hub = self.is_hub();
        if hub != was_hub {
            log::info!(hub; "role of this entry in its failure domain changed");
        }
        outgoing
    }

    /// Returns the time until messages are due, if nothing changes before.
    #[must_use]
    pub fn next_poll(&self) -> Duration {
        let now = self.clock.now();
        self.view(|view| view.node.next_poll(now))
    }

    /// Applies a message of another entry.
    pub fn receive_message(&self, from: SocketAddr, message: Message) {
        let now = self.clock.now();
        let Received {
            lost,
            successors,
            moves,
            prompts,
            calls,
            limits,
        } = self.view(|view| view.node.receive(from, message, now));
        let lost: Vec<Tag> = lost.into_iter().map(|(server, _)| server).collect();
        self.record_peer_unreachable(&lost);
        self.receive_crashes(Kind::Prompt, &prompts);
        self.receive_crashes(Kind::Call, &calls);
        self.receive_limits(&limits);
        self.record_peer_successors(&successors);
        for report in moves {
            self.receive_move_report(report);
        }
        if self.is_hub() {
            self.streams_changed.notify_one();
        }
    }

    /// Marks servers that a peer could not reach as suspect, unless they responded to this entry
    /// since.
    fn record_peer_unreachable(&self, lost: &[Tag]) {
        if lost.is_empty() {
            return;
        }
        let now = self.clock.now();
        let search = self.view(|view| {
            let View {
                backends,
                node,
                pending_searches,
                ..
            } = view;
            for backend in backends.values().flatten() {
                let not_seen_since = || backend.load(|load| load.record_peer_unreachable(now));
                if !lost.contains(&backend.tag()) || !not_seen_since() {
                    continue;
                }
                backend.set_unconfirmed(true);
                if node.searches(&backend.server.failure_domain, now) {
                    pending_searches.push(Arc::clone(backend));
                }
            }
            !pending_searches.is_empty()
        });
        if search {
            self.search_requested.notify_one();
        }
    }

    /// Adds the successors that a peer found.
    fn record_peer_successors(&self, successors: &[Successor]) {
        if successors.is_empty() || self.store_available() {
            return;
        }
        for Successor {
            predecessor,
            id,
            started_ms,
        } in successors
        {
            let predecessor = self.view(|view| view.registry.get(predecessor).cloned());
            if let Some(predecessor) = predecessor {
                self.adopt(&predecessor, id, *started_ms, true);
            }
        }
    }
}

impl View {
    /// Returns this entry's requests and retries over the last span, by service.
    fn retry_usage(&mut self, now: Duration) -> Vec<(Arc<str>, Usage)> {
        let windows = self.retry_windows.iter_mut();
        let usage = windows.map(|(service, window)| (Arc::clone(service), window.usage(now)));
        let mut usage: Vec<(Arc<str>, Usage)> = usage.collect();
        usage.sort_by(|(left, _), (right, _)| left.cmp(right));
        usage
    }

    /// Shares this entry's reports on the moves whose end is not recorded.
    fn share_moves(&mut self, now: Duration) {
        for (service, canary) in &self.canaries {
            if !self.recorded_moves.contains(service) {
                self.node.set_move(service, canary.report(now), now);
            }
        }
    }
}
