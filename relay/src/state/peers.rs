//! State that entries exchange: what this entry sends to its peers, and what it receives from them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use medlarfall_coordination::reader_election::Election;
use medlarfall_coordination::retry_budget::Usage;
use medlarfall_coordination::shared_load::Count;

use crate::broadcast::Successor;
use crate::codec::Codec;

use super::Relay;
use super::view::Peer;

/// Recipients of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Recipients {
    /// Addresses of the recipients.
    pub addresses: Vec<SocketAddr>,
    /// Capacity of the slowest link among theirs and this entry's, in Mbit/s.
    pub link_mbps: u32,
}

impl<C: Codec> Relay<C> {
    /// Returns the servers that this entry itself could not reach recently, as far as they are due
    /// in a message to `everyone` or to its failure domain.
    #[must_use]
    pub fn unreachable_to_send(&self, everyone: bool) -> Vec<Arc<str>> {
        let now = self.clock.now();
        self.view(|view| {
            view.unreachable.remove_expired(now);
            view.unreachable.next_batch(everyone, now)
        })
    }

    /// Applies a peer's list of unreachable servers. Those that this entry has had no response from
    /// since are marked as suspect and searched for.
    pub fn record_peer_unreachable(&self, lost: &[Arc<str>]) {
        if lost.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.view(|view| {
            for backend in view.backends.values().flatten() {
                let not_seen_since = || backend.load(|load| load.record_peer_unreachable(now));
                if lost.contains(&backend.server.id) && not_seen_since() {
                    backend.set_unconfirmed(true);
                    view.pending_searches.push(Arc::clone(backend));
                }
            }
        });
        self.search_requested.notify_one();
    }

    /// Returns whether this entry has made retries that it has not sent to its peers.
    #[must_use]
    pub fn has_unsent_retries(&self) -> bool {
        self.view(|view| view.retries_unsent)
    }

    /// Returns this entry's retry usage over the last span by service, and marks it as sent.
    #[must_use]
    pub fn take_retry_usage(&self) -> Vec<(Arc<str>, Usage)> {
        let now = self.clock.now();
        self.view(|view| {
            view.retries_unsent = false;
            let windows = view.retry_windows.iter_mut();
            let used = windows.map(|(service, window)| (Arc::clone(service), window.usage(now)));
            used.collect()
        })
    }

    /// Records a peer's retry usage.
    pub fn record_peer_retries(&self, peer: &Arc<str>, used: &[(Arc<str>, Usage)]) {
        let now = self.clock.now();
        self.view(|view| {
            for (service, usage) in used {
                let others = view.peer_retries.entry(Arc::clone(service));
                others.or_default().record(peer, *usage, now);
            }
        });
    }

    /// Returns whether this entry has found successors that it has not sent to its peers.
    #[must_use]
    pub fn has_unsent_successors(&self) -> bool {
        self.view(|view| view.successors.has_unsent())
    }

    /// Returns the successors that were found while the store is unavailable, as far as they are
    /// due in a message to `everyone` or to this entry's failure domain.
    #[must_use]
    pub fn successors_to_send(&self, everyone: bool) -> Vec<Successor> {
        let now = self.clock.now();
        self.view(|view| {
            if view.registry.store_available() {
                view.successors.clear();
            }
            view.successors.next_batch(everyone, now)
        })
    }

    /// Adds the successors that a peer found.
    pub fn record_peer_successors(&self, successors: &[Successor]) {
        if self.store_available() {
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

    /// Records the address of a peer. A peer whose lease expired is kept, since leases also expire
    /// during an outage of the store.
    pub fn record_peer(&self, name: &Arc<str>, address: Option<SocketAddr>) {
        if *name == self.settings.entry {
            return;
        }
        let Some(address) = address else {
            return;
        };
        let known = self.view(|view| {
            let peer = view.peers.entry(Arc::clone(name)).or_insert(Peer {
                address,
                failure_domain: None,
                link_mbps: None,
            });
            std::mem::replace(&mut peer.address, address) == address
                && peer.failure_domain.is_some()
        });
        if !known {
            log::info!(peer = &**name, address = address.to_string().as_str(); "peer discovered");
        }
    }

    /// Records a peer's failure domain and link, and whether it reads the store and its last call
    /// succeeded.
    pub fn record_peer_reader(
        &self,
        name: &Arc<str>,
        failure_domain: &Arc<str>,
        link_mbps: u32,
        reads: bool,
    ) {
        let now = self.clock.now();
        self.view(|view| {
            if let Some(peer) = view.peers.get_mut(name) {
                peer.failure_domain = Some(Arc::clone(failure_domain));
                peer.link_mbps = Some(link_mbps);
            }
            let own = &self.settings;
            let new_election = || Election::new(&own.entry, own.link_mbps);
            let election = view.reader_election.get_or_insert_with(new_election);
            election.record(name, link_mbps, reads, now);
        });
    }

    /// Returns whether a peer reads the store and its last call succeeded.
    #[must_use]
    pub fn others_read(&self) -> bool {
        let now = self.clock.now();
        self.view(|view| {
            let election = view.reader_election.as_ref();
            election.is_some_and(|election| election.others_read(now))
        })
    }

    /// Returns whether this entry has to read the store for all.
    #[must_use]
    pub fn must_read(&self) -> bool {
        let now = self.clock.now();
        self.view(|view| {
            let election = view.reader_election.as_ref();
            election.is_none_or(|election| election.must_read(now))
        })
    }

    /// Returns the recipients of a message: `everyone`, or the peers not known to run in another
    /// failure domain.
    #[must_use]
    pub fn recipients(&self, everyone: bool) -> Recipients {
        let own = Some(&self.settings.failure_domain);
        self.view(|view| {
            let peers = view.peers.values();
            let recipients = peers.filter(|peer| {
                everyone || peer.failure_domain.is_none() || peer.failure_domain.as_ref() == own
            });
            let recipients: Vec<&Peer> = recipients.collect();
            let links = recipients.iter().filter_map(|peer| peer.link_mbps);
            Recipients {
                addresses: recipients.iter().map(|peer| peer.address).collect(),
                link_mbps: links.fold(self.settings.link_mbps, u32::min),
            }
        })
    }

    /// Records a peer's streams at each server.
    pub fn record_peer_streams(&self, peer: Arc<str>, counts: HashMap<Arc<str>, Count>) {
        let now = self.clock.now();
        self.view(|view| view.peer_load.record(peer, counts, now));
    }

    /// Returns this entry's streams at each server: the server, all streams, and those in prefill.
    #[must_use]
    pub fn own_streams(&self) -> Vec<(Arc<str>, u32, u32)> {
        let now = self.clock.now();
        self.view(|view| {
            view.peer_load.expire(now);
            let backends = view.backends.values().flatten();
            let counted = backends.filter_map(|backend| {
                let count = backend.load(|load| load.streams());
                let streams = backend.streams.load(Ordering::Relaxed);
                let id = Arc::clone(&backend.server.id);
                (streams > 0).then_some((id, count.streams, count.prefilling))
            });
            counted.collect()
        })
    }
}
