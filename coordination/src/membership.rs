//! Which entries are up: a hint, never a ground for what must hold.
//!
//! Entries probe each other in the shape of SWIM: each period one member is asked, directly and,
//! if it is silent, through others; a silent member is suspected, and dead only if it does not
//! refute the suspicion with a higher incarnation. News ride on the probes. An entry knows its own
//! failure domain in full and a few contacts in each other one, so that its cost does not grow
//! with the number of entries.
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

/// Members that a reply to a join names at most.
const JOIN_LIMIT: usize = 256;

/// Members that a reply to the join of a member that was known before names at most.
const REFRESHED: usize = 8;

/// Members of the own failure domain that are named to a contact in another.
const INTRODUCED: usize = 2;

/// Peers that are told of a graceful leave.
const FAREWELLS: usize = 5;

/// An entry as others know it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Unique name.
    pub name: Arc<str>,
    /// Address of the peers' port.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
    /// Number that grows with each start and each refuted suspicion.
    pub incarnation: u64,
}

/// How a member stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It was silent, and may still say that it is alive.
    Suspect,
    /// It was silent for too long.
    Dead,
    /// It said that it leaves.
    Left,
}

/// What is known of a member; of two, the one with the higher incarnation and state holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The member.
    pub member: Member,
    /// How it stands.
    pub state: State,
}

/// What a message asks or answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// Asks for an acknowledgement.
    Ping(u64),
    /// Acknowledges the ping of this number.
    Ack(u64),
    /// Asks to ping a member and to pass its acknowledgement on under this number.
    Relay(u64, SocketAddr),
    /// Asks for the members of the failure domain.
    Join,
    /// Carries news only.
    #[serde(rename = "News")]
    Updates,
}

/// A message between two entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Who sends it.
    pub from: Member,
    /// What it asks or answers.
    pub kind: Kind,
    /// News of members.
    pub updates: Vec<Update>,
}

/// A message that is to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Send {
    /// Address of the peers' port of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Times and numbers of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Time from one probe to the next.
    pub period: Duration,
    /// Time after which a silent member is asked through others.
    pub ping_timeout: Duration,
    /// Time in which a suspected member can refute the suspicion.
    pub suspicion: Duration,
    /// Time for which a dead member is remembered.
    pub dead_retention: Duration,
    /// Members through which a silent one is asked.
    pub relays: usize,
    /// Contacts kept in each other failure domain.
    pub contacts: usize,
    /// Periods from one join to the next.
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

/// The members that one entry knows.
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
    /// Returns the members that `me` knows at its start: none. `seed` seeds its choices.
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

    /// Replaces the addresses at which entries may be found.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns this entry as it names itself.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the members of the own failure domain that are not known to be down.
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

    /// Returns what is known of a member.
    #[must_use]
    pub fn state(&self, name: &str) -> Option<State> {
        self.table.get(name).map(|known| known.state)
    }

    /// Lets time pass; to be called several times a period.
    pub fn tick(&mut self, now: Duration) -> Vec<Send> {
        self.forgive_own_pause(now);
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
        self.ask_through_others(now, &mut sends);
        sends
    }

    /// Takes a message and returns the messages that it calls for.
    pub fn receive(&mut self, message: Message, now: Duration) -> Vec<Send> {
        let Message {
            from,
            kind,
            updates,
        } = message;
        let sender = from.clone();
        let known = self.table.get(&from.name).is_some_and(Known::is_up);
        self.learn(
            Update {
                member: from,
                state: State::Alive,
            },
            now,
        );
        for update in updates {
            self.learn(update, now);
        }
        match kind {
            Kind::Ping(sequence) => vec![self.to(&sender, Kind::Ack(sequence))],
            Kind::Ack(sequence) => self.acknowledged(sequence),
            Kind::Relay(sequence, target) => self.relay(&sender, sequence, target, now),
            Kind::Join => vec![self.welcome(&sender, known)],
            Kind::Updates => Vec::new(),
        }
    }

    /// Returns the messages that tell some peers of a graceful leave.
    pub fn leave(&mut self) -> Vec<Send> {
        let update = Update {
            member: self.me.clone(),
            state: State::Left,
        };
        let targets: Vec<Member> = self.neighbours().cloned().choose_multiple(
            &mut rand_chacha::ChaCha8Rng::seed_from_u64(self.sequence),
            FAREWELLS,
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

    /// Takes news of a member.
    fn learn(&mut self, update: Update, now: Duration) {
        if update.member.name == self.me.name {
            return self.refute(&update);
        }
        let own = update.member.failure_domain == self.me.failure_domain;
        let taken = self.table.merge(update.clone(), now, &mut self.random);
        if taken && own {
            self.dissemination.add(update);
        }
    }

    /// Answers news that this entry is not alive, by a higher incarnation.
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

    /// Returns a message to a member with the news that it should have.
    fn to(&mut self, target: &Member, kind: Kind) -> Send {
        let mut updates = Vec::new();
        let known = self.table.get(&target.name);
        if let Some(known) = known.filter(|known| known.state != State::Alive) {
            updates.push(known.update());
        }
        if target.failure_domain == self.me.failure_domain {
            updates.extend(self.dissemination.next(self.table.len()));
            let contact = self.table.up(false).choose(&mut self.random);
            updates.extend(contact.map(Known::update));
        } else {
            let introduced = self.table.up(true).map(Known::update);
            updates.extend(introduced.choose_multiple(&mut self.random, INTRODUCED));
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

    /// Returns the answer to a join: the members of the failure domain, or a few of them if the
    /// joiner was known before, and some contacts.
    fn welcome(&mut self, joiner: &Member, known: bool) -> Send {
        let own = joiner.failure_domain == self.me.failure_domain;
        let limit = match (own, known) {
            (true, false) => JOIN_LIMIT,
            (true, true) => REFRESHED,
            (false, _) => INTRODUCED,
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

/// Puts members in an order drawn by lot.
fn shuffled(mut names: Vec<Arc<str>>, random: &mut ChaCha8Rng) -> Vec<Arc<str>> {
    names.shuffle(random);
    names
}
