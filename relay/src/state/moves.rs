//! Moves of services to another version: which version a request goes to, and the measurements and
//! peer reports that decide a move.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::canary::{Canary, Order, Verdict};
use medlarfall_coordination::dissemination::MoveReport;
use medlarfall_coordination::evidence::{Cohort, Observation};
use medlarfall_coordination::history::Revision;
use medlarfall_coordination::placement::name_hash;

use crate::codec::Codec;

use super::view::View;
use super::{Backend, Relay};

/// Number of steps between 0 and 1 of the rounding offset. Each entry rounds a new version's share
/// at an offset of its own, derived from its name.
const OFFSETS: u32 = 1_024;

/// Measurements of one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measurement {
    /// Whether it failed; `None` while it runs.
    pub failed: Option<bool>,
    /// Time to the first event of a stream.
    pub first: Option<Duration>,
    /// Mean time between the events of a stream.
    pub gap: Option<Duration>,
    /// Duration of a whole call.
    pub call: Option<Duration>,
}

/// An ended move whose end has not been recorded.
#[derive(Clone, Debug)]
pub struct MoveEnd {
    /// The service.
    pub service: Arc<str>,
    /// The order of the move.
    pub order: Order,
    /// Whether the new version was accepted.
    pub good: bool,
}

impl<C: Codec> Relay<C> {
    /// Applies the operators' order to move a service, or its withdrawal (`None`).
    pub fn apply_move_order(&self, service: &Arc<str>, order: Option<Order>) {
        let now = self.clock.now();
        let Some(order) = order else {
            let known = self.view(|view| view.canaries.remove(service));
            if known.is_some() {
                log::info!(service = &**service; "the order to move a service is withdrawn");
            }
            return;
        };
        // An order that existed when this entry started may be of any age.
        let given_now = self.changelog(|changelog| changelog.revision().number) > 0;
        let steps = u32::try_from(name_hash(&self.settings.entry) % u64::from(OFFSETS));
        let offset = f64::from(steps.unwrap_or(0)) / f64::from(OFFSETS);
        let known = self.view(|view| {
            let known = view.canaries.get(service);
            let known = known.is_some_and(|canary| canary.order().revision >= order.revision);
            if !known {
                let moves = self.settings.moves;
                let canary = Canary::new(order.clone(), moves, offset, given_now, now);
                view.canaries.insert(Arc::clone(service), canary);
                view.recorded_moves.remove(service);
            }
            known
        });
        if known {
            return;
        }
        log::info!(
            service = &**service, version = &*order.version, era = order.revision.era,
            revision = order.revision.number,
            lasts_ms = order.duration.as_millis(), given_now;
            "a move is ordered"
        );
        self.moves_changed.notify_one();
    }

    /// Applies the end of a move that is recorded in the store.
    pub fn record_move_end(
        &self,
        service: &Arc<str>,
        version: &str,
        good: bool,
        revision: Revision,
    ) {
        self.with_canary(service, |canary, view| {
            let order = canary.order();
            if *order.version != *version || revision < order.revision {
                return;
            }
            view.recorded_moves.insert(Arc::clone(service));
            canary.record(if good {
                Verdict::Good
            } else {
                Verdict::Bad {
                    reason: Arc::from("recorded in the store"),
                }
            });
        });
    }

    /// Counts a new request and returns its cohort, if its service moves.
    #[must_use]
    pub fn assign_cohort(&self, service: &Arc<str>) -> Option<Cohort> {
        let now = self.clock.now();
        let mut cohort = None;
        self.with_canary(service, |canary, view| {
            cohort = canary.assign(view.node.entries(), now);
        });
        cohort
    }

    /// Returns the cohort of a retry, if the service moves.
    #[must_use]
    pub fn assign_retry_cohort(&self, service: &Arc<str>) -> Option<Cohort> {
        let now = self.clock.now();
        self.view(|view| {
            let canary = view.canaries.get(service);
            canary.and_then(|canary| canary.assign_retry(now))
        })
    }

    /// Records the measurement of an attempt of `route` at a server.
    pub fn record_measurement(
        &self,
        backend: &Backend,
        route: &Arc<str>,
        measurement: Measurement,
    ) {
        let now = self.clock.now();
        let server = &backend.server;
        self.with_canary(&server.service, |canary, view| {
            let cohort = if canary.order().version == server.version {
                Cohort::Canary
            } else {
                Cohort::Baseline
            };
            // Timings of a server that is warming up are ignored, whatever its version.
            let warming_up = view.warmups.get(&server.id).is_some_and(|end| now < *end);
            let time = |time: Option<Duration>| time.filter(|_| !warming_up);
            let observation = Observation {
                cohort,
                route: Arc::clone(route),
                failed: measurement.failed,
                first: time(measurement.first),
                gap: time(measurement.gap),
                call: time(measurement.call),
            };
            canary.observe(observation, now);
        });
    }

    /// Applies an entry's report on a move.
    pub fn receive_move_report(&self, report: MoveReport) {
        let now = self.clock.now();
        self.with_canary(&report.service, |canary, _| {
            canary.receive(&report.entry, report.report, now);
        });
    }

    /// Ends the moves that are due; returns whether any end is not recorded yet.
    pub fn conclude_moves(&self) -> bool {
        let now = self.clock.now();
        let open: Vec<Arc<str>> = self.view(|view| {
            let open = view.canaries.keys();
            let open = open.filter(|service| !view.recorded_moves.contains(*service));
            open.cloned().collect()
        });
        for service in &open {
            self.with_canary(service, |canary, _| {
                canary.conclude(now);
            });
        }
        !open.is_empty()
    }

    /// Returns the ended moves whose end is not recorded.
    #[must_use]
    pub fn unrecorded_moves(&self) -> Vec<MoveEnd> {
        self.view(|view| {
            let canaries = view.canaries.iter();
            let unrecorded =
                canaries.filter(|(service, _)| !view.recorded_moves.contains(*service));
            let ended = unrecorded.filter_map(|(service, canary)| {
                Some(MoveEnd {
                    service: Arc::clone(service),
                    order: canary.order().clone(),
                    good: *canary.verdict()? == Verdict::Good,
                })
            });
            ended.collect()
        })
    }

    /// Reads or changes the move of a service, if there is one; logs its end and notifies the
    /// tasks.
    fn with_canary(&self, service: &Arc<str>, act: impl FnOnce(&mut Canary, &mut View)) {
        let ended = self.view(|view| {
            // Removed for the time of the call, so that `act` can borrow the rest of the view.
            let mut canary = view.canaries.remove(service)?;
            let before = canary.verdict().cloned();
            act(&mut canary, view);
            let ended = canary
                .verdict()
                .filter(|after| Some(*after) != before.as_ref());
            let ended = ended.map(|verdict| (canary.order().clone(), verdict.clone()));
            view.canaries.insert(Arc::clone(service), canary);
            ended
        });
        let Some((order, verdict)) = ended else {
            return;
        };
        let (good, reason) = match &verdict {
            Verdict::Good => (true, ""),
            Verdict::Bad { reason } => (false, &**reason),
        };
        log::info!(
            service = &**service, version = &*order.version, era = order.revision.era,
            revision = order.revision.number, good, reason;
            "a move has ended"
        );
        self.streams_changed.notify_one();
        self.moves_changed.notify_one();
    }
}
