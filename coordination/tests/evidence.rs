//! False alarms of the evidence against good versions, and its delay in rejecting bad ones.

use std::time::Duration;

use medlarfall_coordination::evidence::{Cohort, Evidence, Observation, Tolerance};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How a version behaves.
#[derive(Clone, Copy, Debug)]
struct Version {
    failures: f64,
    mean_ms: f64,
    tail: f64,
}

const GOOD: Version = Version {
    failures: 0.0,
    mean_ms: 20.0,
    tail: 0.02,
};

/// Share of the new version and number of its requests at each stage.
const STAGES: [(f64, u32); 4] = [(0.05, 60), (0.25, 300), (0.5, 600), (1.0, 1_000)];

/// Draws an observation of a version on one of three routes.
fn draw(random: &mut ChaCha8Rng, cohort: Cohort, version: Version) -> Observation {
    let route = ["", "GET /plots", "GET /records"][random.random_range(0..3)];
    let failed = random.random_bool(version.failures);
    let tail = if random.random_bool(version.tail) {
        8.0
    } else {
        1.0
    };
    let time = version.mean_ms * tail * random.random_range(0.7..1.3);
    let call = (!failed).then(|| Duration::from_secs_f64(time / 1_000.0));
    Observation {
        call,
        ..Observation::failure(cohort, route, failed)
    }
}

/// Runs a move through its stages. Returns the number of the new version's requests after which it
/// was rejected, or `None`.
fn run(seed: u64, old: Version, new: impl Fn(u32) -> Version) -> Option<u32> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut evidence = Evidence::new(Tolerance::default(), 4);
    let mut requests = 0;
    for (share, count) in STAGES {
        evidence.begin_stage(share >= 1.0);
        let end = requests + count;
        while requests < end {
            if !random.random_bool(share) {
                evidence.observe(&draw(&mut random, Cohort::Baseline, old));
                continue;
            }
            requests += 1;
            let observation = draw(&mut random, Cohort::Canary, new(requests));
            evidence.observe(&observation);
            if evidence.rejection().is_some() {
                return Some(requests);
            }
        }
    }
    None
}

#[test]
fn good_versions_are_seldom_taken_back() {
    let cases = [
        ("the same", GOOD, GOOD),
        (
            "both fail",
            Version {
                failures: 0.1,
                ..GOOD
            },
            Version {
                failures: 0.1,
                ..GOOD
            },
        ),
        ("a noisy tail", GOOD, Version { tail: 0.1, ..GOOD }),
        (
            "a rare failure",
            GOOD,
            Version {
                failures: 0.005,
                ..GOOD
            },
        ),
        (
            "a little slower",
            GOOD,
            Version {
                mean_ms: 22.0,
                ..GOOD
            },
        ),
    ];
    for (name, old, new) in cases {
        let alarms = (0..100).filter(|seed| run(*seed, old, |_| new).is_some());
        let alarms = alarms.count();
        assert!(alarms <= 2, "{name}: {alarms} of 100 taken back");
    }
}

#[test]
fn bad_versions_are_found_within_a_bound_of_requests() {
    let fails = |failures| Version { failures, ..GOOD };
    let slow = Version {
        mean_ms: 60.0,
        ..GOOD
    };
    let cases = [
        ("every request fails", 0, fails(1.0), 12),
        ("every second request fails", 0, fails(0.5), 30),
        ("every fourth request fails", 0, fails(0.25), 80),
        ("every request fails, later", 500, fails(1.0), 30),
        (
            "every fourth request fails, at the last stage",
            1_200,
            fails(0.25),
            120,
        ),
        ("slow", 0, slow, 40),
        ("slow, later", 500, slow, 60),
    ];
    for (name, begins, bad, bound) in cases {
        for seed in 0..20 {
            let new = |request| if request > begins { bad } else { GOOD };
            let found = run(seed, GOOD, new);
            let found = found.unwrap_or_else(|| panic!("{name}, seed {seed}: not found"));
            assert!(found > begins, "{name}, seed {seed}: a false alarm");
            let late = found - begins;
            assert!(late <= bound, "{name}, seed {seed}: found after {late}");
        }
    }
}

/// Draws a time between tokens on a busy machine: the engine's own time, and a wait for the
/// processor with the mean `mean_wait_ms` that is the same for both versions.
fn draw_busy(
    random: &mut ChaCha8Rng,
    cohort: Cohort,
    engine_ms: f64,
    mean_wait_ms: f64,
) -> Observation {
    let wait_ms = -mean_wait_ms * f64::ln(random.random_range(f64::MIN_POSITIVE..1.0));
    Observation {
        gap: Some(Duration::from_secs_f64((engine_ms + wait_ms) / 1_000.0)),
        ..Observation::failure(cohort, "", false)
    }
}

/// Returns the number of requests, at most `limit`, after which a version whose engine takes
/// `engine_ms` per token is rejected on a busy machine. The old version's engine takes 4 ms.
fn run_busy(seed: u64, engine_ms: f64, limit: u32) -> Option<u32> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut evidence = Evidence::new(Tolerance::default(), 3);
    (1..=limit).find(|_| {
        for _ in 0..19 {
            evidence.observe(&draw_busy(&mut random, Cohort::Baseline, 4.0, 20.0));
        }
        evidence.observe(&draw_busy(&mut random, Cohort::Canary, engine_ms, 20.0));
        evidence.rejection().is_some()
    })
}

#[test]
fn slowness_is_detected_despite_noise_that_both_versions_share() {
    for seed in 0..20 {
        let found = run_busy(seed, 40.0, 30);
        assert!(found.is_some(), "seed {seed}: not found in 30 requests");
    }
}

#[test]
fn noise_that_both_versions_share_is_no_evidence() {
    let alarms = (0..100).filter(|seed| run_busy(*seed, 4.0, 500).is_some());
    let alarms = alarms.count();
    assert!(alarms <= 2, "{alarms} of 100 taken back");
}

#[test]
fn noise_that_begins_while_a_version_serves_alone_is_tolerated() {
    let alarms = (0..100).filter(|seed| {
        let mut random = ChaCha8Rng::seed_from_u64(*seed);
        let mut evidence = Evidence::new(Tolerance::default(), 3);
        for _ in 0..200 {
            evidence.observe(&draw_busy(&mut random, Cohort::Baseline, 4.0, 10.0));
        }
        evidence.begin_stage(true);
        (0..300).any(|_| {
            evidence.observe(&draw_busy(&mut random, Cohort::Canary, 4.0, 20.0));
            evidence.rejection().is_some()
        })
    });
    let alarms = alarms.count();
    assert!(alarms <= 2, "{alarms} of 100 taken back");
}

/// Returns the evidence after calls that end as shortly before the end of a move: usual ones, and then
/// some of the old version that take `old_ms`, and all others of the new one that take `new_ms`.
fn end_of_move(old_ms: u64, new_ms: u64) -> Evidence {
    let mut evidence = Evidence::new(Tolerance::default(), 1);
    let mut calls = |cohort, count, ms| {
        for _ in 0..count {
            evidence.observe(&Observation {
                call: Some(Duration::from_millis(ms)),
                ..Observation::failure(cohort, "", false)
            });
        }
    };
    for _ in 0..60 {
        calls(Cohort::Baseline, 12, 60);
        calls(Cohort::Canary, 1, 60);
    }
    calls(Cohort::Baseline, 6, old_ms);
    calls(Cohort::Canary, 12, new_ms);
    evidence
}

#[test]
fn noise_that_begins_as_requests_are_shifted_raises_no_doubt() {
    assert_eq!(end_of_move(180, 180).doubt(), None);
    assert!(end_of_move(60, 180).doubt().is_some(), "a slow version");
}

#[test]
fn a_fault_of_one_route_is_detected_and_named() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut evidence = Evidence::new(Tolerance::default(), 4);
    let rejection = (0..20_000).find_map(|_| {
        let new = random.random_bool(0.05);
        let cohort = if new {
            Cohort::Canary
        } else {
            Cohort::Baseline
        };
        let mut observation = draw(&mut random, cohort, GOOD);
        let bad = new && &*observation.route == "GET /plots";
        observation.failed = Some(bad);
        evidence.observe(&observation);
        evidence.rejection()
    });
    let rejection = rejection.expect("the fault is found");
    assert!(rejection.contains("fails more often"), "{rejection}");
}
