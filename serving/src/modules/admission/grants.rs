//! The task that asks the platform's store for memory of backend servers, and returns it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::grants::{Absences, Exceeded, Record};
use snafu::Snafu;
use tokio::sync::mpsc;

use super::Message;
use crate::clock::Clock;
use crate::platform::{self, Item, Store};

/// Prefix of the keys that hold grants.
pub const PREFIX: &str = "memory/";

/// How often a write that met another entry's is tried again at once.
const ATTEMPTS: usize = 8;

/// A demand for memory of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Demand {
    /// Name of the server.
    pub(super) server: Arc<str>,
    /// Tokens that this entry wants to hold in all.
    pub(super) tokens: u64,
    /// Tokens that are of use to it if it cannot have all that it wants.
    pub(super) least: u64,
    /// Tokens that all entries together may hold.
    pub(super) limit: u64,
}

/// Why a demand was not met.
#[derive(Debug, Snafu)]
enum Error {
    /// Others hold the memory.
    #[snafu(transparent)]
    Exceeded {
        /// What is free.
        source: Exceeded,
    },
    /// The store cannot be used.
    #[snafu(transparent)]
    Platform {
        /// What happened.
        source: platform::Error,
    },
    /// The record cannot be read.
    #[snafu(display(
        "the record of grants cannot be read: {reason}; delete the key if no entry runs"
    ))]
    Unreadable {
        /// What is wrong.
        reason: String,
    },
    /// Other entries wrote at every attempt.
    #[snafu(display("other entries change the record; trying again"))]
    Contended,
}

/// The task's state.
pub(super) struct Task<S> {
    /// The platform's store.
    pub(super) store: S,
    /// Name under which this run of the entry holds grants.
    pub(super) holder: Arc<str>,
    /// How long an entry is off the instance list before its grants are taken.
    pub(super) reclaim_grace: Duration,
    /// The entry's clock.
    pub(super) clock: Clock,
    /// Holders that may be gone.
    pub(super) absences: Absences,
}

impl<S: Store> Task<S> {
    /// Meets demands for ever, one at a time, and tells the state what this entry holds.
    pub(super) async fn run(
        mut self,
        mut demands: mpsc::UnboundedReceiver<Demand>,
        state: mpsc::UnboundedSender<Message>,
    ) {
        while let Some(demand) = demands.recv().await {
            let met = self.meet(&demand).await;
            if let Err(error) = &met {
                log::debug!(server = demand.server.as_ref(), reason = error.to_string().as_str(); "memory not granted");
            }
            let server = Arc::clone(&demand.server);
            if state.send(Message::Granted(server, met.ok())).is_err() {
                return;
            }
        }
    }

    /// Stores a record in which this entry holds what it demands, or as much of it as is free, and
    /// returns how much that is.
    async fn meet(&mut self, demand: &Demand) -> Result<u64, Error> {
        let key = format!("{PREFIX}{}", demand.server);
        for _ in 0..ATTEMPTS {
            let item = self.store.get(&key).await?;
            let record = read(item.as_ref())?;
            let held = record.granted(&self.holder);
            if held == demand.tokens {
                return Ok(held);
            }
            let record = match record.with(&self.holder, demand.tokens, demand.limit) {
                Ok(record) => record,
                Err(Exceeded { free }) if free >= demand.least => {
                    record.with(&self.holder, free, demand.limit)?
                }
                Err(exceeded) => self.reclaim(&record, demand, exceeded).await?,
            };
            let granted = record.granted(&self.holder);
            let expected = item.map_or(0, |item| item.revision);
            let value = serde_json::to_string(&record).unwrap_or_default();
            match self.store.put(&key, value, expected, None).await {
                Ok(_) => return Ok(granted),
                // A lost answer is settled by reading the record back.
                Err(platform::Error::Conflict { .. } | platform::Error::Lost { .. }) => {}
                Err(error) => return Err(error.into()),
            }
        }
        Err(Error::Contended)
    }

    /// Returns a record that leaves out the holders that are gone, if the demand then fits.
    async fn reclaim(
        &mut self,
        record: &Record,
        demand: &Demand,
        exceeded: Exceeded,
    ) -> Result<Record, Error> {
        let listed: BTreeSet<String> = self
            .store
            .instances()
            .await?
            .into_iter()
            .filter(|instance| instance.role == "entry")
            .map(|instance| instance.name)
            .collect();
        if listed.is_empty() {
            return Err(exceeded.into());
        }
        let now = self.clock.now();
        let holders = record.grants.keys().chain([&self.holder]);
        self.absences
            .observe(holders, |entry| listed.contains(entry), now);
        let gone = |holder: &str| {
            *holder != *self.holder && self.absences.gone(holder, self.reclaim_grace, now)
        };
        Ok(record
            .without(gone)
            .with(&self.holder, demand.least, demand.limit)?)
    }
}

/// Reads a record; a key without value holds none.
fn read(item: Option<&Item>) -> Result<Record, Error> {
    let Some(item) = item else {
        return Ok(Record::default());
    };
    serde_json::from_str(&item.value).map_err(|error| Error::Unreadable {
        reason: error.to_string(),
    })
}
