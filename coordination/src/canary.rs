//! The move of a service to another version, as one entry decides on it with what its peers tell.
//!
//! The order names the new version and the time by which the move has to end. First a few requests
//! try the new version, as many as leave half of what a bad version may get. What they show is told
//! to all entries and compared with what the old version showed here. A version that proves worse
//! gets nothing more. One that does not gets all requests shortly before the end, so that few are
//! still at the old servers when these stop, and is declared good at the end.
//!
//! Nothing is agreed on: each entry takes its own part of what a bad version may get, and an entry
//! that finds evidence tells the others.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::evidence::{Cohort, Evidence, Observation, Tolerance};

/// Part of what a bad version may get that the trial takes; the rest is for the end of the move.
const TRIAL_PART: f64 = 0.5;

/// Part of what a bad version may get that is used at all: requests in flight are counted late.
const USED_PART: f64 = 0.85;

/// Part of what a bad version may get that is never exceeded: repeats are not counted here.
const MOST_PART: f64 = 0.95;

/// Fewest answers of a version that may be found good. Five good answers in a row come about once
/// in thirty times from a version that fails every other request.
const FEWEST: u64 = 5;

/// Time before the end of the move at which it is decided, so that the operators learn it in time.
const MARGIN: Duration = Duration::from_millis(600);

/// Shortest time after which the rate of requests is known well enough to plan the end.
const RATE_KNOWN: Duration = Duration::from_secs(2);

/// Time that an entry which did not see the order given waits for peers that did.
const AGE_WAIT: Duration = Duration::from_secs(3);

/// Time after a good end for which the old servers still count as there.
const OLD_STOP: Duration = Duration::from_secs(5);

/// Most observations of the new version that an entry tells.
const TOLD: usize = 256;

/// Observations of the old version that an entry tells at once, and each second: an entry of a
/// large fleet has too few of its own to compare with.
const OLD_TOLD: (u32, u32) = (8, 2);

/// What a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Share of the service's requests during the move.
    pub share: f64,
    /// Requests on top of that, over all entries.
    pub slack: f64,
}

/// The operators' order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The version to move to.
    pub version: Arc<str>,
    /// Revision of the order in the store.
    pub revision: u64,
    /// Time that the move may take.
    pub duration: Duration,
}

/// How a move ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The new version serves.
    Good,
    /// The old version serves.
    Bad {
        /// Why.
        reason: Arc<str>,
    },
}

/// What an entry tells of a move.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Revision of the order.
    pub revision: u64,
    /// Time since the order, in milliseconds; nothing if the entry does not know.
    pub age_ms: Option<u64>,
    /// How the move ended, as far as the entry knows.
    pub verdict: Option<Verdict>,
    /// What the new version showed to the entry, and some of what the old one showed.
    #[serde(rename = "seen")]
    pub observations: Vec<Observation>,
}

/// A move.
#[derive(Clone, Debug)]
pub struct Canary {
    order: Order,
    bounds: Bounds,
    offset: f64,
    known_at: Duration,
    began: Option<Duration>,
    evidence: Evidence,
    requests: u32,
    sent: u32,
    closing: bool,
    verdict: Option<Verdict>,
    seen: Vec<Observation>,
    old_told: u32,
    taken: HashMap<Arc<str>, usize>,
}

impl Canary {
    /// Returns the move that is ordered. `given_now` says whether this entry saw the order given;
    /// else its age has to be learnt from peers. `offset`, from 0 to 1 and even over the entries,
    /// rounds this entry's part of what a bad version may get, which is below one in a large fleet.
    #[must_use]
    pub fn new(order: Order, bounds: Bounds, offset: f64, given_now: bool, now: Duration) -> Self {
        Self {
            order,
            bounds,
            offset,
            known_at: now,
            began: given_now.then_some(now),
            evidence: Evidence::new(Tolerance::default(), 1),
            requests: 0,
            sent: 0,
            closing: false,
            verdict: None,
            seen: Vec::new(),
            old_told: 0,
            taken: HashMap::new(),
        }
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns how the move ended.
    #[must_use]
    pub fn verdict(&self) -> Option<&Verdict> {
        self.verdict.as_ref()
    }

    /// Counts a new request and returns the version it goes to; nothing if it does not matter any
    /// more. `entries` share what a bad version may get.
    pub fn assign(&mut self, entries: u32, now: Duration) -> Option<Cohort> {
        self.requests = self.requests.saturating_add(1);
        if let Some(verdict) = &self.verdict {
            return self.settled(verdict, now);
        }
        let Some(began) = self.began else {
            return Some(Cohort::Baseline);
        };
        self.closing = self.closing || self.may_close(entries, now.saturating_sub(began));
        let most = if self.closing {
            MOST_PART * self.allowed(entries, f64::from(self.requests))
        } else {
            self.trial(entries, now)
        };
        if f64::from(self.sent + 1) > most + self.offset {
            return Some(Cohort::Baseline);
        }
        self.sent += 1;
        Some(Cohort::Canary)
    }

    /// Returns the version that a repeat of a request goes to: the one that is known to serve.
    #[must_use]
    pub fn assign_retry(&self, now: Duration) -> Option<Cohort> {
        match &self.verdict {
            Some(verdict) => self.settled(verdict, now),
            None if self.closing => Some(Cohort::Canary),
            None => Some(Cohort::Baseline),
        }
    }

    fn settled(&self, verdict: &Verdict, now: Duration) -> Option<Cohort> {
        let began = self.began.unwrap_or(self.known_at);
        match verdict {
            Verdict::Bad { .. } => Some(Cohort::Baseline),
            Verdict::Good if now < began + self.order.duration + OLD_STOP => Some(Cohort::Canary),
            Verdict::Good => None,
        }
    }

    /// Returns how many requests the trial may have sent to the new version by now.
    fn trial(&self, entries: u32, now: Duration) -> f64 {
        let began = self.began.unwrap_or(now);
        let lasts = self.order.duration.as_secs_f64().max(1e-3);
        let gone = (now.saturating_sub(began).as_secs_f64() / lasts).min(1.0);
        let slack = self.bounds.slack / f64::from(entries.max(1)) * gone;
        TRIAL_PART * USED_PART * (self.bounds.share * f64::from(self.requests) + slack)
    }

    /// Returns this entry's part of what a bad version may get of `requests`.
    fn allowed(&self, entries: u32, requests: f64) -> f64 {
        self.bounds.share * requests + self.bounds.slack / f64::from(entries.max(1))
    }

    /// Returns whether all requests until the end may go to the new version, which has proved no
    /// worse so far, without more of them than a bad version may get.
    fn may_close(&self, entries: u32, age: Duration) -> bool {
        if age < RATE_KNOWN.min(self.order.duration / 2) || !self.proved() {
            return false;
        }
        let left = self.order.duration.saturating_sub(age).as_secs_f64();
        let to_come = f64::from(self.requests) / age.as_secs_f64().max(1e-3) * left;
        let all = f64::from(self.requests) + to_come;
        f64::from(self.sent) + to_come <= USED_PART * self.allowed(entries, all) + self.offset
    }

    /// Returns whether enough is known of the new version, and nothing speaks against it.
    fn proved(&self) -> bool {
        self.evidence.requests() >= FEWEST && !self.evidence.suspect()
    }

    /// Takes in what an answer to this entry showed.
    pub fn observe(&mut self, observation: Observation, now: Duration) {
        if self.verdict.is_some() {
            return;
        }
        self.evidence.observe(&observation);
        let age = now.saturating_sub(self.began.unwrap_or(now)).as_secs();
        let seconds = u32::try_from(age).unwrap_or(u32::MAX);
        let most_old = OLD_TOLD
            .0
            .saturating_add(OLD_TOLD.1.saturating_mul(seconds));
        let told = match observation.cohort {
            Cohort::Canary => self.seen.len() < TOLD,
            Cohort::Baseline => self.old_told < most_old,
        };
        if told {
            self.old_told += u32::from(observation.cohort == Cohort::Baseline);
            self.seen.push(observation);
        }
        self.weigh();
    }

    /// Takes in what a peer tells.
    pub fn receive(&mut self, peer: &Arc<str>, report: Report, now: Duration) {
        if report.revision != self.order.revision {
            return;
        }
        if let Some(age) = report.age_ms {
            let began = now.saturating_sub(Duration::from_millis(age));
            self.began = Some(self.began.map_or(began, |known| known.min(began)));
        }
        if self.verdict.is_some() {
            return;
        }
        let taken = self.taken.entry(Arc::clone(peer)).or_default();
        let fresh = report.observations.get(*taken..).unwrap_or_default();
        for seen in fresh {
            self.evidence.observe(seen);
        }
        *taken = (*taken).max(report.observations.len());
        match report.verdict {
            Some(Verdict::Bad { reason }) => self.verdict = Some(Verdict::Bad { reason }),
            _ => self.weigh(),
        }
    }

    /// Takes in the end that is recorded in the store; it goes before what this entry found.
    pub fn record(&mut self, verdict: Verdict) {
        self.verdict = Some(verdict);
    }

    fn weigh(&mut self) {
        if let Some(reason) = self.evidence.rejection() {
            self.end(&reason);
        }
    }

    fn end(&mut self, reason: &str) {
        self.verdict = Some(Verdict::Bad {
            reason: Arc::from(reason),
        });
    }

    /// Ends the move if its time has come, and returns whether it has just ended.
    pub fn conclude(&mut self, now: Duration) -> bool {
        if self.verdict.is_some() {
            return false;
        }
        let age = self.began.map(|began| now.saturating_sub(began));
        match age {
            None if now.saturating_sub(self.known_at) >= AGE_WAIT => {
                self.end("all entries started again since the order, whose age is not known");
            }
            Some(age) if age + MARGIN >= self.order.duration && self.proved() => {
                self.verdict = Some(Verdict::Good);
            }
            Some(age) if age + MARGIN >= self.order.duration => {
                let answers = self.evidence.requests();
                self.end(&format!("not proved good in time by {answers} answers"));
            }
            _ => return false,
        }
        true
    }

    /// Returns what this entry tells of the move.
    #[must_use]
    pub fn report(&self, now: Duration) -> Report {
        let age = self.began.map(|began| now.saturating_sub(began));
        Report {
            revision: self.order.revision,
            age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            verdict: self.verdict.clone(),
            observations: self.seen.clone(),
        }
    }
}
