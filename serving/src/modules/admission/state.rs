//! The state of the admission task.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::fair_queue::{FairQueue, Item};
use medlarfall_coordination::memory::{Ledger, ServerKey};
use medlarfall_coordination::placement::{Proximity, name_hash};
use tokio::sync::{mpsc, oneshot};

use super::grants::GrantRequest;
use super::pool::{Member, Pool};
use super::{Message, Outcome, Permit, Refusal, Requirements};
use crate::backend::{Role, Server};
use crate::configs::Settings;
use crate::configs::admission::Admission;
use crate::configs::entry::Entry;
use crate::modules::directory::Directory;
use crate::modules::metrics::Admissions;

mod shares;

/// Service and version of a pool.
type PoolName = (Arc<str>, Arc<str>);

/// A waiting request.
struct Waiting {
    requirements: Requirements,
    reply: oneshot::Sender<Result<Permit, Refusal>>,
}

/// Outputs of the state: counters and the channels to other tasks.
pub(super) struct Channels {
    /// Counters of admitted requests.
    pub(super) admitted: Admissions,
    /// Releases and reports of permits to the admission task, which handles them before new
    /// requests.
    pub(super) priority_sender: mpsc::UnboundedSender<Message>,
    /// Requests to the task that updates grants.
    pub(super) grant_requests: mpsc::UnboundedSender<GrantRequest>,
}

/// The state of the admission task.
pub(super) struct State {
    settings: Admission,
    entry: Entry,
    ledger: Ledger,
    pools: HashMap<PoolName, Pool>,
    members: HashMap<Arc<str>, Member>,
    shares: HashMap<Arc<str>, shares::Share>,
    queue: FairQueue<Waiting>,
    channels: Channels,
}

impl State {
    /// Returns a state without servers.
    pub(super) fn new(settings: &Settings, channels: Channels) -> Self {
        Self {
            settings: settings.admission,
            entry: settings.entry.clone(),
            ledger: Ledger::new(),
            pools: HashMap::new(),
            members: HashMap::new(),
            shares: HashMap::new(),
            queue: FairQueue::new(),
            channels,
        }
    }

    /// Handles a message.
    pub(super) fn handle(&mut self, message: Message, now: Duration) {
        match message {
            Message::Ask(requirements, reply) => self.enqueue(requirements, reply, now),
            Message::Granted(server, tokens) => {
                self.record_grant(&server, tokens, now);
                self.admit_waiting(now);
            }
            Message::Release(key) => {
                self.ledger.release(key);
                self.admit_waiting(now);
            }
            Message::Report(server, outcome) => self.record_outcome(&server, outcome, now),
        }
    }

    /// Replaces the set of known backend servers.
    ///
    /// A server that is no longer listed keeps its reservations until they end, since it may return
    /// while their requests still run there.
    pub(super) fn set_directory(&mut self, directory: &Directory, now: Duration) {
        let listed: HashSet<&Arc<str>> = directory.iter().map(|server| &server.name).collect();
        self.remove_unused(&listed);
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
        self.admit_waiting(now);
    }

    /// Removes the servers that are no longer listed and on which this entry has no reservation or
    /// grant.
    fn remove_unused(&mut self, listed: &HashSet<&Arc<str>>) {
        let (ledger, shares) = (&mut self.ledger, &mut self.shares);
        self.members.retain(|name, member| {
            let in_use = shares.get(name).is_some_and(shares::Share::in_use);
            let kept = listed.contains(name) || in_use || ledger.reserved(member.key) > 0;
            if !kept {
                ledger.remove(member.key);
                shares.remove(name);
            }
            kept
        });
    }

    /// Returns idle memory to the store and retries the waiting requests.
    pub(super) fn tick(&mut self, now: Duration) {
        self.return_idle(now);
        self.admit_waiting(now);
    }

    /// Refuses the requests whose deadline has passed and removes those whose caller is gone.
    pub(super) fn refuse_expired(&mut self, now: Duration) {
        let expired = self
            .queue
            .remove(|item| item.value.requirements.deadline > now && !item.value.reply.is_closed());
        for item in expired {
            let _ = item.value.reply.send(Err(Refusal::Deadline));
        }
    }

    /// Returns the earliest deadline of a waiting request.
    pub(super) fn next_deadline(&self) -> Option<Duration> {
        self.queue
            .iter()
            .map(|item| item.value.requirements.deadline)
            .min()
    }

    /// Returns the pool member of a server; it keeps the ledger key and the denial of the earlier
    /// member.
    fn member(&mut self, server: Arc<Server>) -> Member {
        let (base, grant_limit) = match server.role {
            Role::Engine => self.settings.memory(server.memory_tokens),
            Role::Service => (self.settings.service_calls as u64, 0),
        };
        let existing = self.members.get(&server.name);
        let denied_until = existing.map_or(Duration::ZERO, |existing| existing.denied_until);
        let key = match existing {
            Some(existing) => existing.key,
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

    /// Queues a request, or refuses it if it is too large or the queue is full.
    fn enqueue(
        &mut self,
        requirements: Requirements,
        reply: oneshot::Sender<Result<Permit, Refusal>>,
        now: Duration,
    ) {
        if self.too_large(&requirements) {
            let _ = reply.send(Err(Refusal::TooLarge {
                tokens: requirements.tokens,
            }));
            return;
        }
        if self.queue.len() >= self.settings.waiting {
            let _ = reply.send(Err(Refusal::Full));
            return;
        }
        self.queue.push(Item {
            account: Arc::clone(&requirements.account),
            weight: requirements.weight,
            priority: requirements.priority,
            cost: requirements.tokens,
            value: Waiting {
                requirements,
                reply,
            },
        });
        self.admit_waiting(now);
    }

    /// Returns whether a request needs more memory than this entry may ever reserve on any server
    /// of its pool; false if the pool is unknown.
    fn too_large(&self, requirements: &Requirements) -> bool {
        let Some(pool) = self
            .pools
            .get(&pool_name(&requirements.service, &requirements.version))
        else {
            return false;
        };
        pool.members
            .iter()
            .all(|member| member.limit() < requirements.tokens)
    }

    /// Admits waiting requests in fair order until none fits, and requests grants of memory for
    /// those that do not fit.
    fn admit_waiting(&mut self, now: Duration) {
        loop {
            let mut lacking = Vec::new();
            let mut chosen = None;
            let (pools, ledger) = (&self.pools, &self.ledger);
            let item = self.queue.pop(|item| {
                let requirements = &item.value.requirements;
                let pool = pools.get(&pool_name(&requirements.service, &requirements.version));
                let Some(choice) = pool.and_then(|pool| pool.choose(requirements, ledger, now))
                else {
                    return false;
                };
                let server = Arc::clone(&choice.member.server);
                if choice.ready {
                    chosen = Some((server, choice.member.key));
                } else {
                    lacking.push((server, requirements.tokens));
                }
                choice.ready
            });
            for (server, tokens) in lacking {
                self.request_grant(&server.name, tokens);
            }
            match (item, chosen) {
                (Some(item), Some((server, key))) => self.admit(item.value, server, key),
                _ => return,
            }
        }
    }

    /// Reserves memory for a request and sends its permit.
    fn admit(&mut self, waiting: Waiting, server: Arc<Server>, key: ServerKey) {
        let Some(key) = self.ledger.reserve(key, waiting.requirements.tokens) else {
            return;
        };
        let same_domain = server.failure_domain == self.entry.failure_domain;
        self.channels.admitted.count(same_domain);
        // If the requester is gone, the permit is dropped here, which releases the reservation.
        let _ = waiting.reply.send(Ok(Permit {
            server,
            key,
            sender: self.channels.priority_sender.clone(),
        }));
    }

    /// Records the result of a request at its server.
    fn record_outcome(&mut self, server: &Server, outcome: Outcome, now: Duration) {
        let Some(pool) = self
            .pools
            .get_mut(&pool_name(&server.service, &server.version))
        else {
            return;
        };
        match outcome {
            Outcome::Succeeded => pool.ejector.record_success(&server.name),
            Outcome::Failed => pool.ejector.record_failure(Arc::clone(&server.name), now),
        }
    }
}

/// Returns the name of a pool.
fn pool_name(service: &Arc<str>, version: &Arc<str>) -> PoolName {
    (Arc::clone(service), Arc::clone(version))
}

/// Returns the proximity of a server to the entry.
fn proximity(entry: &Entry, server: &Server) -> Proximity {
    match server {
        _ if server.failure_domain == entry.failure_domain => Proximity::FailureDomain,
        _ if server.region == entry.region => Proximity::Region,
        _ => Proximity::Anywhere,
    }
}
