//! What this entry last read in the store, for the other entries.
//!
//! An entry that is cut off from the store, whose watch has fallen silent, or that started while
//! the store is away, catches up from a peer: messages between entries tell how far each has read,
//! and one that is behind for [`PATIENCE`] asks the one that is ahead. Every value carries the
//! store's revision, so nothing known is replaced by something older.

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

/// Time that an entry waits for its own watch before it asks a peer that is ahead.
const PATIENCE: Duration = Duration::from_millis(150);

/// Longest wait for a peer's answer.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Removed keys that are remembered; beyond them a peer that is far behind keeps some entries
/// until it reads the store itself.
const REMOVED_KEPT: usize = 4_096;

/// Path of the changes after a revision.
const PATH: &str = "/changes/";

/// The newest known change of each key.
#[derive(Debug, Default)]
pub struct Changelog {
    changes: HashMap<Arc<str>, Change>,
    revision: u64,
}

impl Changelog {
    /// Takes in a change, unless a newer one of its key is known.
    pub fn insert(&mut self, change: &Change) {
        let known = self.changes.get(change.key.as_str());
        if known.is_some_and(|known| known.revision >= change.revision) {
            return;
        }
        self.changes
            .insert(Arc::from(change.key.as_str()), change.clone());
    }

    /// Notes that all changes up to `revision` have been taken in.
    pub fn mark_complete(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        let removed = |change: &Change| change.value.is_none();
        let mut revisions: Vec<u64> = self
            .changes
            .values()
            .filter(|change| removed(change))
            .map(|change| change.revision)
            .collect();
        if revisions.len() > REMOVED_KEPT {
            revisions.sort_unstable();
            let oldest = revisions[revisions.len() - REMOVED_KEPT / 2];
            self.changes
                .retain(|_, change| !removed(change) || change.revision >= oldest);
        }
    }

    /// Returns the revision up to which all changes have been taken in.
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
        }
    }
}

/// Serves the changes to the other entries.
pub async fn serve<D: Codec>(relay: Arc<Relay<D>>, listener: TcpListener) {
    internal_http::serve(listener, move |request| reply(&relay, request)).await;
}

fn reply<D: Codec>(relay: &Relay<D>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let after = request.uri().path().strip_prefix(PATH);
    let after = after.and_then(|after| after.parse().ok());
    let changes = after.map(|after| relay.changelog(|mirror| mirror.changes_since(after)));
    let body = changes.map(|changes| encoding::pack(&changes));
    let mut response = Response::new(Full::from(Bytes::new()));
    match body {
        Some(Ok(body)) => *response.body_mut() = Full::from(body),
        Some(Err(error)) => {
            log::error!(reason = error.to_string().as_str(); "changes can't be written for a peer");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        None => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

/// Catches up from a peer that has read up to `revision`, if this entry is still behind after a
/// short while.
pub async fn catch_up<D: Codec>(relay: Arc<Relay<D>>, peer: SocketAddr, revision: u64) {
    let own = || relay.changelog(|mirror| mirror.revision());
    if own() > 0 {
        sleep(PATIENCE).await;
    }
    let after = own();
    if after >= revision {
        return;
    }
    let order = Command {
        method: Method::GET,
        path: format!("{PATH}{after}"),
        body: Bytes::new(),
    };
    let asked = timeout(ANSWER_TIME, attempt::exchange(peer, order)).await;
    let changes = match asked {
        Ok(Ok((_, body))) => encoding::unpack::<Changes>(&body).map_err(|e| e.to_string()),
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
            relay.changelog(|mirror| mirror.mark_complete(changes.revision));
        }
        Err(reason) => log::info!(peer = peer.as_str(), reason = reason.as_str(); "not caught up"),
    }
}
