//! Drops servers whose registration lapsed in an outage of the store, as soon as the grace period after the
//! outage is over. Calls to the store may take longer than that.

use std::sync::Arc;

use tokio::time::timeout_at;

use crate::codec::Codec;
use crate::state::Relay;

/// Drops such servers until the task is aborted.
pub async fn run<C: Codec>(relay: Arc<Relay<C>>) {
    let mut changed = relay.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let change = changed.changed();
        let Some(due) = relay.next_expiry() else {
            let _ = change.await;
            continue;
        };
        let over = timeout_at(relay.clock.instant(due), change).await.is_err();
        if over {
            relay.expire_servers();
        }
    }
}
