//! Cancelling attempts on engines that may not answer for a while.

use std::sync::Arc;
use std::time::Duration;

use crate::backend::{Engine, Reference, Server};
use crate::context::Context;

/// Timeout of one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after the first try; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Tries before the engine is left to end an attempt that nobody reads.
const TRIES: u32 = 8;

/// Cancels an attempt without waiting, and again until the engine answers or has left the list.
pub(super) fn start(context: &Arc<Context>, server: &Server, reference: Reference) {
    let context = Arc::clone(context);
    let server = server.clone();
    let stop = context.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = keep_trying(&context, &server, &reference) => {}
        }
    });
}

/// Tries to cancel until the engine answers.
async fn keep_trying(context: &Context, server: &Server, reference: &Reference) {
    for attempt in 0..TRIES {
        let cancel = context.backend.cancel(server, reference);
        let listed = context.directory.borrow().find(&server.name).is_some();
        let answered = tokio::time::timeout(TRY_TIMEOUT, cancel).await;
        if matches!(answered, Ok(Ok(()))) || !listed {
            return;
        }
        tokio::time::sleep(FIRST_PAUSE * 2_u32.pow(attempt)).await;
    }
}
