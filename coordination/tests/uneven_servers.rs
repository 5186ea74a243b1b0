//! Placement among servers of different and changing speed, by entries with out-of-date reports.
//!
//! Simulates calls: each server has a queue and reports its load when a call ends. The baselines are
//! homogeneous servers of the same total capacity, the placement by counted requests, and an oracle
//! that knows the queues and speeds of all servers at present.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use medlarfall_coordination::balance::{
    Candidate, Load, Preference, TimedCandidate, choose, choose_by_time,
};
use medlarfall_coordination::placement::{Proximity, name_hash};
use medlarfall_coordination::server_load::{Estimate, Report, Usual, Work};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DOMAINS: u32 = 4;
const SERVERS: u32 = 28;
const SLOTS: u32 = 4;
/// Mean duration of a call at the usual speed.
const CALL: Duration = Duration::from_millis(33);
/// Duration of a transient slowdown; the pauses between two of them are six times as long on average.
const SLOWDOWN: Duration = Duration::from_millis(500);
const SLOWDOWN_FACTOR: f64 = 2.5;
/// Period of the demand of a failure domain, which swings by half.
const PERIOD: f64 = 10.0;
const WARM_UP: Duration = Duration::from_secs(6);
const END: Duration = Duration::from_secs(26);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Method {
    Requests,
    Time,
    Oracle,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    method: Method,
    /// Whether servers differ in speed and are slow at times.
    uneven: bool,
    /// Whether the reported slowness contains the server's permanent speed.
    absolute: bool,
    entries: u32,
    /// Mean demand as a share of the capacity.
    demand: f64,
    seed: u64,
}

#[derive(Clone, Debug, Default)]
struct Server {
    /// Permanent factor on the duration of calls.
    factor: f64,
    slow_until: Duration,
    running: u32,
    queue: VecDeque<Call>,
}

impl Server {
    fn slowness(&self, now: Duration) -> f64 {
        if now < self.slow_until {
            SLOWDOWN_FACTOR
        } else {
            1.0
        }
    }

    fn waiting(&self) -> u32 {
        u32::try_from(self.queue.len()).expect("few")
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Call {
    entry: u32,
    server: u32,
    sent: Duration,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A call arrives in a failure domain.
    Arrival(u32),
    Reached(Call),
    Done(Call),
    /// The answer, with running and waiting calls and the slowness in percent when it was sent.
    Answered(Call, (u32, u32, u32)),
    Slow(u32),
}

/// 99th percentile of the wait for a slot and of the time to the answer, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    wait: f64,
    time: f64,
}

struct Simulation {
    scenario: Scenario,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    servers: Vec<Server>,
    hashes: Vec<u64>,
    known: Vec<Vec<(Load, Estimate)>>,
    usual: Vec<Usual>,
    waits: Vec<Duration>,
    times: Vec<Duration>,
}

fn is_near(server: u32, entry: u32) -> bool {
    server % DOMAINS == entry % DOMAINS
}

/// Returns the delay of a link one way.
fn delay(server: u32, entry: u32) -> Duration {
    Duration::from_micros(if is_near(server, entry) { 100 } else { 1_000 })
}

impl Simulation {
    fn run(scenario: Scenario) -> Outcome {
        let mut servers = vec![
            Server {
                factor: 1.0,
                ..Server::default()
            };
            SERVERS as usize
        ];
        if scenario.uneven {
            // From 0.7 to 1.7 times the usual duration in each failure domain, scaled to the capacity of
            // homogeneous servers.
            for (index, server) in (0..).zip(&mut servers) {
                server.factor = 0.7 + f64::from(index / DOMAINS) / f64::from(SERVERS / DOMAINS - 1);
            }
            let speeds: f64 = servers.iter().map(|server| 1.0 / server.factor).sum();
            let available = (6.0 + 1.0 / SLOWDOWN_FACTOR) / 7.0;
            for server in &mut servers {
                server.factor *= speeds / f64::from(SERVERS) * available;
            }
        }
        let known = vec![(Load::default(), Estimate::new(SLOTS)); SERVERS as usize];
        let mut simulation = Self {
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            events: BinaryHeap::new(),
            scheduled: 0,
            servers,
            hashes: (0..SERVERS)
                .map(|server| name_hash(&server.to_string()))
                .collect(),
            known: vec![known; scenario.entries as usize],
            usual: vec![Usual::default(); scenario.entries as usize],
            waits: Vec::new(),
            times: Vec::new(),
            scenario,
        };
        for domain in 0..DOMAINS {
            simulation.schedule(Duration::ZERO, Event::Arrival(domain));
        }
        for server in (0..SERVERS).filter(|_| scenario.uneven) {
            let first = SLOWDOWN * simulation.random.random_range(0..7);
            simulation.schedule(first, Event::Slow(server));
        }
        simulation.play();
        let percentile = |values: &mut Vec<Duration>| {
            values.sort_unstable();
            values[values.len() * 99 / 100].as_secs_f64() * 1e3
        };
        Outcome {
            wait: percentile(&mut simulation.waits),
            time: percentile(&mut simulation.times),
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn play(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > END {
                break;
            }
            self.handle(event, now);
        }
    }

    fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Arrival(domain) => {
                let phase = now.as_secs_f64() / PERIOD + f64::from(domain) / f64::from(DOMAINS);
                let swing = 1.0 + 0.5 * (phase * std::f64::consts::TAU).sin();
                let capacity = f64::from(SERVERS * SLOTS) / CALL.as_secs_f64();
                let rate = capacity * self.scenario.demand / f64::from(DOMAINS) * swing;
                let gap = -self.random.random::<f64>().max(1e-9).ln() / rate;
                self.schedule(now + Duration::from_secs_f64(gap), event);
                let local = self.random.random_range(0..self.scenario.entries / DOMAINS);
                let entry = local * DOMAINS + domain;
                let server = self.place(entry, now);
                let (load, estimate) = &mut self.known[entry as usize][server as usize];
                load.request_started();
                estimate.request_sent(now);
                let call = Call {
                    entry,
                    server,
                    sent: now,
                };
                self.schedule(now + delay(server, entry), Event::Reached(call));
            }
            Event::Reached(call) => {
                self.servers[call.server as usize].queue.push_back(call);
                self.start_calls(call.server, now);
            }
            Event::Done(call) => {
                let state = &mut self.servers[call.server as usize];
                state.running -= 1;
                let factor = if self.scenario.absolute {
                    state.factor
                } else {
                    1.0
                };
                // In whole percent, as in the load header.
                let percent = 100.0 * state.slowness(now) * factor;
                let percent = (0..1_000)
                    .find(|n| f64::from(*n) >= percent)
                    .expect("plausible");
                let report = (state.running, state.waiting(), percent);
                self.start_calls(call.server, now);
                let at = now + delay(call.server, call.entry);
                self.schedule(at, Event::Answered(call, report));
            }
            Event::Answered(call, (running, waiting, percent)) => {
                let (load, estimate) = &mut self.known[call.entry as usize][call.server as usize];
                load.record_report(running + waiting, now);
                load.request_ended();
                let report = Report::checked(running, waiting, Some(SLOTS), Some(percent.into()));
                estimate.record_report(report.expect("plausible"), now);
                estimate.request_ended(Some(now.saturating_sub(call.sent)), now);
                if now > WARM_UP {
                    self.times.push(now.saturating_sub(call.sent));
                }
            }
            Event::Slow(server) => {
                self.servers[server as usize].slow_until = now + SLOWDOWN;
                let pause = SLOWDOWN.mul_f64(self.random.random_range(5.0..9.0));
                self.schedule(now + pause, event);
            }
        }
    }

    fn start_calls(&mut self, server: u32, now: Duration) {
        let state = &mut self.servers[server as usize];
        let mut started = Vec::new();
        while state.running < SLOTS {
            let Some(call) = state.queue.pop_front() else {
                break;
            };
            state.running += 1;
            let length = self.random.random_range(0.5..1.5);
            let took = CALL.mul_f64(state.factor * state.slowness(now) * length);
            if now > WARM_UP {
                self.waits.push(now.saturating_sub(call.sent));
            }
            started.push((now + took, call));
        }
        for (done, call) in started {
            self.schedule(done, Event::Done(call));
        }
    }

    fn place(&mut self, entry: u32, now: Duration) -> u32 {
        let hash: u64 = self.random.random();
        let known = &mut self.known[entry as usize];
        let chosen = match self.scenario.method {
            Method::Requests => {
                let candidate = |server: u32| Candidate {
                    hash: self.hashes[server as usize],
                    proximity: if is_near(server, entry) {
                        Proximity::FailureDomain
                    } else {
                        Proximity::Region
                    },
                    requests: known[server as usize]
                        .0
                        .estimate(now, Duration::from_millis(100)),
                    slots: SLOTS,
                    failure_rate: 0.0,
                    suspect: false,
                };
                choose(&(0..SERVERS).map(candidate).collect::<Vec<_>>(), 0.5, hash)
            }
            Method::Time => {
                let usual = self.usual[entry as usize];
                let mut mean = 0.0;
                let candidate = |server: u32| {
                    let estimate = &mut known[server as usize].1;
                    estimate.set_usual(usual);
                    mean += estimate.usual(now).call / f64::from(SERVERS);
                    let time = estimate.expected_time(Work::Call, now).as_secs_f64();
                    TimedCandidate {
                        hash: self.hashes[server as usize],
                        time: time + if is_near(server, entry) { 0.0 } else { 0.004 },
                        failure_rate: 0.0,
                        suspect: false,
                    }
                };
                let candidates: Vec<TimedCandidate> = (0..SERVERS).map(candidate).collect();
                self.usual[entry as usize].call = mean;
                let preference = Preference {
                    usual: mean,
                    tolerance: mean * 0.05,
                    affinity: false,
                };
                choose_by_time(&candidates, preference, hash)
            }
            Method::Oracle => {
                let time = |server: u32| {
                    let state = &self.servers[server as usize];
                    let requests = f64::from(state.running + state.waiting());
                    let slots = f64::from(SLOTS);
                    let rounds = 1.0 + (requests + 1.0 - slots).max(0.0) / slots;
                    CALL.mul_f64(rounds * state.factor * state.slowness(now))
                        + 2 * delay(server, entry)
                };
                return (0..SERVERS)
                    .min_by_key(|server| time(*server))
                    .expect("servers");
            }
        };
        u32::try_from(chosen.expect("servers")).expect("few")
    }
}

/// Means of the outcomes of several seeds.
fn outcome(scenario: Scenario) -> Outcome {
    let seeds = 0..3;
    seeds.fold(Outcome::default(), |sum, seed| {
        let outcome = Simulation::run(Scenario { seed, ..scenario });
        Outcome {
            wait: sum.wait + outcome.wait / 3.0,
            time: sum.time + outcome.time / 3.0,
        }
    })
}

/// Callers wait for the whole answer. Uneven servers must not make the longest waits much longer than
/// homogeneous ones of the same total capacity.
#[test]
fn uneven_servers_answer_almost_as_fast_as_homogeneous_ones() {
    for demand in [0.6, 0.75] {
        let outcome = |method, uneven, absolute| {
            outcome(Scenario {
                method,
                uneven,
                absolute,
                entries: 12,
                demand,
                seed: 0,
            })
        };
        let even = outcome(Method::Requests, false, false);
        let by_requests = outcome(Method::Requests, true, false);
        let oracle = outcome(Method::Oracle, true, false);
        for absolute in [false, true] {
            let by_time = outcome(Method::Time, true, absolute);
            let context = format!("demand {demand}, absolute {absolute}: {by_time:?}");
            assert!(by_time.time <= 1.3 * even.time, "{context}, even {even:?}");
            assert!(
                by_time.time <= 0.6 * by_requests.time,
                "{context}, by requests {by_requests:?}"
            );
            assert!(
                by_time.time <= 1.25 * oracle.time,
                "{context}, oracle {oracle:?}"
            );
        }
        // Servers that are equal gain nothing from expected times, but must lose nothing.
        let by_time = outcome(Method::Time, false, false);
        assert!(
            by_time.time <= even.time && by_time.wait <= even.wait,
            "{by_time:?}, {even:?}"
        );
    }
}
