//! Entries that share the limits on connections to some servers, without a network.

use std::time::Duration;

use medlarfall_coordination::connections::{Connections, Terms};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two rounds of the simulation.
const STEP: Duration = Duration::from_millis(1);

/// Length of the simulation, in rounds.
const ROUNDS: u32 = 20_000;

const SERVERS: usize = 3;
const SLOTS: u32 = 12;
const MOST: u32 = 48;

/// Time that a call takes in a slot.
const WORK: Duration = Duration::from_millis(33);

/// Whether entries keep the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    Kept,
    Ignored,
}

/// What happened to the calls.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    arrived: u32,
    served: u32,
    refused: u32,
    reset: u32,
}

impl Outcome {
    /// Returns a part of the calls that arrived.
    fn part(self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.arrived)
    }
}

/// A server: the calls with their entries and ends, and when its slots are free.
#[derive(Default)]
struct Server {
    calls: Vec<(usize, Duration)>,
    slots: Vec<Duration>,
}

impl Server {
    fn take(&mut self, entry: usize, now: Duration) {
        let first = self.slots.iter_mut().min().expect("slots");
        *first = (*first).max(now) + WORK;
        self.calls.push((entry, *first));
    }

    /// Returns the requests at the server, and those that wait.
    fn load(&self) -> (u32, u32) {
        let requests = u32::try_from(self.calls.len()).expect("few");
        (requests, requests.saturating_sub(SLOTS))
    }
}

fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("few"))
}

/// Sends calls at `factor` times the capacity of the servers; entry 0 gets half of them if `skewed`.
fn play(rule: Rule, entries: usize, factor: f64, skewed: bool, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut servers: Vec<Server> = (0..SERVERS)
        .map(|_| Server {
            calls: Vec::new(),
            slots: vec![Duration::ZERO; SLOTS as usize],
        })
        .collect();
    let mut known = vec![[Connections::default(); SERVERS]; entries];
    let others = entries - 1;
    let share_of = |entry: usize| match (skewed && others > 0, entry) {
        (true, 0) => 0.5,
        (true, _) => 0.5 / number(others),
        (false, _) => 1.0 / number(entries),
    };
    let capacity = number(SERVERS) * f64::from(SLOTS) / WORK.as_secs_f64();
    let pace = capacity * factor * STEP.as_secs_f64();
    let mut outcome = Outcome::default();
    let mut due = 0.0;
    for round in 0..ROUNDS {
        let now = STEP * round;
        for (number, server) in servers.iter_mut().enumerate() {
            let (requests, waiting) = server.load();
            server.calls.retain(|(entry, end)| {
                if *end <= now {
                    known[*entry][number].record_report(requests, waiting, now);
                    known[*entry][number].close();
                    outcome.served += 1;
                }
                *end > now
            });
        }
        due += pace;
        while due >= 1.0 {
            due -= 1.0;
            outcome.arrived += 1;
            let entry = if skewed && others > 0 && random.random_bool(0.5) {
                0
            } else {
                random.random_range(0..entries)
            };
            let has_room = |number: usize| {
                let terms = Terms {
                    most: MOST,
                    slots: SLOTS,
                    share: share_of(entry),
                    pair: (entry * SERVERS + number) as u64 + 1,
                };
                rule == Rule::Ignored || known[entry][number].has_room(&terms, now)
            };
            let usable: Vec<usize> = (0..SERVERS).filter(|number| has_room(*number)).collect();
            let Some(least) = usable.iter().min_by_key(|number| {
                let own = known[entry][**number].count();
                (own, random.random_range(0..100))
            }) else {
                outcome.refused += 1;
                continue;
            };
            let server = &mut servers[*least];
            let mine = &mut known[entry][*least];
            if server.load().0 >= MOST {
                mine.record_reset(now);
                outcome.reset += 1;
                continue;
            }
            mine.open();
            server.take(entry, now);
        }
    }
    outcome
}

fn cases() -> impl Iterator<Item = (usize, bool, u64)> {
    [(1, false), (9, false), (75, false), (75, true)]
        .into_iter()
        .flat_map(|(entries, skewed)| (0..4).map(move |seed| (entries, skewed, seed)))
}

/// Limits that hold requests back while there is room cost callers for nothing.
#[test]
fn nothing_is_refused_while_connections_are_far_from_the_limit() {
    for (entries, skewed, seed) in cases() {
        let outcome = play(Rule::Kept, entries, 0.5, skewed, seed);
        let case = format!("{entries} entries, {skewed}, seed {seed}: {outcome:?}");
        assert_eq!((outcome.refused, outcome.reset), (0, 0), "{case}");
    }
}

/// Connections beyond the limit are reset, and their requests may have run.
#[test]
fn few_connections_are_reset_beyond_the_capacity() {
    for (entries, skewed, seed) in cases() {
        for factor in [1.0, 2.0, 5.0] {
            let kept = play(Rule::Kept, entries, factor, skewed, seed);
            let ignored = play(Rule::Ignored, entries, factor, skewed, seed);
            let case =
                format!("{entries} entries, {skewed}, {factor}, seed {seed}: {kept:?} {ignored:?}");
            assert!(kept.part(kept.reset) <= 0.02, "{case}");
            assert!(
                f64::from(kept.served) >= 0.95 * f64::from(ignored.served),
                "{case}"
            );
            if factor > 1.0 {
                assert!(ignored.part(ignored.reset) > 0.4, "{case}");
            }
        }
    }
}
