//! Keeps the newest known change of each store key, and serves the changes to the other entries.
//!
//! An entry catches up from a peer if it is cut off from the store, its watch has fallen silent, or
//! it started while the store was unavailable. Messages between entries carry the revision that
//! each has read. One that stays behind for `CATCH_UP_DELAY` fetches the changes from the sender.
//! Every value carries the store's revision, so a newer value is never replaced by an older one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use medlarfall_runtime::store::{Change, Changes};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::attempt;
use crate::codec::{Codec, Command};
use crate::encoding;
use crate::internal_http;
use crate::state::Relay;
use crate::store_watch;

/// Time that an entry waits for the changes to arrive by message before it fetches them.
const CATCH_UP_DELAY: Duration = Duration::from_millis(60);

/// Longest wait for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Removed keys that are kept. If more are removed, a peer that is far behind does not receive all
/// removals and keeps some removed keys until it reads the store itself.
const REMOVED_LIMIT: usize = 4_096;

/// Path prefix of the changes after a revision.
const CHANGES_PATH: &str = "/changes/";

/// The newest known change of each key.
#[derive(Debug, Default)]
pub struct Changelog {
    changes: HashMap<Arc<str>, Change>,
    revision: u64,
    /// The last response to a peer, with the revisions that it covers: entries that are behind are
    /// mostly behind by the same changes.
    response: Option<(u64, u64, Bytes)>,
}

impl Changelog {
    /// Adds a change, unless a newer one of its key is known.
    pub fn insert(&mut self, change: &Change) {
        let known = self.changes.get(change.key.as_str());
        if known.is_some_and(|known| known.revision >= change.revision) {
            return;
        }
        self.changes
            .insert(Arc::from(change.key.as_str()), change.clone());
    }

    /// Records that all changes up to `revision` have been added.
    pub fn mark_complete(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
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
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the changes after a revision, oldest first.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Changes {
        let mut changes: Vec<Change> = self
            .changes
            .values()
            .filter(|change| change.revision > revision)
            .cloned()
            .collect();
        changes.sort_by_key(|change| change.revision);
        Changes {
            changes,
            revision: self.revision,
            era: 0,
        }
    }
}

impl Changelog {
    /// Returns the encoded changes after a revision.
    fn encoded_since(&mut self, after: u64) -> Result<Bytes, encoding::Error> {
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
pub async fn catch_up<C: Codec>(relay: Arc<Relay<C>>, peer: SocketAddr, revision: u64) {
    let own = || relay.changelog(|changelog| changelog.revision());
    if own() > 0 {
        sleep(CATCH_UP_DELAY).await;
    }
    let after = own();
    if after >= revision {
        return;
    }
    let command = Command {
        method: Method::GET,
        path: format!("{CHANGES_PATH}{after}"),
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
                peer = peer.as_str(), after, revision = changes.revision,
                changes = changes.changes.len();
                "caught up from a peer"
            );
            for change in &changes.changes {
                store_watch::apply(&relay, change);
            }
            relay.changelog(|changelog| changelog.mark_complete(changes.revision));
        }
        Err(reason) => {
            log::info!(peer = peer.as_str(), reason = reason.as_str(); "catching up from a peer failed");
        }
    }
}
