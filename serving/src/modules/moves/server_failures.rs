//! Distinguishes failures of a version from failures of one backend server that has crashed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::evidence::Cohort;

use super::Sample;

/// Consecutive failures of one backend server that count as evidence against its version. Further
/// ones count only if other servers of the version fail as well.
///
/// A backend server that has crashed is no evidence against the version that it served.
const CRASH_FAILURES: u32 = 2;

/// Recent outcomes of the attempts at one backend server.
#[derive(Clone, Copy, Debug)]
struct Streak {
    cohort: Cohort,
    /// Consecutive failures.
    failures: u32,
    /// Time of the first of the consecutive failures.
    since: Duration,
    /// Time of the last failure.
    last_failure: Option<Duration>,
    /// Time of the last success.
    last_success: Option<Duration>,
}

impl Streak {
    /// Returns the state of a server without a recorded attempt.
    fn new(cohort: Cohort) -> Self {
        Self {
            cohort,
            failures: 0,
            since: Duration::ZERO,
            last_failure: None,
            last_success: None,
        }
    }

    /// Records how an attempt ended; an attempt still in progress changes nothing.
    fn record(&mut self, failed: Option<bool>, now: Duration) {
        match failed {
            Some(true) if self.failures == 0 => {
                (self.failures, self.since, self.last_failure) = (1, now, Some(now));
            }
            Some(true) => {
                (self.failures, self.last_failure) = (self.failures.saturating_add(1), Some(now));
            }
            Some(false) => (self.failures, self.last_success) = (0, Some(now)),
            None => {}
        }
    }
}

/// Recent outcomes of the attempts at the backend servers of a service that is being moved.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerFailures(BTreeMap<Arc<str>, Streak>);

impl ServerFailures {
    /// Records a sample and returns whether the crash of its backend server alone explains it, so that
    /// it is no evidence: the server's attempts are interrupted repeatedly, and since the first of
    /// these failures another server of the version has succeeded, or no other one has failed.
    ///
    /// `sole_server` says that the server is the only one of its version; its failures always count.
    pub(super) fn explains(&mut self, sample: &Sample, sole_server: bool, now: Duration) -> bool {
        let cohort = sample.observation.cohort;
        let server = &sample.server;
        let streak = self
            .0
            .entry(Arc::clone(server))
            .or_insert(Streak::new(cohort));
        streak.record(sample.observation.failed, now);
        if streak.failures <= CRASH_FAILURES || sole_server || !sample.interrupted {
            return false;
        }
        let since = streak.since;
        let others = self.0.iter().filter(|(name, _)| *name != server);
        let mut others_fail = false;
        for (_, other) in others.filter(|(_, streak)| streak.cohort == cohort) {
            if other.last_success > Some(since) {
                return true;
            }
            others_fail |= other.last_failure > Some(since);
        }
        !others_fail
    }
}
