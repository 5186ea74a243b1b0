//! Moves of services to another version: which version a request goes to, and what its sends show.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::canary::{Canary, Order, Report, Verdict};
use medlarfall_coordination::evidence::{Cohort, Observation};
use medlarfall_coordination::placement::name_hash;

use crate::dialect::Dialect;

use super::beliefs::Beliefs;
use super::{Backend, Relay};

/// Steps between 0 and 1 in which entries round what a new version may get.
const OFFSETS: u32 = 1_024;

/// What one send showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sight {
    /// Whether it failed; nothing while it runs.
    pub failed: Option<bool>,
    /// Time to a stream's first event.
    pub first: Option<Duration>,
    /// Mean time between a stream's events.
    pub gap: Option<Duration>,
    /// Time of a whole call.
    pub call: Option<Duration>,
}

/// A move whose end is to be recorded.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The service.
    pub service: Arc<str>,
    /// The order.
    pub order: Order,
    /// Whether the new version serves.
    pub good: bool,
}

impl<D: Dialect> Relay<D> {
    /// Takes in the operators' order to move a service, or that it is withdrawn.
    pub fn order_move(&self, service: &Arc<str>, order: Option<Order>) {
        let now = self.clock.now();
        let Some(order) = order else {
            let known = self.beliefs(|beliefs| beliefs.canaries.remove(service));
            if known.is_some() {
                log::info!(service = &**service; "the order to move a service is withdrawn");
            }
            return;
        };
        // An order that was there when this entry started may be of any age.
        let given_now = self.mirror(|mirror| mirror.revision()) > 0;
        let steps = u32::try_from(name_hash(&self.settings.entry) % u64::from(OFFSETS));
        let offset = f64::from(steps.unwrap_or(0)) / f64::from(OFFSETS);
        let known = self.beliefs(|beliefs| {
            let known = beliefs.canaries.get(service);
            let known = known.is_some_and(|canary| canary.order().revision >= order.revision);
            if !known {
                let moves = self.settings.moves;
                let canary = Canary::new(order.clone(), moves, offset, given_now, now);
                beliefs.canaries.insert(Arc::clone(service), canary);
                beliefs.recorded.remove(service);
            }
            known
        });
        if known {
            return;
        }
        log::info!(
            service = &**service, version = &*order.version, revision = order.revision,
            lasts_ms = order.duration.as_millis(), given_now;
            "a move is ordered"
        );
        self.moves_changed.notify_one();
    }

    /// Takes in the end of a move as the store has it.
    pub fn move_recorded(&self, service: &Arc<str>, version: &str, good: bool, revision: u64) {
        self.with_canary(service, |canary, beliefs| {
            let order = canary.order();
            if *order.version != *version || revision < order.revision {
                return;
            }
            beliefs.recorded.insert(Arc::clone(service));
            canary.record(if good {
                Verdict::Good
            } else {
                Verdict::Bad {
                    reason: Arc::from("recorded in the store"),
                }
            });
        });
    }

    /// Counts a new request and returns the version it goes to, if its service moves.
    #[must_use]
    pub fn side(&self, service: &Arc<str>) -> Option<Cohort> {
        let now = self.clock.now();
        let mut side = None;
        self.with_canary(service, |canary, beliefs| {
            let entries = u32::try_from(beliefs.peers.len() + 1).unwrap_or(u32::MAX);
            side = canary.assign(entries, now);
        });
        side
    }

    /// Returns the version that a repeat of a request goes to, if its service moves.
    #[must_use]
    pub fn repeat_side(&self, service: &Arc<str>) -> Option<Cohort> {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            let canary = beliefs.canaries.get(service);
            canary.and_then(|canary| canary.assign_retry(now))
        })
    }

    /// Takes in what a send of a request of `route` to a server showed.
    pub fn saw(&self, backend: &Backend, route: &Arc<str>, sight: Sight) {
        let now = self.clock.now();
        let server = &backend.server;
        self.with_canary(&server.service, |canary, beliefs| {
            let side = if canary.order().version == server.version {
                Cohort::Canary
            } else {
                Cohort::Baseline
            };
            // A server is slow for a while after its start, whatever its version.
            let cold = beliefs.cold.get(&server.id).is_some_and(|end| now < *end);
            let time = |time: Option<Duration>| time.filter(|_| !cold);
            let observation = Observation {
                cohort: side,
                route: Arc::clone(route),
                failed: sight.failed,
                first: time(sight.first),
                gap: time(sight.gap),
                call: time(sight.call),
            };
            canary.observe(observation, now);
        });
    }

    /// Returns whether a move is under way whose end is not recorded.
    #[must_use]
    pub fn moving(&self) -> bool {
        self.beliefs(|beliefs| {
            let mut moves = beliefs.canaries.keys();
            moves.any(|service| !beliefs.recorded.contains(service))
        })
    }

    /// Returns what this entry tells of the moves.
    #[must_use]
    pub fn move_reports(&self) -> Vec<(Arc<str>, Report)> {
        let now = self.clock.now();
        self.beliefs(|beliefs| {
            let open = beliefs.canaries.iter();
            let open = open.filter(|(service, _)| !beliefs.recorded.contains(*service));
            open.map(|(service, canary)| (Arc::clone(service), canary.report(now)))
                .collect()
        })
    }

    /// Takes in what another entry tells of the moves.
    pub fn hear_moves(&self, peer: &Arc<str>, reports: Vec<(Arc<str>, Report)>) {
        let now = self.clock.now();
        for (service, report) in reports {
            self.with_canary(&service, |canary, _| canary.receive(peer, report, now));
        }
    }

    /// Ends the moves whose time has come; returns whether any is still open.
    pub fn judge_moves(&self) -> bool {
        let now = self.clock.now();
        let open: Vec<Arc<str>> = self.beliefs(|beliefs| {
            let open = beliefs.canaries.keys();
            let open = open.filter(|service| !beliefs.recorded.contains(*service));
            open.cloned().collect()
        });
        for service in &open {
            self.with_canary(service, |canary, _| {
                canary.conclude(now);
            });
        }
        !open.is_empty()
    }

    /// Returns the moves that have ended and whose end is not recorded.
    #[must_use]
    pub fn unrecorded_moves(&self) -> Vec<Ended> {
        self.beliefs(|beliefs| {
            let canaries = beliefs.canaries.iter();
            let unrecorded = canaries.filter(|(service, _)| !beliefs.recorded.contains(*service));
            let ended = unrecorded.filter_map(|(service, canary)| {
                Some(Ended {
                    service: Arc::clone(service),
                    order: canary.order().clone(),
                    good: *canary.verdict()? == Verdict::Good,
                })
            });
            ended.collect()
        })
    }

    /// Reads or changes the move of a service, if there is one, and tells of its end.
    fn with_canary(&self, service: &Arc<str>, act: impl FnOnce(&mut Canary, &mut Beliefs)) {
        let ended = self.beliefs(|beliefs| {
            // Taken out so that the rest stays in reach of `act`.
            let mut canary = beliefs.canaries.remove(service)?;
            let before = canary.verdict().cloned();
            act(&mut canary, beliefs);
            let ended = canary
                .verdict()
                .filter(|after| Some(*after) != before.as_ref());
            let ended = ended.map(|verdict| (canary.order().clone(), verdict.clone()));
            beliefs.canaries.insert(Arc::clone(service), canary);
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
            service = &**service, version = &*order.version, revision = order.revision, good, reason;
            "a move has ended"
        );
        self.streams_changed.notify_one();
        self.moves_changed.notify_one();
    }
}
