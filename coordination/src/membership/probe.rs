//! Probes: the choice of the member to ping in each period, indirect pings and suspicion.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::{Kind, Member, Members, Send, State, Update, shuffled};

/// Interval, in periods, at which a contact in another failure domain is pinged instead of a
/// neighbour.
const CONTACT_PERIODS: u64 = 3;

/// The probe of the current period.
#[derive(Debug)]
pub(super) struct Probe {
    sequence: u64,
    target: Member,
    started: Duration,
    relayed: bool,
}

/// A ping sent on behalf of another entry.
#[derive(Debug)]
pub(super) struct Relay {
    sequence: u64,
    requester: Member,
    requested_sequence: u64,
    pub(super) expires: Duration,
}

impl Members {
    /// Pings one member. Also sends a join every
    /// [`Config::join_periods`](super::Config::join_periods), and while no neighbour is up.
    pub(super) fn begin_period(&mut self, now: Duration, sends: &mut Vec<Send>) {
        let joins = self.periods.is_multiple_of(self.config.join_periods);
        self.periods += 1;
        if joins || self.table.up(true).next().is_none() {
            sends.extend(self.join());
        }
        let Some(target) = self.next_target() else {
            return;
        };
        let sequence = self.next_sequence();
        sends.push(self.to(&target, Kind::Ping(sequence)));
        self.probe = Some(Probe {
            sequence,
            target,
            started: now,
            relayed: false,
        });
    }

    /// Suspects the target of the last period's probe if it did not acknowledge.
    pub(super) fn end_probe(&mut self, now: Duration) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let known = self.table.get(&probe.target.name);
        let suspected = known
            .filter(|known| known.state == State::Alive)
            .map(|known| known.member.clone());
        if let Some(member) = suspected {
            self.apply_update(
                Update {
                    member,
                    state: State::Suspect,
                },
                now,
            );
        }
    }

    /// Requests indirect pings of a target that did not acknowledge within the ping time-out.
    pub(super) fn send_indirect_pings(&mut self, now: Duration, sends: &mut Vec<Send>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let waits = probe.relayed || now < probe.started + self.config.ping_timeout;
        if waits {
            return;
        }
        probe.relayed = true;
        let (sequence, target) = (probe.sequence, probe.target.clone());
        let proxies = self
            .neighbours()
            .filter(|member| member.name != target.name)
            .cloned()
            .collect::<Vec<_>>();
        let proxies = proxies
            .into_iter()
            .choose_multiple(&mut self.random, self.config.relays);
        for proxy in proxies {
            sends.push(self.to(&proxy, Kind::Relay(sequence, target.address)));
        }
    }

    /// Processes the acknowledgement of this entry's probe, or forwards that of a ping on behalf of
    /// another entry.
    pub(super) fn acknowledged(&mut self, sequence: u64) -> Vec<Send> {
        let own = |probe: &Probe| probe.sequence == sequence;
        if self.probe.as_ref().is_some_and(own) {
            self.probe = None;
            return Vec::new();
        }
        let relay = self
            .relays
            .iter()
            .position(|relay| relay.sequence == sequence);
        let Some(relay) = relay.map(|index| self.relays.swap_remove(index)) else {
            return Vec::new();
        };
        vec![self.to(&relay.requester, Kind::Ack(relay.requested_sequence))]
    }

    /// Pings a member on behalf of another entry.
    pub(super) fn relay(
        &mut self,
        requester: &Member,
        requested_sequence: u64,
        target: SocketAddr,
        now: Duration,
    ) -> Vec<Send> {
        let known = self.table.at(target).cloned();
        let Some(target) = known else {
            return Vec::new();
        };
        let sequence = self.next_sequence();
        self.relays.push(Relay {
            sequence,
            requester: requester.clone(),
            requested_sequence,
            expires: now + self.config.period,
        });
        vec![self.to(&target, Kind::Ping(sequence))]
    }

    /// After a pause of this entry of at least one period, drops the current probe and extends all
    /// deadlines by the pause, so that the entry does not suspect other members because of its own
    /// pause.
    pub(super) fn compensate_own_pause(&mut self, now: Duration) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let pause = now.saturating_sub(last);
        if pause < self.config.period {
            return;
        }
        self.probe = None;
        self.table.postpone(pause);
    }

    /// Returns a join to a seed at which no live member is known, or else to a random neighbour.
    fn join(&mut self) -> Option<Send> {
        let known = |address: &SocketAddr| {
            let member = self.table.at(*address);
            member.is_some_and(|member| self.state(&member.name) == Some(State::Alive))
        };
        let unknown_seeds: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|address| **address != self.me.address && !known(address))
            .copied()
            .collect();
        let unknown_seed = unknown_seeds.into_iter().choose(&mut self.random);
        let neighbour = self.table.up(true).choose(&mut self.random);
        let to = unknown_seed.or(neighbour.map(|known| known.member.address))?;
        let message = super::Message {
            from: self.me.clone(),
            kind: Kind::Join,
            updates: Vec::new(),
        };
        Some(Send { to, message })
    }

    /// Returns the member to probe: each neighbour once per round, and a contact every
    /// [`CONTACT_PERIODS`].
    fn next_target(&mut self) -> Option<Member> {
        let contact = self.table.up(false).choose(&mut self.random);
        let contact = contact.map(|known| known.member.clone());
        if self.periods.is_multiple_of(CONTACT_PERIODS) && contact.is_some() {
            return contact;
        }
        if self.queue.is_empty() {
            let names = self.neighbours().map(|member| Arc::clone(&member.name));
            self.queue = shuffled(names.collect(), &mut self.random);
        }
        while let Some(name) = self.queue.pop() {
            let known = self.table.get(&name).filter(|known| known.is_up());
            if let Some(known) = known {
                return Some(known.member.clone());
            }
        }
        contact
    }

    /// Returns the sequence number of the next ping.
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
