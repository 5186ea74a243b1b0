//! The state of dissemination at one entry: who it knows, and which role it has.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::autoscaling::Demand;
use crate::history::Revision;
use crate::propagation::Budget;
use crate::quarantine::{Kind, Loss, Part};
use crate::reader_election::{Election, Rank};
use crate::retry_budget::{Others, Usage};
use crate::room;

use super::counts::Exchange;
use super::crash_news::CrashNews;
use super::demands::{AccountDemand, Demands};
use super::hub_words::HubWords;
use super::ledger::{Count, Ledger, Summary};
use super::members::{Change, Members};
use super::moves::{MoveReport, Reports};
use super::news::{self, Origin};
use super::roster::{Contact, Roster};
use super::{Scope, ServerLimit, Successor, Tag};

mod counting;
mod receiving;
mod sending;

/// Time, by a hash of its name, up to which an entry without hubs that knows nothing waits longer before it
/// reads the store, so that a failure domain does not read all keys at once. One that knows most of them only
/// asks for changes.
const MAX_FIRST_READ_DELAY: Duration = Duration::from_millis(1_500);

/// Contacts that digests name and that are registered in the store, for each failure domain.
const CONTACTS: usize = 4;

/// Most limits of servers that are passed on at a time.
const LIMITS: usize = 512;

/// Identity of an entry.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, address and link of the entry.
    pub contact: Contact,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
}

/// State of an entry that it shares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Own {
    /// Its streams at each server.
    pub streams: Vec<(Tag, Count)>,
    /// Its requests and retries, by service.
    pub usage: Vec<(Arc<str>, Usage)>,
    /// Its demand, by service whose servers are scaled.
    pub demands: Vec<(Arc<str>, Demand)>,
    /// What its callers ask for, of services whose capacity is nearly used up.
    pub account_demand: AccountDemand,
    /// Revision of the store up to which it knows all changes.
    pub revision: Revision,
    /// Whether it reads the store and its last call succeeded.
    pub reads_store: bool,
    /// Whether the store is available, as far as it knows.
    pub store_available: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Time of its wall clock, in Unix milliseconds; `None` if it does no duties.
    pub wall_ms: Option<u64>,
}

/// What was sent last in one scope.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    at: Option<Duration>,
    repeated_at: Option<Duration>,
    sequence: u64,
    revision: Revision,
    reads_store: bool,
    store_available: bool,
    leaving: bool,
}

/// The dissemination state of one entry.
#[derive(Clone, Debug)]
pub struct Node {
    identity: Identity,
    propagation: Budget,
    rank: Rank,
    own: Own,
    reported: Own,
    /// Hubs to which the last report was sent.
    reported_to: Vec<SocketAddr>,
    /// Whether an entry has joined that has not been sent a digest.
    joined: bool,
    /// Reports with changed streams since the last digest.
    changed_reports: u32,
    registered: BTreeMap<Arc<str>, (Arc<str>, Rank)>,
    rosters: BTreeMap<Arc<str>, Roster>,
    visitors: BTreeMap<SocketAddr, Duration>,
    members: Members,
    ledger: Ledger,
    lost: news::News<Tag>,
    successors: news::News<Successor>,
    moves: Reports,
    prompts: CrashNews,
    calls: CrashNews,
    limits: news::News<ServerLimit>,
    /// Counts of requests; `None` if this entry does not count any.
    counts: Option<Exchange>,
    account_demands: Demands,
    election: Election,
    sent: [Sent; Scope::COUNT],
    hub: bool,
    started_at: Duration,
    /// What the hubs of this failure domain said of the store.
    hub_words: HubWords,
}

impl Node {
    /// Returns the state of an entry that starts and knows no other entries.
    #[must_use]
    pub fn new(identity: Identity, propagation: Budget, now: Duration) -> Self {
        let Contact {
            entry, link_mbps, ..
        } = &identity.contact;
        Self {
            rank: identity.contact.rank(),
            election: Election::new(entry, *link_mbps, propagation),
            rosters: BTreeMap::from([(Arc::clone(&identity.failure_domain), Roster::default())]),
            identity,
            propagation,
            own: Own::default(),
            reported: Own::default(),
            reported_to: Vec::new(),
            joined: false,
            changed_reports: 0,
            registered: BTreeMap::new(),
            visitors: BTreeMap::new(),
            members: Members::default(),
            ledger: Ledger::default(),
            lost: news::News::default(),
            successors: news::News::default(),
            moves: Reports::default(),
            prompts: CrashNews::default(),
            calls: CrashNews::default(),
            limits: news::News::with_capacity(LIMITS),
            counts: None,
            account_demands: Demands::default(),
            sent: [Sent::default(); Scope::COUNT],
            hub: false,
            started_at: now,
            hub_words: HubWords::new(propagation.silent_reader()),
        }
    }

    /// Applies the registration of an entry in the store, or its removal (`None`). Returns whether
    /// it was not registered before, or no longer is.
    pub fn record_registration(
        &mut self,
        entry: &Arc<str>,
        registration: Option<(Arc<str>, Contact)>,
    ) -> bool {
        let Some((failure_domain, contact)) = registration else {
            return self.registered.remove(entry).is_some();
        };
        let rank = contact.rank();
        let registered = (Arc::clone(&failure_domain), rank);
        let known = self.registered.insert(Arc::clone(entry), registered);
        if *entry != self.identity.contact.entry {
            self.rosters
                .entry(failure_domain)
                .or_default()
                .insert(contact);
        }
        known.is_none()
    }

    /// Returns whether this entry must be registered in the store: fewer than four entries of its
    /// failure domain that rank before it are.
    #[must_use]
    pub fn must_register(&self) -> bool {
        let registered = self.registered.values();
        let before = registered
            .filter(|(domain, rank)| *domain == self.identity.failure_domain && *rank < self.rank);
        !self.own.leaving && before.count() < CONTACTS
    }

    /// Returns whether this entry is a hub of its failure domain.
    #[must_use]
    pub fn is_hub(&self) -> bool {
        self.hub
    }

    /// Returns whether this entry searches for the successor of a lost server: it is a hub of the
    /// server's failure domain, or that has no hub that responds, or this entry has no hub.
    #[must_use]
    pub fn searches(&self, failure_domain: &str, now: Duration) -> bool {
        let own = *self.identity.failure_domain == *failure_domain;
        if self.hub {
            own || !self.ledger.hears(failure_domain, now)
        } else {
            !self.roster().responds()
        }
    }

    /// Returns the streams of the other entries at a server.
    #[must_use]
    pub fn streams_at(&self, server: Tag, now: Duration) -> Count {
        self.ledger.at(server, now)
    }

    /// Returns what is known of the other entries' retries for a service.
    #[must_use]
    pub fn others(&self, service: &str, now: Duration) -> Others {
        Others {
            entries: self.ledger.entries().saturating_sub(1),
            reporting: self.ledger.reporting(now).saturating_sub(1),
            usage: self.ledger.others_usage(service, now),
        }
    }

    /// Returns the demand for a service at the entries of each failure domain; `None` where that of any entry
    /// is unknown. Only hubs know it.
    #[must_use]
    pub fn demands(&self, service: &str, now: Duration) -> BTreeMap<Arc<str>, Option<Demand>> {
        let registered = self.registered.values();
        let registered = registered.map(|(name, _)| (Arc::clone(name), None));
        let mut demands: BTreeMap<_, _> = registered.collect();
        let known = self.ledger.demands(service, now);
        demands.extend(known.map(|(name, demand)| (Arc::clone(name), demand)));
        demands
    }

    /// Returns what is asked for of a service at the other entries, as far as they say so.
    #[must_use]
    pub fn others_demand(&self, service: &str, now: Duration) -> Vec<room::Demand> {
        self.account_demands.of_others(service, self.hub, now)
    }

    /// Returns the number of known entries, this one included.
    #[must_use]
    pub fn entries(&self) -> u32 {
        self.ledger.entries().max(1)
    }

    /// Returns whether this entry must read the store.
    #[must_use]
    pub fn must_read(&self, now: Duration) -> bool {
        if self.leads() {
            return self.election.must_read(now);
        }
        let part = f64::from(u16::try_from(self.rank.1 % 1_000).unwrap_or(0)) / 1_000.0;
        let hand_over = self.propagation.hand_over().mul_f64(part);
        let heard_at = self.hub_words.heard_at().unwrap_or(self.started_at);
        let knows_nothing = self.own.revision.number == 0;
        let delay = if knows_nothing {
            MAX_FIRST_READ_DELAY.mul_f64(part)
        } else {
            hand_over
        };
        if now.saturating_sub(heard_at) > self.propagation.silent_reader() + delay {
            return true;
        }
        // Hubs that start while the store is away get its content for all, once it is back.
        let doubted_since = self.hub_words.unavailable_since();
        !knows_nothing && doubted_since.is_some_and(|since| now.saturating_sub(since) >= hand_over)
    }

    /// Returns whether another entry reads the store successfully, as far as is known.
    #[must_use]
    pub fn others_read(&self, now: Duration) -> bool {
        self.election.others_read(now)
    }

    /// Returns whether the store is available according to the hubs, for an entry that does not read
    /// it itself.
    #[must_use]
    pub fn hub_store_available(&self) -> bool {
        self.hub || self.hub_words.unavailable_since().is_none()
    }

    /// Replaces the state that this entry shares.
    pub fn set_own(&mut self, own: Own) {
        self.own = own;
    }

    /// Adds a server that this entry could not reach.
    pub fn add_lost(&mut self, server: Tag, now: Duration) {
        self.lost.insert(server, Duration::ZERO, Origin::Own, now);
    }

    /// Adds a successor that this entry found.
    pub fn add_successor(&mut self, successor: Successor, now: Duration) {
        self.successors
            .insert(successor, Duration::ZERO, Origin::Own, now);
    }

    /// Drops the successors: the store is available.
    pub fn clear_successors(&mut self) {
        self.successors.clear();
    }

    /// Adds a run of a kind that this entry lost before its answer began.
    pub fn add_loss(&mut self, kind: Kind, loss: Loss, now: Duration) {
        self.crashes(kind)
            .losses
            .insert(loss, Duration::ZERO, Origin::Own, now);
    }

    /// Adds the suspect parts of a request of a kind whose answer began at this entry.
    pub fn add_answer(&mut self, kind: Kind, parts: Arc<[Part]>, now: Duration) {
        self.crashes(kind)
            .answers
            .insert(parts, Duration::ZERO, Origin::Own, now);
    }

    fn crashes(&mut self, kind: Kind) -> &mut CrashNews {
        match kind {
            Kind::Prompt => &mut self.prompts,
            Kind::Call => &mut self.calls,
        }
    }

    /// Adds what a server said of its limit to this entry.
    pub fn add_limit(&mut self, limit: ServerLimit, now: Duration) {
        self.limits.insert(limit, Duration::ZERO, Origin::Own, now);
    }

    /// Replaces this entry's own report on a move.
    pub fn set_move(&mut self, service: &Arc<str>, report: crate::canary::Report, now: Duration) {
        let report = MoveReport {
            service: Arc::clone(service),
            entry: Arc::clone(&self.identity.contact.entry),
            report,
        };
        self.moves.insert(report, Origin::Own, now);
    }

    fn roster(&self) -> &Roster {
        &self.rosters[&self.identity.failure_domain]
    }

    /// Enters changed sums into the ledger, if this entry is a hub.
    fn update_sums(&mut self, change: Change, now: Duration) {
        if !self.hub {
            return;
        }
        let failure_domain = &self.identity.failure_domain;
        for server in change.servers {
            let sum = self.members.at(server);
            self.ledger.set(failure_domain, server, sum, now);
        }
        let usage = if change.usage {
            self.members.usage()
        } else {
            Vec::new()
        };
        let summary = Summary {
            failure_domain: Arc::clone(failure_domain),
            entries: self.members.counted(),
            streams: Vec::new(),
            usage,
            demands: change.demands,
        };
        self.ledger.apply(summary, now);
    }

    /// Returns whether this entry is to be a hub by rank, once it knows any entry of its failure domain.
    fn leads(&self) -> bool {
        let registered = &self.registered;
        let known =
            registered.contains_key(&self.identity.contact.entry) || !self.roster().is_empty();
        known && !self.own.leaving && self.roster().leads(self.rank)
    }

    /// Becomes a hub or ceases to be one.
    fn update_role(&mut self, now: Duration) {
        let hub = self.leads();
        if hub == self.hub {
            return;
        }
        self.hub = hub;
        self.update_summing(now);
        self.ledger.clear(&self.identity.failure_domain);
        self.sent[Scope::Members.index()].sequence = 0;
        let servers = self.members.sums().map(|(server, _)| server).collect();
        let change = Change {
            servers,
            usage: true,
            demands: self.members.demands(),
            ..Change::default()
        };
        self.update_sums(change, now);
    }

    fn expire(&mut self, now: Duration) {
        self.lost.expire(now);
        self.prompts.expire(now);
        self.calls.expire(now);
        self.limits.expire(now);
        self.account_demands.expire(now);
        let change = self.members.expire(now);
        self.update_sums(change, now);
        self.ledger.expire(now);
    }
}
