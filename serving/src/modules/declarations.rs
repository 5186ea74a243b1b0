//! Declarations in force at this entry, kept current by watching the platform's store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_schema::declaration::Service;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::configs::platform::Platform;
use crate::platform::{Error, Item, Store};

/// Prefix of the keys that hold declarations.
pub const PREFIX: &str = "declarations/";

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Declarations in force.
#[derive(Clone, Debug, Default)]
pub struct Declarations {
    /// Declarations by service.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// Whether the declarations have been read at least once.
    pub loaded: bool,
    /// Whether the store answered the last call.
    pub store_reachable: bool,
}

impl Declarations {
    /// Returns the declaration of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Takes a declaration unless a newer one is in force.
    fn take(&mut self, value: &str) {
        match serde_json::from_str::<Service>(value) {
            Ok(service) => self.insert(service),
            Err(error) => {
                log::error!(error = error.to_string().as_str(); "a stored declaration cannot be read");
            }
        }
    }

    /// Inserts a declaration unless a newer one is in force.
    fn insert(&mut self, service: Service) {
        let newest = self
            .services
            .get(service.name.as_str())
            .map_or(0, |held| held.revision);
        if service.revision > newest {
            self.services
                .insert(Arc::from(service.name.as_str()), Arc::new(service));
        }
    }
}

/// Starts the task that keeps the declarations current.
#[must_use]
pub fn start<S: Store>(
    store: S,
    settings: Platform,
    stop: CancellationToken,
) -> watch::Receiver<Arc<Declarations>> {
    let (sender, receiver) = watch::channel(Arc::default());
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = keep_current(&store, settings, &sender) => {}
        }
    });
    receiver
}

/// Lists the declarations, then follows their changes, for ever.
async fn keep_current<S: Store>(
    store: &S,
    settings: Platform,
    sender: &watch::Sender<Arc<Declarations>>,
) {
    loop {
        let followed = follow(store, settings, sender).await;
        if let Err(error) = followed {
            log::warn!(error = error.to_string().as_str(); "the store cannot be read; the declarations in force stay");
            publish(sender, |declarations| declarations.store_reachable = false);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Lists the declarations, then follows their changes until a call fails.
async fn follow<S: Store>(
    store: &S,
    settings: Platform,
    sender: &watch::Sender<Arc<Declarations>>,
) -> Result<(), Error> {
    let listing = store.list(PREFIX).await?;
    publish(sender, |declarations| {
        listing
            .items
            .iter()
            .for_each(|Item { value, .. }| declarations.take(value));
        declarations.loaded = true;
        declarations.store_reachable = true;
    });
    let mut revision = listing.revision;
    loop {
        let changes = store
            .watch(PREFIX, revision, settings.watch_timeout)
            .await?;
        publish(sender, |declarations| {
            let values = changes
                .changes
                .iter()
                .filter_map(|change| change.value.as_deref());
            values.for_each(|value| declarations.take(value));
        });
        revision = changes.revision;
    }
}

/// Changes the declarations and publishes them.
fn publish(sender: &watch::Sender<Arc<Declarations>>, change: impl FnOnce(&mut Declarations)) {
    sender.send_modify(|declarations| change(Arc::make_mut(declarations)));
}
