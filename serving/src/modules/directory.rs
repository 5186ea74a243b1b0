//! Backend servers that this entry knows of, read from the platform's instance list.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::backend::{Role, Server};
use crate::configs::platform::Platform;
use crate::platform::{Instance, Store};

/// Backend servers by service.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    services: BTreeMap<Arc<str>, Vec<Arc<Server>>>,
}

impl Directory {
    /// Returns the backend servers of a service, leaving ones included.
    #[must_use]
    pub fn servers(&self, service: &str) -> &[Arc<Server>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.services.values().flatten()
    }

    /// Returns the backend server of a name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Arc<Server>> {
        self.iter().find(|server| server.name.as_ref() == name)
    }
}

impl FromIterator<Server> for Directory {
    fn from_iter<I: IntoIterator<Item = Server>>(servers: I) -> Self {
        let mut services: BTreeMap<Arc<str>, Vec<Arc<Server>>> = BTreeMap::new();
        for server in servers {
            let service = Arc::clone(&server.service);
            services.entry(service).or_default().push(Arc::new(server));
        }
        Self { services }
    }
}

impl TryFrom<Instance> for Server {
    type Error = Instance;

    fn try_from(instance: Instance) -> Result<Self, Instance> {
        let role = match instance.role.as_str() {
            "engine" => Role::Engine,
            "service" => Role::Service,
            _ => return Err(instance),
        };
        let Ok(address) = instance.address.parse() else {
            return Err(instance);
        };
        Ok(Self {
            name: Arc::from(instance.name),
            role,
            service: Arc::from(instance.service),
            version: Arc::from(instance.version),
            address,
            failure_domain: Arc::from(instance.failure_domain),
            region: Arc::from(instance.region),
            memory_tokens: instance.memory_tokens,
            leaving: instance.leaving,
        })
    }
}

/// Starts the task that reads the instance list.
#[must_use]
pub fn start<S: Store>(
    store: S,
    settings: Platform,
    stop: CancellationToken,
) -> watch::Receiver<Arc<Directory>> {
    let (sender, receiver) = watch::channel(Arc::default());
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = keep_current(&store, settings, &sender) => {}
        }
    });
    receiver
}

/// Reads the instance list again and again; the last one read stays in force while it is down.
async fn keep_current<S: Store>(
    store: &S,
    settings: Platform,
    sender: &watch::Sender<Arc<Directory>>,
) {
    loop {
        match store.instances().await {
            Ok(instances) => {
                let servers = instances
                    .into_iter()
                    .filter_map(|instance| Server::try_from(instance).ok());
                sender.send_replace(Arc::new(servers.collect()));
            }
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "the instance list cannot be read");
            }
        }
        tokio::time::sleep(settings.instances_interval).await;
    }
}
