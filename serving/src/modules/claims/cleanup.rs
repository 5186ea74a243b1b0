//! Update of a claim in the store once its call has ended: the answer is stored, or the claim is
//! deleted.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::claim::{Call, Claimer, Cleanup, Record};

use crate::context::Context;
use crate::platform::{Error, Item, Store};

/// Pause before a claim is read after the response to its write was lost, so that a delayed write
/// takes effect first.
const LATE_WRITE_PAUSE: Duration = Duration::from_secs(2);

/// Pause before the first retry; it doubles with each.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Number of attempts at each call to the store.
const ATTEMPTS: u32 = 6;

/// Starts the cleanup of a call that has ended. If too many are running, the sweep deletes the
/// claim later.
pub(super) fn start(context: &Arc<Context>, key: String, call: &Call) {
    let cleanup = call.cleanup();
    if cleanup == Cleanup::Nothing {
        return;
    }
    let Ok(permit) = Arc::clone(&context.claims.cleanups).try_acquire_owned() else {
        log::warn!(key = key.as_str(); "too many concurrent claim cleanups; the sweep will delete this claim");
        return;
    };
    let store = context.platform.clone();
    let stop = context.stop.clone();
    let claimer = call.claimer().clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = execute(&store, &key, &claimer, cleanup) => {}
        }
        drop(permit);
    });
}

/// Executes a cleanup.
async fn execute<S: Store>(store: &S, key: &str, claimer: &Claimer, cleanup: Cleanup) {
    match cleanup {
        Cleanup::Nothing => {}
        Cleanup::Keep { record, expected } => {
            let value = serde_json::to_string(&record).unwrap_or_default();
            retry(|| store.put(key, value.clone(), expected, None)).await;
        }
        Cleanup::Delete { expected } => {
            retry(|| store.delete(key, expected)).await;
        }
        Cleanup::Withdraw => {
            tokio::time::sleep(LATE_WRITE_PAUSE).await;
            let found = retry(|| store.get(key)).await.flatten();
            if let Some(item) = found.filter(|item| unanswered(item, claimer)) {
                retry(|| store.delete(key, item.revision)).await;
            }
        }
    }
}

/// Returns whether an item is the claim of `claimer` and has no answer.
fn unanswered(item: &Item, claimer: &Claimer) -> bool {
    let record = serde_json::from_str::<Record>(&item.value);
    record.is_ok_and(|record| record.claimer == *claimer && record.answer.is_none())
}

/// Repeats a call until the store responds, up to [`ATTEMPTS`] times. Returns nothing if the store
/// refuses the call or never responds.
async fn retry<T, F>(mut call: impl FnMut() -> F) -> Option<T>
where
    F: Future<Output = Result<T, Error>>,
{
    for attempt in 0..ATTEMPTS {
        match call().await {
            Ok(result) => return Some(result),
            Err(Error::Lost { .. } | Error::Unavailable { .. }) => {}
            Err(_) => return None,
        }
        tokio::time::sleep(RETRY_PAUSE * 2_u32.pow(attempt)).await;
    }
    None
}
