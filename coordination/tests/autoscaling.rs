//! Orders of servers under loads that vary, against no scaling and an oracle that knows the load.

use std::collections::BTreeMap;
use std::f64::consts::TAU;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::autoscaling::{
    Demand, Domain, Fleet, Observation, Servers, WINDOW, need,
};
use medlarfall_coordination::routing::Autoscaling;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Offsets of swings, in periods.
const PHASES: [f64; 4] = [0.0, 0.25, 0.5, 0.75];
const SERVERS: u32 = 44;
const LIMITS: Autoscaling = Autoscaling {
    min: 19,
    max: 46,
    startup: Duration::from_secs(8),
};
/// Requests a second at the entries of a failure domain on a calm day.
const RATE: f64 = 14.25;
const PROMPT: u64 = 5_200;
/// Time of a server for a prompt and for a whole request, in seconds.
const PREFILL: f64 = 1.04;
const REQUEST: f64 = 1.9;
const TICK: Duration = Duration::from_millis(250);
const TICKS_PER_SECOND: u32 = 4;
/// Age of the counts, in ticks: entries report once a second.
const LAG_TICKS: usize = 3;

/// What happens at a time (in seconds) in the failure domain with an index.
#[derive(Clone, Copy)]
struct Scenario {
    /// Requests a second.
    rate: fn(f64, usize) -> f64,
    /// Share of the servers that is lost.
    lost: fn(f64, usize) -> f64,
    /// Whether the demand of the entries is known.
    known: fn(f64, usize) -> bool,
    rollout: fn(f64) -> bool,
    seconds: u32,
}

const CALM: Scenario = Scenario {
    rate: |at, _| if (4.0..38.0).contains(&at) { RATE } else { 0.0 },
    lost: |_, _| 0.0,
    known: |_, _| true,
    rollout: |_| false,
    seconds: 43,
};

/// What a run costs, and how it serves.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    server_seconds: f64,
    /// Share of the time in which there were fewer servers than the work occupies.
    short: f64,
    lowest: u32,
    orders: u32,
}

/// The servers of one failure domain at the platform.
#[derive(Clone, Default)]
struct Platform {
    ready: u32,
    starting: Vec<Duration>,
}

impl Platform {
    fn order(&mut self, desired: u32, now: Duration) {
        let all = self.ready + u32::try_from(self.starting.len()).unwrap();
        for _ in all..desired {
            self.starting.push(now + LIMITS.startup);
        }
        for _ in desired..all {
            if self.starting.pop().is_none() {
                self.ready -= 1;
            }
        }
    }

    fn advance(&mut self, now: Duration) {
        let before = self.starting.len();
        self.starting.retain(|at| *at > now);
        self.ready += u32::try_from(before - self.starting.len()).unwrap();
    }
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Mode {
    Unscaled,
    Scaled,
    Oracle,
}

/// Runs a scenario from a number of servers in each failure domain.
fn run(scenario: &Scenario, mode: Mode, initial: u32, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(LIMITS);
    let mut platforms = DOMAINS.map(|_| Platform {
        ready: initial,
        ..Platform::default()
    });
    let mut arrivals = DOMAINS.map(|_| Vec::<u32>::new());
    let mut outcome = Outcome {
        server_seconds: 0.0,
        short: 0.0,
        lowest: u32::MAX,
        orders: 0,
    };
    let ticks = scenario.seconds * TICKS_PER_SECOND;
    for tick in 0..ticks {
        let now = TICK * tick;
        let at = now.as_secs_f64();
        let mut work = 0.0;
        let mut capacity = 0.0;
        for (index, platform) in platforms.iter_mut().enumerate() {
            platform.advance(now);
            let rate = (scenario.rate)(at, index);
            arrivals[index].push(arrive(rate * TICK.as_secs_f64(), &mut rng));
            work += rate * PREFILL;
            capacity += f64::from(platform.ready) * (1.0 - (scenario.lost)(at, index));
            let billed = platform.ready + u32::try_from(platform.starting.len()).unwrap();
            outcome.server_seconds += f64::from(billed) * TICK.as_secs_f64();
        }
        outcome.short += f64::from(u8::from(capacity < work)) / f64::from(ticks);
        if tick % TICKS_PER_SECOND != 0 || mode == Mode::Unscaled {
            continue;
        }
        let observation = observe(scenario, &platforms, &arrivals, at);
        fleet.observe(&observation, now);
        for (index, platform) in platforms.iter_mut().enumerate() {
            let known = fleet.order(DOMAINS[index], now).map(|order| order.desired);
            let desired = match mode {
                Mode::Oracle => Some(best(scenario, at)),
                _ => known,
            };
            let Some(desired) = desired else { continue };
            outcome.lowest = outcome.lowest.min(desired);
            let all = platform.ready + u32::try_from(platform.starting.len()).unwrap();
            outcome.orders += u32::from(all != desired);
            platform.order(desired, now);
        }
    }
    outcome
}

/// Draws a number of arrivals with a Poisson distribution.
fn arrive(mean: f64, rng: &mut ChaCha8Rng) -> u32 {
    let mut product: f64 = rng.random();
    let mut number = 0;
    while product > (-mean).exp() {
        product *= rng.random::<f64>();
        number += 1;
    }
    number
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small numbers of servers"
)]
fn whole(number: f64) -> u32 {
    number as u32
}

/// Returns the number for a failure domain by the rates of the time until new servers serve.
fn best(scenario: &Scenario, at: f64) -> u32 {
    let work = |at: f64, index| (scenario.rate)(at, index) * PREFILL;
    let need = |at: f64| {
        let total = (0..DOMAINS.len()).map(|index| work(at, index)).sum();
        need::of_domain(total, 0.0, 4, (scenario.rollout)(at))
    };
    let horizon = (0..10_u32).map(|ahead| need(at + f64::from(ahead)));
    whole(horizon.fold(0.0, f64::max).ceil()).clamp(LIMITS.min, LIMITS.max)
}

fn observe(
    scenario: &Scenario,
    platforms: &[Platform],
    arrivals: &[Vec<u32>],
    at: f64,
) -> Observation {
    let window = (WINDOW.as_millis() / TICK.as_millis()) as usize;
    let domain = |index: usize| {
        let recent = arrivals[index].iter().rev().skip(LAG_TICKS).take(window);
        let requests: u32 = recent.sum();
        let rate = f64::from(requests) / WINDOW.as_secs_f64();
        let demand = Demand {
            entries: 19,
            requests,
            prompt_tokens: u64::from(requests) * PROMPT,
            running: whole(rate * REQUEST),
            waiting: whole(rate * PREFILL),
            measured: requests.min(40),
            prefill_ns: u64::from(requests.min(40)) * 200_000,
        };
        let ready = platforms[index].ready;
        let lost = f64::from(ready) * (scenario.lost)(at, index);
        Domain {
            demand: (scenario.known)(at, index).then_some(demand),
            servers: Servers {
                ready,
                suspect: whole(lost),
                ..Servers::default()
            },
        }
    };
    let domains = DOMAINS.iter().enumerate();
    let domains: BTreeMap<Arc<str>, Domain> = domains
        .map(|(index, name)| (Arc::from(*name), domain(index)))
        .collect();
    Observation {
        domains,
        slots: 12,
        memory_tokens: 55_000,
        backups: false,
        rollout: (scenario.rollout)(at),
    }
}

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Checks a scenario against the bounds: server-seconds relative to no scaling, and those relative to the
/// oracle; and the share of time with too few servers beyond that without scaling.
fn check(name: &str, scenario: &Scenario, of_unscaled: f64, of_oracle: f64, short: f64) {
    for seed in SEEDS {
        let unscaled = run(scenario, Mode::Unscaled, SERVERS, seed);
        let oracle = run(scenario, Mode::Oracle, SERVERS, seed);
        let scaled = run(scenario, Mode::Scaled, SERVERS, seed);
        println!("{name} {seed}: unscaled {unscaled:?}\n  oracle {oracle:?}\n  scaled {scaled:?}");
        assert!(
            scaled.server_seconds <= unscaled.server_seconds * of_unscaled,
            "{name} {seed}"
        );
        assert!(
            scaled.server_seconds <= oracle.server_seconds * of_oracle,
            "{name} {seed}"
        );
        assert!(
            scaled.short <= unscaled.short + short,
            "{name} {seed}: {}",
            scaled.short
        );
        assert!(
            scaled.orders <= scenario.seconds,
            "{name} {seed}: {} orders",
            scaled.orders
        );
    }
}

/// Guards against idle servers that are billed all day.
#[test]
fn releases_idle_servers_on_a_calm_day() {
    check("calm", &CALM, 0.7, 1.3, 0.0);
}

/// Guards against servers released during a crash, and orders that follow each crash.
#[test]
fn keeps_headroom_for_crashes() {
    let crashes = Scenario {
        lost: |at, index| {
            let turn = usize::try_from(whole(at / 6.5)).unwrap() % DOMAINS.len();
            if turn == index && at % 6.5 < 1.2 {
                0.9
            } else {
                0.0
            }
        },
        ..CALM
    };
    check("crashes", &crashes, 0.72, 1.3, 0.0);
}

/// Guards against orders that come too late for a load that triples within 15 s. It is served by the least
/// number of servers at first, so the growth would have to be seen within 4 s; among random arrivals that
/// takes up to 9 s, with counts of a second before.
#[test]
fn anticipates_growth() {
    let growing = Scenario {
        rate: |at, _| RATE * (0.5 + (at - 15.0).clamp(0.0, 15.0) / 15.0),
        seconds: 60,
        ..CALM
    };
    check("growth", &growing, 0.95, 1.2, 5.0 / 60.0);
}

/// Guards against a fleet that stays small after a sudden step up, or large after one down. Servers are too
/// few for their startup time and until the entries' counts show the step.
#[test]
fn follows_steps() {
    let step = Scenario {
        rate: |at, _| {
            if (20.0..50.0).contains(&at) {
                RATE * 1.6
            } else {
                RATE * 0.7
            }
        },
        seconds: 80,
        ..CALM
    };
    check("steps", &step, 0.9, 1.3, 11.0 / 80.0);
}

/// Guards against following the swings of single failure domains, whose sum is constant.
#[test]
fn serves_swings_in_other_phases() {
    let swings = Scenario {
        rate: |at, index| RATE * (1.0 + 0.5 * (TAU * (at / 30.0 + PHASES[index])).sin()),
        seconds: 80,
        ..CALM
    };
    check("swings", &swings, 0.7, 1.25, 0.0);
}

/// Guards against servers that are released in each trough of a load that swings as a whole. Remembering the
/// crests costs servers that the oracle, which knows the troughs, does not need.
#[test]
fn serves_swings_in_the_same_phase() {
    let swings = Scenario {
        rate: |at, _| RATE * (1.0 + 0.5 * (TAU * at / 30.0).sin()),
        seconds: 120,
        ..CALM
    };
    check("swings of all", &swings, 1.0, 1.5, 0.0);
}

/// Guards against lowering any order while a failure domain is lost, and against too few servers in the
/// others.
#[test]
fn replaces_a_lost_failure_domain() {
    let lost = Scenario {
        lost: |at, index| if at >= 20.0 && index == 1 { 1.0 } else { 0.0 },
        seconds: 40,
        ..CALM
    };
    for seed in SEEDS {
        let outcome = run(&lost, Mode::Scaled, SERVERS, seed);
        println!("lost {seed}: {outcome:?}");
        assert!(outcome.short <= 0.0, "{seed}: {}", outcome.short);
        let at = Duration::from_secs(35);
        let mut fleet = Fleet::new(LIMITS);
        let (before, after) = orders_around_loss(&lost, &mut fleet, at, seed);
        assert!(after > before, "{seed}: {before} to {after}");
    }
}

/// Returns the order of a failure domain before another is lost, and at a time after it.
fn orders_around_loss(
    scenario: &Scenario,
    fleet: &mut Fleet,
    until: Duration,
    seed: u64,
) -> (u32, u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let platforms = DOMAINS.map(|_| Platform {
        ready: 24,
        ..Platform::default()
    });
    let mut arrivals = DOMAINS.map(|_| Vec::new());
    let mut orders = (0, 0);
    let mut now = Duration::ZERO;
    while now < until {
        now += TICK;
        for (index, arrivals) in arrivals.iter_mut().enumerate() {
            let rate = (scenario.rate)(now.as_secs_f64(), index);
            arrivals.push(arrive(rate * TICK.as_secs_f64(), &mut rng));
        }
        if now.subsec_nanos() > 0 {
            continue;
        }
        fleet.observe(
            &observe(scenario, &platforms, &arrivals, now.as_secs_f64()),
            now,
        );
        if let Some(order) = fleet.order("a", now) {
            if now < Duration::from_secs(20) {
                orders.0 = order.desired;
            }
            orders.1 = order.desired;
        }
    }
    orders
}

/// Guards against servers released while a rollout needs both versions.
#[test]
fn adds_servers_during_a_rollout() {
    let rollout = Scenario {
        rollout: |at| (15.0..30.0).contains(&at),
        ..CALM
    };
    for seed in SEEDS {
        let calm = run(&CALM, Mode::Scaled, SERVERS, seed);
        let outcome = run(&rollout, Mode::Scaled, SERVERS, seed);
        println!("rollout {seed}: {outcome:?}");
        assert!(outcome.server_seconds > calm.server_seconds * 1.05);
        assert!(outcome.short <= 0.0);
    }
}

/// Guards against orders by an entry that does not know the load: without requests, and with the counts of a
/// failure domain missing.
#[test]
fn keeps_servers_while_the_load_is_unknown() {
    let idle = Scenario {
        rate: |_, _| 0.0,
        ..CALM
    };
    let missing = Scenario {
        known: |_, index| index != 2,
        ..CALM
    };
    for scenario in [idle, missing] {
        let outcome = run(&scenario, Mode::Scaled, SERVERS, 1);
        assert!(outcome.lowest >= SERVERS, "{outcome:?}");
    }
}

/// Guards against lower orders when the counts of a failure domain are lost after a while.
#[test]
fn keeps_the_order_when_counts_become_stale() {
    let stale = Scenario {
        known: |at, index| at < 15.0 || index != 2,
        seconds: 38,
        ..CALM
    };
    let until = Scenario {
        seconds: 15,
        ..stale
    };
    for seed in SEEDS {
        let before = run(&until, Mode::Scaled, SERVERS, seed);
        let after = run(&stale, Mode::Scaled, SERVERS, seed);
        assert!(after.lowest >= before.lowest, "{before:?} {after:?}");
    }
}

/// Guards against an order below the need when another entry takes over.
#[test]
fn takes_over_without_lowering_at_once() {
    let platforms = DOMAINS.map(|_| Platform {
        ready: 24,
        ..Platform::default()
    });
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let arrivals = DOMAINS.map(|_| {
        let numbers = (0..200).map(|_| arrive(RATE * TICK.as_secs_f64(), &mut rng));
        numbers.collect::<Vec<u32>>()
    });
    let mut fleet = Fleet::new(LIMITS);
    for second in 0..3 {
        let now = Duration::from_secs(second);
        fleet.observe(&observe(&CALM, &platforms, &arrivals, 20.0), now);
        assert_eq!(fleet.order("a", now), None, "the load is not known yet");
    }
    for second in 3..15 {
        let now = Duration::from_secs(second);
        fleet.observe(&observe(&CALM, &platforms, &arrivals, 20.0), now);
        let order = fleet.order("a", now).unwrap();
        assert!((22..=28).contains(&order.desired), "{order:?}");
    }
}
