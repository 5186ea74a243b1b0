//! Properties of the state of a move and of its schedule.

use std::time::Duration;

use bolero::{TypeGenerator, check};
use medlarfall_coordination::rollout::{FULL_SHARE, Phase, Record};
use medlarfall_coordination::schedule::{Decision, Plan, Progress};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Sketch {
    Stage(u8),
    Braked(bool),
    Done,
    TakenBack(bool),
}

fn plan() -> Plan {
    Plan {
        shares: vec![10, 100, 1_000],
        dwell_floor_ms: 100,
        dwell_ceiling_ms: 1_000,
        requests: 10,
    }
}

fn record(number: u8, sketch: Sketch) -> Record {
    let reason = |slow: bool| if slow { "slow".into() } else { "fails".into() };
    let phase = match sketch {
        Sketch::Stage(stage) => Phase::Stage(usize::from(stage % 3)),
        Sketch::Braked(slow) => Phase::Braked {
            reason: reason(slow),
        },
        Sketch::Done => Phase::Done,
        Sketch::TakenBack(slow) => Phase::TakenBack {
            reason: reason(slow),
        },
    };
    Record {
        number: u64::from(number % 2),
        phase,
        ..Record::new("id", "briefs", "v1", "v2", plan(), 0)
    }
}

#[test]
fn join_is_commutative_associative_and_idempotent() {
    check!()
        .with_type()
        .for_each(|sketches: &[(u8, Sketch); 3]| {
            let [left, middle, right] = sketches.map(|(number, sketch)| record(number, sketch));
            let join = |left: &Record, right: &Record| left.clone().join(right.clone());
            assert_eq!(join(&left, &right), join(&right, &left));
            assert_eq!(
                join(&join(&left, &middle), &right),
                join(&left, &join(&middle, &right))
            );
            assert_eq!(join(&left, &left), left);
        });
}

/// An event at one of two entries that share a store.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    Advance { first: bool },
    Brake { first: bool },
    Receive { first: bool },
    Read { first: bool },
}

#[test]
fn a_recorded_end_stays_and_a_braked_entry_uses_the_new_version_only_if_done_is_recorded() {
    check!().with_type().for_each(|events: &Vec<Event>| {
        let mut stored = record(1, Sketch::Stage(0));
        let mut entries = [stored.clone(), stored.clone()];
        let mut end: Option<Phase> = None;
        let mut braked = [false, false];
        let write = |stored: &mut Record, proposed: Record| {
            if let Some(next) = proposed.replacement_for(stored) {
                *stored = next;
            }
        };
        for event in events {
            match *event {
                Event::Advance { first } => {
                    let entry = &mut entries[usize::from(first)];
                    write(&mut stored, entry.clone().advance());
                    *entry = entry.clone().join(stored.clone());
                }
                Event::Brake { first } => {
                    let entry = &mut entries[usize::from(first)];
                    *entry = entry.clone().brake("fails");
                    write(&mut stored, entry.clone());
                }
                Event::Receive { first } => {
                    let other = entries[usize::from(!first)].clone();
                    let entry = &mut entries[usize::from(first)];
                    *entry = entry.clone().join(other);
                }
                Event::Read { first } => {
                    let entry = &mut entries[usize::from(first)];
                    *entry = entry.clone().join(stored.clone());
                }
            }
            assert!(!matches!(stored.phase, Phase::Braked { .. }));
            if let Some(end) = &end {
                assert_eq!(&stored.phase, end, "an end is recorded once");
            }
            end = stored.phase.ended().then(|| stored.phase.clone());
            for (entry, braked) in entries.iter().zip(&mut braked) {
                *braked |= matches!(entry.phase, Phase::Braked { .. } | Phase::TakenBack { .. });
                let serves = entry.share() > 0;
                assert!(!(*braked && serves) || stored.phase == Phase::Done);
            }
        }
    });
}

#[test]
fn a_stage_gets_its_share_and_keeps_the_requests_of_the_previous_stage() {
    let requests = 20_000_u64;
    for number in 1..=5 {
        let at = |stage| Record {
            phase: Phase::Stage(stage),
            ..record(number, Sketch::Stage(0))
        };
        let stages = [at(0), at(1), at(2)];
        for (stage, record) in stages.iter().enumerate() {
            let moved = |record: &Record, id: u64| *record.version(&id.to_string()) == record.to;
            let count = (0..requests).filter(|id| moved(record, *id)).count() as u64;
            let share = record.share();
            // Five standard deviations around the share, rounded up.
            let slack = 5 * (requests * share / FULL_SHARE).isqrt() + 5;
            assert!(
                count <= requests * share / FULL_SHARE + slack,
                "{count} at {share}"
            );
            assert!(
                count + slack >= requests * share / FULL_SHARE,
                "{count} at {share}"
            );
            let lost = (0..requests)
                .filter(|id| stage > 0 && moved(&stages[stage - 1], *id) && !moved(record, *id));
            assert_eq!(lost.count(), 0);
        }
    }
}

#[test]
fn a_braked_move_sends_nothing_to_the_new_version() {
    check!()
        .with_type()
        .for_each(|(sketch, id): &(Sketch, u64)| {
            let braked = record(1, *sketch).brake("fails");
            let ended = braked.phase == Phase::Done;
            assert!(ended || *braked.version(&id.to_string()) == braked.from);
        });
}

#[test]
fn a_schedule_ends_every_move_by_its_deadline() {
    check!()
        .with_type()
        .for_each(|(steps, within): &(Vec<(u16, bool)>, u16)| {
            let plan = plan();
            let within = plan.shortest() + Duration::from_millis(u64::from(*within));
            let (mut stage, mut now, mut began) = (0, Duration::ZERO, Duration::ZERO);
            for (step, proved) in steps {
                now += Duration::from_millis(u64::from(*step % 500));
                let progress = Progress {
                    stage,
                    in_stage: now.saturating_sub(began),
                    remaining: within.saturating_sub(now),
                    requests: if *proved { 10 } else { 9 },
                    proved: true,
                };
                match plan.decide(progress) {
                    Decision::Revert => return,
                    Decision::Stay => assert!(now < within, "a move outlives its deadline"),
                    Decision::Advance => {
                        assert!(*proved, "a stage needs its evidence");
                        assert!(
                            now.saturating_sub(began) >= Duration::from_millis(plan.dwell_floor_ms)
                        );
                        (stage, began) = (stage + 1, now);
                    }
                }
                if stage == plan.shares.len() {
                    return;
                }
            }
        });
}

#[test]
fn a_move_that_is_always_proved_ends_well_before_its_deadline() {
    for within_ms in [301, 400, 1_000, 5_000, 60_000] {
        let plan = plan();
        let within = Duration::from_millis(within_ms);
        let (mut stage, mut now, mut began) = (0, Duration::ZERO, Duration::ZERO);
        while stage < plan.shares.len() {
            let decision = plan.decide(Progress {
                stage,
                in_stage: now.saturating_sub(began),
                remaining: within.saturating_sub(now),
                requests: 10,
                proved: true,
            });
            assert_ne!(decision, Decision::Revert, "{within_ms} ms, stage {stage}");
            if decision == Decision::Advance {
                (stage, began) = (stage + 1, now);
            } else {
                now += Duration::from_millis(1);
            }
        }
        assert!(now <= within, "{within_ms} ms");
    }
}
