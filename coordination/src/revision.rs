//! A ledger of the highest revision of each key, and the reconciliation of two ledgers.
//!
//! A ledger accepts a record only if its revision is above the highest that it has seen of the key,
//! so that records may arrive late, repeatedly, in any order and from an outdated source. Two
//! ledgers compare hashes first and exchange only the records that differ: see [`Ledger::respond`].
//!
//! ```
//! use medlarfall_coordination::revision::{Ledger, Record, Verdict};
//!
//! let mut ledger = Ledger::new();
//! let record = |revision, value| Record::new("briefs", revision, value);
//! assert_eq!(ledger.offer(record(2, "v2")), Verdict::Newer);
//! assert_eq!(ledger.offer(record(1, "v1")), Verdict::Older { highest: 2 });
//! assert_eq!(ledger.get("briefs").map(|held| held.value), Some("v2"));
//! ```

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Number of buckets into which the keys are divided; two ledgers compare the hash of each bucket.
pub const BUCKETS: usize = 32;

/// A value at one revision of its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record<R, T> {
    /// The key.
    pub key: Arc<str>,
    /// Revision of the value; it increases with each change of the key.
    pub revision: R,
    /// The value.
    pub value: T,
}

impl<R, T> Record<R, T> {
    /// Returns a record.
    #[must_use]
    pub fn new(key: &str, revision: R, value: T) -> Self {
        Self {
            key: Arc::from(key),
            revision,
            value,
        }
    }
}

/// The result of offering a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict<R> {
    /// It is newer than the stored record and replaced it.
    Newer,
    /// The ledger already holds the same record.
    Same,
    /// The ledger holds a higher revision: the record was refused.
    Older {
        /// Highest revision seen.
        highest: R,
    },
    /// The ledger holds another value of the same revision: the record was refused.
    Fork,
}

/// A message of the exchange between two ledgers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message<R, T> {
    /// Hash of the whole ledger.
    Root(u64),
    /// Hash of each bucket.
    Buckets(Vec<u32>),
    /// Revisions of the sender's records in the buckets that differ.
    Revisions {
        /// Indices of the buckets.
        buckets: Vec<usize>,
        /// Keys with their revisions.
        held: Vec<(Arc<str>, R)>,
    },
    /// Records that the receiver lacks, and keys whose records the sender lacks.
    Difference {
        /// Records that the receiver lacks.
        records: Vec<Record<R, T>>,
        /// Keys whose records the sender lacks.
        wanted: Vec<Arc<str>>,
    },
    /// Records for the receiver to accept if they are newer.
    Records(Vec<Record<R, T>>),
    /// The exchange has ended.
    Done,
}

/// The highest revision seen of each key.
#[derive(Clone, Debug)]
pub struct Ledger<R, T> {
    held: BTreeMap<Arc<str>, Record<R, T>>,
    buckets: [u32; BUCKETS],
}

impl<R, T> Default for Ledger<R, T> {
    fn default() -> Self {
        Self {
            held: BTreeMap::new(),
            buckets: [0; BUCKETS],
        }
    }
}

impl<R, T> Ledger<R, T>
where
    R: Copy + Hash + Ord,
    T: Clone + PartialEq,
{
    /// Returns an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Record<R, T>> {
        self.held.get(key)
    }

    /// Returns the records in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Record<R, T>> {
        self.held.values()
    }

    /// Compares a record with the stored one of its key, and stores it if it is newer.
    pub fn offer(&mut self, record: Record<R, T>) -> Verdict<R> {
        match self.held.get(&record.key) {
            Some(held) if held.revision > record.revision => Verdict::Older {
                highest: held.revision,
            },
            Some(held) if held.revision == record.revision && held.value == record.value => {
                Verdict::Same
            }
            Some(held) if held.revision == record.revision => Verdict::Fork,
            _ => {
                self.insert(record);
                Verdict::Newer
            }
        }
    }

    /// Removes a key with its highest revision, so that an old record of it is accepted again. To be
    /// used only for values whose lifetime ends and for which this is harmless.
    pub fn forget(&mut self, key: &str) {
        if let Some(record) = self.held.remove(key) {
            self.toggle(&record);
        }
    }

    /// Returns the first message of an exchange.
    #[must_use]
    pub fn start_exchange(&self) -> Message<R, T> {
        Message::Root(self.root())
    }

    /// Processes a message of an exchange and returns the response and the records that were newer.
    ///
    /// Both ends call this in turn until the response is [`Message::Done`].
    pub fn respond(&mut self, message: Message<R, T>) -> (Message<R, T>, Vec<Record<R, T>>) {
        match message {
            Message::Root(root) if root == self.root() => (Message::Done, Vec::new()),
            Message::Root(_) => (Message::Buckets(self.buckets.to_vec()), Vec::new()),
            Message::Buckets(theirs) => (self.revisions(&theirs), Vec::new()),
            Message::Revisions { buckets, held } => (self.difference(&buckets, &held), Vec::new()),
            Message::Difference { records, wanted } => {
                let newer = self.merge(records);
                let records = wanted
                    .iter()
                    .filter_map(|key| self.get(key).cloned())
                    .collect::<Vec<_>>();
                let answer = if records.is_empty() {
                    Message::Done
                } else {
                    Message::Records(records)
                };
                (answer, newer)
            }
            Message::Records(records) => (Message::Done, self.merge(records)),
            Message::Done => (Message::Done, Vec::new()),
        }
    }

    /// Offers each record and returns those that were newer.
    pub fn merge(&mut self, records: Vec<Record<R, T>>) -> Vec<Record<R, T>> {
        records
            .into_iter()
            .filter(|record| self.offer(record.clone()) == Verdict::Newer)
            .collect()
    }

    /// Returns the revisions in the buckets whose hash differs from the peer's.
    fn revisions(&self, theirs: &[u32]) -> Message<R, T> {
        let buckets: Vec<usize> = (0..BUCKETS)
            .filter(|index| theirs.get(*index) != Some(&self.buckets[*index]))
            .collect();
        let held = self
            .in_buckets(&buckets)
            .map(|record| (Arc::clone(&record.key), record.revision))
            .collect();
        Message::Revisions { buckets, held }
    }

    /// Returns the records that the peer lacks and the keys that this ledger lacks, in some
    /// buckets.
    fn difference(&self, buckets: &[usize], theirs: &[(Arc<str>, R)]) -> Message<R, T> {
        let theirs: BTreeMap<&str, R> = theirs
            .iter()
            .map(|(key, revision)| (key.as_ref(), *revision))
            .collect();
        let records = self
            .in_buckets(buckets)
            .filter(|record| {
                theirs
                    .get(record.key.as_ref())
                    .is_none_or(|revision| *revision < record.revision)
            })
            .cloned()
            .collect();
        let wanted = theirs
            .iter()
            .filter(|(key, revision)| self.get(key).is_none_or(|held| held.revision < **revision))
            .map(|(key, _)| Arc::from(*key))
            .collect();
        Message::Difference { records, wanted }
    }

    /// Returns the records in some buckets.
    fn in_buckets(&self, buckets: &[usize]) -> impl Iterator<Item = &Record<R, T>> {
        self.iter()
            .filter(|record| buckets.contains(&bucket(&record.key)))
    }

    /// Stores a record in place of an older one and updates the bucket's hash.
    fn insert(&mut self, record: Record<R, T>) {
        self.toggle(&record);
        if let Some(older) = self.held.insert(Arc::clone(&record.key), record) {
            self.toggle(&older);
        }
    }

    /// Adds a record to its bucket's hash or removes it: XOR makes both the same operation.
    fn toggle(&mut self, record: &Record<R, T>) {
        self.buckets[bucket(&record.key)] ^= upper_half(hash(&(&record.key, record.revision)));
    }

    /// Returns the hash of the whole ledger.
    fn root(&self) -> u64 {
        hash(&self.buckets)
    }
}

/// Returns the bucket of a key.
fn bucket(key: &str) -> usize {
    upper_half(hash(&key)) as usize % BUCKETS
}

/// Returns the hash of a value, which is the same on every entry.
fn hash(value: &impl Hash) -> u64 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the upper 32 bits of a hash.
fn upper_half(hash: u64) -> u32 {
    u32::try_from(hash >> 32).unwrap_or_default()
}
