//! Records the requests that are blocked in the store, so that entries that start know them.
//!
//! A record has a lease of the time for which a combination is blocked first. Only entries that read
//! the store write records: the others would write the same, and each store call has a cost.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use medlarfall_coordination::history::Revision;
use medlarfall_coordination::quarantine::{FIRST_TIME, Fingerprint, Kind, Part};
use medlarfall_runtime::store::{Change, Error, Store};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::codec::Codec;
use crate::metrics::StoreCall;
use crate::state::{Due, Relay, parts_text};
use crate::store_watch::{self, with_timeout};

/// Pause between two attempts to write records, while this entry reads the store.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Pause after a change, so that one round covers several changes.
const COALESCE: Duration = Duration::from_millis(1);

/// Value of a record.
#[derive(Debug, Deserialize, Serialize)]
struct Value {
    parts: Vec<Part>,
    /// Whether it blocks a call without a prompt; absent in the records of earlier versions.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    call: bool,
}

impl From<Value> for Fingerprint {
    fn from(value: Value) -> Self {
        Self {
            kind: if value.call { Kind::Call } else { Kind::Prompt },
            parts: value.parts.into(),
        }
    }
}

/// Applies a record of the store, or its removal (`None`). A record that can't be decoded is logged and
/// has no effect.
pub fn apply<C: Codec>(relay: &Relay<C>, key: &Arc<str>, value: Option<&str>, revision: Revision) {
    let blocked = match value.map(serde_json::from_str::<Value>).transpose() {
        Ok(value) => value.map(Fingerprint::from),
        Err(error) => {
            log::warn!(key = &**key, problem = error.to_string().as_str(); "record of a blocked request not decoded");
            return;
        }
    };
    relay.apply_quarantine_record(key, blocked, revision);
}

/// Writes records until the task is aborted.
pub async fn run<C: Codec, S: Store>(relay: Arc<Relay<C>>, store: S) {
    loop {
        let Due { new, ended } = relay.quarantine_records_due();
        if new.is_empty() && ended.is_empty() {
            relay.quarantine_changed.notified().await;
            continue;
        }
        if relay.reads_store.load(Ordering::Relaxed) {
            for blocked in &new {
                let written = write(&relay, &store, blocked).await;
                log_written(blocked, written);
            }
            for (key, revision) in &ended {
                let era = relay.store_era();
                relay.metrics.count_store_call(StoreCall::BlockedPrompt);
                let deleting = store.delete(key, *revision);
                if with_timeout(Duration::ZERO, deleting).await.is_ok() {
                    let revision = Revision {
                        era,
                        number: *revision,
                    };
                    relay.apply_quarantine_record(key, None, revision);
                }
            }
        }
        let _ = timeout(RETRY_PAUSE, relay.quarantine_changed.notified()).await;
        sleep(COALESCE).await;
    }
}

fn log_written(blocked: &Fingerprint, written: Result<(), Error>) {
    let parts = parts_text(&blocked.parts);
    match written {
        Ok(()) => log::info!(parts = parts.as_str(); "record of a blocked request written"),
        Err(error) => {
            let reason = error.to_string();
            log::warn!(parts = parts.as_str(), reason = reason.as_str(); "record of a blocked request not written yet");
        }
    }
}

/// Writes the record of a combination, unless another entry has written it.
async fn write<C: Codec, S: Store>(
    relay: &Relay<C>,
    store: &S,
    blocked: &Fingerprint,
) -> Result<(), Error> {
    let name = format!("{:016x}", xxh3_64(parts_text(&blocked.parts).as_bytes()));
    let key = relay.codec.blocked_prompt_key(&name);
    let value = Value {
        parts: blocked.parts.to_vec(),
        call: blocked.kind == Kind::Call,
    };
    let value = serde_json::to_string(&value).unwrap_or_default();
    let era = relay.store_era();
    relay.metrics.count_store_call(StoreCall::Lease);
    let lease = with_timeout(Duration::ZERO, store.grant(FIRST_TIME)).await?;
    relay.metrics.count_store_call(StoreCall::BlockedPrompt);
    let writing = store.put(&key, value.clone(), 0, Some(lease));
    let revision = match with_timeout(Duration::ZERO, writing).await {
        Err(Error::Conflict {
            current: Some(current),
        }) => current.revision,
        written => written?,
    };
    let change = Change {
        key,
        value: Some(value),
        revision,
    };
    store_watch::apply(relay, era, &change);
    Ok(())
}
