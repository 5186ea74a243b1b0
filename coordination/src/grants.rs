//! Grants of a backend server's memory to entries, kept as one record in the platform's store.
//!
//! A record lists what each run of each entry may use; compare-and-swap keeps the sum under the
//! limit, whatever the entries believe of each other. An entry raises its own use only after the
//! grown record is stored, and lowers its use before it stores a smaller one.
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

/// What of one server's memory each holder may use, in tokens.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Record {
    /// Tokens by holder: the entry's name and the identifier of its run.
    pub grants: BTreeMap<Arc<str>, u64>,
}

/// A grant that would outgrow the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "the grant would outgrow the server: {free} tokens are free; wait until others return theirs"
))]
pub struct Exceeded {
    /// Tokens that are not granted to others.
    pub free: u64,
}

impl Record {
    /// Returns the record in which `holder` may use `tokens`; 0 removes the holder.
    ///
    /// # Errors
    ///
    /// Returns what is free if the sum would exceed `limit`.
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

    /// Returns the record without the holders that are gone.
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

/// Returns the name under which a run of an entry holds grants.
#[must_use]
pub fn holder(entry: &str, incarnation: &str) -> Arc<str> {
    Arc::from(format!("{entry}@{incarnation}"))
}

/// Returns the entry and the run that a holder's name is made of.
fn parts(holder: &str) -> (&str, &str) {
    holder.split_once('@').unwrap_or((holder, ""))
}

/// Decides which holders are gone for good, from the platform's list of instances.
///
/// A holder is gone when its entry has been off the list, or has shown another run, for longer than
/// a grace that covers the list's lag and the time that engines go on with requests nobody reads.
#[derive(Clone, Debug, Default)]
pub struct Absences {
    absent_since: BTreeMap<Arc<str>, Duration>,
}

impl Absences {
    /// Returns absences of which none has been seen.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the holders of a record and the entries on the list as seen at `now`.
    ///
    /// Of the runs of one entry the one whose identifier is the highest counts as the present one.
    pub fn observe<'a>(
        &mut self,
        holders: impl Iterator<Item = &'a Arc<str>> + Clone,
        listed: impl Fn(&str) -> bool,
        now: Duration,
    ) {
        let mut newest: BTreeMap<&str, &str> = BTreeMap::new();
        for (entry, run) in holders.clone().map(|holder| parts(holder)) {
            let known = newest.entry(entry).or_insert(run);
            *known = run.max(known);
        }
        for holder in holders {
            let (entry, run) = parts(holder);
            if listed(entry) && newest.get(entry) == Some(&run) {
                self.absent_since.remove(holder);
            } else {
                self.absent_since.entry(Arc::clone(holder)).or_insert(now);
            }
        }
    }

    /// Returns whether a holder has been absent for longer than `grace` at `now`.
    #[must_use]
    pub fn gone(&self, holder: &str, grace: Duration, now: Duration) -> bool {
        let since = self.absent_since.get(holder);
        since.is_some_and(|since| now.saturating_sub(*since) > grace)
    }
}
