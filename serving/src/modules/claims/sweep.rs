//! Deletes the claims of identifiers that every entry refuses, at a bounded rate.
//!
//! A cursor in the store names the last bucket that was swept. Whoever sweeps holds a lease, so
//! that one entry sweeps at a time however many there are.

use std::time::{Duration, SystemTime};

use medlarfall_coordination::claim::identifier::{self, Window};
use tokio::sync::Notify;

use crate::platform::{Error, Lease, Store};

/// Key that holds the number of the last bucket that was swept.
const CURSOR: &str = "claims-swept";

/// Key that is held, under a lease, by the entry that sweeps.
const SWEEPER: &str = "claims-sweeper";

/// Shortest pause between two sweeps of one entry.
const INTERVAL: Duration = Duration::from_mins(1);

/// Pause between two calls to the store.
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// How long a sweeper that has died keeps others from sweeping.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Calls between two renewals of the lease.
const CALLS_PER_RENEWAL: usize = 100;

/// Sweeps whenever it is due.
pub(super) async fn keep_clear<S: Store>(store: &S, window: Window, name: &str, due: &Notify) {
    loop {
        due.notified().await;
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        if let Err(error) = sweep(store, window, now, name).await {
            log::warn!(error = error.to_string().as_str(); "old claims could not be swept");
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Sweeps the buckets between the cursor and the newest one that every entry refuses; `now` is the
/// time since the Unix epoch.
///
/// # Errors
///
/// Returns the first error of the store; the next sweep goes on from the cursor.
pub async fn sweep<S: Store>(
    store: &S,
    window: Window,
    now: Duration,
    name: &str,
) -> Result<(), Error> {
    let Some(newest) = identifier::sweepable(now, window) else {
        return Ok(());
    };
    let Some(item) = store.get(CURSOR).await? else {
        return store
            .put(CURSOR, newest.to_string(), 0, None)
            .await
            .map(drop);
    };
    let cursor = item.value.parse().unwrap_or(newest);
    if cursor >= newest {
        return Ok(());
    }
    let lease = store.grant(LEASE_TTL).await?;
    let elected = store.put(SWEEPER, name.to_owned(), 0, Some(lease)).await;
    let swept = match elected {
        Ok(_) => sweep_buckets(store, lease, (cursor, item.revision), newest).await,
        Err(Error::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    };
    store.revoke(lease).await?;
    swept
}

/// Sweeps each bucket after the cursor and moves the cursor.
async fn sweep_buckets<S: Store>(
    store: &S,
    lease: Lease,
    (cursor, mut revision): (u64, u64),
    newest: u64,
) -> Result<(), Error> {
    let mut calls = 0;
    for bucket in cursor + 1..=newest {
        let listing = store.list(&identifier::prefix(bucket)).await?;
        for item in listing.items {
            match store.delete(&item.key, item.revision).await {
                Ok(_) | Err(Error::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
            calls += 1;
            if calls % CALLS_PER_RENEWAL == 0 {
                store.renew(lease).await?;
            }
            tokio::time::sleep(CALL_PAUSE).await;
        }
        revision = store
            .put(CURSOR, bucket.to_string(), revision, None)
            .await?;
        tokio::time::sleep(CALL_PAUSE).await;
    }
    store.renew(lease).await
}
