//! Grants of a backend server's memory to entries, stored as one record in the platform's store.
//!
//! A record lists the tokens that each incarnation of each entry may use. Compare-and-swap keeps
//! the sum within the limit even if entries have different views of each other. An entry raises its
//! own use only after the larger grant is stored, and lowers its use before it stores a smaller
//! one.
//!
//! ```
//! use medlarfall_coordination::grants::Record;
//!
//! let record = Record::default().with("entry-1@a", 600, 1_000).expect("it fits");
//! let full = record.with("entry-2@b", 500, 1_000).expect_err("600 + 500 is over the limit");
//! assert_eq!(full.free, 400);
//! let record = record.without(|holder| holder == "entry-1@a");
//! assert!(record.with("entry-2@b", 500, 1_000).is_ok());
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The memory of one server that each holder may use, in tokens.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Record {
    /// Tokens by holder, which is named by the entry's name and its incarnation.
    pub grants: BTreeMap<Arc<str>, u64>,
}

/// The error of a grant that would exceed the memory of the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "the grant would outgrow the server: {free} tokens are free; wait until others return theirs"
))]
pub struct Exceeded {
    /// Tokens that are not granted to other holders.
    pub free: u64,
}

impl Record {
    /// Returns a copy of the record in which `holder` may use `tokens`; 0 removes the holder. A
    /// grant that does not grow is accepted even if the sum exceeds `limit`.
    ///
    /// # Errors
    ///
    /// Returns the free tokens if the grant grows and the sum would exceed `limit`.
    pub fn with(&self, holder: &str, tokens: u64, limit: u64) -> Result<Self, Exceeded> {
        let others = self.grants.iter().filter(|(name, _)| ***name != *holder);
        let free = limit.saturating_sub(others.map(|(_, tokens)| tokens).sum());
        let grows = tokens > self.granted(holder);
        if grows && tokens > free {
            return Err(Exceeded { free });
        }
        let mut record = self.clone();
        match tokens {
            0 => record.grants.remove(holder),
            tokens => record.grants.insert(Arc::from(holder), tokens),
        };
        Ok(record)
    }

    /// Returns a copy of the record without the holders for which `gone` returns true.
    #[must_use]
    pub fn without(&self, gone: impl Fn(&str) -> bool) -> Self {
        let mut record = self.clone();
        record.grants.retain(|holder, _| !gone(holder));
        record
    }

    /// Returns the tokens that `holder` may use.
    #[must_use]
    pub fn granted(&self, holder: &str) -> u64 {
        self.grants.get(holder).copied().unwrap_or(0)
    }
}

/// Returns the holder name of an incarnation of an entry.
#[must_use]
pub fn holder(entry: &str, incarnation: &str) -> Arc<str> {
    Arc::from(format!("{entry}@{incarnation}"))
}

/// Splits a holder name into the entry's name and its incarnation.
fn split_holder(holder: &str) -> (&str, &str) {
    holder.split_once('@').unwrap_or((holder, ""))
}

/// Decides which holders are permanently gone, from the platform's list of instances.
///
/// A holder is gone when its entry has been missing from the list, or has had a newer incarnation,
/// for longer than a grace period. The grace period covers the delay of the list and the time for
/// which engines continue requests whose answers are no longer read.
#[derive(Clone, Debug, Default)]
pub struct Absences {
    absent_since: BTreeMap<Arc<str>, Duration>,
}

impl Absences {
    /// Returns an empty record of absences.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records at `now` which of the holders in a record are absent; `listed` returns whether an
    /// entry is on the list.
    ///
    /// The highest incarnation of an entry counts as its present one.
    pub fn observe<'a>(
        &mut self,
        holders: impl Iterator<Item = &'a Arc<str>> + Clone,
        listed: impl Fn(&str) -> bool,
        now: Duration,
    ) {
        let mut newest: BTreeMap<&str, &str> = BTreeMap::new();
        for (entry, incarnation) in holders.clone().map(|holder| split_holder(holder)) {
            let highest = newest.entry(entry).or_insert(incarnation);
            *highest = incarnation.max(highest);
        }
        for holder in holders {
            let (entry, incarnation) = split_holder(holder);
            if listed(entry) && newest.get(entry) == Some(&incarnation) {
                self.absent_since.remove(holder);
            } else {
                self.absent_since.entry(Arc::clone(holder)).or_insert(now);
            }
        }
    }

    /// Returns whether a holder has been absent for longer than `grace` as of `now`.
    #[must_use]
    pub fn gone(&self, holder: &str, grace: Duration, now: Duration) -> bool {
        let since = self.absent_since.get(holder);
        since.is_some_and(|since| now.saturating_sub(*since) > grace)
    }
}
