//! Backups of a run's KV cache: which server holds one, when it is used, and the memory that a run needs.

use std::sync::Arc;

use medlarfall_coordination::server_memory;

use crate::backup::{self, Holder};
use crate::codec::{Backup, Codec};
use crate::state::{Backend, Criteria, Measure};

use super::Stream;

/// Part of a prompt's length that the generated events usually take in memory.
const GENERATED_PART: u64 = 7;

impl<C: Codec> Stream<C> {
    /// Returns the memory that the stream needs, if the service's servers are scaled to their load and have
    /// little spare memory.
    pub(super) fn memory_demand(&self) -> Option<server_memory::Demand> {
        let service = self.job.table.service(&self.job.service)?;
        let prompt_tokens = self.job.head.prompt_tokens?;
        (service.autoscaling.is_some() && service.memory_tokens > 0).then_some(
            server_memory::Demand {
                request_tokens: prompt_tokens + prompt_tokens / GENERATED_PART,
                memory_tokens: service.memory_tokens,
            },
        )
    }

    /// Removes and returns the run's backup and its holder, if the holder is still listed, not paused,
    /// and of a version that is in use. A run that has sent no event has no usable backup.
    pub(super) fn take_backup(&mut self) -> Option<(Arc<Backend>, Option<Backup>)> {
        let replacement = self.replacement.take();
        let server = self.backup.take().map(|holder| Arc::clone(&holder.backend));
        if self.run_events == 0 {
            return None;
        }
        let usable = |holder: &Arc<Backend>| {
            self.relay.is_listed(holder)
                && !self.relay.is_paused(holder)
                && self.relay.is_version_in_use(holder)
        };
        if let Some(replacement) =
            replacement.filter(|replacement| usable(&replacement.holder.backend))
        {
            let backup = replacement.backup();
            let holder = Arc::clone(&replacement.holder.backend);
            return backup.map(|backup| (holder, Some(backup)));
        }
        let server = server.filter(usable)?;
        let backup = Backup {
            address: server.server.address,
            handle: Arc::clone(&self.job.original.request_id),
        };
        Some((server, Some(backup)))
    }

    /// Starts a replacement backup on another server if the holder of the current one is gone.
    pub(super) fn maintain_backup(&mut self, source: &Arc<Backend>) {
        let holder = match (&self.replacement, &self.backup) {
            (Some(replacement), _) => &replacement.holder.backend,
            (None, Some(backup)) => &backup.backend,
            (None, None) => return,
        };
        if self.relay.is_current(holder) || !self.relay.is_current(source) {
            return;
        }
        self.backup = None;
        if let Some(replaced) = self.replacement.take() {
            replaced.free(&self.relay);
        }
        self.replacement = self.choose_backup(source).map(|holder| {
            let holder = self.hold_backup(holder);
            let request_id = &self.job.original.request_id;
            backup::maintain(&self.relay, request_id, source, holder)
        });
    }

    /// Counts a backup of the stream at the server that holds it.
    pub(super) fn hold_backup(&self, backend: Arc<Backend>) -> Holder {
        Holder::start(backend, self.memory_demand().is_some())
    }

    /// Chooses a server in another failure domain to hold a backup.
    pub(super) fn choose_backup(&self, primary: &Backend) -> Option<Arc<Backend>> {
        if !self.has_backups() {
            return None;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(Arc::clone(&primary.server.id));
        let mut avoided_domains = vec![Arc::clone(&primary.server.failure_domain)];
        avoided_domains.extend(self.avoided_domains.iter().cloned());
        let criteria = self.criteria(&avoided_domains);
        let by_memory = self.memory_demand().map(Measure::BackupMemory);
        let criteria = Criteria {
            excluded: &excluded,
            version: Some(&primary.server.version),
            request_hash: self.job.request_hash().rotate_left(17),
            measure: by_memory.unwrap_or(criteria.measure),
            ..criteria
        };
        let backup = self.relay.choose(Criteria {
            remote_penalty: 0.0,
            ..criteria
        })?;
        let apart = backup.server.failure_domain != primary.server.failure_domain;
        apart.then_some(backup)
    }
}
