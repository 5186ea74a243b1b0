//! Keeps the newest known change of each store key, and serves the changes to the other entries.
//!
//! An entry catches up from a peer ([`crate::catch_up`]) if it does not read the store, misses a message, or
//! the changes are too large for one. Messages between entries carry the revision that each has read.
//! Every value carries the store's revision, so a newer value is never replaced by an older one. All
//! changes belong to one era of the store: a restore begins another.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use medlarfall_coordination::history::Revision;
use medlarfall_runtime::store::{Change, Changes, Listing};
use tokio::net::TcpListener;

use crate::codec::Codec;
use crate::encoding;
use crate::internal_http;
use crate::state::Relay;

/// Removed keys that are kept. If more are removed, a peer that is far behind does not receive all
/// removals and keeps some removed keys until it reads the store itself.
const REMOVED_LIMIT: usize = 4_096;

/// Path prefix of the changes after a revision.
const CHANGES_PATH: &str = "/changes/";

/// Query that names the era of that revision.
const ERA_QUERY: &str = "era=";

/// Responses that are kept. Entries that are behind are mostly behind by the same changes.
const RESPONSES: usize = 4;

/// Content of a response from which it also serves entries that lack only a part of it, as long as that is
/// [`REUSED_PART`] of it or more.
const REUSED_PART: usize = 2;

/// An encoded response to a peer.
#[derive(Clone, Debug)]
struct Response {
    /// The revision after which it has all changes.
    after: Revision,
    /// The revision up to which it has them.
    revision: Revision,
    /// Size of its keys and values.
    size: usize,
    encoded: Bytes,
}

/// The newest known change of each key.
#[derive(Debug, Default)]
pub struct Changelog {
    changes: HashMap<Arc<str>, Change>,
    revision: Revision,
    /// Whether all keys were read once, in this era or an earlier one.
    complete: bool,
    /// The last responses to peers.
    responses: VecDeque<Response>,
}

impl Changelog {
    /// Adds a change, unless it belongs to another era than the log or a newer one of its key is known. Returns
    /// whether it is the newest known change of its key.
    pub fn insert(&mut self, era: u64, change: &Change) -> bool {
        if self.revision == Revision::default() {
            self.revision.era = era;
        }
        if era != 0 && era != self.revision.era {
            return false;
        }
        let known = self.changes.get(change.key.as_str());
        match known.map_or(0, |known| known.revision) {
            known if known > change.revision => return false,
            known if known == change.revision => {}
            _ => {
                self.changes
                    .insert(Arc::from(change.key.as_str()), change.clone());
            }
        }
        true
    }

    /// Returns the keys that have a value here and that a list of all keys lacks, because they were removed
    /// before it was read or because the store was restored.
    #[must_use]
    pub fn absent(&self, listing: &Listing) -> Vec<String> {
        let restored = self.precedes(listing.era);
        let listed = listing.items.iter().map(|item| item.key.as_str());
        let listed: HashSet<&str> = listed.collect();
        self.changes
            .values()
            .filter(|change| change.value.is_some())
            .filter(|change| restored || change.revision <= listing.revision)
            .filter(|change| !listed.contains(change.key.as_str()))
            .map(|change| change.key.clone())
            .collect()
    }

    /// Returns whether the store was restored between the era of this log and `era`.
    #[must_use]
    pub fn precedes(&self, era: u64) -> bool {
        self.revision.is_of_earlier_era(Revision { era, number: 0 })
    }

    /// Drops all changes if the store was restored between their era and `era`; returns whether it was.
    pub fn enter(&mut self, era: u64) -> bool {
        let restored = self.precedes(era);
        if restored {
            *self = Self {
                revision: Revision { era, number: 0 },
                complete: self.complete,
                ..Self::default()
            };
        }
        restored
    }

    /// Records that all changes up to `revision` have been added.
    pub fn mark_complete(&mut self, revision: Revision) {
        let revision = revision.or_era(self.revision.era);
        self.revision = self.revision.max(revision);
        self.complete |= self.revision.number > 0;
        let removed = |change: &Change| change.value.is_none();
        let mut revisions: Vec<u64> = self
            .changes
            .values()
            .filter(|change| removed(change))
            .map(|change| change.revision)
            .collect();
        if revisions.len() > REMOVED_LIMIT {
            revisions.sort_unstable();
            let oldest = revisions[revisions.len() - REMOVED_LIMIT / 2];
            self.changes
                .retain(|_, change| !removed(change) || change.revision >= oldest);
        }
    }

    /// Returns the revision up to which all changes have been added.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether all keys were read once, in this era or an earlier one: what appears later is new.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the changes after a revision, oldest first; for one of an earlier era, all keys with their
    /// values.
    #[must_use]
    pub fn changes_since(&self, after: Revision) -> Changes {
        let all = after.is_of_earlier_era(self.revision);
        let is_sent = |change: &&Change| {
            if all {
                change.value.is_some()
            } else {
                change.revision > after.number
            }
        };
        let mut changes: Vec<Change> = self.changes.values().filter(is_sent).cloned().collect();
        changes.sort_by_key(|change| change.revision);
        Changes {
            changes,
            revision: self.revision.number,
            era: self.revision.era,
        }
    }
}

impl Changelog {
    /// Returns the size of the keys and values of the changes after a revision, in bytes.
    fn size_since(&self, after: Revision) -> usize {
        let all = after.is_of_earlier_era(self.revision);
        let changes = self.changes.values();
        let changes = changes.filter(|change| all || change.revision > after.number);
        changes.map(Change::size).sum()
    }

    /// Returns the encoded changes after a revision, possibly with some before it.
    ///
    /// # Errors
    ///
    /// Returns an error if they can't be encoded.
    pub fn encoded_since(&mut self, after: Revision) -> Result<Bytes, encoding::Error> {
        let revision = self.revision;
        self.responses.retain(|it| it.revision == revision);
        let size = self.size_since(after);
        let serves = |it: &&Response| {
            let covers = it.after.era == after.era && it.after <= after;
            covers && it.size <= size.saturating_mul(REUSED_PART)
        };
        if let Some(response) = self.responses.iter().find(serves) {
            return Ok(response.encoded.clone());
        }
        let encoded = Bytes::from(encoding::encode(&self.changes_since(after))?);
        if self.responses.len() == RESPONSES {
            self.responses.pop_front();
        }
        self.responses.push_back(Response {
            after,
            revision,
            size,
            encoded: encoded.clone(),
        });
        Ok(encoded)
    }
}

/// Returns the path and query of the changes after a revision.
#[must_use]
pub fn path_after(after: Revision) -> String {
    format!("{CHANGES_PATH}{}?{ERA_QUERY}{}", after.number, after.era)
}

/// Serves the changes to the other entries.
pub async fn serve<C: Codec>(relay: Arc<Relay<C>>, listener: TcpListener) {
    internal_http::serve(listener, move |request| reply(&relay, request)).await;
}

fn reply<C: Codec>(relay: &Relay<C>, request: &Request<Incoming>) -> hyper::Response<Full<Bytes>> {
    let after = request.uri().path().strip_prefix(CHANGES_PATH);
    let after = after.and_then(|after| after.parse().ok());
    let era = request.uri().query();
    let era = era.and_then(|query| query.strip_prefix(ERA_QUERY)?.parse().ok());
    // An entry that knows no eras is taken to mean the one known here.
    let after = after.map(|number| Revision {
        era: era.unwrap_or_else(|| relay.store_era()),
        number,
    });
    let body = after.map(|after| relay.changelog(|changelog| changelog.encoded_since(after)));
    let mut response = hyper::Response::new(Full::from(Bytes::new()));
    match body {
        // The link would carry it too late: the peer asks another one or the store.
        Some(Ok(body)) if !relay.may_transfer(body.len()) => {
            log::info!(bytes = body.len(); "changes not sent to a peer: the link is busy with others");
            relay.metrics.catch_up.refused.inc();
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Some(Ok(body)) => {
            let bytes = u64::try_from(body.len()).unwrap_or(u64::MAX);
            relay.metrics.catch_up.sent_bytes.inc_by(bytes);
            *response.body_mut() = Full::from(body);
        }
        Some(Err(error)) => {
            log::error!(reason = error.to_string().as_str(); "changes for a peer not encoded");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        None => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}
