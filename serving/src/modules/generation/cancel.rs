//! Cancelling attempts on engines that may not answer for a while.

use std::sync::Arc;
use std::time::Duration;

use super::Running;
use crate::backend::{Engine, Reference, Server};
use crate::context::Context;
use crate::modules::admission::Permit;

/// Timeout of one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after the first try; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Tries before the engine is left to end an attempt that nobody reads.
const TRIES: u32 = 8;

/// Longest time that an engine goes on with a generation that nobody reads.
const ORPHAN_GRACE: Duration = Duration::from_secs(5);

/// Cancels an attempt without waiting, and again until the engine answers or has left the list. The
/// engine's memory stays reserved until then, or until the engine has given the attempt up by itself.
pub(super) fn start(context: &Arc<Context>, running: Running, reference: Reference) {
    let context = Arc::clone(context);
    let stop = context.stop.clone();
    tokio::spawn(async move {
        let cancelling = async {
            if !cancelled(&context, &running.server, &reference).await {
                tokio::time::sleep(ORPHAN_GRACE).await;
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = cancelling => {}
        }
        drop(running);
    });
}

/// Keeps memory reserved for as long as the engine may go on without a reader.
pub(super) fn outlast(context: &Context, permit: Permit) {
    let stop = context.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = tokio::time::sleep(ORPHAN_GRACE) => {}
        }
        drop(permit);
    });
}

/// Tries to cancel until the engine answers; returns whether it did.
async fn cancelled(context: &Context, server: &Server, reference: &Reference) -> bool {
    for attempt in 0..TRIES {
        let cancel = context.backend.cancel(server, reference);
        let answered = tokio::time::timeout(TRY_TIMEOUT, cancel).await;
        if matches!(answered, Ok(Ok(()))) {
            return true;
        }
        let listed = context.directory.borrow().find(&server.name).is_some();
        if !listed {
            return false;
        }
        tokio::time::sleep(FIRST_PAUSE * 2_u32.pow(attempt)).await;
    }
    false
}
