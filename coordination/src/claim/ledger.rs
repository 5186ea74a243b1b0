//! What an entry remembers of its own claims, so that it can give its word on them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Answer, Body, Claimer};

/// A claimer's word on one of its calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It ran, and this was the answer.
    Ran(Answer),
    /// It was not sent under this claim and never will be: the claim may be taken over.
    NeverSent,
    /// It has not ended.
    Running,
    /// It may have run, or the claimer does not remember it.
    Unknown,
}

/// The calls of one incarnation of an entry.
///
/// Ended calls are forgotten, oldest first, when more than `capacity` of them or more than
/// `bytes` of their answers are held; the word on a forgotten call is [`Word::Unknown`].
#[derive(Clone, Debug)]
pub struct Ledger {
    entry: Arc<str>,
    incarnation: Arc<str>,
    address: Arc<str>,
    last: u64,
    running: BTreeSet<u64>,
    ended: BTreeMap<u64, Status>,
    capacity: usize,
    bytes: usize,
    held: usize,
}

impl Ledger {
    /// Returns an empty ledger of `entry`; `incarnation` must never have been used before.
    #[must_use]
    pub fn new(entry: Arc<str>, incarnation: Arc<str>, capacity: usize, bytes: usize) -> Self {
        Self {
            entry,
            incarnation,
            address: Arc::from(""),
            last: 0,
            running: BTreeSet::new(),
            ended: BTreeMap::new(),
            capacity,
            bytes,
            held: 0,
        }
    }

    /// Sets the address at which other entries ask this one.
    pub fn set_address(&mut self, address: Arc<str>) {
        self.address = address;
    }

    /// Opens a call and returns its claimer.
    pub fn open(&mut self) -> Claimer {
        self.last += 1;
        self.running.insert(self.last);
        Claimer {
            entry: Arc::clone(&self.entry),
            incarnation: Arc::clone(&self.incarnation),
            address: Arc::clone(&self.address),
            sequence: self.last,
        }
    }

    /// Closes a call with the word that is to be given on it.
    pub fn close(&mut self, sequence: u64, word: Status) {
        if !self.running.remove(&sequence) {
            return;
        }
        self.held += size(&word);
        self.ended.insert(sequence, word);
        while self.ended.len() > self.capacity || self.held > self.bytes {
            let Some((_, word)) = self.ended.pop_first() else {
                return;
            };
            self.held -= size(&word);
        }
    }

    /// Returns this entry's word on a claim, or nothing if the claim is not this incarnation's.
    #[must_use]
    pub fn status(&self, claimer: &Claimer) -> Option<Status> {
        if claimer.entry != self.entry || claimer.incarnation != self.incarnation {
            return None;
        }
        if self.running.contains(&claimer.sequence) {
            return Some(Status::Running);
        }
        let word = self.ended.get(&claimer.sequence).cloned();
        Some(word.unwrap_or(Status::Unknown))
    }

    /// Returns how many calls have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the bytes of answers held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }
}

/// Returns the bytes of the answer in a word.
fn size(word: &Status) -> usize {
    match word {
        Status::Ran(Answer {
            body: Some(Body::Text(body) | Body::Hex(body)),
            ..
        }) => body.len(),
        _ => 0,
    }
}
