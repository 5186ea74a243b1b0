//! Gauges that are computed when the metrics are scraped.

use medlarfall_runtime::logging;

use crate::codec::Codec;
use crate::metrics::Gauges;

use super::Relay;

impl<C: Codec> Relay<C> {
    /// Records that the list of servers is complete as of now: this entry read the store, or a peer
    /// that reads it reported no newer revision.
    pub fn confirm_servers(&self) {
        let now = self.clock.now();
        self.view(|view| view.servers_confirmed_at = now);
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let now = self.clock.now();
        let lag = self.catch_up(|state, own, now| state.lag(own, now));
        let gauges = self.view(|view| Gauges {
            configuration_age: now.saturating_sub(view.table_at),
            servers_age: now.saturating_sub(view.servers_confirmed_at),
            held_bytes: self.memory.reserved(),
            entries: view.node.entries().saturating_sub(1) as usize,
            hub: view.node.is_hub(),
            limited_servers: view
                .backends
                .values()
                .flatten()
                .filter(|backend| backend.is_limited())
                .count(),
            connections: view
                .backends
                .iter()
                .map(|(service, backends)| {
                    let open = backends
                        .iter()
                        .map(|backend| backend.connections(|known| known.count()));
                    (service.to_string(), open.sum())
                })
                .collect(),
            servers: view
                .backends
                .iter()
                .map(|(service, backends)| (service.to_string(), backends.len()))
                .collect(),
            lag,
            unused: view.registry.unused(),
        });
        self.metrics.set_gauges(&gauges, logging::losses());
        self.metrics.text()
    }
}
