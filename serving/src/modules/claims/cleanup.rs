//! What is left to do in the store once a call has ended: keep its answer, or clear its claim.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::claim::{Call, Claimer, Cleanup, Record};

use crate::context::Context;
use crate::platform::{Error, Item, Store};

/// Pause before a claim whose write was lost is looked for, so that a late write can land.
const LATE_WRITE_PAUSE: Duration = Duration::from_secs(2);

/// Pause before the first retry; it doubles with each.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How often each step is tried.
const TRIES: u32 = 6;

/// Starts what is left of a call that has ended; over the limit it is left to the sweep.
pub(super) fn clear(context: &Arc<Context>, key: String, call: &Call) {
    let remainder = call.cleanup();
    if remainder == Cleanup::Nothing {
        return;
    }
    let Ok(permit) = Arc::clone(&context.claims.clearing).try_acquire_owned() else {
        log::warn!(key = key.as_str(); "too many claims to clear: this one is left to the sweep");
        return;
    };
    let store = context.platform.clone();
    let stop = context.stop.clone();
    let claimer = call.claimer().clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = carry_out(&store, &key, &claimer, remainder) => {}
        }
        drop(permit);
    });
}

/// Carries out what is left.
async fn carry_out<S: Store>(store: &S, key: &str, claimer: &Claimer, remainder: Cleanup) {
    match remainder {
        Cleanup::Nothing => {}
        Cleanup::Keep { record, expected } => {
            let value = serde_json::to_string(&record).unwrap_or_default();
            persist(|| store.put(key, value.clone(), expected, None)).await;
        }
        Cleanup::Delete { expected } => {
            persist(|| store.delete(key, expected)).await;
        }
        Cleanup::Withdraw => {
            tokio::time::sleep(LATE_WRITE_PAUSE).await;
            let found = persist(|| store.get(key)).await.flatten();
            if let Some(item) = found.filter(|item| unanswered(item, claimer)) {
                persist(|| store.delete(key, item.revision)).await;
            }
        }
    }
}

/// Returns whether an item is the claim of `claimer`, without an answer.
fn unanswered(item: &Item, claimer: &Claimer) -> bool {
    let record = serde_json::from_str::<Record>(&item.value);
    record.is_ok_and(|record| record.claimer == *claimer && record.answer.is_none())
}

/// Makes a call until the store gives an answer.
async fn persist<T, F>(mut call: impl FnMut() -> F) -> Option<T>
where
    F: Future<Output = Result<T, Error>>,
{
    for attempt in 0..TRIES {
        match call().await {
            Ok(answer) => return Some(answer),
            Err(Error::Lost { .. } | Error::Unavailable { .. }) => {}
            Err(_) => return None,
        }
        tokio::time::sleep(RETRY_PAUSE * 2_u32.pow(attempt)).await;
    }
    None
}
