//! Forwards the reports of entries on moves: what has not been sent yet, and some of the others whole.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::canary::Report;

use super::Scope;
use super::news::Origin;

/// Reports that a periodic message repeats whole, in turn.
const REPEATED: usize = 4;

/// Most observations in one message; the rest follows in the next ones.
const MAX_OBSERVATIONS: usize = 512;

/// Time after which the report of a silent entry is dropped.
const KEPT: Duration = Duration::from_secs(20);

/// The report of one entry on one move.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveReport {
    /// The service that moves.
    pub service: Arc<str>,
    /// The entry whose report this is.
    pub entry: Arc<str>,
    /// The report, whole or in part.
    pub report: Report,
}

#[derive(Clone, Debug)]
struct Held {
    report: Report,
    received_at: Duration,
    origin: Origin,
    /// For each scope, the observations that were sent, and whether anything else has changed.
    sent: [(usize, bool); Scope::COUNT],
}

/// The reports that one entry passes on.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    held: BTreeMap<(Arc<str>, Arc<str>), Held>,
    next_repeated: [Option<(Arc<str>, Arc<str>)>; Scope::COUNT],
}

impl Reports {
    /// Adds a report, or extends the known one of the same entry.
    pub fn insert(&mut self, report: MoveReport, origin: Origin, now: Duration) {
        let key = (report.service, report.entry);
        let report = report.report;
        let known = self.held.get_mut(&key);
        let known = known.filter(|held| held.report.revision == report.revision);
        let Some(held) = known else {
            if report.first == 0 {
                let held = Held {
                    report,
                    received_at: now,
                    origin,
                    sent: [(0, true); Scope::COUNT],
                };
                self.held.insert(key, held);
            }
            return;
        };
        held.received_at = now;
        held.origin = held.origin.min(origin);
        let age_found = held.report.age_ms.is_none() && report.age_ms.is_some();
        if held.report.verdict != report.verdict || age_found {
            held.sent = held.sent.map(|(sent, _)| (sent, true));
        }
        held.report.verdict = report.verdict;
        held.report.age_ms = report.age_ms;
        let known = held.report.observations.len();
        let skipped = known.checked_sub(report.first as usize);
        let new = skipped.and_then(|skipped| report.observations.get(skipped..));
        held.report
            .observations
            .extend_from_slice(new.unwrap_or_default());
    }

    /// Returns whether a report has content that was not sent in a scope.
    #[must_use]
    pub fn has_unsent(&self, scope: Scope) -> bool {
        let held = self.held.values();
        let mut held = held.filter(|held| held.origin.in_scope(scope));
        held.any(|held| held.has_unsent(scope))
    }

    /// Returns whether an entry has ended a move and this was not sent in a scope.
    #[must_use]
    pub fn has_unsent_verdict(&self, scope: Scope) -> bool {
        let held = self.held.values();
        let mut held = held.filter(|held| held.origin.in_scope(scope));
        held.any(|held| held.sent[scope.index()].1 && held.report.verdict.is_some())
    }

    /// Returns the reports for the next message of a scope: the unsent parts, and if `periodic`, some
    /// of the others.
    pub fn batch(&mut self, scope: Scope, periodic: bool, now: Duration) -> Vec<MoveReport> {
        self.held
            .retain(|_, held| now.saturating_sub(held.received_at) < KEPT);
        let repeated = self.repeated(scope, periodic);
        let mut batch = Vec::new();
        let mut observations = 0;
        for (key, held) in &mut self.held {
            let repeat = repeated.contains(key);
            if !held.origin.in_scope(scope) || !(repeat || held.has_unsent(scope)) {
                continue;
            }
            if observations >= MAX_OBSERVATIONS {
                break;
            }
            let (sent, changed) = &mut held.sent[scope.index()];
            let first = if repeat { 0 } else { *sent };
            let part = &held.report.observations[first..];
            *sent = held.report.observations.len();
            *changed = false;
            observations += part.len();
            let waited = now.saturating_sub(held.received_at).as_millis();
            let waited = u64::try_from(waited).unwrap_or(u64::MAX);
            batch.push(MoveReport {
                service: Arc::clone(&key.0),
                entry: Arc::clone(&key.1),
                report: Report {
                    revision: held.report.revision,
                    age_ms: held.report.age_ms.map(|age| age.saturating_add(waited)),
                    verdict: held.report.verdict.clone(),
                    first: u32::try_from(first).unwrap_or(u32::MAX),
                    observations: part.to_vec(),
                },
            });
        }
        batch
    }

    /// Returns the reports that the next message repeats whole.
    fn repeated(&mut self, scope: Scope, periodic: bool) -> Vec<(Arc<str>, Arc<str>)> {
        if !periodic {
            return Vec::new();
        }
        let next = &mut self.next_repeated[scope.index()];
        let in_scope = |held: &&Held| held.origin.in_scope(scope);
        let keys = self.held.iter().filter(|(_, held)| in_scope(held));
        let mut keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        let start = keys.partition_point(|key| next.as_ref().is_some_and(|next| key < next));
        keys.rotate_left(start);
        *next = keys.get(REPEATED).cloned();
        keys.truncate(REPEATED);
        keys
    }
}

impl Held {
    fn has_unsent(&self, scope: Scope) -> bool {
        let (sent, changed) = self.sent[scope.index()];
        changed || sent < self.report.observations.len()
    }
}
