//! An entry's record of its own calls, from which it reports their status to other entries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Answer, Body, Claimer};

/// Status of a call as its claimer reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The call ran with this answer.
    Ran(Answer),
    /// The call was not sent under this claim and never will be: another entry may take the claim
    /// over.
    NeverSent,
    /// The call has not ended.
    Running,
    /// The call may have run, or the claimer has no record of it.
    Unknown,
}

/// The calls of one incarnation of an entry.
///
/// Ended calls are evicted, oldest first, when more than `capacity` of them or more than `bytes`
/// of their answers are stored; the status of an evicted call is [`Status::Unknown`].
#[derive(Clone, Debug)]
pub struct Ledger {
    entry: Arc<str>,
    incarnation: Arc<str>,
    address: Arc<str>,
    last_sequence: u64,
    running: BTreeSet<u64>,
    ended: BTreeMap<u64, Status>,
    capacity: usize,
    bytes: usize,
    answer_bytes: usize,
}

impl Ledger {
    /// Returns an empty ledger of `entry`; `incarnation` must never have been used before.
    #[must_use]
    pub fn new(entry: Arc<str>, incarnation: Arc<str>, capacity: usize, bytes: usize) -> Self {
        Self {
            entry,
            incarnation,
            address: Arc::from(""),
            last_sequence: 0,
            running: BTreeSet::new(),
            ended: BTreeMap::new(),
            capacity,
            bytes,
            answer_bytes: 0,
        }
    }

    /// Sets the address at which other entries query this one.
    pub fn set_address(&mut self, address: Arc<str>) {
        self.address = address;
    }

    /// Opens a call and returns its claimer.
    pub fn open(&mut self) -> Claimer {
        self.last_sequence += 1;
        self.running.insert(self.last_sequence);
        Claimer {
            entry: Arc::clone(&self.entry),
            incarnation: Arc::clone(&self.incarnation),
            address: Arc::clone(&self.address),
            sequence: self.last_sequence,
        }
    }

    /// Closes a call with the status to report for it.
    pub fn close(&mut self, sequence: u64, status: Status) {
        if !self.running.remove(&sequence) {
            return;
        }
        self.answer_bytes += size(&status);
        self.ended.insert(sequence, status);
        while self.ended.len() > self.capacity || self.answer_bytes > self.bytes {
            let Some((_, status)) = self.ended.pop_first() else {
                return;
            };
            self.answer_bytes -= size(&status);
        }
    }

    /// Returns the status of a claimer's call, or nothing if another entry or incarnation made it.
    #[must_use]
    pub fn status(&self, claimer: &Claimer) -> Option<Status> {
        if claimer.entry != self.entry || claimer.incarnation != self.incarnation {
            return None;
        }
        if self.running.contains(&claimer.sequence) {
            return Some(Status::Running);
        }
        let status = self.ended.get(&claimer.sequence).cloned();
        Some(status.unwrap_or(Status::Unknown))
    }

    /// Returns how many calls have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the bytes of the stored answers.
    #[must_use]
    pub fn held(&self) -> usize {
        self.answer_bytes
    }
}

/// Returns the bytes of the answer body in a status.
fn size(status: &Status) -> usize {
    match status {
        Status::Ran(Answer {
            body: Some(Body::Text(body) | Body::Hex(body)),
            ..
        }) => body.len(),
        _ => 0,
    }
}
