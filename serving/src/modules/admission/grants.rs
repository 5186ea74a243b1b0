//! The task that changes this entry's grants of backend servers' memory in the platform's store.

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

/// Attempts at an update of a record when other entries write it at the same time.
const UPDATE_ATTEMPTS: usize = 8;

/// A request to change this entry's grant of a server's memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct GrantRequest {
    /// Name of the server.
    pub(super) server: Arc<str>,
    /// Tokens that this entry wants to be granted in total.
    pub(super) tokens: u64,
    /// Fewest tokens that are of use if `tokens` are not free.
    pub(super) minimum: u64,
    /// Tokens that all entries together may be granted.
    pub(super) limit: u64,
}

/// Reason why a grant request failed.
#[derive(Debug, Snafu)]
enum Error {
    /// The memory is granted to other entries.
    #[snafu(transparent)]
    Exceeded {
        /// Tokens that are free.
        source: Exceeded,
    },
    /// The store is unavailable or rejected the request.
    #[snafu(transparent)]
    Platform {
        /// Error of the store.
        source: platform::Error,
    },
    /// The record cannot be read.
    #[snafu(display(
        "cannot parse the record of grants: {reason}; delete the key if no entry is running"
    ))]
    Unreadable {
        /// Error of the parser.
        reason: String,
    },
    /// Other entries changed the record during every attempt.
    #[snafu(display("other entries changed the record during every attempt"))]
    Contended,
}

/// The task that processes grant requests.
pub(super) struct Task<S> {
    /// The platform's store.
    pub(super) store: S,
    /// Name under which this run of the entry is granted memory.
    pub(super) holder: Arc<str>,
    /// How long an entry must be missing from the instance list before its grants are reclaimed.
    pub(super) reclaim_grace: Duration,
    /// The entry's clock.
    pub(super) clock: Clock,
    /// Holders whose entries are missing from the instance list.
    pub(super) absences: Absences,
}

impl<S: Store> Task<S> {
    /// Processes requests one at a time and sends each result to the admission task, until either
    /// channel is closed.
    pub(super) async fn run(
        mut self,
        mut requests: mpsc::UnboundedReceiver<GrantRequest>,
        results: mpsc::UnboundedSender<Message>,
    ) {
        while let Some(request) = requests.recv().await {
            let granted = self.update(&request).await;
            if let Err(error) = &granted {
                log::debug!(server = request.server.as_ref(), reason = error.to_string().as_str(); "grant of backend memory failed");
            }
            let server = Arc::clone(&request.server);
            if results
                .send(Message::Granted(server, granted.ok()))
                .is_err()
            {
                return;
            }
        }
    }

    /// Stores a record that grants this entry the requested tokens, or as many of them as are free,
    /// and returns the number granted.
    async fn update(&mut self, request: &GrantRequest) -> Result<u64, Error> {
        let key = format!("{PREFIX}{}", request.server);
        for _ in 0..UPDATE_ATTEMPTS {
            let item = self.store.get(&key).await?;
            let record = read(item.as_ref())?;
            let current = record.granted(&self.holder);
            if current == request.tokens {
                return Ok(current);
            }
            let record = match record.with(&self.holder, request.tokens, request.limit) {
                Ok(record) => record,
                Err(Exceeded { free }) if free >= request.minimum => {
                    record.with(&self.holder, free, request.limit)?
                }
                Err(exceeded) => self.reclaim(&record, request, exceeded).await?,
            };
            let granted = record.granted(&self.holder);
            let expected = item.map_or(0, |item| item.revision);
            let value = serde_json::to_string(&record).unwrap_or_default();
            match self.store.put(&key, value, expected, None).await {
                Ok(_) => return Ok(granted),
                // If the response was lost, the next read shows whether the write took effect.
                Err(platform::Error::Conflict { .. } | platform::Error::Lost { .. }) => {}
                Err(error) => return Err(error.into()),
            }
        }
        Err(Error::Contended)
    }

    /// Returns a record without the grants of absent holders that grants this entry the minimum of
    /// the request, if that frees enough.
    async fn reclaim(
        &mut self,
        record: &Record,
        request: &GrantRequest,
        exceeded: Exceeded,
    ) -> Result<Record, Error> {
        let registered: BTreeSet<String> = self
            .store
            .instances()
            .await?
            .into_iter()
            .filter(|instance| instance.role == "entry")
            .map(|instance| instance.name)
            .collect();
        if registered.is_empty() {
            return Err(exceeded.into());
        }
        let now = self.clock.now();
        let holders = record.grants.keys().chain([&self.holder]);
        self.absences
            .observe(holders, |entry| registered.contains(entry), now);
        let gone = |holder: &str| {
            *holder != *self.holder && self.absences.gone(holder, self.reclaim_grace, now)
        };
        Ok(record
            .without(gone)
            .with(&self.holder, request.minimum, request.limit)?)
    }
}

/// Parses a record; a missing key is an empty record.
fn read(item: Option<&Item>) -> Result<Record, Error> {
    let Some(item) = item else {
        return Ok(Record::default());
    };
    serde_json::from_str(&item.value).map_err(|error| Error::Unreadable {
        reason: error.to_string(),
    })
}
