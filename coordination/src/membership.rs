//! Membership of entries by the SWIM protocol. Its view is a hint: no guarantee may depend on it.
//!
//! In each period an entry pings one member directly and, if it does not respond, through other
//! members. A member that does not respond is suspected; it is declared dead unless it refutes the
//! suspicion with a higher incarnation. Updates are piggybacked on the messages. An entry knows all
//! members of its own failure domain and a few contacts in each other one, so that its cost does
//! not grow with the number of entries.
//!
//! ```
//! use std::time::Duration;
//! use medlarfall_coordination::membership::{Config, Member, Members};
//!
//! let member = |name: &str, port: u16| Member {
//!     name: name.into(),
//!     address: ([127, 0, 0, 1], port).into(),
//!     failure_domain: "domain-1".into(),
//!     incarnation: 1,
//! };
//! let now = Duration::ZERO;
//! let mut one = Members::new(member("one", 1), Config::default(), 1);
//! let mut two = Members::new(member("two", 2), Config::default(), 2);
//! one.set_seeds(vec![([127, 0, 0, 1], 2).into()]);
//! let join = one.tick(now).remove(0);
//! for answer in two.receive(join.message, now) {
//!     one.receive(answer.message, now);
//! }
//! assert_eq!(one.neighbours().count(), 1);
//! assert_eq!(two.neighbours().count(), 1);
//! ```

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

mod dissemination;
mod probe;
mod table;

use dissemination::Dissemination;
use probe::{Probe, Relay};
use table::{Known, Table};

/// Highest number of members in the reply to a join.
const JOIN_LIMIT: usize = 256;

/// Highest number of members in the reply to a join of a member that was already known.
const REJOIN_LIMIT: usize = 8;

/// Highest number of members of the entry's own failure domain that are sent to a contact in
/// another one.
const INTRODUCTION_LIMIT: usize = 2;

/// Number of peers that are notified of a graceful leave.
const LEAVE_RECIPIENTS: usize = 5;

/// The identity of an entry, as it is sent to other entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Unique name.
    pub name: Arc<str>,
    /// Address of the peer port.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: Arc<str>,
    /// Number that increases with each start and each refuted suspicion.
    pub incarnation: u64,
}

/// State of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// The member responds.
    Alive,
    /// The member did not respond and may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves.
    Left,
}

/// An update on the state of a member. Of two updates, the one with the higher incarnation wins,
/// and of the same incarnation the one with the higher state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The member.
    pub member: Member,
    /// State of the member.
    pub state: State,
}

/// Kind of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Requests an acknowledgement.
    Ping(u64),
    /// Acknowledges the ping with this sequence number.
    Ack(u64),
    /// Requests a ping of the member at this address; its acknowledgement is forwarded to the
    /// requester under this sequence number.
    Relay(u64, SocketAddr),
    /// Requests the members of the failure domain.
    Join,
    /// Carries only updates.
    #[serde(rename = "News")]
    Updates,
}

/// A message between two entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Sender of the message.
    pub from: Member,
    /// Kind of the message.
    pub kind: Kind,
    /// Updates on members.
    pub updates: Vec<Update>,
}

/// A message to send and its destination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Send {
    /// Address of the receiver's peer port.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Parameters of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Time between two probes.
    pub period: Duration,
    /// Time without an acknowledgement after which a member is pinged through other members.
    pub ping_timeout: Duration,
    /// Time for which a suspected member can refute the suspicion.
    pub suspicion: Duration,
    /// Time for which a member that is down is kept.
    pub dead_retention: Duration,
    /// Number of members through which a member is pinged indirectly.
    pub relays: usize,
    /// Contacts kept in each other failure domain.
    pub contacts: usize,
    /// Periods between two joins.
    pub join_periods: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            ping_timeout: Duration::from_millis(200),
            suspicion: Duration::from_millis(2_500),
            dead_retention: Duration::from_mins(2),
            relays: 3,
            contacts: 3,
            join_periods: 10,
        }
    }
}

/// The membership state of one entry.
#[derive(Debug)]
pub struct Members {
    me: Member,
    config: Config,
    random: ChaCha8Rng,
    seeds: Vec<SocketAddr>,
    table: Table,
    dissemination: Dissemination,
    queue: Vec<Arc<str>>,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    sequence: u64,
    periods: u64,
    next_period: Duration,
    last_tick: Option<Duration>,
}

impl Members {
    /// Returns the state of the entry `me` without known members; `seed` seeds its random choices.
    #[must_use]
    pub fn new(me: Member, config: Config, seed: u64) -> Self {
        Self {
            table: Table::new(Arc::clone(&me.failure_domain), config),
            me,
            config,
            random: ChaCha8Rng::seed_from_u64(seed),
            seeds: Vec::new(),
            dissemination: Dissemination::default(),
            queue: Vec::new(),
            probe: None,
            relays: Vec::new(),
            sequence: 0,
            periods: 0,
            next_period: Duration::ZERO,
            last_tick: None,
        }
    }

    /// Replaces the addresses at which other entries may run.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns the identity of this entry.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the other members of this entry's failure domain that are not known to be down.
    pub fn neighbours(&self) -> impl Iterator<Item = &Member> {
        self.table.up(true).map(|known| &known.member)
    }

    /// Returns the contacts in other failure domains that are not known to be down.
    pub fn contacts(&self) -> impl Iterator<Item = &Member> {
        self.table.up(false).map(|known| &known.member)
    }

    /// Returns the members that are known to be down.
    pub fn down(&self) -> impl Iterator<Item = &Member> {
        self.table.down().map(|known| &known.member)
    }

    /// Returns the last known state of a member.
    #[must_use]
    pub fn state(&self, name: &str) -> Option<State> {
        self.table.get(name).map(|known| known.state)
    }

    /// Processes time-outs and returns the messages to send; to be called several times a period.
    pub fn tick(&mut self, now: Duration) -> Vec<Send> {
        self.compensate_own_pause(now);
        let mut sends = Vec::new();
        for update in self.table.expire(now) {
            self.dissemination.add(update);
        }
        self.relays.retain(|relay| relay.expires > now);
        if now >= self.next_period {
            self.end_probe(now);
            self.next_period = now + self.config.period;
            self.begin_period(now, &mut sends);
        }
        self.send_indirect_pings(now, &mut sends);
        sends
    }

    /// Processes a message and returns the messages to send in response.
    pub fn receive(&mut self, message: Message, now: Duration) -> Vec<Send> {
        let Message {
            from,
            kind,
            updates,
        } = message;
        let sender = from.clone();
        let known = self.table.get(&from.name).is_some_and(Known::is_up);
        self.apply_update(
            Update {
                member: from,
                state: State::Alive,
            },
            now,
        );
        for update in updates {
            self.apply_update(update, now);
        }
        match kind {
            Kind::Ping(sequence) => vec![self.to(&sender, Kind::Ack(sequence))],
            Kind::Ack(sequence) => self.acknowledged(sequence),
            Kind::Relay(sequence, target) => self.relay(&sender, sequence, target, now),
            Kind::Join => vec![self.join_reply(&sender, known)],
            Kind::Updates => Vec::new(),
        }
    }

    /// Returns the messages that notify some peers of a graceful leave.
    pub fn leave(&mut self) -> Vec<Send> {
        let update = Update {
            member: self.me.clone(),
            state: State::Left,
        };
        let targets: Vec<Member> = self.neighbours().cloned().choose_multiple(
            &mut rand_chacha::ChaCha8Rng::seed_from_u64(self.sequence),
            LEAVE_RECIPIENTS,
        );
        let message = Message {
            from: self.me.clone(),
            kind: Kind::Updates,
            updates: vec![update],
        };
        targets
            .iter()
            .map(|target| Send {
                to: target.address,
                message: message.clone(),
            })
            .collect()
    }

    /// Applies an update on another member, or refutes one on this entry if it is wrong.
    fn apply_update(&mut self, update: Update, now: Duration) {
        if update.member.name == self.me.name {
            return self.refute(&update);
        }
        let own = update.member.failure_domain == self.me.failure_domain;
        let taken = self.table.merge(update.clone(), now, &mut self.random);
        if taken && own {
            self.dissemination.add(update);
        }
    }

    /// Refutes an update that this entry is not alive, by a higher incarnation.
    fn refute(&mut self, update: &Update) {
        let wrong =
            update.state != State::Alive && update.member.incarnation >= self.me.incarnation;
        if wrong {
            self.me.incarnation = update.member.incarnation + 1;
            self.dissemination.add(Update {
                member: self.me.clone(),
                state: State::Alive,
            });
        }
    }

    /// Returns a message to a member, with updates piggybacked on it.
    fn to(&mut self, target: &Member, kind: Kind) -> Send {
        let mut updates = Vec::new();
        let known = self.table.get(&target.name);
        if let Some(known) = known.filter(|known| known.state != State::Alive) {
            updates.push(known.update());
        }
        if target.failure_domain == self.me.failure_domain {
            updates.extend(self.dissemination.next_batch(self.table.len()));
            let contact = self.table.up(false).choose(&mut self.random);
            updates.extend(contact.map(Known::update));
        } else {
            let introduced = self.table.up(true).map(Known::update);
            updates.extend(introduced.choose_multiple(&mut self.random, INTRODUCTION_LIMIT));
        }
        Send {
            to: target.address,
            message: Message {
                from: self.me.clone(),
                kind,
                updates,
            },
        }
    }

    /// Returns the reply to a join: the members of the failure domain, or a few of them if the
    /// joiner was already known, and contacts in other failure domains.
    fn join_reply(&mut self, joiner: &Member, known: bool) -> Send {
        let own = joiner.failure_domain == self.me.failure_domain;
        let limit = match (own, known) {
            (true, false) => JOIN_LIMIT,
            (true, true) => REJOIN_LIMIT,
            (false, _) => INTRODUCTION_LIMIT,
        };
        let mut send = self.to(joiner, Kind::Updates);
        let members = self.table.up(true).map(Known::update);
        let members = members.choose_multiple(&mut self.random, limit);
        send.message.updates.extend(members);
        if own {
            let contacts = self.table.up(false).map(Known::update);
            send.message.updates.extend(contacts);
        }
        send
    }
}

/// Shuffles names at random.
fn shuffled(mut names: Vec<Arc<str>>, random: &mut ChaCha8Rng) -> Vec<Arc<str>> {
    names.shuffle(random);
    names
}
