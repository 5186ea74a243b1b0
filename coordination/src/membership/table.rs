//! The known members and their states.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use super::{Config, Member, State, Update};

/// Probability that a newly discovered contact replaces a known one, so that no member becomes the
/// contact of all entries.
const REPLACEMENT_PROBABILITY: f64 = 0.2;

/// A known member, its state and the time of the last change.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) member: Member,
    pub(super) state: State,
    since: Duration,
}

impl Known {
    /// Returns whether the member is not known to be down.
    pub(super) fn is_up(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    /// Returns an update with the known state.
    pub(super) fn update(&self) -> Update {
        Update {
            member: self.member.clone(),
            state: self.state,
        }
    }
}

/// The known members: those of the entry's own failure domain, and contacts in others.
#[derive(Debug)]
pub(super) struct Table {
    domain: Arc<str>,
    config: Config,
    known: BTreeMap<Arc<str>, Known>,
}

impl Table {
    /// Returns an empty table of an entry in `domain`.
    pub(super) fn new(domain: Arc<str>, config: Config) -> Self {
        Self {
            domain,
            config,
            known: BTreeMap::new(),
        }
    }

    /// Returns a known member by name.
    pub(super) fn get(&self, name: &str) -> Option<&Known> {
        self.known.get(name)
    }

    /// Returns the member at an address.
    pub(super) fn at(&self, address: SocketAddr) -> Option<&Member> {
        let mut members = self.known.values().map(|known| &known.member);
        members.find(|member| member.address == address)
    }

    /// Returns the number of members, including those that are down.
    pub(super) fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns the members that are not known to be down: those of the entry's own failure domain if
    /// `own` is true, otherwise the contacts in others.
    pub(super) fn up(&self, own: bool) -> impl Iterator<Item = &Known> {
        self.known
            .values()
            .filter(move |known| (known.member.failure_domain == self.domain) == own)
            .filter(|known| known.is_up())
    }

    /// Returns the members that are known to be down.
    pub(super) fn down(&self) -> impl Iterator<Item = &Known> {
        self.known.values().filter(|known| !known.is_up())
    }

    /// Applies an update if it is newer than the known state, and returns whether it was.
    pub(super) fn merge(&mut self, update: Update, now: Duration, random: &mut ChaCha8Rng) -> bool {
        let newer = match self.known.get(&update.member.name) {
            Some(known) => {
                (update.member.incarnation, update.state) > (known.member.incarnation, known.state)
            }
            None => update.member.failure_domain == self.domain || self.admit(&update, random),
        };
        if newer {
            let known = Known {
                member: update.member,
                state: update.state,
                since: now,
            };
            self.known.insert(Arc::clone(&known.member.name), known);
        }
        newer
    }

    /// Declares members dead whose suspicion has expired, removes members that have been down for
    /// the retention time, and returns updates on the newly dead of the entry's own failure domain.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Update> {
        let Config {
            suspicion,
            dead_retention,
            ..
        } = self.config;
        let mut dead = Vec::new();
        for known in self.known.values_mut() {
            let expired = known.state == State::Suspect && now >= known.since + suspicion;
            if expired {
                known.state = State::Dead;
                known.since = now;
                dead.push(known.update());
            }
        }
        self.known
            .retain(|_, known| known.is_up() || now < known.since + dead_retention);
        dead.retain(|update| update.member.failure_domain == self.domain);
        dead
    }

    /// Extends all deadlines by `pause`.
    pub(super) fn postpone(&mut self, pause: Duration) {
        self.known
            .values_mut()
            .for_each(|known| known.since += pause);
    }

    /// Decides whether an unknown member of another failure domain becomes a contact, and removes
    /// the contact that it replaces.
    fn admit(&mut self, update: &Update, random: &mut ChaCha8Rng) -> bool {
        if update.state != State::Alive {
            return false;
        }
        let domain = &update.member.failure_domain;
        let contacts = self
            .up(false)
            .filter(|known| known.member.failure_domain == *domain);
        let names: Vec<Arc<str>> = contacts
            .map(|known| Arc::clone(&known.member.name))
            .collect();
        if names.len() < self.config.contacts {
            return true;
        }
        let replaced = names.iter().choose(random);
        let replaced = replaced.filter(|_| random.random_bool(REPLACEMENT_PROBABILITY));
        replaced.is_some_and(|name| self.known.remove(name).is_some())
    }
}
