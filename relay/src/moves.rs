//! Ends moves of services when they are due, and records their ends in the store for the operators.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use medlarfall_coordination::history::Revision;
use medlarfall_runtime::store::{Change, Error, Store};

use crate::codec::{Codec, Record};
use crate::metrics::StoreCall;
use crate::state::{MoveEnd, Relay};
use crate::store_watch::with_timeout;

/// Time between two checks of the moves in progress.
const INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a change, so that one check covers several changes.
const COALESCE: Duration = Duration::from_millis(1);

/// Drives the moves until the task is aborted. Only entries that read the store record ends: the
/// others would write the same, and each store call has a cost.
pub async fn run<C: Codec, S: Store>(relay: Arc<Relay<C>>, store: S) {
    loop {
        if !relay.conclude_moves() {
            relay.moves_changed.notified().await;
            continue;
        }
        if relay.reads_store.load(Ordering::Relaxed) {
            for ended in relay.unrecorded_moves() {
                record(&relay, &store, &ended).await;
            }
        }
        let _ = timeout(INTERVAL, relay.moves_changed.notified()).await;
        sleep(COALESCE).await;
    }
}

/// Records the end of a move, unless another entry has recorded one; that one is then adopted.
async fn record<C: Codec, S: Store>(relay: &Relay<C>, store: &S, ended: &MoveEnd) {
    let MoveEnd {
        service,
        order,
        good,
    } = ended;
    let era = relay.store_era();
    let revision = |number| Revision { era, number };
    let (key, value) = relay.codec.move_status(service, &order.version, *good);
    relay.metrics.count_store_call(StoreCall::MoveEnd);
    let mut written = with_timeout(Duration::ZERO, store.put(&key, value.clone(), 0, None)).await;
    if let Err(Error::Conflict {
        current: Some(current),
    }) = &written
    {
        let change = Change {
            key: current.key.clone(),
            value: Some(current.value.clone()),
            revision: current.revision,
        };
        match relay.codec.decode_record(&change) {
            Ok(Record::MoveEnd { version, good, .. })
                if version == order.version && revision(current.revision) > order.revision =>
            {
                relay.record_move_end(service, &version, good, revision(current.revision));
                return;
            }
            _ => {
                relay.metrics.count_store_call(StoreCall::MoveEnd);
                let writing = store.put(&key, value, current.revision, None);
                written = with_timeout(Duration::ZERO, writing).await;
            }
        }
    }
    match written {
        Ok(number) => {
            relay.record_move_end(service, &order.version, *good, revision(number));
            log::info!(service = &**service, version = &*order.version, good = *good; "end of a move recorded for the operators");
        }
        Err(error) => {
            let reason = error.to_string();
            log::warn!(service = &**service, reason = reason.as_str(); "end of a move not recorded yet");
        }
    }
}
