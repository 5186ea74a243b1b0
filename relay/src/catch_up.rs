//! Fetches the changes of the store that this entry lacks, from peers or from the store, as
//! [`medlarfall_coordination::catch_up`] decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use medlarfall_coordination::catch_up::{Lag, Source, Step};
use medlarfall_coordination::history::Revision;
use medlarfall_runtime::store::{Changes, Store};
use rand::Rng;
use tokio::time::{sleep_until, timeout_at};

use crate::attempt;
use crate::changelog;
use crate::codec::{Codec, Command};
use crate::encoding;
use crate::peer_updates;
use crate::state::Relay;
use crate::store_watch;

/// Part of the store's rate of calls that entries which catch up may use together.
const STORE_SHARE: f64 = 0.5;

/// Catches up whenever this entry is behind, until the task is aborted.
pub async fn run<C: Codec, S: Store>(relay: Arc<Relay<C>>, store: S) {
    let mut reported = false;
    loop {
        let spread = relay.catch_up_spread();
        let (caught_up, lag, step) = relay.catch_up(|state, own, now| {
            let lag = state.lag(own, now);
            let caught_up = state.record_own(own, now);
            (caught_up, lag, state.next(own, spread, now))
        });
        if !reported && lag.time >= relay.settings.propagation.peers() {
            reported = true;
            log_lag(&lag, "behind the entries that read the store");
        }
        if let Some(lag) = caught_up.filter(|_| std::mem::take(&mut reported)) {
            log_lag(&lag, "no longer behind the entries that read the store");
        }
        match step {
            Step::Idle => relay.behind.notified().await,
            Step::Wait(until) => tokio::select! {
                () = sleep_until(relay.clock.instant(until)) => {}
                () = relay.behind.notified() => {}
            },
            Step::Fetch { source, until } => fetch(&relay, &store, source, until).await,
        }
    }
}

fn log_lag(lag: &Lag, message: &str) {
    let time = u64::try_from(lag.time.as_millis()).unwrap_or(u64::MAX);
    log::info!(revisions = lag.revisions, ms = time, failures = lag.failures; "{message}");
}

impl<C: Codec> Relay<C> {
    /// Returns the time over which all entries may make one call to the store each.
    fn catch_up_spread(&self) -> Duration {
        let entries = f64::from(self.entries());
        let rate = self.settings.store_calls_per_s * STORE_SHARE;
        Duration::from_secs_f64(entries / rate.max(1.0))
    }

    /// Records that a peer has read the store up to `revision`.
    pub fn record_peer_revision(&self, peer: SocketAddr, revision: Revision) {
        let behind = self.catch_up(|state, own, now| state.record_peer(peer, revision, own, now));
        if behind {
            self.behind.notify_one();
        }
    }
}

/// Fetches changes until a time, and records if that gave nothing.
async fn fetch<C: Codec, S: Store>(relay: &Relay<C>, store: &S, source: Source, until: Duration) {
    let before = relay.changelog(|changelog| changelog.revision());
    let ends = relay.clock.instant(until);
    let fetched = match source {
        Source::Peer(peer) => timeout_at(ends, fetch_from(relay, peer, before)).await,
        Source::Store => timeout_at(ends, store_watch::catch_up(relay, store)).await,
    };
    let fetched = fetched.unwrap_or_else(|_| Err("not complete in time".to_owned()));
    let (peer, kind) = match source {
        Source::Peer(peer) => (peer.to_string(), "peer"),
        Source::Store => (String::new(), "store"),
    };
    let advanced = relay.changelog(|changelog| changelog.revision()) > before;
    let outcome = if advanced { "advanced" } else { "failed" };
    relay.metrics.catch_up.count_attempt(kind, outcome);
    if advanced {
        return;
    }
    let reason = fetched
        .err()
        .unwrap_or_else(|| "it knows no more".to_owned());
    log::info!(source = kind, peer = peer.as_str(), reason = reason.as_str(); "catching up failed");
    let random = rand::rng().random_range(0.0..=1.0);
    relay.catch_up(|state, _, now| state.record_failure(source, random, now));
}

/// Fetches and applies the changes after a revision that a peer knows.
async fn fetch_from<C: Codec>(
    relay: &Relay<C>,
    peer: SocketAddr,
    after: Revision,
) -> Result<(), String> {
    let command = Command {
        method: Method::GET,
        path: changelog::path_after(after),
        body: Bytes::new(),
    };
    let silence = relay.settings.propagation.silence();
    let fetched = attempt::fetch_up_to(peer, command, encoding::SIZE_LIMIT, silence).await?;
    let (parts, body) = fetched;
    if parts.status != StatusCode::OK {
        return Err(format!("status {}", parts.status));
    }
    let changes = encoding::decode::<Changes>(&body).map_err(|error| error.to_string())?;
    let peer = peer.to_string();
    log::info!(
        peer = peer.as_str(), era = changes.era, after = after.number,
        revision = changes.revision, changes = changes.changes.len(), bytes = body.len();
        "caught up from a peer"
    );
    peer_updates::apply_fetched(relay, after, changes);
    Ok(())
}
