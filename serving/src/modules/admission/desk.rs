//! The state of the admission task.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::fair_queue::{FairQueue, Item};
use medlarfall_coordination::memory::Ledger;
use medlarfall_coordination::placement::{Proximity, name_hash};
use tokio::sync::{mpsc, oneshot};

use super::pool::{Member, Pool};
use super::{Message, Need, Outcome, Permit, Refusal};
use crate::backend::{Role, Server};
use crate::configs::Settings;
use crate::configs::admission::Admission;
use crate::configs::entry::Entry;
use crate::modules::directory::Directory;

/// Service and version.
type PoolName = (Arc<str>, Arc<str>);

/// A request that waits.
struct Waiting {
    need: Need,
    reply: oneshot::Sender<Result<Permit, Refusal>>,
}

/// What the admission task holds.
pub(super) struct Desk {
    bounds: Admission,
    entry: Entry,
    ledger: Ledger,
    pools: HashMap<PoolName, Pool>,
    members: HashMap<Arc<str>, Member>,
    queue: FairQueue<Waiting>,
    releases: mpsc::UnboundedSender<Message>,
}

impl Desk {
    /// Returns a desk that knows no server.
    pub(super) fn new(settings: &Settings, releases: mpsc::UnboundedSender<Message>) -> Self {
        Self {
            bounds: settings.admission,
            entry: settings.entry.clone(),
            ledger: Ledger::new(),
            pools: HashMap::new(),
            members: HashMap::new(),
            queue: FairQueue::new(),
            releases,
        }
    }

    /// Takes a message.
    pub(super) fn take(&mut self, message: Message, now: Duration) {
        match message {
            Message::Ask(need, reply) => self.ask(need, reply, now),
            Message::Release(key) => {
                self.ledger.release(key);
                self.serve_waiting(now);
            }
            Message::Report(server, outcome) => self.report(&server, outcome, now),
        }
    }

    /// Takes the backend servers that the entry knows of now.
    ///
    /// A server that is off the list keeps its reservations until they end, since it may come back
    /// while their requests still run there.
    pub(super) fn set_directory(&mut self, directory: &Directory, now: Duration) {
        let listed: HashMap<Arc<str>, Arc<Server>> = directory
            .iter()
            .map(|server| (Arc::clone(&server.name), Arc::clone(server)))
            .collect();
        self.members.retain(|name, member| {
            let known = listed.contains_key(name);
            let idle = self.ledger.reserved(member.key) == 0;
            if !known && idle {
                self.ledger.remove(member.key);
            }
            if !known {
                member.server = Arc::new(Server {
                    leaving: true,
                    ..member.server.as_ref().clone()
                });
            }
            known || !idle
        });
        for (name, server) in listed {
            let member = self.member(server);
            self.members.insert(name, member);
        }
        self.rebuild_pools();
        self.serve_waiting(now);
    }

    /// Refuses the requests that cannot wait any longer.
    pub(super) fn refuse_late(&mut self, now: Duration) {
        for item in self
            .queue
            .remove(|item| item.value.need.deadline > now && !item.value.reply.is_closed())
        {
            let _ = item.value.reply.send(Err(Refusal::Deadline));
        }
    }

    /// Returns the earliest deadline of a request that waits.
    pub(super) fn next_deadline(&self) -> Option<Duration> {
        self.queue.iter().map(|item| item.value.need.deadline).min()
    }

    /// Returns the member for a server, with the ledger's record of it if there is one.
    fn member(&mut self, server: Arc<Server>) -> Member {
        let share = match server.role {
            Role::Engine => self.bounds.memory_share(server.memory_tokens),
            Role::Service => self.bounds.calls_share(),
        };
        let key = match self.members.get(&server.name) {
            Some(held) => held.key,
            None => self.ledger.add(share),
        };
        self.ledger.set_share(key, share);
        Member {
            key,
            hash: name_hash(&server.name),
            proximity: proximity(&self.entry, &server),
            share,
            server,
        }
    }

    /// Groups the servers by service and version.
    fn rebuild_pools(&mut self) {
        for pool in self.pools.values_mut() {
            pool.members.clear();
        }
        for member in self.members.values() {
            let server = &member.server;
            let name = (Arc::clone(&server.service), Arc::clone(&server.version));
            self.pools
                .entry(name)
                .or_default()
                .members
                .push(member.clone());
        }
        self.pools.retain(|_, pool| !pool.members.is_empty());
    }

    /// Admits a request, lets it wait, or refuses it.
    fn ask(&mut self, need: Need, reply: oneshot::Sender<Result<Permit, Refusal>>, now: Duration) {
        let pool = self.pools.get(&pool_name(&need));
        let too_large = pool.is_some_and(|pool| !pool.could_hold(&need));
        if too_large {
            let _ = reply.send(Err(Refusal::TooLarge {
                tokens: need.tokens,
            }));
            return;
        }
        if self.queue.len() >= self.bounds.waiting {
            let _ = reply.send(Err(Refusal::Full));
            return;
        }
        self.queue.push(Item {
            account: Arc::clone(&need.account),
            weight: need.weight,
            priority: need.priority,
            cost: need.tokens,
            value: Waiting { need, reply },
        });
        self.serve_waiting(now);
    }

    /// Admits the requests that wait, in fair order, as long as one fits.
    fn serve_waiting(&mut self, now: Duration) {
        loop {
            let (pools, ledger) = (&self.pools, &self.ledger);
            let fits = |item: &Item<Waiting>| {
                let need = &item.value.need;
                let pool = pools.get(&pool_name(need));
                pool.is_some_and(|pool| pool.choose(need, ledger, now).is_some())
            };
            let Some(item) = self.queue.pop(fits) else {
                return;
            };
            self.admit(item.value, now);
        }
    }

    /// Reserves memory for a request and hands out the permit.
    fn admit(&mut self, waiting: Waiting, now: Duration) {
        let need = &waiting.need;
        let pool = self.pools.get(&pool_name(need));
        let member = pool.and_then(|pool| pool.choose(need, &self.ledger, now));
        let Some((server, key)) = member.map(|member| (Arc::clone(&member.server), member.key))
        else {
            return;
        };
        let Some(key) = self.ledger.reserve(key, need.tokens) else {
            return;
        };
        // A permit whose caller has gone is dropped here, which releases the reservation.
        let _ = waiting.reply.send(Ok(Permit {
            server,
            key,
            sender: self.releases.clone(),
        }));
    }

    /// Notes how a request went at its server.
    fn report(&mut self, server: &Server, outcome: Outcome, now: Duration) {
        let name = (Arc::clone(&server.service), Arc::clone(&server.version));
        let Some(pool) = self.pools.get_mut(&name) else {
            return;
        };
        match outcome {
            Outcome::Answered => pool.ejector.succeeded(&server.name),
            Outcome::Failed => pool.ejector.failed(Arc::clone(&server.name), now),
        }
    }
}

/// Returns the pool that a request needs.
fn pool_name(need: &Need) -> PoolName {
    (Arc::clone(&need.service), Arc::clone(&need.version))
}

/// Returns how near a server is to the entry.
fn proximity(entry: &Entry, server: &Server) -> Proximity {
    match server {
        _ if server.failure_domain == entry.failure_domain => Proximity::FailureDomain,
        _ if server.region == entry.region => Proximity::Region,
        _ => Proximity::Anywhere,
    }
}
