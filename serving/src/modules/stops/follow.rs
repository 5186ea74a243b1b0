//! Watches the planned stops in the store, and applies those that cover this entry itself.

use std::time::Duration;

use medlarfall_schema::declaration::Stop;

use super::{Leave, PREFIX};
use crate::context::Context;
use crate::platform::{Error, Store};

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Lists the stored planned stops and watches their changes; starts again after each failed call.
pub(super) async fn watch_store(context: &Context) {
    loop {
        if let Err(error) = list_and_watch(context).await {
            log::warn!(error:% = error; "planned stops could not be read from the store; continuing with the known ones");
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Lists the stored planned stops, then watches their changes until a call fails.
async fn list_and_watch(context: &Context) -> Result<(), Error> {
    let listing = context.platform.list(PREFIX).await?;
    record(context, listing.items.into_iter().map(|item| item.value));
    let mut revision = listing.revision;
    let timeout = context.settings.platform.watch_timeout;
    loop {
        let changes = context.platform.watch(PREFIX, revision, timeout).await?;
        let values = changes
            .changes
            .into_iter()
            .filter_map(|change| change.value);
        record(context, values);
        revision = changes.revision;
    }
}

/// Records stored stops; skips those that cannot be parsed.
fn record(context: &Context, values: impl Iterator<Item = String>) {
    let stops = values.filter_map(|value| match serde_json::from_str::<Stop>(&value) {
        Ok(stop) => Some(stop),
        Err(error) => {
            log::error!(error:% = error; "stored planned stop could not be parsed; ignoring it");
            None
        }
    });
    context.stops.record(stops, context.clock);
}

/// Marks this entry as leaving while a planned stop covers it, until that stop is cancelled.
pub(super) async fn watch_own_stop(context: &Context) {
    let entry = &context.settings.entry;
    let policy = context.settings.stops.policy;
    let mut declared = context.stops.declared();
    let mut last = None;
    loop {
        let leave = declared
            .borrow_and_update()
            .of_entry(&entry.name, &entry.failure_domain)
            .map(|planned| Leave {
                until: policy.latest(planned.date),
            });
        if leave != last {
            context.stops.own.send_replace(leave);
            last = leave;
        }
        if declared.changed().await.is_err() {
            return;
        }
    }
}
