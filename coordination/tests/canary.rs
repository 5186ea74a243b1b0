//! Simulated moves of a service: the requests that good and bad versions get over all entries, and
//! the verdicts.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::canary::{Bounds, Canary, Order, Reading, Verdict};
use medlarfall_coordination::evidence::{Cohort, Observation};
use medlarfall_coordination::history::Revision;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Limits of the platform on the requests that a bad version may receive.
const BOUNDS: Bounds = Bounds {
    share: 0.1,
    slack: 50.0,
};

/// Duration of the move.
const DURATION: Duration = Duration::from_secs(16);

/// Time at which the order is issued.
const START: Duration = Duration::from_secs(100);

/// Step of the simulated time, and the delay of messages between entries.
const STEP: Duration = Duration::from_millis(50);

/// A load and the behaviour of the new version under it.
#[derive(Clone, Copy)]
struct Case {
    entries: usize,
    per_second: f64,
    /// Share of the responses of either version that fail.
    usual_failures: f64,
    /// Further share of the new version's responses that fail after `from`.
    failures: f64,
    from: Duration,
    slowness: f64,
    /// Share of the new version's responses that are slower.
    slow_share: f64,
    /// Factor on the durations of both versions after `noise_from`.
    noise: f64,
    noise_from: Duration,
    /// Share of the responses of both versions that fail from `trouble_from` until `trouble_until`.
    trouble: f64,
    trouble_from: Duration,
    trouble_until: Duration,
}

impl Case {
    fn noise_at(&self, now: Duration) -> f64 {
        if now < START + self.noise_from {
            return 1.0;
        }
        self.noise
    }

    fn failures_at(&self, now: Duration) -> f64 {
        let trouble = START + self.trouble_from..START + self.trouble_until;
        if trouble.contains(&now) {
            return self.trouble;
        }
        self.usual_failures
    }
}

/// Observations at an entry of a calm service, `slow` of 14 of the new version's answers being slow.
fn observed(slow: usize) -> Canary {
    let mut entry = Canary::new(order(), BOUNDS, 0.5, true, START);
    let usual = |cohort| Observation {
        call: Some(Duration::from_millis(60)),
        ..Observation::failure(cohort, "", false)
    };
    for _ in 0..40 {
        entry.observe(usual(Cohort::Baseline), START);
    }
    for count in 0..14 {
        let factor = if count < slow { 8 } else { 1 };
        let observation = usual(Cohort::Canary);
        let call = observation.call.map(|call| call * factor);
        entry.observe(
            Observation {
                call,
                ..observation
            },
            START,
        );
    }
    // Durations of the new version count once the old one's follow.
    for _ in 0..10 {
        entry.observe(usual(Cohort::Baseline), START);
    }
    entry
}

const GOOD: Case = Case {
    entries: 6,
    per_second: 59.0,
    usual_failures: 0.05,
    failures: 0.0,
    from: Duration::ZERO,
    slowness: 1.0,
    slow_share: 1.0,
    noise: 1.0,
    noise_from: Duration::ZERO,
    trouble: 0.0,
    trouble_from: Duration::ZERO,
    trouble_until: Duration::ZERO,
};

/// The outcome of a simulated move.
#[derive(Debug)]
struct Outcome {
    new: f64,
    all: f64,
    verdicts: Vec<Verdict>,
    /// Requests to the new version later than 5 s after its 50th bad response.
    late: u32,
}

impl Outcome {
    fn within_bounds(&self) -> bool {
        self.new <= BOUNDS.share * self.all + BOUNDS.slack && self.late == 0
    }

    fn good(&self) -> bool {
        self.verdicts
            .iter()
            .all(|verdict| *verdict == Verdict::Good)
    }

    fn bad(&self) -> bool {
        self.verdicts
            .iter()
            .all(|verdict| *verdict != Verdict::Good)
    }
}

fn order() -> Order {
    Order {
        version: Arc::from("v2"),
        revision: Revision { era: 1, number: 7 },
        duration: DURATION,
    }
}

/// Simulates a move: requests arrive at random at all entries, which exchange reports each step.
fn simulate(case: Case, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut entries: Vec<Canary> = (0..case.entries)
        .map(|index| {
            let count = u32::try_from(case.entries).expect("few entries");
            let offset = f64::from(u32::try_from(index).expect("few entries")) / f64::from(count);
            Canary::new(order(), BOUNDS, offset, true, START)
        })
        .collect();
    let names: Vec<Arc<str>> = (0..case.entries)
        .map(|index| Arc::from(format!("entry-{index}")))
        .collect();
    let (mut new, mut all, mut late) = (0.0, 0.0, 0);
    let (mut bad_answers, mut fiftieth) = (0, None);
    let mut now = START;
    while now < START + DURATION {
        let expected = case.per_second * STEP.as_secs_f64();
        let mut remaining = expected;
        while remaining > 0.0 {
            let arrives = random.random_bool(remaining.min(1.0));
            remaining -= 1.0;
            if !arrives {
                continue;
            }
            let entry = random.random_range(0..case.entries);
            let count = u32::try_from(case.entries).expect("few entries");
            let cohort = entries[entry].assign(count, now);
            let is_new = cohort == Some(Cohort::Canary);
            all += 1.0;
            let worse = is_new && now >= START + case.from;
            if is_new {
                new += 1.0;
                let over = fiftieth.is_some_and(|at| now > at + Duration::from_secs(5));
                late += u32::from(over);
            }
            let failures = if worse { case.failures } else { 0.0 };
            let sound = (1.0 - case.failures_at(now)) * (1.0 - failures);
            let failed = random.random_bool(1.0 - sound);
            let slow = worse && (case.slow_share >= 1.0 || random.random_bool(case.slow_share));
            let factor = if slow { case.slowness } else { 1.0 };
            if worse && (failed || factor > 2.0) {
                bad_answers += 1;
                if bad_answers == 50 {
                    fiftieth = Some(now);
                }
            }
            let took = 60.0 * factor * case.noise_at(now) * random.random_range(0.6..1.6);
            let cohort = if is_new {
                Cohort::Canary
            } else {
                Cohort::Baseline
            };
            entries[entry].observe(
                Observation {
                    call: (!failed).then(|| Duration::from_secs_f64(took / 1_000.0)),
                    ..Observation::failure(cohort, "", failed)
                },
                now,
            );
        }
        now += STEP;
        let reports: Vec<_> = entries.iter().map(|entry| entry.report(now)).collect();
        for (index, entry) in entries.iter_mut().enumerate() {
            for (peer, report) in reports
                .iter()
                .enumerate()
                .filter(|(peer, _)| *peer != index)
            {
                entry.receive(&names[peer], report.clone(), now);
            }
            entry.conclude(now);
        }
    }
    let verdicts = entries.iter().map(|entry| entry.verdict().cloned());
    let verdicts = verdicts.map(|verdict| verdict.expect("each move ends in time"));
    Outcome {
        new,
        all,
        verdicts: verdicts.collect(),
        late,
    }
}

#[test]
fn good_versions_are_done_in_time_within_the_limits_for_a_bad_one() {
    let streams = Case {
        per_second: 6.2,
        usual_failures: 0.1,
        ..GOOD
    };
    let large = Case {
        entries: 81,
        per_second: 46.0,
        ..GOOD
    };
    for (name, case) in [("calls", GOOD), ("streams", streams), ("large", large)] {
        let outcomes: Vec<Outcome> = (0..10).map(|seed| simulate(case, seed)).collect();
        assert!(
            outcomes.iter().all(Outcome::within_bounds),
            "{name}: {outcomes:?}"
        );
        let good = outcomes.iter().filter(|outcome| outcome.good()).count();
        assert!(good >= 9, "{name}: {good} of 10 done, {outcomes:?}");
    }
}

#[test]
fn bad_versions_are_taken_back_within_their_limits() {
    let fails = Case {
        failures: 0.5,
        ..GOOD
    };
    let late = Case {
        from: Duration::from_secs(3),
        ..fails
    };
    let slow = Case {
        slowness: 8.0,
        ..GOOD
    };
    let large = Case {
        entries: 81,
        per_second: 46.0,
        failures: 0.42,
        ..GOOD
    };
    for (name, case) in [
        ("fails", fails),
        ("late", late),
        ("slow", slow),
        ("large", large),
    ] {
        for seed in 0..10 {
            let outcome = simulate(case, seed);
            assert!(outcome.within_bounds(), "{name}, seed {seed}: {outcome:?}");
            assert!(outcome.bad(), "{name}, seed {seed}: {outcome:?}");
        }
    }
}

/// The operators complete and keep a version that is not taken back.
#[test]
fn a_version_that_answers_one_request_in_five_slowly_is_not_kept() {
    let slow = Case {
        slowness: 8.0,
        slow_share: 0.2,
        ..GOOD
    };
    for seed in 0..20 {
        let outcome = simulate(slow, seed);
        assert!(outcome.within_bounds(), "seed {seed}: {outcome:?}");
        assert!(outcome.bad(), "seed {seed}: {outcome:?}");
    }
}

/// With many requests, the trial alone gives a slow version more than fifty bad answers, and the users
/// bear no further request 5 s after those.
#[test]
fn a_busy_service_leaves_a_slow_version_soon_after_its_fiftieth_bad_answer() {
    let busy = Case {
        entries: 81,
        per_second: 470.0,
        slowness: 8.0,
        slow_share: 0.2,
        ..GOOD
    };
    for seed in 0..5 {
        let outcome = simulate(busy, seed);
        assert!(outcome.bad(), "seed {seed}");
        assert_eq!(outcome.late, 0, "seed {seed}");
    }
    for seed in 0..5 {
        let good = Case {
            slowness: 1.0,
            ..busy
        };
        assert!(simulate(good, seed).good(), "seed {seed}");
    }
}

/// A version that turns bad after the shift of all requests to it must stay within the limits.
#[test]
fn a_version_that_turns_bad_at_the_end_stays_within_its_limits() {
    for seed in 0..10 {
        let outcome = simulate(
            Case {
                failures: 0.5,
                from: DURATION.saturating_sub(Duration::from_secs(1)),
                ..GOOD
            },
            seed,
        );
        assert!(outcome.within_bounds(), "seed {seed}: {outcome:?}");
    }
}

/// Streams at a time in which nine of ten fail at both versions.
const IN_TROUBLE: Case = Case {
    per_second: 6.2,
    usual_failures: 0.01,
    trouble: 0.9,
    trouble_from: Duration::from_secs(1),
    trouble_until: DURATION,
    ..GOOD
};

/// Returns how many of 20 simulated moves, all within the bounds, end as `ends` says.
fn count_of_20(name: &str, case: Case, ends: fn(&Outcome) -> bool) -> usize {
    let outcomes: Vec<Outcome> = (0..20).map(|seed| simulate(case, seed)).collect();
    assert!(outcomes.iter().all(Outcome::within_bounds), "{name}");
    outcomes.iter().filter(|outcome| ends(outcome)).count()
}

/// While both versions fail, no test can tell them apart. A version is accepted only if it is proved sound.
#[test]
fn a_bad_version_is_not_accepted_because_the_old_one_fails_too() {
    let streams = Case {
        failures: 0.5,
        ..IN_TROUBLE
    };
    let calls = Case {
        per_second: 59.0,
        ..streams
    };
    let milder = Case {
        trouble: 0.6,
        ..streams
    };
    let earlier = Case {
        trouble_until: Duration::from_secs(6),
        ..streams
    };
    let slow = Case {
        failures: 0.0,
        slowness: 8.0,
        ..streams
    };
    for (name, case) in [
        ("streams", streams),
        ("calls", calls),
        ("milder", milder),
        ("earlier", earlier),
        ("slow", slow),
    ] {
        let bad = count_of_20(name, case, Outcome::bad);
        assert!(bad >= 19, "{name}: {bad} of 20 taken back");
    }
}

/// The versions differ by less than chance among the few requests that a bad version may get.
#[test]
fn a_version_that_fails_one_stream_in_five_is_not_accepted_while_both_fail_as_many() {
    let one_in_five = Case {
        failures: 0.2,
        trouble: 0.2,
        ..IN_TROUBLE
    };
    let bad = count_of_20("one in five", one_in_five, Outcome::bad);
    assert!(bad >= 19, "{bad} of 20 taken back");
}

#[test]
fn a_good_version_is_done_after_a_time_in_which_both_versions_failed() {
    let streams = Case {
        trouble_until: Duration::from_secs(6),
        ..IN_TROUBLE
    };
    let calls = Case {
        per_second: 59.0,
        ..streams
    };
    let milder = Case {
        trouble: 0.06,
        trouble_until: DURATION,
        ..streams
    };
    for (name, case) in [("streams", streams), ("calls", calls), ("milder", milder)] {
        let good = count_of_20(name, case, Outcome::good);
        assert!(good >= 18, "{name}: {good} of 20 done");
    }
}

/// The shift leaves no requests to the old version, so noise that begins then looks like a slow version.
#[test]
fn noise_that_begins_in_the_final_shift_takes_no_good_version_back() {
    let noisy = Case {
        noise: 3.0,
        noise_from: DURATION.saturating_sub(Duration::from_secs(1)),
        ..GOOD
    };
    let good = (0..20).filter(|seed| simulate(noisy, *seed).good()).count();
    assert!(good >= 19, "{good} of 20 done");
}

#[test]
fn a_version_that_turns_slow_in_the_final_shift_is_taken_back() {
    let slow = Case {
        slowness: 8.0,
        from: DURATION.saturating_sub(Duration::from_secs(1)),
        ..GOOD
    };
    for seed in 0..20 {
        let outcome = simulate(slow, seed);
        assert!(outcome.bad(), "seed {seed}: {outcome:?}");
    }
}

#[test]
fn an_entry_that_does_not_know_the_age_of_the_order_sends_nothing_to_the_canary() {
    let mut entry = Canary::new(order(), BOUNDS, 0.0, false, START);
    assert_eq!(entry.assign(1, START), Some(Cohort::Baseline));
    assert!(!entry.conclude(START + Duration::from_secs(1)));
    assert!(entry.conclude(START + Duration::from_secs(3)));
    assert!(matches!(entry.verdict(), Some(Verdict::Bad { .. })));
}

/// A peer may have the proof that this entry lacks, but must not accept a version against its evidence.
#[test]
fn evidence_at_the_end_of_a_move_is_reported_and_lack_of_proof_is_not() {
    let end = START + DURATION;
    let mut idle = Canary::new(order(), BOUNDS, 0.5, true, START);
    assert!(idle.conclude(end));
    assert!(matches!(idle.verdict(), Some(Verdict::Bad { .. })));
    assert_eq!(idle.report(end).verdict, None);

    let mut sound = observed(0);
    assert!(sound.conclude(end));
    assert_eq!(sound.report(end).verdict, Some(Verdict::Good));

    let mut doubtful = observed(3);
    assert!(doubtful.verdict().is_none(), "not rejected before the end");
    assert!(doubtful.conclude(end));
    assert!(matches!(
        doubtful.report(end).verdict,
        Some(Verdict::Bad { .. })
    ));
}

#[test]
fn a_restarted_entry_takes_the_age_of_the_order_from_its_peers() {
    let mut peer = Canary::new(order(), BOUNDS, 0.5, true, START);
    peer.assign(2, START);
    let now = START + Duration::from_secs(10);
    let mut entry = Canary::new(order(), BOUNDS, 0.0, false, now);
    entry.receive(&Arc::from("peer"), peer.report(now), now);
    assert!(!entry.conclude(now + Duration::from_secs(4)));
    assert!(entry.conclude(START + DURATION));
}

#[test]
fn the_verdict_in_the_store_overrides_that_of_an_entry() {
    let mut entry = Canary::new(order(), BOUNDS, 0.5, true, START);
    entry.record(Verdict::Good);
    assert_eq!(entry.assign(1, START + DURATION), Some(Cohort::Canary));
    assert_eq!(entry.assign(1, START + DURATION * 2), None);
    entry.record(Verdict::Bad {
        reason: Arc::from("recorded"),
    });
    assert_eq!(
        entry.assign(1, START + DURATION * 2),
        Some(Cohort::Baseline)
    );
}

#[test]
fn an_order_that_is_read_after_a_restore_does_not_begin_its_move_anew() {
    let at = |era, number| Revision { era, number };
    let read = |version, revision| Order {
        version: Arc::from(version),
        revision,
        duration: DURATION,
    };
    let known = read("v2", at(1, 7));
    let cases = [
        (Some("v2"), at(2, 3), false, Reading::Repeated),
        (Some("v2"), at(2, 3), true, Reading::Repeated),
        (Some("v1"), at(2, 3), false, Reading::Unsettled),
        (Some("v1"), at(2, 3), true, Reading::Newer),
        (None, at(2, 3), false, Reading::Unsettled),
        (None, at(2, 3), true, Reading::Newer),
        (Some("v2"), at(1, 9), false, Reading::Repeated),
        (Some("v2"), at(1, 9), true, Reading::Newer),
        (Some("v3"), at(1, 9), false, Reading::Newer),
        (None, at(1, 9), true, Reading::Newer),
        (Some("v3"), at(1, 7), true, Reading::Stale),
        (None, at(1, 6), true, Reading::Stale),
    ];
    for (version, revision, settled, expected) in cases {
        let read = version.map(|version| read(version, revision));
        let reading = known.compare(read.as_ref(), revision, settled);
        assert_eq!(
            reading, expected,
            "{version:?} at {revision}, settled: {settled}"
        );
    }
}
