//! Limits that servers name, shared by entries with different numbers of callers.

use std::time::Duration;

use medlarfall_coordination::server_limit::{Limit, Named, Returns, share};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two rounds of the simulation.
const STEP: Duration = Duration::from_millis(20);

/// Span over which the users count a server's requests.
const SPAN: Duration = Duration::from_secs(4);

/// Span over which entries compare their numbers of requests, in seconds.
const WINDOW: u32 = 10;

/// Requests of all entries a second, in units of the limit.
const DEMAND: u32 = 6;

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Part of a limit that is to be used under [`DEMAND`]. Entries that get less than a request a minute leave
/// some of it.
const USED: f64 = 0.5;

/// Length of the simulation.
const LENGTH: Duration = Duration::from_mins(1);

/// Lets entries send for [`LENGTH`] to a server that names `rate` requests a second, and returns when
/// each request was sent. Entry 0 gets half of all requests if `skewed`.
fn play(entries: u32, rate: u32, skewed: bool, seed: u64) -> Vec<Duration> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let all = rate * DEMAND * WINDOW;
    let requests_of = |entry: u32| match (skewed, entry) {
        (true, 0) => f64::from(all) / 2.0,
        (true, _) => f64::from(all) / 2.0 / f64::from(entries - 1),
        (false, _) => f64::from(all) / f64::from(entries),
    };
    let mut fleet: Vec<(Limit, f64, f64)> = Vec::new();
    for entry in 0..entries {
        let mut limit = Limit::default();
        let start = random.random_range(0.0..1.0);
        limit.record(Named::per_second(rate.into()), at(0), start);
        let requests = requests_of(entry);
        // A window has whole requests, at random more or fewer.
        let counted = (0..all).filter(|_| random.random_bool(requests / f64::from(all)));
        let own = u32::try_from(counted.count()).expect("few");
        let chance = requests / f64::from(WINDOW) * STEP.as_secs_f64();
        fleet.push((limit, share(own, all, entries), chance));
    }
    let mut sent = Vec::new();
    let mut now = at(0);
    while now < LENGTH {
        now += STEP;
        for (limit, share, chance) in &mut fleet {
            let requested = random.random_bool(chance.min(1.0));
            if requested && limit.wait(*share, now).is_zero() {
                limit.take(*share, now);
                sent.push(now);
            }
        }
    }
    sent
}

/// Returns the most requests within [`SPAN`].
fn most(sent: &[Duration]) -> usize {
    let within = |start: &Duration| {
        let span = sent
            .iter()
            .filter(|at| *at >= start && **at < *start + SPAN);
        span.count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("few"))
}

#[test]
fn entries_together_keep_to_a_servers_limit_and_use_most_of_it() {
    for (entries, rate) in [(1, 2), (6, 1), (6, 10), (75, 8), (295, 20), (1_500, 40)] {
        for skewed in [false, true].into_iter().take(entries.min(2) as usize) {
            let sent = play(entries, rate, skewed, u64::from(entries));
            let rate = f64::from(rate);
            let allowed = rate * SPAN.as_secs_f64();
            let most = number(most(&sent));
            assert!(
                most <= 1.5 * allowed + 5.0,
                "{entries} at {rate}: {most} in a span"
            );
            let used = number(sent.len()) / (rate * LENGTH.as_secs_f64());
            assert!(
                used > USED,
                "{entries} at {rate}: {used} of the limit is used"
            );
        }
    }
}

#[test]
fn a_limit_ends_when_an_answer_names_none() {
    let mut limit = Limit::default();
    limit.record(Named::per_second(0.0), at(1_000), 0.0);
    assert!(limit.wait(1.0, at(1_000)) >= Duration::from_mins(1));
    assert!(
        !limit.record(Named(None), at(900), 0.0),
        "older news are ignored"
    );
    assert!(limit.record(Named(None), at(1_500), 0.0));
    assert!(limit.wait(1.0, at(1_500)).is_zero());
}

#[test]
fn values_that_are_no_limit_name_none() {
    for value in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(Named::per_second(value), Named(None));
    }
}

#[test]
fn a_limit_is_announced_when_it_changes_and_now_and_then() {
    let mut limit = Limit::default();
    assert_eq!(limit.announce(at(1_000)), None);
    let named = Named::per_second(4.0);
    limit.record(named, at(1_000), 0.0);
    assert_eq!(limit.announce(at(1_000)), Some(named));
    assert_eq!(limit.announce(at(1_100)), None);
    assert_eq!(limit.announce(at(3_100)), Some(named));
    limit.record(Named(None), at(3_200), 0.0);
    assert_eq!(limit.announce(at(3_200)), Some(Named(None)));
    assert_eq!(limit.announce(at(9_000)), None);
}

#[test]
fn refused_callers_return_one_after_the_other() {
    let mut returns = Returns::default();
    let pauses: Vec<Duration> = (0..4)
        .map(|_| returns.next(at(100), 4.0, at(1_000)))
        .collect();
    assert_eq!(pauses, [at(100), at(350), at(600), at(850)]);
    assert_eq!(returns.next(at(100), 4.0, at(5_000)), at(100));
}

#[test]
fn callers_of_a_pause_that_has_ended_do_not_delay_those_of_the_next() {
    let mut returns = Returns::default();
    let mut next = |wait, now| returns.next_in_pause(at(wait), 1.0, at(now));
    assert_eq!(next(5_000, 1_000), at(5_000));
    assert_eq!(next(4_000, 2_000), at(5_000));
    assert_eq!(next(1_000, 5_000), at(3_000));
    assert_eq!(next(50, 6_000), at(50));
}
