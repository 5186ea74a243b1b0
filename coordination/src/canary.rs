//! The move of a service to another version, decided by each entry from its own observations and
//! its peers' reports.
//!
//! The operators' order names the new version (the canary) and the duration of the move. In the
//! trial phase a few requests go to the canary, about half of the requests that a bad version may
//! receive. Their outcomes are reported to all entries and compared with those of the version in
//! force (the baseline). A canary that performs worse receives no more requests. Otherwise all
//! requests are shifted to it shortly before the end, so that few are still at the baseline servers
//! when these stop, and the canary is declared good at the end.
//!
//! The entries need no consensus: each uses its own share of the requests that a bad version may
//! receive, and an entry that rejects the canary reports this to the others.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::evidence::{Cohort, Evidence, Observation, Tally, Tolerance};
use crate::history::Revision;

mod order;

pub use order::{Order, Reading};

/// Share of the planned requests to the canary that the trial phase uses; the rest is for the shift
/// at the end of the move.
const TRIAL_SHARE: f64 = 0.6;

/// Share of the allowed requests that is planned for: requests in flight are counted late.
const PLANNED_SHARE: f64 = 0.82;

/// Share of the allowed requests that is never exceeded: retries are not counted here.
const MAX_SHARE: f64 = 0.95;

/// Responses of the canary after which all of its durations are compared once more.
const LOOK_INTERVAL: u64 = 8;

/// Time before the end of the move at which it is decided, so that the operators receive the verdict
/// in time.
const DECISION_MARGIN: Duration = Duration::from_millis(600);

/// Shortest time over which the request rate is measured before the final shift is planned.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(2);

/// Time for which an entry that does not know the age of the order waits for a peer's report.
const ORDER_AGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after a good end for which baseline servers may still be running.
const BASELINE_STOP_GRACE: Duration = Duration::from_secs(5);

/// Maximum number of observations of the canary that an entry reports.
const CANARY_REPORT_LIMIT: usize = 256;

/// Observations of the baseline that an entry may report, as an initial number and a number added
/// each second. An entry of a large fleet has too few of its own for the comparison.
const BASELINE_REPORT_LIMIT: (u32, u32) = (8, 2);

/// Limits on the requests that a bad version may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Share of the service's requests during the move.
    pub share: f64,
    /// Further requests, over all entries.
    pub slack: f64,
}

/// How a move ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The new version stays in use.
    Good,
    /// The old version stays in use.
    Bad {
        /// Reason for the rejection.
        reason: Arc<str>,
    },
}

/// An entry's report to its peers about a move.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Revision of the order.
    pub revision: Revision,
    /// Time since the order, in milliseconds; `None` if the entry does not know it.
    pub age_ms: Option<u64>,
    /// How the move ended, if it has ended.
    pub verdict: Option<Verdict>,
    /// Position of the first observation among all that the entry reports.
    pub first: u32,
    /// The entry's observations of the canary, and some of its observations of the baseline.
    pub observations: Vec<Observation>,
}

/// The state of a move at one entry.
#[derive(Clone, Debug)]
pub struct Canary {
    order: Order,
    bounds: Bounds,
    offset: f64,
    created_at: Duration,
    ordered_at: Option<Duration>,
    evidence: Evidence,
    /// Looks at all durations of the canary so far, one for each [`LOOK_INTERVAL`] responses.
    looks: u64,
    requests: u32,
    /// Requests sent to the new version.
    sent: u32,
    shifting: bool,
    verdict: Option<Verdict>,
    /// Whether the verdict is this entry's own for lack of proof, without evidence against the canary. A peer
    /// may have received more observations, so it is not reported.
    unproved: bool,
    observations: Vec<Observation>,
    baseline_reported: u32,
    received: HashMap<Arc<str>, usize>,
}

impl Canary {
    /// Returns the state of a newly ordered move. `issued_now` says that the order was issued just
    /// now; otherwise its age is taken from peers' reports. `offset`, uniform from 0 to 1 over the
    /// entries, is the rounding offset of this entry's share of the requests to a bad version, which
    /// is below one in a large fleet.
    #[must_use]
    pub fn new(order: Order, bounds: Bounds, offset: f64, issued_now: bool, now: Duration) -> Self {
        Self {
            order,
            bounds,
            offset,
            created_at: now,
            ordered_at: issued_now.then_some(now),
            evidence: Evidence::new(Tolerance::default(), 1),
            looks: 0,
            requests: 0,
            sent: 0,
            shifting: false,
            verdict: None,
            unproved: false,
            observations: Vec::new(),
            baseline_reported: 0,
            received: HashMap::new(),
        }
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Applies the order that is in force as the store has it after a restore.
    pub fn repeat(&mut self, order: Order) {
        self.order = order;
    }

    /// Returns how the move ended.
    #[must_use]
    pub fn verdict(&self) -> Option<&Verdict> {
        self.verdict.as_ref()
    }

    /// Returns the numbers of observations of the canary and of the baseline.
    #[must_use]
    pub fn tallies(&self) -> (Tally, Tally) {
        self.evidence.tallies()
    }

    /// Counts a new request and returns the cohort that serves it, or `None` after a good end, when
    /// the baseline servers have stopped. The requests that a bad version may receive are divided
    /// among `entries` entries.
    pub fn assign(&mut self, entries: u32, now: Duration) -> Option<Cohort> {
        self.requests = self.requests.saturating_add(1);
        if let Some(verdict) = &self.verdict {
            return self.cohort_after(verdict, now);
        }
        let Some(ordered_at) = self.ordered_at else {
            return Some(Cohort::Baseline);
        };
        self.shifting = self.shifting || self.may_shift(entries, now.saturating_sub(ordered_at));
        let limit = if self.shifting {
            MAX_SHARE * self.bad_version_limit(entries, f64::from(self.requests))
        } else {
            self.trial_limit(entries, now)
        };
        if f64::from(self.sent + 1) > limit + self.offset {
            return Some(Cohort::Baseline);
        }
        self.sent += 1;
        Some(Cohort::Canary)
    }

    /// Returns the cohort that serves a retry: the version that is known to work.
    #[must_use]
    pub fn assign_retry(&self, now: Duration) -> Option<Cohort> {
        match &self.verdict {
            Some(verdict) => self.cohort_after(verdict, now),
            None if self.shifting => Some(Cohort::Canary),
            None => Some(Cohort::Baseline),
        }
    }

    /// Returns the cohort that may serve a request now that was assigned one when it arrived. A request that
    /// waited follows the end of the move; one that arrived before the order (`None`) is not counted among
    /// those of the canary.
    #[must_use]
    pub fn reassign(&self, assigned: Option<Cohort>, now: Duration) -> Option<Cohort> {
        match &self.verdict {
            Some(verdict) => self.cohort_after(verdict, now),
            None => Some(assigned.unwrap_or(Cohort::Baseline)),
        }
    }

    /// Returns whether a version was taken back, so that nothing more may be sent to it.
    #[must_use]
    pub fn has_withdrawn(&self, version: &str) -> bool {
        matches!(self.verdict, Some(Verdict::Bad { .. })) && *self.order.version == *version
    }

    fn cohort_after(&self, verdict: &Verdict, now: Duration) -> Option<Cohort> {
        let ordered_at = self.ordered_at.unwrap_or(self.created_at);
        match verdict {
            Verdict::Bad { .. } => Some(Cohort::Baseline),
            Verdict::Good if now < ordered_at + self.order.duration + BASELINE_STOP_GRACE => {
                Some(Cohort::Canary)
            }
            Verdict::Good => None,
        }
    }

    /// Returns how many requests the trial phase may have sent to the canary by now.
    fn trial_limit(&self, entries: u32, now: Duration) -> f64 {
        let ordered_at = self.ordered_at.unwrap_or(now);
        let duration = self.order.duration.as_secs_f64().max(1e-3);
        let elapsed = (now.saturating_sub(ordered_at).as_secs_f64() / duration).min(1.0);
        let slack = self.bounds.slack / f64::from(entries.max(1)) * elapsed;
        TRIAL_SHARE * PLANNED_SHARE * (self.bounds.share * f64::from(self.requests) + slack)
    }

    /// Returns how many of `requests` a bad version may receive from this entry.
    fn bad_version_limit(&self, entries: u32, requests: f64) -> f64 {
        self.bounds.share * requests + self.bounds.slack / f64::from(entries.max(1))
    }

    /// Returns whether the canary has passed the trial phase so far, and all requests until the end
    /// of the move can go to it without exceeding the limit for a bad version.
    fn may_shift(&self, entries: u32, age: Duration) -> bool {
        if age < MIN_RATE_WINDOW.min(self.order.duration / 2) {
            return false;
        }
        let remaining = self.order.duration.saturating_sub(age).as_secs_f64();
        let expected = f64::from(self.requests) / age.as_secs_f64().max(1e-3) * remaining;
        let total = f64::from(self.requests) + expected;
        let limit = PLANNED_SHARE * self.bad_version_limit(entries, total) + self.offset;
        f64::from(self.sent) + expected <= limit && self.passed()
    }

    /// Returns whether the canary is proved sound and shows no sign of being worse.
    fn passed(&self) -> bool {
        self.evidence.unproved().is_none()
            && !self.evidence.suspect()
            && self.evidence.doubt().is_none()
    }

    /// Adds an observation that this entry made.
    pub fn observe(&mut self, observation: Observation, now: Duration) {
        if self.verdict.is_some() {
            return;
        }
        self.evidence.observe(&observation);
        let age = now.saturating_sub(self.ordered_at.unwrap_or(now)).as_secs();
        let seconds = u32::try_from(age).unwrap_or(u32::MAX);
        let baseline_limit = BASELINE_REPORT_LIMIT
            .0
            .saturating_add(BASELINE_REPORT_LIMIT.1.saturating_mul(seconds));
        let reported = match observation.cohort {
            Cohort::Canary => self.observations.len() < CANARY_REPORT_LIMIT,
            Cohort::Baseline => self.baseline_reported < baseline_limit,
        };
        if reported {
            self.baseline_reported += u32::from(observation.cohort == Cohort::Baseline);
            self.observations.push(observation);
        }
        self.check_evidence();
    }

    /// Merges a peer's report, whole or in part.
    pub fn receive(&mut self, peer: &Arc<str>, report: Report, now: Duration) {
        let own = self.order.revision;
        if report.revision.or_era(own.era) != own {
            return;
        }
        if let Some(age) = report.age_ms {
            let ordered_at = now.saturating_sub(Duration::from_millis(age));
            self.ordered_at = Some(
                self.ordered_at
                    .map_or(ordered_at, |known| known.min(ordered_at)),
            );
        }
        if self.verdict.is_some() {
            return;
        }
        let received = self.received.entry(Arc::clone(peer)).or_default();
        // A part that begins after what was received is left out; the report is repeated whole.
        let first = report.first as usize;
        let new = received.checked_sub(first);
        let new = new.and_then(|known| report.observations.get(known..));
        for observation in new.unwrap_or_default() {
            self.evidence.observe(observation);
            *received += 1;
        }
        match report.verdict {
            Some(Verdict::Bad { reason }) => self.verdict = Some(Verdict::Bad { reason }),
            _ => self.check_evidence(),
        }
    }

    /// Sets the verdict recorded in the store, which takes precedence over this entry's own.
    pub fn record(&mut self, verdict: Verdict) {
        self.unproved = false;
        self.verdict = Some(verdict);
    }

    fn check_evidence(&mut self) {
        let looks = self.evidence.requests() / LOOK_INTERVAL;
        let looked = std::mem::replace(&mut self.looks, looks);
        let certainty = (looks > looked)
            .then(|| self.evidence.certainty())
            .flatten();
        if let Some(reason) = self.evidence.rejection().or(certainty) {
            self.reject(&reason);
        }
    }

    fn reject(&mut self, reason: &str) {
        self.verdict = Some(Verdict::Bad {
            reason: Arc::from(reason),
        });
    }

    /// Ends the move if it is due, and returns whether it has ended by this call.
    pub fn conclude(&mut self, now: Duration) -> bool {
        if self.verdict.is_some() {
            return false;
        }
        let age = self
            .ordered_at
            .map(|ordered_at| now.saturating_sub(ordered_at));
        match age {
            None if now.saturating_sub(self.created_at) >= ORDER_AGE_TIMEOUT => {
                self.reject("all entries started again since the order, whose age is not known");
            }
            Some(age) if age + DECISION_MARGIN >= self.order.duration && self.passed() => {
                self.verdict = Some(Verdict::Good);
            }
            Some(age) if age + DECISION_MARGIN >= self.order.duration => {
                let answers = self.evidence.requests();
                let doubt = self.evidence.doubt();
                self.unproved = doubt.is_none() && !self.evidence.suspect();
                let gap = || self.evidence.unproved().map(|gap| gap.to_string());
                let reason = doubt.or_else(gap).map(|reason| format!(": {reason}"));
                let reason = reason.unwrap_or_default();
                self.reject(&format!(
                    "not proved sound in time by {answers} answers{reason}"
                ));
            }
            _ => return false,
        }
        true
    }

    /// Returns this entry's report to its peers.
    #[must_use]
    pub fn report(&self, now: Duration) -> Report {
        let age = self
            .ordered_at
            .map(|ordered_at| now.saturating_sub(ordered_at));
        Report {
            revision: self.order.revision,
            age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            verdict: self.verdict.clone().filter(|_| !self.unproved),
            first: 0,
            observations: self.observations.clone(),
        }
    }
}
