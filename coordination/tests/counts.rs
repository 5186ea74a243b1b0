//! Counts of requests on their way through messages between entries to the entry that reports usage.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::dissemination::{Contact, Content, Identity, Node, Own};
use medlarfall_coordination::propagation::Budget;
use medlarfall_coordination::usage::Counts;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WINDOW: Duration = Duration::from_secs(5);

/// Wall clock at the start, at the beginning of a window.
const STARTED_MS: u64 = 1_700_000_000_000;

/// Time after which a complete window is reported.
const SETTLE_MS: u64 = 2_400;

const DOMAINS: [&str; 3] = ["cage-a", "cage-b", "cage-c"];

/// Entries of a failure domain.
const ENTRIES: usize = 4;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

struct Fleet {
    random: ChaCha8Rng,
    nodes: Vec<Option<Node>>,
    /// Error of each entry's wall clock, in milliseconds.
    clock_errors: Vec<u64>,
    loss: f64,
    /// Whether the entries count requests.
    counting: bool,
    /// Failure domain that is cut off.
    cut_off: Option<usize>,
    truth: BTreeMap<u64, Counts>,
    /// Messages with counts that were sent.
    with_counts: usize,
}

fn contact(index: usize) -> Contact {
    Contact {
        entry: Arc::from(format!("entry-{index:02}")),
        address: SocketAddr::from(([127, 0, 0, 1], u16::try_from(7_000 + index).unwrap())),
        link_mbps: 1_000,
    }
}

fn domain(index: usize) -> Arc<str> {
    Arc::from(DOMAINS[index / ENTRIES])
}

impl Fleet {
    fn new(seed: u64, counting: bool) -> Self {
        let number = DOMAINS.len() * ENTRIES;
        let mut fleet = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..number).map(|_| None).collect(),
            clock_errors: vec![0; number],
            loss: 0.0,
            counting,
            cut_off: None,
            truth: BTreeMap::new(),
            with_counts: 0,
        };
        for index in 0..number {
            fleet.start(index, counting, 0);
        }
        fleet
    }

    fn start(&mut self, index: usize, counting: bool, now_ms: u64) {
        let identity = Identity {
            contact: contact(index),
            failure_domain: domain(index),
        };
        let mut node = Node::new(identity, Budget::default(), at(now_ms));
        if counting {
            let incarnation = self.random.random();
            node.enable_counts(incarnation, WINDOW, self.wall_ms(index, now_ms));
            node.set_usage_holder(Some(contact(0).entry));
        }
        for other in 0..self.nodes.len() {
            node.record_registration(&contact(other).entry, Some((domain(other), contact(other))));
        }
        self.nodes[index] = Some(node);
    }

    fn wall_ms(&self, index: usize, now_ms: u64) -> u64 {
        STARTED_MS + self.clock_errors[index] + now_ms
    }

    /// Lets requests begin to run, and delivers the messages of all entries.
    fn step(&mut self, now_ms: u64, requests: f64) {
        for index in 0..self.nodes.len() {
            let wall_ms = self.wall_ms(index, now_ms);
            let Some(node) = &mut self.nodes[index] else {
                continue;
            };
            if self.random.random_bool(requests) {
                let account = Arc::from(format!("account-{}", self.random.random_range(0..20)));
                node.count_request(&account, wall_ms, at(now_ms));
                let window = (STARTED_MS + now_ms) / 5_000;
                *self
                    .truth
                    .entry(window)
                    .or_default()
                    .entry(account)
                    .or_default() += 1;
            }
            node.set_own(Own {
                store_available: true,
                wall_ms: self.counting.then_some(wall_ms),
                ..Own::default()
            });
            let outgoing = node.poll(at(now_ms));
            for message in outgoing {
                self.with_counts += usize::from(match &message.message.content {
                    Content::Report(report) => report.counts.is_some(),
                    Content::Digest(digest) => digest.counts.is_some(),
                });
                for recipient in message.recipients {
                    let to = usize::from(recipient.port()) - 7_000;
                    let crosses = index / ENTRIES != to / ENTRIES;
                    let cut = self.cut_off.filter(|_| crosses);
                    let cut = cut.is_some_and(|cut| cut == index / ENTRIES || cut == to / ENTRIES);
                    if cut || self.random.random_bool(self.loss) {
                        continue;
                    }
                    if let Some(node) = &mut self.nodes[to] {
                        node.receive(contact(index).address, message.message.clone(), at(now_ms));
                    }
                }
            }
        }
    }

    /// Runs until a time and returns it.
    fn run(&mut self, from_ms: u64, until_ms: u64, requests: f64) -> u64 {
        for now_ms in (from_ms..until_ms).step_by(10) {
            self.step(now_ms, requests);
        }
        until_ms
    }

    /// Returns what the holder knows of a window that ended the settling time ago.
    fn count(&mut self, now_ms: u64) -> (u64, medlarfall_coordination::usage::Count) {
        let window = (STARTED_MS + now_ms - SETTLE_MS) / 5_000 - 1;
        let wall_ms = self.wall_ms(0, now_ms);
        let holder = self.nodes[0].as_mut().expect("running");
        (window, holder.usage_count(window, wall_ms, at(now_ms)))
    }
}

/// Guards against counts that are incomplete when a window is reported, with lost messages, and with the wall
/// clock of one entry that is wrong by a minute.
#[test]
fn the_holder_knows_all_counts_when_a_window_is_reported() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, true);
        fleet.loss = 0.05;
        fleet.clock_errors[usize::try_from(seed).unwrap()] = 60_000;
        let mut now_ms = fleet.run(0, 5_000, 0.0);
        let mut complete = 0;
        for _ in 0..6 {
            now_ms = fleet.run(now_ms, now_ms + SETTLE_MS, 0.3);
            if now_ms > 10_000 {
                let (window, count) = fleet.count(now_ms);
                let truth = fleet.truth.get(&window).cloned().unwrap_or_default();
                if count.waiting.is_empty() {
                    assert_eq!(count.counts, truth, "seed {seed}: window {window}");
                    assert!(!count.gap, "seed {seed}");
                    complete += 1;
                }
                for node in fleet.nodes.iter_mut().flatten() {
                    node.settle_usage(window, at(now_ms));
                }
            }
            now_ms = fleet.run(now_ms, now_ms.next_multiple_of(5_000), 0.3);
        }
        assert!(
            complete >= 4,
            "seed {seed}: {complete} of 5 windows complete"
        );
    }
}

/// Guards against a failure domain that is left out without a sign when it is cut off.
#[test]
fn a_failure_domain_that_is_cut_off_is_waited_for() {
    let mut fleet = Fleet::new(1, true);
    let now_ms = fleet.run(0, 11_000, 0.3);
    fleet.cut_off = Some(1);
    let now_ms = fleet.run(now_ms, 15_000 + SETTLE_MS, 0.3);
    let (_, count) = fleet.count(now_ms);
    assert_eq!(count.waiting, [domain(ENTRIES)]);
    let missing = f64::from(u32::try_from(count.missing).unwrap());
    let known: u64 = count.counts.values().sum();
    assert!(
        missing > 0.1 * f64::from(u32::try_from(known).unwrap()),
        "{count:?}"
    );
    // It is connected again before the window is due.
    fleet.cut_off = None;
    let now_ms = fleet.run(now_ms, now_ms + 2_000, 0.0);
    let window = (STARTED_MS + 10_000) / 5_000;
    let wall_ms = fleet.wall_ms(0, now_ms);
    let holder = fleet.nodes[0].as_mut().expect("running");
    let count = holder.usage_count(window, wall_ms, at(now_ms));
    assert_eq!(Some(&count.counts), fleet.truth.get(&window));
}

/// Guards against new bytes from entries that do no duties.
#[test]
fn entries_without_duties_send_no_counts() {
    let mut fleet = Fleet::new(1, false);
    fleet.run(0, 6_000, 0.0);
    assert_eq!(fleet.with_counts, 0);
}
