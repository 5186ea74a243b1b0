//! Search for the server of a stream's next attempt.

use std::sync::Arc;
use std::time::Duration;

use crate::codec::{Backup, Codec};
use crate::prompt_cache;
use crate::rediscover;
use crate::state::Backend;

use super::Stream;

/// Longest wait for a server to become known, as a fraction (1/n) of the target latency.
const SERVER_WAIT_FRACTION: u32 = 8;

impl<C: Codec> Stream<C> {
    /// Chooses the next server: the holder of the run's backup, or else any. Waits a short while if
    /// none is known, but not if some have refused the stream.
    pub(super) async fn next(&mut self) -> Option<(Arc<Backend>, Option<Backup>)> {
        if let Some(resumed) = self.take_backup() {
            return Some(resumed);
        }
        if let Some(backend) = self.relay.choose(self.criteria(&self.avoided_domains)) {
            return Some((backend, None));
        }
        // All known servers have failed the stream; those that did not refuse it may have recovered.
        self.excluded.clone_from(&self.refused_by);
        self.avoided_domains.clear();
        let longest = self.job.route.target_latency / SERVER_WAIT_FRACTION;
        let criteria = self.criteria(&[]);
        let wait = match self.relay.limit_wait(criteria) {
            Some(wait) if wait > longest => return None,
            Some(wait) => wait,
            None if self.refused_by.is_empty() => longest,
            None => Duration::ZERO,
        };
        let mut changed = self.relay.changed.subscribe();
        let known = changed.wait_for(|_| self.relay.choose(criteria).is_some());
        let _ = tokio::time::timeout(wait, known).await;
        Some((self.relay.choose(criteria)?, None))
    }

    /// Returns the server to send to instead of `chosen`: itself or its successor. Returns `None`
    /// if no server responds, if it is paused, if its version was taken back, or if a successor lacks the
    /// backup to resume from.
    pub(super) async fn confirm_server(
        &mut self,
        chosen: &Arc<Backend>,
        resume_from: Option<&Backup>,
    ) -> Option<Arc<Backend>> {
        let confirmed = rediscover::confirm(&self.relay, chosen).await;
        let same = |confirmed: &Arc<Backend>| confirmed.server.id == chosen.server.id;
        let confirmed = confirmed.filter(|confirmed| same(confirmed) || resume_from.is_none());
        let confirmed = confirmed.filter(|confirmed| {
            !self.relay.is_paused(confirmed) && self.relay.is_version_in_use(confirmed)
        });
        if confirmed.is_none() {
            self.excluded.push(Arc::clone(&chosen.server.id));
        }
        confirmed
    }

    /// Returns the server with the prompt in its cache, if the caller resumes a stream.
    pub(super) async fn find_cache_holder(&self) -> Option<Arc<Backend>> {
        let first = self.arrivals == 0 && self.resumable();
        let resumed = self.job.head.last_event.filter(|_| first);
        let part = resumed.and(self.job.head.last_part.as_deref())?;
        let request_id = &self.job.original.request_id;
        prompt_cache::find_holder(&self.relay, self.criteria(&[]), request_id, part).await
    }
}
