//! Moves of services to another version: which version a request goes to, and the measurements and
//! peer reports that decide a move.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::canary::{Canary, Order, Reading, Verdict};
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
    /// Applies the operators' order to move a service, or its absence (`None`), as the store has it at a
    /// revision.
    pub fn apply_move_order(&self, service: &Arc<str>, order: Option<&Order>, revision: Revision) {
        let now = self.clock.now();
        // An order that existed when this entry started may be of any age.
        let given_now = self.changelog(|changelog| changelog.is_complete());
        let steps = u32::try_from(name_hash(&self.settings.entry) % u64::from(OFFSETS));
        let offset = f64::from(steps.unwrap_or(0)) / f64::from(OFFSETS);
        let reading = self.view(|view| {
            let settled = view.registry.settled(now);
            let known = view.canaries.get_mut(service);
            let reading = known.as_ref().map_or(Reading::Newer, |canary| {
                canary.order().compare(order, revision, settled)
            });
            if reading != Reading::Stale {
                view.unsettled_orders.remove(service);
            }
            match (reading, order, known) {
                (Reading::Stale, ..) => {}
                (Reading::Repeated, Some(order), Some(canary)) => {
                    canary.repeat(order.clone());
                    view.recorded_moves.remove(service);
                }
                (Reading::Unsettled, ..) => {
                    let unsettled = (order.cloned(), revision);
                    view.unsettled_orders.insert(Arc::clone(service), unsettled);
                }
                (_, Some(order), _) => {
                    let moves = self.settings.moves;
                    let canary = Canary::new(order.clone(), moves, offset, given_now, now);
                    view.canaries.insert(Arc::clone(service), canary);
                    view.recorded_moves.remove(service);
                }
                (_, None, _) => {
                    view.canaries.remove(service);
                    view.recorded_moves.remove(service);
                }
            }
            reading
        });
        if reading == Reading::Stale {
            return;
        }
        let effect = format!("{reading:?}").to_lowercase();
        log::info!(
            service = &**service, version = order.map_or("", |order| &*order.version),
            era = revision.era, revision = revision.number, given_now, effect = effect.as_str(),
            lasts_ms = order.map_or(0, |order| order.duration.as_millis());
            "order to move a service changed"
        );
        self.moves_changed.notify_one();
    }

    /// Applies the orders that were unsettled, if the store is settled now. Returns whether any is left.
    fn settle_orders(&self) -> bool {
        let now = self.clock.now();
        let settled = self.view(|view| {
            if view.registry.settled(now) {
                std::mem::take(&mut view.unsettled_orders)
            } else {
                HashMap::new()
            }
        });
        for (service, (order, revision)) in settled {
            self.apply_move_order(&service, order.as_ref(), revision);
        }
        self.view(|view| !view.unsettled_orders.is_empty())
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
            // The end that a copy of the store has is that of an earlier order, unless it has this one too.
            let earlier = order.revision.is_of_earlier_era(revision) || revision < order.revision;
            if *order.version != *version || earlier {
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
            let warming_up = view.warmups.lasts(&server.id, now);
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

    /// Ends the moves that are due; returns whether any end is not recorded yet, or any order not settled.
    pub fn conclude_moves(&self) -> bool {
        let unsettled = self.settle_orders();
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
        unsettled || !open.is_empty()
    }

    /// Returns the ended moves whose end is not recorded and whose order the store has. An end written before
    /// its order does not count, and would be written again in each round.
    #[must_use]
    pub fn unrecorded_moves(&self) -> Vec<MoveEnd> {
        self.view(|view| {
            let canaries = view.canaries.iter();
            let unrecorded = canaries.filter(|(service, _)| {
                !view.recorded_moves.contains(*service)
                    && !view.unsettled_orders.contains_key(*service)
            });
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
            let ended = ended.map(|verdict| {
                let order = canary.order().clone();
                (order, verdict.clone(), canary.tallies())
            });
            view.canaries.insert(Arc::clone(service), canary);
            ended
        });
        let Some((order, verdict, (canary, baseline))) = ended else {
            return;
        };
        let (good, reason) = match &verdict {
            Verdict::Good => (true, ""),
            Verdict::Bad { reason } => (false, &**reason),
        };
        log::info!(
            service = &**service, version = &*order.version, era = order.revision.era,
            revision = order.revision.number, good, reason,
            attempts = canary.attempts, failed = canary.failed, timed = canary.timed,
            old_attempts = baseline.attempts, old_failed = baseline.failed, old_timed = baseline.timed;
            "a move has ended"
        );
        self.streams_changed.notify_one();
        self.moves_changed.notify_one();
    }
}
