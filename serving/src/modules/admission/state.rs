//! The state of the admission task.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::fair_queue::{FairQueue, Item};
use medlarfall_coordination::memory::{Ledger, ServerKey};
use medlarfall_coordination::placement::{Proximity, name_hash};
use tokio::sync::{mpsc, oneshot};

use super::grants::Demand;
use super::pool::{Member, Pool};
use super::{Message, Outcome, Permit, Refusal, Requirements};
use crate::backend::{Role, Server};
use crate::configs::Settings;
use crate::configs::admission::Admission;
use crate::configs::entry::Entry;
use crate::modules::directory::Directory;
use crate::modules::metrics::Admissions;

mod shares;

/// Service and version.
type PoolName = (Arc<str>, Arc<str>);

/// A request that waits.
struct Waiting {
    need: Requirements,
    reply: oneshot::Sender<Result<Permit, Refusal>>,
}

/// Where the state sends what it cannot do itself.
pub(super) struct Channels {
    /// Counts of admitted requests.
    pub(super) admitted: Admissions,
    /// Reservations that end.
    pub(super) releases: mpsc::UnboundedSender<Message>,
    /// Demands for memory.
    pub(super) demands: mpsc::UnboundedSender<Demand>,
}

/// What the admission task holds.
pub(super) struct State {
    bounds: Admission,
    entry: Entry,
    ledger: Ledger,
    pools: HashMap<PoolName, Pool>,
    members: HashMap<Arc<str>, Member>,
    shares: HashMap<Arc<str>, shares::Share>,
    queue: FairQueue<Waiting>,
    channels: Channels,
}

impl State {
    /// Returns a state that knows no server.
    pub(super) fn new(settings: &Settings, channels: Channels) -> Self {
        Self {
            bounds: settings.admission,
            entry: settings.entry.clone(),
            ledger: Ledger::new(),
            pools: HashMap::new(),
            members: HashMap::new(),
            shares: HashMap::new(),
            queue: FairQueue::new(),
            channels,
        }
    }

    /// Takes a message.
    pub(super) fn take(&mut self, message: Message, now: Duration) {
        match message {
            Message::Ask(need, reply) => self.ask(need, reply, now),
            Message::Granted(server, tokens) => {
                self.granted(&server, tokens, now);
                self.serve_waiting(now);
            }
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
        let listed: HashSet<&Arc<str>> = directory.iter().map(|server| &server.name).collect();
        self.forget_idle(&listed);
        for member in self.members.values_mut() {
            if !listed.contains(&member.server.name) {
                member.leaving = true;
                member.server = Arc::new(Server {
                    leaving: true,
                    ..member.server.as_ref().clone()
                });
            }
        }
        for server in directory.iter() {
            let member = self.member(Arc::clone(server));
            self.members.insert(Arc::clone(&server.name), member);
        }
        self.rebuild_pools();
        self.serve_waiting(now);
    }

    /// Forgets the servers that are off the list and on which this entry holds nothing.
    fn forget_idle(&mut self, listed: &HashSet<&Arc<str>>) {
        let (ledger, shares) = (&mut self.ledger, &mut self.shares);
        self.members.retain(|name, member| {
            let held = shares.get(name).is_some_and(shares::Share::held);
            let kept = listed.contains(name) || held || ledger.reserved(member.key) > 0;
            if !kept {
                ledger.remove(member.key);
                shares.remove(name);
            }
            kept
        });
    }

    /// Returns idle memory, and tries again for the requests that wait.
    pub(super) fn tick(&mut self, now: Duration) {
        self.return_idle(now);
        self.serve_waiting(now);
    }

    /// Refuses the requests that cannot wait any longer.
    pub(super) fn refuse_late(&mut self, now: Duration) {
        let late = self
            .queue
            .remove(|item| item.value.need.deadline > now && !item.value.reply.is_closed());
        for item in late {
            let _ = item.value.reply.send(Err(Refusal::Deadline));
        }
    }

    /// Returns the earliest deadline of a request that waits.
    pub(super) fn next_deadline(&self) -> Option<Duration> {
        self.queue.iter().map(|item| item.value.need.deadline).min()
    }

    /// Returns the member for a server, with the ledger's record of it if there is one.
    fn member(&mut self, server: Arc<Server>) -> Member {
        let (base, grant_limit) = match server.role {
            Role::Engine => self.bounds.memory(server.memory_tokens),
            Role::Service => (self.bounds.service_calls as u64, 0),
        };
        let held = self.members.get(&server.name);
        let denied_until = held.map_or(Duration::ZERO, |held| held.denied_until);
        let key = match held {
            Some(held) => held.key,
            None => self.ledger.add(0),
        };
        let granted = self
            .shares
            .get(&server.name)
            .map_or(0, shares::Share::granted);
        self.ledger.set_share(key, base + granted);
        Member {
            key,
            leaving: server.leaving,
            hash: name_hash(&server.name),
            proximity: proximity(&self.entry, &server),
            base,
            grant_limit,
            denied_until,
            server,
        }
    }

    /// Groups the servers by service and version.
    fn rebuild_pools(&mut self) {
        for pool in self.pools.values_mut() {
            pool.members.clear();
        }
        for member in self.members.values() {
            let name = pool_name(&member.server.service, &member.server.version);
            let pool = self.pools.entry(name).or_default();
            pool.members.push(member.clone());
        }
        self.pools.retain(|_, pool| !pool.members.is_empty());
    }

    /// Admits a request, lets it wait, or refuses it.
    fn ask(
        &mut self,
        need: Requirements,
        reply: oneshot::Sender<Result<Permit, Refusal>>,
        now: Duration,
    ) {
        if self.too_large(&need) {
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

    /// Returns whether the servers of a request's pool could never hold it.
    fn too_large(&self, need: &Requirements) -> bool {
        let Some(pool) = self.pools.get(&pool_name(&need.service, &need.version)) else {
            return false;
        };
        pool.members
            .iter()
            .all(|member| member.limit() < need.tokens)
    }

    /// Admits the requests that wait, in fair order, as long as one fits, and demands for memory for
    /// those that do not.
    fn serve_waiting(&mut self, now: Duration) {
        loop {
            let mut lacking = Vec::new();
            let mut chosen = None;
            let (pools, ledger) = (&self.pools, &self.ledger);
            let item = self.queue.pop(|item| {
                let need = &item.value.need;
                let pool = pools.get(&pool_name(&need.service, &need.version));
                let Some(choice) = pool.and_then(|pool| pool.choose(need, ledger, now)) else {
                    return false;
                };
                let server = Arc::clone(&choice.member.server);
                if choice.ready {
                    chosen = Some((server, choice.member.key));
                } else {
                    lacking.push((server, need.tokens));
                }
                choice.ready
            });
            for (server, tokens) in lacking {
                self.lacks(&server.name, tokens);
            }
            match (item, chosen) {
                (Some(item), Some((server, key))) => self.admit(item.value, server, key),
                _ => return,
            }
        }
    }

    /// Reserves memory for a request and hands out the permit.
    fn admit(&mut self, waiting: Waiting, server: Arc<Server>, key: ServerKey) {
        let Some(key) = self.ledger.reserve(key, waiting.need.tokens) else {
            return;
        };
        let near = server.failure_domain == self.entry.failure_domain;
        self.channels.admitted.count(near);
        // A permit whose caller has gone is dropped here, which releases the reservation.
        let _ = waiting.reply.send(Ok(Permit {
            server,
            key,
            sender: self.channels.releases.clone(),
        }));
    }

    /// Notes how a request went at its server.
    fn report(&mut self, server: &Server, outcome: Outcome, now: Duration) {
        let Some(pool) = self
            .pools
            .get_mut(&pool_name(&server.service, &server.version))
        else {
            return;
        };
        match outcome {
            Outcome::Succeeded => pool.ejector.succeeded(&server.name),
            Outcome::Failed => pool.ejector.failed(Arc::clone(&server.name), now),
        }
    }
}

/// Returns the name of a pool.
fn pool_name(service: &Arc<str>, version: &Arc<str>) -> PoolName {
    (Arc::clone(service), Arc::clone(version))
}

/// Returns how near a server is to the entry.
fn proximity(entry: &Entry, server: &Server) -> Proximity {
    match server {
        _ if server.failure_domain == entry.failure_domain => Proximity::FailureDomain,
        _ if server.region == entry.region => Proximity::Region,
        _ => Proximity::Anywhere,
    }
}
