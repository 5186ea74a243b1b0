//! Continues a stream at another server after its run was lost.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::http::response::Parts;

use crate::attempt::Guard;
use crate::codec::Codec;
use crate::state::Backend;

use super::silence::INTERRUPTION_LIMIT;
use super::{Opened, Run, Stream};

/// Pause before the search starts again.
const SEARCH_PAUSE: Duration = Duration::from_millis(200);

/// The run and the connection that a stream's events come from.
pub(super) struct Source<C: Codec> {
    /// Head of the response, until it has been sent to the caller.
    pub(super) head: Option<Parts>,
    /// Rest of the response.
    pub(super) body: Incoming,
    /// The run.
    pub(super) run: Run<C>,
    #[expect(
        dead_code,
        reason = "dropped with the source, which ends the connection"
    )]
    guard: Guard,
}

impl<C: Codec> Source<C> {
    /// Returns a source of events.
    pub(super) fn new(run: Run<C>, guard: Guard, head: Parts, body: Incoming) -> Self {
        Self {
            head: Some(head),
            body,
            run,
            guard,
        }
    }
}

impl<C: Codec> Stream<C> {
    /// Opens a run that continues after the last event. `cause` is why the run before it ended.
    pub(super) async fn resume(&mut self, cause: &'static str) -> Result<Source<C>, &'static str> {
        let search_until = self.relay.clock.now() + INTERRUPTION_LIMIT;
        loop {
            let opened = match self.open().await {
                Ok(opened) => opened,
                Err(_) if self.may_search_again(search_until) => {
                    tokio::time::sleep(SEARCH_PAUSE).await;
                    continue;
                }
                Err(refusal) => {
                    log::info!(
                        request = &*self.job.original.request_id, cause,
                        reason = refusal.reason.name();
                        "stream not resumed"
                    );
                    return Err(cause);
                }
            };
            let Opened { run, answer } = opened;
            let (head, body) = answer.response.into_parts();
            if head.status.is_success() {
                return Ok(Source::new(run, answer.guard, head, body));
            }
            log::info!(
                request = &*self.job.original.request_id, server = &*run.backend.server.id,
                status = head.status.as_u16();
                "resume failed"
            );
            if !self.may_retry() {
                return Err("error_response");
            }
            self.excluded.push(Arc::clone(&run.backend.server.id));
        }
    }

    /// Returns whether a further search for a server can find one. A caller that has had the head of the
    /// answer can't be refused; another one may do better through another entry.
    fn may_search_again(&self, search_until: Duration) -> bool {
        let blocked = self.relay.refused_for(&self.job.fingerprint);
        let begun = self.first_event_at.is_some();
        begun && self.may_retry() && blocked.is_none() && self.relay.clock.now() < search_until
    }

    /// Records and logs that the stream leaves a server.
    pub(super) fn record_leave(
        &mut self,
        failed: &Arc<Backend>,
        cause: &'static str,
        now: Duration,
    ) {
        self.excluded = vec![Arc::clone(&failed.server.id)];
        self.avoided_domains = vec![Arc::clone(&failed.server.failure_domain)];
        self.resumes += 1;
        self.relay.metrics.count_resume(cause);
        match cause {
            "silent" => self.silences += 1,
            // A run at a lost server does not count against the route's attempts.
            "server_lost" => self.ran -= 1,
            _ => {}
        }
        if cause != "silent" {
            self.relay.record_unreachable(failed);
        }
        log::info!(
            request = &*self.job.original.request_id, server = &*failed.server.id,
            failure_domain = &*failed.server.failure_domain, version = &*failed.server.version, cause,
            last_event = self.last_event.unwrap_or(0),
            silent_ms = now.saturating_sub(self.last_event_at).as_millis(),
            copy = self.backup.as_ref().map_or("", |backup| &*backup.backend.server.id),
            run_events = self.run_events, parts = self.job.parts_text().as_str();
            "stream leaves its server"
        );
    }
}
