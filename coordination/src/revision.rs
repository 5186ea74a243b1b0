//! The highest revision seen of each key, and how two holders of such ledgers become equal.
//!
//! A ledger takes a record only if its revision is above the highest seen of its key, so that
//! records may come late, twice, in any order and from a source that is out of date. Two ledgers
//! compare a hash first and exchange only what differs: see [`Ledger::answer`].
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

/// Number of parts that two ledgers compare.
pub const BUCKETS: usize = 32;

/// A revision of a value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record<R, T> {
    /// The key.
    pub key: Arc<str>,
    /// Revision of the value; it only grows.
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

/// What became of a record that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict<R> {
    /// It is the newest and is held now.
    Newer,
    /// It was held already.
    Same,
    /// A higher revision is held: it was refused.
    Older {
        /// Highest revision seen.
        highest: R,
    },
    /// Another value of the same revision is held: it was refused.
    Fork,
}

/// A step of the exchange between two ledgers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message<R, T> {
    /// Hash over the whole ledger.
    Root(u64),
    /// Hash of each bucket.
    Buckets(Vec<u32>),
    /// Revisions held in the buckets that differ.
    Revisions {
        /// Indices of the buckets.
        buckets: Vec<usize>,
        /// Each key with its revision.
        held: Vec<(Arc<str>, R)>,
    },
    /// Records that the other side lacks, and keys that this side lacks.
    Difference {
        /// Records that the other side lacks.
        records: Vec<Record<R, T>>,
        /// Keys whose records this side lacks.
        wanted: Vec<Arc<str>>,
    },
    /// Records, to be taken where they are newer.
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
    /// Returns a ledger that has seen nothing.
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

    /// Judges a record, and holds it if it is newer.
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

    /// Forgets a key, for values that end and whose return does no harm.
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

    /// Takes a message of an exchange and returns the answer to it and the records that were new.
    ///
    /// Both sides call this in turn until the answer is [`Message::Done`].
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

    /// Offers records and returns those that were newer.
    pub fn merge(&mut self, records: Vec<Record<R, T>>) -> Vec<Record<R, T>> {
        records
            .into_iter()
            .filter(|record| self.offer(record.clone()) == Verdict::Newer)
            .collect()
    }

    /// Returns the revisions in the buckets whose hash differs from the other side's.
    fn revisions(&self, theirs: &[u32]) -> Message<R, T> {
        let buckets: Vec<usize> = (0..BUCKETS)
            .filter(|index| theirs.get(*index) != Some(&self.buckets[*index]))
            .collect();
        let held = self
            .within(&buckets)
            .map(|record| (Arc::clone(&record.key), record.revision))
            .collect();
        Message::Revisions { buckets, held }
    }

    /// Returns what each side lacks of some buckets.
    fn difference(&self, buckets: &[usize], theirs: &[(Arc<str>, R)]) -> Message<R, T> {
        let theirs: BTreeMap<&str, R> = theirs
            .iter()
            .map(|(key, revision)| (key.as_ref(), *revision))
            .collect();
        let records = self
            .within(buckets)
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
    fn within(&self, buckets: &[usize]) -> impl Iterator<Item = &Record<R, T>> {
        self.iter()
            .filter(|record| buckets.contains(&bucket(&record.key)))
    }

    /// Holds a record in place of an older one.
    fn insert(&mut self, record: Record<R, T>) {
        self.toggle(&record);
        if let Some(older) = self.held.insert(Arc::clone(&record.key), record) {
            self.toggle(&older);
        }
    }

    /// Adds a record to its bucket's hash, or takes it out.
    fn toggle(&mut self, record: &Record<R, T>) {
        self.buckets[bucket(&record.key)] ^= narrow(hash(&(&record.key, record.revision)));
    }

    /// Returns the hash over the whole ledger.
    fn root(&self) -> u64 {
        hash(&self.buckets)
    }
}

/// Returns the bucket of a key.
fn bucket(key: &str) -> usize {
    narrow(hash(&key)) as usize % BUCKETS
}

/// Returns the hash of a value, the same on every entry.
fn hash(value: &impl Hash) -> u64 {
    let mut hasher = Xxh3::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the upper half of a hash.
fn narrow(hash: u64) -> u32 {
    u32::try_from(hash >> 32).unwrap_or_default()
}
