//! Evidence at the last stage of a move, in which the new version gets nearly all requests: noise that
//! begins then slows both versions and is no fault of the new one, which must still be found if it
//! turns bad then.

use std::time::Duration;

use medlarfall_coordination::evidence::{Cohort, Evidence, Observation, Tolerance};
use medlarfall_coordination::rollout::{Phase, Record};
use medlarfall_coordination::schedule::Plan;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests to the new version at the stages before the last, and at the last.
const REQUESTS: [u32; 3] = [60, 300, 1_000];

/// Index of the last stage.
const LAST: usize = REQUESTS.len() - 1;

/// Factors on the usual durations at the last stage, and the new version's share of failures then.
#[derive(Clone, Copy, Debug)]
struct LastStage {
    baseline: f64,
    canary: f64,
    failures: f64,
}

const USUAL: LastStage = LastStage {
    baseline: 1.0,
    canary: 1.0,
    failures: 0.0,
};

fn record() -> Record {
    let plan = Plan {
        shares: vec![50, 250, 1_000],
        ..Plan::default()
    };
    Record::new("id", "tracker", "v1", "v2", plan, 0)
}

fn draw(random: &mut ChaCha8Rng, cohort: Cohort, factor: f64, failures: f64) -> Observation {
    let route = ["GET /plots", "GET /records"][random.random_range(0..2)];
    let tail = if random.random_bool(0.02) { 8.0 } else { 1.0 };
    let seconds = 0.02 * tail * factor * random.random_range(0.7..1.3);
    let failed = random.random_bool(failures);
    Observation {
        call: (!failed).then(|| Duration::from_secs_f64(seconds)),
        ..Observation::failure(cohort, route, failed)
    }
}

/// Runs a move through its stages. Returns the number of the new version's requests at the last stage
/// after which it was rejected, or `None`.
fn run(seed: u64, last: LastStage) -> Option<u32> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut evidence = Evidence::new(Tolerance::default(), 3);
    let mut id = 0_u64;
    for (stage, count) in REQUESTS.into_iter().enumerate() {
        let record = Record {
            phase: Phase::Stage(stage),
            ..record()
        };
        let now = if stage == LAST { last } else { USUAL };
        evidence.begin_stage(stage == LAST);
        let mut requests = 0;
        while requests < count {
            id += 1;
            if *record.version(&format!("{seed}-{id}")) == record.from {
                evidence.observe(&draw(&mut random, Cohort::Baseline, now.baseline, 0.0));
                continue;
            }
            requests += 1;
            evidence.observe(&draw(&mut random, Cohort::Canary, now.canary, now.failures));
            if evidence.rejection().is_some() {
                assert_eq!(stage, LAST, "seed {seed}: rejected while it was good");
                return Some(requests);
            }
        }
    }
    None
}

#[test]
fn noise_that_begins_at_the_last_stage_takes_no_good_version_back() {
    for factor in [2.0, 3.0, 8.0] {
        let noise = LastStage {
            baseline: factor,
            canary: factor,
            ..USUAL
        };
        let alarms = (0..100).filter(|seed| run(*seed, noise).is_some()).count();
        assert!(alarms <= 1, "factor {factor}: {alarms} of 100 taken back");
    }
}

/// The old version's servers answer sooner once they have lost most of their requests.
#[test]
fn a_version_that_bears_all_requests_as_the_old_one_did_is_kept() {
    let relieved = LastStage {
        baseline: 0.4,
        ..USUAL
    };
    let alarms = (0..100).filter(|seed| run(*seed, relieved).is_some());
    let alarms = alarms.count();
    assert!(alarms <= 1, "{alarms} of 100 taken back");
}

#[test]
fn a_version_that_turns_bad_at_the_last_stage_is_taken_back() {
    let cases = [
        ("slow", 3.0, 0.0),
        ("very slow", 8.0, 0.0),
        ("every request fails", 1.0, 1.0),
        ("every fourth request fails", 1.0, 0.25),
    ];
    for (name, canary, failures) in cases {
        let bad = LastStage {
            baseline: 1.0,
            canary,
            failures,
        };
        for seed in 0..50 {
            let found = run(seed, bad);
            let found = found.unwrap_or_else(|| panic!("{name}, seed {seed}: not found"));
            assert!(found <= 120, "{name}, seed {seed}: found after {found}");
        }
    }
}

#[test]
fn a_slow_version_is_taken_back_amid_noise_that_begins_at_the_last_stage() {
    let bad = LastStage {
        baseline: 2.0,
        canary: 10.0,
        ..USUAL
    };
    for seed in 0..50 {
        assert!(run(seed, bad).is_some(), "seed {seed}: not found");
    }
}

/// Without concurrent requests to the old version a common slowdown looks like a fault of the new one.
#[test]
fn each_stage_leaves_requests_to_the_old_version_until_the_move_is_done() {
    for stage in 0..=LAST {
        let record = Record {
            phase: Phase::Stage(stage),
            ..record()
        };
        let left = (0..1_000).filter(|id| *record.version(&id.to_string()) == record.from);
        assert!(left.count() >= 50, "stage {stage}");
    }
    let done = Record {
        phase: Phase::Done,
        ..record()
    };
    assert!((0..1_000).all(|id| *done.version(&id.to_string()) == done.to));
}
