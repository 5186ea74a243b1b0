//! The backup copy of a run's memory: where it is made, and when it is used.

use std::sync::Arc;

use crate::backup;
use crate::codec::{Backup, Codec};
use crate::state::{Backend, Wanted};

use super::Stream;

impl<D: Codec> Stream<D> {
    /// Takes the run's copy, if there is one and its holder still has it. A run that has made no
    /// event has none.
    pub(super) fn take_copy(&mut self) -> Option<(Arc<Backend>, Option<Backup>)> {
        let keeper = self.keeper.take();
        let backup = self.backup.take();
        if !self.begun {
            return None;
        }
        if let Some(keeper) = keeper.filter(|keeper| self.relay.listed(&keeper.holder)) {
            let copy = keeper.copy();
            let holder = Arc::clone(&keeper.holder);
            return copy.map(|copy| (holder, Some(copy)));
        }
        let backup = backup.filter(|backup| self.relay.listed(backup))?;
        let copy = Backup {
            holder: backup.server.address,
            handle: Arc::clone(&self.job.original.request_id),
        };
        Some((backup, Some(copy)))
    }

    /// Has the run's memory copied elsewhere if the server that held the copy has gone.
    pub(super) fn keep_copy(&mut self, source: &Arc<Backend>) {
        let holder = match (&self.keeper, &self.backup) {
            (Some(keeper), _) => &keeper.holder,
            (None, Some(backup)) => backup,
            (None, None) => return,
        };
        if self.relay.current(holder) || !self.relay.current(source) {
            return;
        }
        self.backup = None;
        if let Some(replaced) = self.keeper.take() {
            replaced.free(&self.relay);
        }
        self.keeper = self.choose_backup(source).map(|holder| {
            let request_id = &self.job.original.request_id;
            backup::keep(&self.relay, request_id, source, holder)
        });
    }

    /// Chooses a server in another failure domain to keep a backup copy.
    pub(super) fn choose_backup(&self, primary: &Backend) -> Option<Arc<Backend>> {
        if !self.backups() {
            return None;
        }
        let mut not = self.lost.clone();
        not.push(Arc::clone(&primary.server.id));
        let mut outside = vec![Arc::clone(&primary.server.failure_domain)];
        outside.extend(self.lost_domain.clone());
        let wanted = Wanted {
            not: &not,
            version: Some(&primary.server.version),
            lot: self.job.lot().rotate_left(17),
            ..self.wanted(&outside)
        };
        let backup = self.relay.choose(Wanted {
            distance: 0.0,
            ..wanted
        })?;
        let apart = backup.server.failure_domain != primary.server.failure_domain;
        apart.then_some(backup)
    }
}
