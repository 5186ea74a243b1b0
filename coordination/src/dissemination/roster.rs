//! The entries of one failure domain that can be its hubs, by rank, and which of them respond.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::reader_election::{Rank, rank};

/// Number of hubs of a failure domain. With two, the other one goes on when one fails.
pub const HUBS: usize = 2;

/// Time after which an entry that does not respond is passed over. A hub sends a digest at least
/// every 400 ms, so a single lost datagram changes nothing.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between two messages to an entry that does not respond.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Most entries that are kept. Only the first in rank that respond are used.
const CAPACITY: usize = 32;

/// An entry that can be a hub.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Address at which it receives messages.
    pub address: SocketAddr,
    /// Capacity of its machine's link, in Mbit/s.
    pub link_mbps: u32,
}

impl Contact {
    /// Returns the entry's rank.
    #[must_use]
    pub fn rank(&self) -> Rank {
        rank(&self.entry, self.link_mbps)
    }
}

#[derive(Clone, Debug)]
struct Record {
    contact: Contact,
    /// When the first message was sent that has not been answered.
    asked_at: Option<Duration>,
    silent: bool,
}

/// The known entries of one failure domain.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    records: BTreeMap<Rank, Record>,
}

impl Roster {
    /// Adds an entry, or replaces its address and link.
    pub fn insert(&mut self, contact: Contact) {
        let rank = contact.rank();
        match self.records.get_mut(&rank) {
            // At a new address it may respond again.
            Some(record) if record.contact.address != contact.address => {
                *record = Record::new(contact);
            }
            Some(_) => {}
            None => {
                self.remove(&contact.entry);
                self.records.insert(rank, Record::new(contact));
                self.limit();
            }
        }
    }

    /// Removes an entry.
    pub fn remove(&mut self, entry: &str) {
        self.records
            .retain(|_, record| *record.contact.entry != *entry);
    }

    /// Records a message of an entry.
    pub fn record_response(&mut self, entry: &str) {
        let mut records = self.records.values_mut();
        if let Some(record) = records.find(|record| *record.contact.entry == *entry) {
            record.asked_at = None;
            record.silent = false;
        }
    }

    /// Returns whether an entry with the rank `own` is a hub: fewer than [`HUBS`] entries that respond
    /// rank before it.
    #[must_use]
    pub fn leads(&self, own: Rank) -> bool {
        self.responding().filter(|rank| **rank < own).count() < HUBS
    }

    /// Returns the addresses to send a message to: the hubs other than the own entry, whose rank is
    /// `own` if it belongs to the failure domain, and silent entries that are due to be tried again.
    pub fn recipients(&mut self, own: Option<Rank>, now: Duration) -> Vec<SocketAddr> {
        for record in self.records.values_mut() {
            let asked_at = record.asked_at;
            record.silent |= asked_at.is_some_and(|at| now.saturating_sub(at) > ANSWER_TIMEOUT);
        }
        let mut places = HUBS;
        let mut addresses = Vec::new();
        for (rank, record) in &mut self.records {
            let own_place = usize::from(own.is_some_and(|own| own < *rank));
            let due = match record.asked_at {
                _ if !record.silent => {
                    let chosen = places > own_place;
                    places = places.saturating_sub(1);
                    chosen
                }
                Some(at) => now.saturating_sub(at) >= PROBE_INTERVAL,
                None => true,
            };
            if due {
                addresses.push(record.contact.address);
                if record.silent || record.asked_at.is_none() {
                    record.asked_at = Some(now);
                }
            }
        }
        addresses
    }

    /// Returns the addresses of the hubs other than the own entry, whose rank is `own`.
    pub fn hubs(&self, own: Rank) -> impl Iterator<Item = SocketAddr> {
        let responding = self.records.iter().filter(|(_, record)| !record.silent);
        let places = responding.enumerate().map(move |(index, (rank, record))| {
            let place = index + usize::from(own < *rank);
            (place, record.contact.address)
        });
        let hubs = places.filter(|(place, _)| *place < HUBS);
        hubs.map(|(_, address)| address)
    }

    /// Returns the first `number` entries in rank that respond, as far as is known.
    #[must_use]
    pub fn first(&self, number: usize) -> Vec<Contact> {
        let records = self.records.values().filter(|record| !record.silent);
        let contacts = records.map(|record| record.contact.clone());
        contacts.take(number).collect()
    }

    /// Returns the address of an entry.
    #[must_use]
    pub fn address(&self, entry: &str) -> Option<SocketAddr> {
        let mut records = self.records.values();
        let record = records.find(|record| *record.contact.entry == *entry);
        record.map(|record| record.contact.address)
    }

    /// Returns whether no entry is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether any entry responds, as far as is known.
    #[must_use]
    pub fn responds(&self) -> bool {
        self.responding().next().is_some()
    }

    fn responding(&self) -> impl Iterator<Item = &Rank> {
        let records = self.records.iter();
        let responding = records.filter(|(_, record)| !record.silent);
        responding.map(|(rank, _)| rank)
    }

    /// Drops the last entry, silent ones first, if there are too many.
    fn limit(&mut self) {
        if self.records.len() <= CAPACITY {
            return;
        }
        let mut silent = self.records.iter().rev();
        let silent = silent.find(|(_, record)| record.silent);
        let last = silent.map(|(rank, _)| *rank);
        match last {
            Some(rank) => drop(self.records.remove(&rank)),
            None => drop(self.records.pop_last()),
        }
    }
}

impl Record {
    fn new(contact: Contact) -> Self {
        Self {
            contact,
            asked_at: None,
            silent: false,
        }
    }
}
