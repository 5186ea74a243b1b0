//! Which server holds an address, of several that are registered there.
//!
//! An address is given to another server some time after its server has ended, and the registration of the
//! earlier one may still be there. All registrations are kept, and the holder is derived from them and from
//! the configuration: the registration of a service that is not configured names no server to use, and takes
//! no address from one that is. So a removal brings the other registration back, and the order in which
//! changes and configurations arrive does not matter.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::history::Revision;

use super::{Record, Registry};

/// Names of the servers that are registered at each address.
#[derive(Clone, Debug, Default)]
pub(super) struct Addresses(HashMap<SocketAddr, Vec<Arc<str>>>);

impl Addresses {
    fn at(&self, address: SocketAddr) -> &[Arc<str>] {
        self.0.get(&address).map_or(&[], Vec::as_slice)
    }

    fn add(&mut self, address: SocketAddr, id: &Arc<str>) {
        self.0.entry(address).or_default().push(Arc::clone(id));
    }

    fn remove(&mut self, address: SocketAddr, id: &str) {
        let Some(ids) = self.0.get_mut(&address) else {
            return;
        };
        ids.retain(|other| **other != *id);
        if ids.is_empty() {
            self.0.remove(&address);
        }
    }
}

/// Registrations that are not in use, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Unused {
    /// Their service is not configured.
    pub service: usize,
    /// Another server holds their address.
    pub address: usize,
}

impl Registry {
    /// Sets the services that are configured; until then every service counts as configured. Returns whether
    /// they changed.
    pub fn set_services<'name>(&mut self, names: impl Iterator<Item = &'name Arc<str>>) -> bool {
        let services: HashSet<Arc<str>> = names.cloned().collect();
        let changed = self.services.as_ref() != Some(&services);
        self.services = Some(services);
        changed
    }

    pub(super) fn is_configured(&self, service: &str) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Inserts a record, or replaces the one of the same server.
    pub(super) fn insert(&mut self, record: Record) {
        let id = Arc::clone(&record.server.id);
        self.take(&id);
        self.addresses.add(record.server.address, &id);
        self.records.insert(id, record);
    }

    /// Removes and returns a record.
    pub(super) fn take(&mut self, id: &str) -> Option<Record> {
        let record = self.records.remove(id)?;
        self.addresses.remove(record.server.address, id);
        Some(record)
    }

    /// Returns the records at an address, the one with the earliest claim first.
    fn claims(&self, address: SocketAddr) -> Vec<&Record> {
        let ids = self.addresses.at(address).iter();
        let mut records: Vec<&Record> = ids.filter_map(|id| self.records.get(id)).collect();
        records.sort_by_key(|record| (record.claim, record.found, Arc::clone(&record.server.id)));
        records
    }

    /// Returns the server that holds an address: of those whose service is configured, the one that claimed it
    /// last, unless one before it started later.
    #[must_use]
    pub fn holder(&self, address: SocketAddr) -> Option<&Arc<str>> {
        // Mostly there is one.
        if let [id] = self.addresses.at(address) {
            let server = &self.records.get(id)?.server;
            return self.is_configured(&server.service).then_some(&server.id);
        }
        let claims = self.claims(address).into_iter();
        let mut claims = claims.filter(|record| self.is_configured(&record.server.service));
        let first = claims.next()?;
        let holder = claims.fold(first, |holder, next| {
            let starts = holder.server.started_ms.zip(next.server.started_ms);
            match starts {
                Some((holds, claims)) if holds > claims && !next.found => holder,
                _ => next,
            }
        });
        Some(&holder.server.id)
    }

    /// Returns whether a record is that of the server that holds its address.
    pub(super) fn holds(&self, record: &Record) -> bool {
        let holder = self.holder(record.server.address);
        holder.is_some_and(|holder| *holder == record.server.id)
    }

    /// Returns the latest claim to an address.
    pub(super) fn latest_claim(&self, address: SocketAddr) -> Revision {
        let claims = self.claims(address);
        claims.last().map(|record| record.claim).unwrap_or_default()
    }

    /// Returns the servers that are registered at the address of `id`, also those that are not in use.
    #[must_use]
    pub fn neighbours(&self, id: &str) -> Vec<Arc<str>> {
        let record = self.records.get(id);
        record.map_or_else(Vec::new, |record| self.neighbours_at(record.server.address))
    }

    /// Returns the servers that are registered at an address.
    pub(super) fn neighbours_at(&self, address: SocketAddr) -> Vec<Arc<str>> {
        self.addresses.at(address).to_vec()
    }

    /// Returns the numbers of registrations that are not in use.
    #[must_use]
    pub fn unused(&self) -> Unused {
        let mut unused = Unused::default();
        for record in self.records.values() {
            if !self.is_configured(&record.server.service) {
                unused.service += 1;
            } else if !self.holds(record) {
                unused.address += 1;
            }
        }
        unused
    }
}
