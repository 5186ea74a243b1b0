//! Which failures tell of a version, and which of one backend server that has died.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::evidence::Cohort;

use super::Sample;

/// Failures in a row of one backend server that count unless others of its version fail as well.
///
/// A backend server that has died is no evidence against the version that it served.
const FAILURES_IN_A_ROW: u32 = 2;

/// How one backend server has answered lately.
#[derive(Clone, Copy, Debug)]
struct Row {
    side: Cohort,
    /// Failures in a row.
    failures: u32,
    /// Time of the first of them.
    since: Duration,
    /// Time of the last failure.
    failed: Option<Duration>,
    /// Time of the last good answer.
    answered: Option<Duration>,
}

impl Row {
    /// Returns the row of a server of which nothing is known.
    fn new(side: Cohort) -> Self {
        Self {
            side,
            failures: 0,
            since: Duration::ZERO,
            failed: None,
            answered: None,
        }
    }

    /// Notes how an attempt ended.
    fn note(&mut self, failed: Option<bool>, now: Duration) {
        match failed {
            Some(true) if self.failures == 0 => {
                (self.failures, self.since, self.failed) = (1, now, Some(now));
            }
            Some(true) => {
                (self.failures, self.failed) = (self.failures.saturating_add(1), Some(now));
            }
            Some(false) => (self.failures, self.answered) = (0, Some(now)),
            None => {}
        }
    }
}

/// How the backend servers of a moving service have answered lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Rows(BTreeMap<Arc<str>, Row>);

impl Rows {
    /// Returns whether a sample tells no more than that one backend server has died: it is cut off
    /// again and again, and no other one of its version has failed meanwhile without an answer.
    ///
    /// `alone` says that it is the only one of its version.
    pub(super) fn dead(&mut self, sample: &Sample, alone: bool, now: Duration) -> bool {
        let side = sample.observation.cohort;
        let server = &sample.server;
        let row = self.0.entry(Arc::clone(server)).or_insert(Row::new(side));
        row.note(sample.observation.failed, now);
        if row.failures <= FAILURES_IN_A_ROW || alone || !sample.cut {
            return false;
        }
        let since = row.since;
        let others = self.0.iter().filter(|(name, _)| *name != server);
        let mut fails = false;
        for (_, other) in others.filter(|(_, row)| row.side == side) {
            if other.answered > Some(since) {
                return true;
            }
            fails |= other.failed > Some(since);
        }
        !fails
    }
}
