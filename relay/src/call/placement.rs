//! Placement of calls: the server of the next attempt, and the refusal if there is none.

use std::sync::Arc;
use std::time::Duration;

use crate::admission;
use crate::answer::{Reason, Refusal};
use crate::codec::{Codec, Dispatch};
use crate::ingress::{Job, SHORT_WAIT};
use crate::state::{Backend, Criteria, Measure, Relay};

use super::{FULL_PAUSE, Progress};

/// Load that is added to servers in another failure domain. Calls are short, so a free slot
/// elsewhere is worth the extra latency.
const REMOTE_PENALTY: f64 = 0.5;

/// Usual duration of a call, over which the weight of server reports decays.
const HORIZON: Duration = Duration::from_millis(100);

/// Retry delay when no server is known: a failure is detected within this time.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(250);

/// Returns the refusal of a call that no server accepted. Servers that have refused it can have capacity
/// before the pause of another one ends.
pub(super) fn refusal<C: Codec>(relay: &Relay<C>, job: &Job, progress: &Progress) -> Refusal {
    let (reason, pause) = match progress {
        progress if progress.ran > 0 => return Refusal::new(Reason::Lost),
        progress if progress.full => {
            let paced = admission::next_return(relay, job);
            (Reason::Full, paced.unwrap_or(FULL_PAUSE))
        }
        _ => (Reason::NoServer, NO_SERVER_PAUSE),
    };
    let criteria = criteria(relay, job, progress);
    let untried = relay.limit_wait(criteria);
    let all = relay.limit_wait(Criteria {
        excluded: &[],
        ..criteria
    });
    match all.or(untried.filter(|wait| *wait < pause)) {
        Some(wait) => {
            let pause = relay.limit_pause(&job.service, wait);
            Refusal::with_retry(Reason::Limited, pause)
        }
        None => Refusal::with_retry(reason, pause),
    }
}

/// Returns the criteria for the next server.
pub(super) fn criteria<'call, C: Codec>(
    relay: &Relay<C>,
    job: &'call Job,
    progress: &'call Progress,
) -> Criteria<'call> {
    Criteria {
        service: &job.service,
        excluded: &progress.tried,
        avoided_domains: &[],
        remote_penalty: REMOTE_PENALTY,
        measure: Measure::Calls { horizon: HORIZON },
        shared_parts: &[],
        cohort: if progress.tried.is_empty() {
            job.cohort
        } else {
            relay.assign_retry_cohort(&job.service)
        },
        version: None,
        request_hash: job.request_hash(),
    }
}

/// Chooses the next server. The first attempt waits up to [`SHORT_WAIT`] for one to become known, or to
/// take a request within its limit.
pub(super) async fn next<C: Codec>(
    relay: &Relay<C>,
    job: &Job,
    progress: &Progress,
) -> Option<Arc<Backend>> {
    let criteria = criteria(relay, job, progress);
    if let Some(backend) = relay.choose(criteria) {
        return Some(backend);
    }
    if !progress.tried.is_empty() {
        return None;
    }
    let limit_wait = relay.limit_wait(criteria);
    if limit_wait.is_some_and(|wait| wait > SHORT_WAIT) {
        return None;
    }
    let mut changed = relay.changed.subscribe();
    let known = changed.wait_for(|_| relay.choose(criteria).is_some());
    let _ = tokio::time::timeout(limit_wait.unwrap_or(SHORT_WAIT), known).await;
    relay.choose(criteria)
}

pub(super) fn dispatch<C: Codec>(relay: &Relay<C>, job: &Job, backend: &Backend) -> Dispatch {
    Dispatch {
        server: Arc::clone(&backend.server),
        account: job.account.as_ref().map(|a| Arc::clone(&a.name)),
        priority: job.priority(),
        remaining: job.deadline.saturating_sub(relay.clock.now()),
        backup_target: None,
        resume_from: None,
        last_event: None,
    }
}
