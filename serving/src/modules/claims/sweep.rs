//! Deletes the claims of identifiers that have expired at every entry, at a bounded rate.
//!
//! Claims are stored in buckets by time. A cursor in the store holds the number of the last swept
//! bucket. The sweeping entry holds a key under a lease, so that only one entry sweeps at a time.

use std::time::{Duration, SystemTime};

use medlarfall_coordination::claim::identifier::{self, Window};
use tokio::sync::Notify;

use crate::platform::{Error, Lease, Store};

/// Key of the number of the last swept bucket.
const CURSOR: &str = "claims-swept";

/// Key that the sweeping entry holds under a lease.
const SWEEPER: &str = "claims-sweeper";

/// Minimum pause between two sweeps by one entry.
const INTERVAL: Duration = Duration::from_mins(1);

/// Pause between two calls to the store, which bounds their rate.
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Time for which the lease of a crashed sweeper keeps other entries from sweeping.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Number of deletions between two renewals of the lease.
const DELETIONS_PER_RENEWAL: usize = 100;

/// Sweeps each time that `due` is notified.
pub(super) async fn run_when_due<S: Store>(store: &S, window: Window, name: &str, due: &Notify) {
    loop {
        due.notified().await;
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        if let Err(error) = sweep(store, window, now, name).await {
            log::warn!(error = error.to_string().as_str(); "sweeping expired claims failed; the next sweep resumes at the cursor");
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Sweeps the buckets after the cursor up to the newest one that has expired at every entry; `now`
/// is the time since the Unix epoch. The first sweep only writes the cursor.
///
/// # Errors
///
/// Returns the first error of the store; the next sweep resumes at the cursor.
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

/// Deletes the claims in each bucket after the cursor, and advances the cursor bucket by bucket.
async fn sweep_buckets<S: Store>(
    store: &S,
    lease: Lease,
    (cursor, mut revision): (u64, u64),
    newest: u64,
) -> Result<(), Error> {
    let mut deletions = 0;
    for bucket in cursor + 1..=newest {
        let listing = store.list(&identifier::prefix(bucket)).await?;
        for item in listing.items {
            match store.delete(&item.key, item.revision).await {
                Ok(_) | Err(Error::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
            deletions += 1;
            if deletions % DELETIONS_PER_RENEWAL == 0 {
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
