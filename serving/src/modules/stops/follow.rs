//! Following the planned stops in the store, and what they mean for this entry itself.

use std::time::Duration;

use medlarfall_schema::declaration::Stop;

use super::{Leave, PREFIX};
use crate::context::Context;
use crate::platform::{Error, Store};

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Lists the planned stops, then follows their changes, for ever.
pub(super) async fn store(context: &Context) {
    loop {
        if let Err(error) = changes(context).await {
            log::warn!(error:% = error; "planned stops cannot be read; those known stay in force");
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Lists the planned stops, then follows their changes until a call fails.
async fn changes(context: &Context) -> Result<(), Error> {
    let listing = context.platform.list(PREFIX).await?;
    take(context, listing.items.into_iter().map(|item| item.value));
    let mut revision = listing.revision;
    let timeout = context.settings.platform.watch_timeout;
    loop {
        let changes = context.platform.watch(PREFIX, revision, timeout).await?;
        let values = changes
            .changes
            .into_iter()
            .filter_map(|change| change.value);
        take(context, values);
        revision = changes.revision;
    }
}

/// Takes stops as they stand in the store.
fn take(context: &Context, values: impl Iterator<Item = String>) {
    let stops = values.filter_map(|value| match serde_json::from_str::<Stop>(&value) {
        Ok(stop) => Some(stop),
        Err(error) => {
            log::error!(error:% = error; "a stored stop cannot be read");
            None
        }
    });
    context.stops.record(stops, context.clock);
}

/// Leaves when a planned stop covers this entry, and stays when it is cancelled.
pub(super) async fn own(context: &Context) {
    let entry = &context.settings.entry;
    let policy = context.settings.stops.policy;
    let mut declared = context.stops.declared();
    let mut before = None;
    loop {
        let planned = declared
            .borrow_and_update()
            .of_entry(&entry.name, &entry.failure_domain)
            .map(|planned| Leave {
                until: policy.latest(planned.date),
            });
        if planned != before {
            context.stops.own.send_replace(planned);
            before = planned;
        }
        if declared.changed().await.is_err() {
            return;
        }
    }
}
