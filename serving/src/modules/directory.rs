//! Directory of known instances: the backend servers, and the addresses of the other entries'
//! peers' ports.
//!
//! The source is the platform's instance list. In each failure domain one entry reads the list
//! frequently and a second one less often; the others receive changes from their peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use medlarfall_coordination::revision::Record;
use serde::{Deserialize, Serialize};

use crate::backend::{Role, Server};
use crate::modules::replication::{Replica, View};
use crate::platform::Instance;

mod reader;

pub use reader::{Source, start};

/// Revision of an observation of one instance; the highest one is in force.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Stamp {
    /// Number that increases with each observed change.
    pub counter: u64,
    /// Number of the entry that observed the change, which breaks ties.
    pub writer: u64,
}

/// An instance as it was last listed, or nothing if it has been removed from the list.
pub type Observation = Option<Arc<Instance>>;

/// This entry's replica of the instance list.
pub type InstanceReplica = Replica<Stamp, Observation, Directory>;

/// Backend servers by service, and addresses of entries.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    services: BTreeMap<Arc<str>, Vec<Arc<Server>>>,
    entries: BTreeMap<Arc<str>, SocketAddr>,
}

impl Directory {
    /// Returns the backend servers of a service, including leaving ones.
    #[must_use]
    pub fn servers(&self, service: &str) -> &[Arc<Server>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.services.values().flatten()
    }

    /// Returns the backend server with a name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Arc<Server>> {
        self.iter().find(|server| server.name.as_ref() == name)
    }

    /// Returns the listed entries that are not leaving, with the addresses of their peers' ports.
    #[must_use]
    pub fn entries(&self) -> &BTreeMap<Arc<str>, SocketAddr> {
        &self.entries
    }

    /// Removes an instance.
    fn remove(&mut self, name: &str) {
        self.entries.remove(name);
        for servers in self.services.values_mut() {
            servers.retain(|server| server.name.as_ref() != name);
        }
        self.services.retain(|_, servers| !servers.is_empty());
    }

    /// Adds a backend server.
    fn insert(&mut self, server: Server) {
        let service = Arc::clone(&server.service);
        let servers = self.services.entry(service).or_default();
        servers.push(Arc::new(server));
    }
}

impl FromIterator<Server> for Directory {
    fn from_iter<I: IntoIterator<Item = Server>>(servers: I) -> Self {
        let mut directory = Self::default();
        for server in servers {
            directory.insert(server);
        }
        directory
    }
}

impl View<Stamp, Observation> for Directory {
    fn apply(&mut self, record: &Record<Stamp, Observation>) {
        self.remove(&record.key);
        let Some(instance) = &record.value else {
            return;
        };
        if let Ok(server) = Server::try_from(instance.as_ref().clone()) {
            return self.insert(server);
        }
        let entry = instance.role == "entry" && !instance.leaving;
        if let (true, Ok(address)) = (entry, instance.address.parse()) {
            self.entries.insert(Arc::clone(&record.key), address);
        }
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
