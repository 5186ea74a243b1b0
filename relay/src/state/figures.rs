//! What is measured when the metrics are asked for.

use medlarfall_runtime::logging;

use crate::dialect::Dialect;
use crate::metrics::Figures;

use super::Relay;

impl<D: Dialect> Relay<D> {
    /// Notes that the list of servers is whole as of now: this entry read the store, or a reader
    /// told that nothing is newer.
    pub fn servers_known(&self) {
        let now = self.clock.now();
        self.beliefs(|beliefs| beliefs.servers_at = now);
    }

    /// Returns the metrics as text.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let now = self.clock.now();
        let figures = self.beliefs(|beliefs| Figures {
            configuration_age: now.saturating_sub(beliefs.table_at),
            servers_age: now.saturating_sub(beliefs.servers_at),
            held_bytes: self.memory.reserved(),
            entries: beliefs.peers.len(),
            servers: beliefs
                .backends
                .iter()
                .map(|(service, backends)| (service.to_string(), backends.len()))
                .collect(),
        });
        self.metrics.set(&figures, logging::losses());
        self.metrics.text()
    }
}
