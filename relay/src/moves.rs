//! Ends moves of services in time, and records their ends in the store for the operators.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use medlarfall_runtime::store::{Change, Error, Store};

use crate::codec::{Codec, Record};
use crate::state::{Ended, Relay};
use crate::store_watch::within;

/// Time between two looks at moves that are under way.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time in which changes of moves gather.
const GATHER: Duration = Duration::from_millis(1);

/// Drives the moves for ever. Only entries that read the store record ends: the others' would say
/// the same, and each call is paid for.
pub async fn run<D: Codec, S: Store>(relay: Arc<Relay<D>>, store: S) {
    loop {
        if !relay.conclude_moves() {
            relay.moves_changed.notified().await;
            continue;
        }
        if relay.reads.load(Ordering::Relaxed) {
            for ended in relay.unrecorded_moves() {
                record(&relay, &store, &ended).await;
            }
        }
        let _ = timeout(INTERVAL, relay.moves_changed.notified()).await;
        // Several changes go into one look.
        sleep(GATHER).await;
    }
}

/// Records the end of a move, unless another end of it is recorded: that one holds.
async fn record<D: Codec, S: Store>(relay: &Relay<D>, store: &S, ended: &Ended) {
    let Ended {
        service,
        order,
        good,
    } = ended;
    let (key, value) = relay.codec.move_status(service, &order.version, *good);
    relay.metrics.store_calls.inc();
    let mut written = within(Duration::ZERO, store.put(&key, value.clone(), 0, None)).await;
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
                if version == order.version && current.revision > order.revision =>
            {
                relay.move_recorded(service, &version, good, current.revision);
                return;
            }
            _ => {
                relay.metrics.store_calls.inc();
                let writing = store.put(&key, value, current.revision, None);
                written = within(Duration::ZERO, writing).await;
            }
        }
    }
    match written {
        Ok(revision) => {
            relay.move_recorded(service, &order.version, *good, revision);
            log::info!(service = &**service, version = &*order.version, good = *good; "operators told of a move's end");
        }
        Err(error) => {
            let reason = error.to_string();
            log::warn!(service = &**service, reason = reason.as_str(); "operators not told of a move's end yet");
        }
    }
}
