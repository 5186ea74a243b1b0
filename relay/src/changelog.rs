//! Keeps the newest known change of each store key, and serves the changes to the other entries.
//!
//! An entry catches up from a peer if it is cut off from the store, its watch has fallen silent, or
//! it started while the store was unavailable. Messages between entries carry the revision that
//! each has read. One that stays behind for `CATCH_UP_DELAY` fetches the changes from the sender.
//! Every value carries the store's revision, so a newer value is never replaced by an older one. All
//! changes belong to one era of the store: a restore begins another.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use medlarfall_coordination::history::Revision;
use medlarfall_runtime::store::{Change, Changes, Listing};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::attempt;
use crate::codec::{Codec, Command};
use crate::encoding;
use crate::internal_http;
use crate::peer_updates;
use crate::state::Relay;

/// Time that an entry waits for the changes to arrive by message before it fetches them.
const CATCH_UP_DELAY: Duration = Duration::from_millis(60);

/// Longest wait for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Removed keys that are kept. If more are removed, a peer that is far behind does not receive all
/// removals and keeps some removed keys until it reads the store itself.
const REMOVED_LIMIT: usize = 4_096;

/// Path prefix of the changes after a revision.
const CHANGES_PATH: &str = "/changes/";

/// Query that names the era of that revision.
const ERA_QUERY: &str = "era=";

/// The newest known change of each key.
#[derive(Debug, Default)]
pub struct Changelog {
    changes: HashMap<Arc<str>, Change>,
    revision: Revision,
    /// Whether all keys were read once, in this era or an earlier one.
    complete: bool,
    /// The last response to a peer, with the revisions that it covers: entries that are behind are
    /// mostly behind by the same changes.
    response: Option<(Revision, Revision, Bytes)>,
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
    /// Returns the encoded changes after a revision.
    fn encoded_since(&mut self, after: Revision) -> Result<Bytes, encoding::Error> {
        let revision = self.revision;
        match &self.response {
            Some((first, last, encoded)) if (*first, *last) == (after, revision) => {
                Ok(encoded.clone())
            }
            _ => {
                let encoded = Bytes::from(encoding::encode(&self.changes_since(after))?);
                self.response = Some((after, revision, encoded.clone()));
                Ok(encoded)
            }
        }
    }
}

/// Serves the changes to the other entries.
pub async fn serve<C: Codec>(relay: Arc<Relay<C>>, listener: TcpListener) {
    internal_http::serve(listener, move |request| reply(&relay, request)).await;
}

fn reply<C: Codec>(relay: &Relay<C>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
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
    let mut response = Response::new(Full::from(Bytes::new()));
    match body {
        Some(Ok(body)) => *response.body_mut() = Full::from(body),
        Some(Err(error)) => {
            log::error!(reason = error.to_string().as_str(); "changes for a peer not encoded");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        None => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

/// Catches up from a peer that has read up to `revision`, if this entry is still behind after a
/// short delay.
pub async fn catch_up<C: Codec>(relay: Arc<Relay<C>>, peer: SocketAddr, revision: Revision) {
    let own = || relay.changelog(|changelog| changelog.revision());
    if own().number > 0 {
        sleep(CATCH_UP_DELAY).await;
    }
    let after = own();
    if after >= revision {
        return;
    }
    let command = Command {
        method: Method::GET,
        path: format!("{CHANGES_PATH}{}?{ERA_QUERY}{}", after.number, after.era),
        body: Bytes::new(),
    };
    let response = timeout(RESPONSE_TIMEOUT, attempt::fetch(peer, command)).await;
    let changes = match response {
        Ok(Ok((_, body))) => encoding::decode::<Changes>(&body).map_err(|e| e.to_string()),
        Ok(Err(error)) => Err(error),
        Err(_) => Err("no answer in time".to_owned()),
    };
    let peer = peer.to_string();
    match changes {
        Ok(changes) => {
            log::info!(
                peer = peer.as_str(), era = changes.era, after = after.number,
                revision = changes.revision, changes = changes.changes.len();
                "caught up from a peer"
            );
            peer_updates::apply_fetched(&relay, after, changes);
        }
        Err(reason) => {
            log::info!(peer = peer.as_str(), reason = reason.as_str(); "catching up from a peer failed");
        }
    }
}
