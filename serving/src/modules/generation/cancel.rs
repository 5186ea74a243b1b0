//! Cancellation of attempts on engines, with retries for an engine that does not respond.

use std::sync::Arc;
use std::time::Duration;

use super::Running;
use crate::backend::{Engine, Reference, Server};
use crate::context::Context;
use crate::modules::admission::Permit;

/// Timeout of one cancel request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after the first cancel request; it doubles after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Most cancel requests for one attempt; the engine ends an attempt without a reader on its own.
const MAX_REQUESTS: u32 = 8;

/// Longest time for which an engine continues a generation without a reader.
const ORPHAN_GRACE: Duration = Duration::from_secs(5);

/// Cancels an attempt in the background, with up to [`MAX_REQUESTS`] requests until the engine
/// confirms it or is no longer listed.
///
/// The engine's memory stays reserved until then, and without a confirmation for [`ORPHAN_GRACE`]
/// longer, after which the engine has ended the attempt.
pub(super) fn start(context: &Arc<Context>, running: Running, reference: Reference) {
    let context = Arc::clone(context);
    let stop = context.stop.clone();
    tokio::spawn(async move {
        let cancelling = async {
            if !cancel_with_retries(&context, &running.server, &reference).await {
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

/// Keeps memory reserved for as long as the engine may continue without a reader.
pub(super) fn release_after_grace(context: &Context, permit: Permit) {
    let stop = context.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = tokio::time::sleep(ORPHAN_GRACE) => {}
        }
        drop(permit);
    });
}

/// Sends cancel requests until the engine confirms one; returns whether it did.
async fn cancel_with_retries(context: &Context, server: &Server, reference: &Reference) -> bool {
    for attempt in 0..MAX_REQUESTS {
        let cancel = context.backend.cancel(server, reference);
        let answered = tokio::time::timeout(REQUEST_TIMEOUT, cancel).await;
        if matches!(answered, Ok(Ok(()))) {
            return true;
        }
        let listed = context.directory.borrow().find(&server.name).is_some();
        if !listed {
            return false;
        }
        tokio::time::sleep(INITIAL_BACKOFF * 2_u32.pow(attempt)).await;
    }
    false
}
