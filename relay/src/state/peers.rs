//! What this entry tells the others, and what they tell it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use medlarfall_coordination::reader_election::Election;
use medlarfall_coordination::retry_budget::Usage;
use medlarfall_coordination::shared_load::Count;

use crate::dialect::Dialect;
use crate::exchange::Found;

use super::Relay;
use super::beliefs::Peer;

/// Entries to tell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Audience {
    /// Where they take messages.
    pub addresses: Vec<SocketAddr>,
    /// Speed of the narrowest link among theirs and this entry's, in Mbit/s.
    pub link_mbps: u32,
}

impl<D: Dialect> Relay<D> {
    /// Returns the servers that this entry itself could not reach lately, as far as they are to be
    /// told to `everyone` or to those nearby.
    #[must_use]
    pub fn lost_to_tell(&self, everyone: bool) -> Vec<Arc<str>> {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            beliefs.lost.remove_expired(now);
            beliefs.lost.next_batch(everyone, now)
        })
    }

    /// Takes in the servers that another entry could not reach: one that this entry has not heard
    /// of since either is put behind the others and looked for.
    pub fn peer_lost(&self, lost: &[Arc<str>]) {
        if lost.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            for backend in beliefs.backends.values().flatten() {
                let silent = || backend.load(|load| load.record_peer_unreachable(now));
                if lost.contains(&backend.server.id) && silent() {
                    backend.set_doubted(true);
                    beliefs.to_search.push(Arc::clone(backend));
                }
            }
        });
        self.search_wanted.notify_one();
    }

    /// Returns whether this entry repeated something that it has not told.
    #[must_use]
    pub fn has_repeated(&self) -> bool {
        self.beliefs(|beliefs| beliefs.retries_untold)
    }

    /// Returns what this entry repeated over the last span, by service, to be told.
    #[must_use]
    pub fn repeats_to_tell(&self) -> Vec<(Arc<str>, Usage)> {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            beliefs.retries_untold = false;
            let windows = beliefs.retries.iter_mut();
            let used = windows.map(|(service, window)| (Arc::clone(service), window.usage(now)));
            used.collect()
        })
    }

    /// Takes in what another entry repeated.
    pub fn peer_repeated(&self, peer: &Arc<str>, used: &[(Arc<str>, Usage)]) {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            for (service, usage) in used {
                let others = beliefs.others_retries.entry(Arc::clone(service));
                others.or_default().record(peer, *usage, now);
            }
        });
    }

    /// Returns whether this entry has found servers that it has not told of.
    #[must_use]
    pub fn has_found(&self) -> bool {
        self.beliefs(|beliefs| beliefs.found.has_unsent())
    }

    /// Returns the servers that were found while the store is away, as far as they are to be told
    /// to `everyone` or to those nearby.
    #[must_use]
    pub fn found_to_tell(&self, everyone: bool) -> Vec<Found> {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            if beliefs.roster.store_available() {
                beliefs.found.clear();
            }
            beliefs.found.next_batch(everyone, now)
        })
    }

    /// Takes in the servers that another entry found.
    pub fn peer_found(&self, found: &[Found]) {
        if self.store_up() {
            return;
        }
        for Found {
            before,
            now,
            born_ms,
        } in found
        {
            let before = self.beliefs(|beliefs| beliefs.roster.get(before).cloned());
            if let Some(before) = before {
                self.adopt(&before, now, *born_ms, true);
            }
        }
    }

    /// Takes in the address of another entry. One whose lease ended is kept while it tells
    /// something: leases also end while the store is away.
    pub fn peer(&self, name: &Arc<str>, address: Option<SocketAddr>) {
        if *name == self.settings.entry {
            return;
        }
        let Some(address) = address else {
            return;
        };
        let known = self.beliefs(|beliefs| {
            let peer = beliefs.peers.entry(Arc::clone(name)).or_insert(Peer {
                address,
                failure_domain: None,
                link_mbps: None,
            });
            std::mem::replace(&mut peer.address, address) == address
                && peer.failure_domain.is_some()
        });
        if !known {
            log::info!(peer = &**name, address = address.to_string().as_str(); "entry known");
        }
    }

    /// Takes in where another entry runs and whether it reads the store with success.
    pub fn peer_reads(
        &self,
        name: &Arc<str>,
        failure_domain: &Arc<str>,
        link_mbps: u32,
        reads: bool,
    ) {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            if let Some(peer) = beliefs.peers.get_mut(name) {
                peer.failure_domain = Some(Arc::clone(failure_domain));
                peer.link_mbps = Some(link_mbps);
            }
            let own = &self.settings;
            let unheard = || Election::new(&own.entry, own.link_mbps);
            let readers = beliefs.readers.get_or_insert_with(unheard);
            readers.record(name, link_mbps, reads, now);
        });
    }

    /// Returns whether another entry reads the store with success.
    #[must_use]
    pub fn others_read(&self) -> bool {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            let readers = beliefs.readers.as_ref();
            readers.is_some_and(|readers| readers.others_read(now))
        })
    }

    /// Returns whether this entry has to read the store, for itself and for others.
    #[must_use]
    pub fn must_read(&self) -> bool {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            let readers = beliefs.readers.as_ref();
            readers.is_none_or(|readers| readers.must_read(now))
        })
    }

    /// Returns the entries to tell: `everyone`, or those not known to run elsewhere.
    #[must_use]
    pub fn audience(&self, everyone: bool) -> Audience {
        let own = Some(&self.settings.failure_domain);
        self.beliefs(|beliefs| {
            let peers = beliefs.peers.values();
            let told = peers.filter(|peer| {
                everyone || peer.failure_domain.is_none() || peer.failure_domain.as_ref() == own
            });
            let told: Vec<&Peer> = told.collect();
            let links = told.iter().filter_map(|peer| peer.link_mbps);
            Audience {
                addresses: told.iter().map(|peer| peer.address).collect(),
                link_mbps: links.fold(self.settings.link_mbps, u32::min),
            }
        })
    }

    /// Takes in what another entry has at each server.
    pub fn peer_told(&self, peer: Arc<str>, counts: HashMap<Arc<str>, Count>) {
        let now = self.clock.now();
        self.beliefs(|beliefs| beliefs.shared.record(peer, counts, now));
    }

    /// Returns the streams of this entry at each server: all, and those whose prompt is read.
    #[must_use]
    pub fn own_streams(&self) -> Vec<(Arc<str>, u32, u32)> {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            beliefs.shared.expire(now);
            let backends = beliefs.backends.values().flatten();
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
