//! Retry budgets: retries never exceed the reserve plus the share of successes.

use std::sync::Arc;
use std::time::Duration;

use bolero::check;
use medlarfall_coordination::retry_budget::{Backoff, Bounds, Budget, Others, Policy, Window};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn retries_stay_within_reserve_and_share() {
    check!().with_type::<Vec<bool>>().for_each(|events| {
        let policy = Policy {
            share: 0.2,
            reserve: 3.0,
            ceiling: 5.0,
        };
        let mut budget = Budget::new(policy);
        let (mut successes, mut retries) = (0_u32, 0_u32);
        for retry in events {
            if *retry {
                retries += u32::from(budget.withdraw());
            } else {
                budget.record_success();
                successes += 1;
            }
            let allowed = policy.reserve + policy.share * f64::from(successes);
            assert!(f64::from(retries) <= allowed + 1e-6);
        }
    });
}

#[test]
fn what_was_saved_up_is_bounded() {
    let policy = Policy {
        share: 1.0,
        reserve: 0.0,
        ceiling: 5.0,
    };
    let mut budget = Budget::new(policy);
    for _ in 0..100 {
        budget.record_success();
    }
    let taken = (0..100).filter(|_| budget.withdraw()).count();
    assert_eq!(taken, 5);
}

#[test]
fn pauses_stay_below_the_ceiling_and_the_deadline() {
    check!()
        .with_type::<(u32, u16, u64)>()
        .for_each(|(retry, remains, seed)| {
            let backoff = Backoff {
                base: Duration::from_millis(10),
                ceiling: Duration::from_millis(200),
            };
            let remains = Duration::from_millis(u64::from(*remains));
            let mut rng = ChaCha8Rng::seed_from_u64(*seed);
            let pause = backoff.pause(*retry, remains, &mut rng);
            assert!(pause.is_none_or(|pause| pause <= backoff.ceiling && pause < remains));
        });
}

const BOUNDS: Bounds = Bounds {
    share: 0.8,
    reserve: 150.0,
    span: Duration::from_secs(10),
};

/// Plays an entry of 81 that has a request every other second for ten seconds, when four of its
/// streams are lost at once, and returns how many of them may be repeated.
#[test]
fn what_requests_allow_is_there_when_servers_crash_together() {
    let mut window = Window::new(BOUNDS);
    for request in 0..10_u64 {
        window.request(Duration::from_secs(20 + request * 2));
    }
    let now = Duration::from_secs(39);
    let reserve = BOUNDS.reserve / 81.0;
    let repeated = (0..4)
        .filter(|_| window.withdraw(reserve, &Others::default(), 0, now))
        .count();
    assert_eq!(repeated, 4);
    assert!(
        (0..10)
            .filter(|_| window.withdraw(reserve, &Others::default(), 0, now))
            .count()
            < 2
    );
}

/// A span that ends with a repeat has no more of them than its requests allow; spans that end later
/// may also count the requests before them.
#[test]
fn no_span_that_ends_with_a_repeat_has_more_than_requests_allow() {
    check!().with_type::<Vec<(bool, u8)>>().for_each(|events| {
        let mut window = Window::new(BOUNDS);
        let mut now = Duration::from_secs(100);
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (repeat, pause) in events {
            now += Duration::from_millis(u64::from(*pause) * 20);
            if !repeat {
                window.request(now);
                requests.push(now);
                continue;
            }
            if !window.withdraw(3.0, &Others::default(), 0, now) {
                continue;
            }
            repeats.push(now);
            // Whole parts are forgotten at a time, up to a tenth of the span too early.
            let since = |times: &[Duration], span: Duration| {
                let recent = times
                    .iter()
                    .filter(|time| **time > now.saturating_sub(span));
                u32::try_from(recent.count()).map_or(f64::MAX, f64::from)
            };
            let most = 3.0 + BOUNDS.share * since(&requests, BOUNDS.span);
            assert!(since(&repeats, BOUNDS.span * 9 / 10) <= most + 1e-6);
        }
    });
}

/// Entries of the users' grown site, and their streams a second.
const ENTRIES: usize = 81;
const PER_SECOND: f64 = 46.0;

/// What the users' platform allows; entries keep to `BOUNDS_KEPT`, which leaves room for what is
/// told late.
const BOUNDS_KEPT: Bounds = Bounds {
    share: 0.6,
    reserve: 127.0,
    span: Duration::from_secs(10),
};

/// Time until all know what an entry used.
const TOLD_AFTER: Duration = Duration::from_millis(350);

/// A fleet that plays requests and repeats in steps.
struct Fleet {
    names: Vec<Arc<str>>,
    windows: Vec<Window>,
    others: Vec<Others>,
    told_at: Duration,
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            names: (0..ENTRIES)
                .map(|entry| Arc::from(format!("entry-{entry}")))
                .collect(),
            windows: vec![Window::new(BOUNDS_KEPT); ENTRIES],
            others: vec![Others::default(); ENTRIES],
            told_at: Duration::ZERO,
            requests: Vec::new(),
            repeats: Vec::new(),
        }
    }

    fn request(&mut self, entry: usize, now: Duration) {
        self.windows[entry].request(now);
        self.requests.push(now);
    }

    fn repeat(&mut self, entry: usize, now: Duration) -> bool {
        let part = f64::max(BOUNDS_KEPT.reserve / 81.0, 3.0);
        let taken = self.windows[entry].withdraw(part, &self.others[entry], 80, now);
        if taken {
            self.repeats.push(now);
        }
        taken
    }

    fn tell(&mut self, now: Duration) {
        if now.saturating_sub(self.told_at) < TOLD_AFTER {
            return;
        }
        self.told_at = now;
        for peer in 0..ENTRIES {
            let usage = self.windows[peer].usage(now);
            for (entry, others) in self.others.iter_mut().enumerate() {
                if entry != peer {
                    others.record(&self.names[peer], usage, now);
                }
            }
        }
    }

    /// Returns the most repeats of a span that ends with a repeat, against what is allowed.
    fn worst(&self) -> f64 {
        let within = |times: &[Duration], end: Duration| {
            let recent = times
                .iter()
                .filter(|at| **at <= end && end.saturating_sub(**at) < BOUNDS.span);
            u32::try_from(recent.count()).map_or(f64::MAX, f64::from)
        };
        let share = |end: &Duration| {
            let allowed = BOUNDS.share * within(&self.requests, *end) + BOUNDS.reserve;
            within(&self.repeats, *end) / allowed
        };
        self.repeats.iter().map(share).fold(0.0, f64::max)
    }
}

/// Plays the streams of a fleet whose requests fail with the chance that `fails` gives for a moment,
/// and are repeated four times at most; returns the fleet, and how many were given up for want of a
/// repeat.
fn play(seed: u64, fails: impl Fn(u32) -> f64) -> (Fleet, u32) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new();
    let mut given_up = 0;
    for step in 0..1_000_u32 {
        let now = Duration::from_secs(20) + Duration::from_millis(25) * step;
        fleet.tell(now);
        if !random.random_bool((PER_SECOND * 0.025_f64 / 2.0).min(1.0)) {
            continue;
        }
        for _ in 0..2 {
            let entry = random.random_range(0..ENTRIES);
            fleet.request(entry, now);
            for _ in 0..4 {
                if !random.random_bool(fails(step)) {
                    break;
                }
                if !fleet.repeat(entry, now) {
                    given_up += 1;
                    break;
                }
            }
        }
    }
    (fleet, given_up)
}

#[test]
fn a_fleet_whose_servers_all_fail_stays_within_what_is_allowed() {
    for seed in 0..5 {
        let (fleet, given_up) = play(seed, |step| if step < 400 { 0.0 } else { 1.0 });
        let worst = fleet.worst();
        assert!(worst <= 1.0, "seed {seed}: {worst} of what is allowed");
        assert!(given_up > 0, "seed {seed}: the limit was reached");
    }
}

/// Twenty entries lose six streams each, and lose them again seven seconds later: each needs more
/// than its own part, and the fleet uses less than half of what it may.
#[test]
fn entries_that_lose_many_streams_take_what_the_others_leave() {
    let (mut fleet, _) = play(1, |_| 0.0);
    let first = Duration::from_secs(46);
    for loss in [first, first + Duration::from_secs(7)] {
        fleet.tell(loss);
        for entry in 0..20 {
            fleet.request(entry, loss);
            for stream in 0..6 {
                assert!(fleet.repeat(entry, loss), "entry {entry}, stream {stream}");
            }
        }
    }
    assert!(fleet.worst() <= 1.0, "{}", fleet.worst());
}
