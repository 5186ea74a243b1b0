//! Entries that are behind, with peers that fail, and with links that a large change fills.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use medlarfall_coordination::catch_up::{CatchUp, Source, Step};
use medlarfall_coordination::history::Revision;
use medlarfall_coordination::pacing::Transfers;
use medlarfall_coordination::propagation::Budget;

const OLD: Revision = at(7);
const NEW: Revision = at(9);
const STEP: Duration = Duration::from_millis(5);

const fn at(number: u64) -> Revision {
    Revision { era: 1, number }
}

fn address(entry: usize) -> SocketAddr {
    let port = u16::try_from(entry + 1).expect("few entries");
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Returns when an entry whose fetches from peers take `takes` and then fail reads the store.
fn reads_store_at(peers: usize, takes: Duration, budget: Budget) -> Duration {
    let mut state = CatchUp::new(budget, 0.5);
    for peer in 0..peers {
        state.record_peer(address(peer), NEW, OLD, Duration::ZERO);
    }
    let mut now = Duration::ZERO;
    loop {
        match state.next(OLD, Duration::ZERO, now) {
            Step::Idle => panic!("it is behind"),
            Step::Wait(until) => now = until,
            Step::Fetch { source, until } => {
                if source == Source::Store {
                    return now;
                }
                now = (now + takes).min(until);
                state.record_failure(source, 1.0, now);
            }
        }
    }
}

/// An entry kept asking peers whose responses it never accepted.
#[test]
fn an_entry_whose_peers_fail_reads_the_store_in_time() {
    for bound in [2, 3] {
        let budget = Budget::new(Duration::from_secs(bound));
        for peers in 1..=4 {
            for takes in [1, 100, 400, 5_000] {
                let reads_at = reads_store_at(peers, Duration::from_millis(takes), budget);
                assert!(
                    reads_at <= budget.peer_response(),
                    "{bound} s, {peers} peers that fail after {takes} ms: {reads_at:?}"
                );
            }
        }
    }
}

#[test]
fn an_entry_that_is_cut_off_from_the_store_asks_peers_again() {
    let mut state = CatchUp::new(Budget::default(), 0.0);
    state.record_peer(address(0), NEW, OLD, Duration::ZERO);
    let mut now = Duration::ZERO;
    let (mut peer, mut store) = (0, 0);
    while now < Duration::from_mins(1) {
        match state.next(OLD, Duration::ZERO, now) {
            Step::Idle => panic!("it is behind"),
            Step::Wait(until) => now = until,
            Step::Fetch { source, .. } => {
                match source {
                    Source::Peer(_) => peer += 1,
                    Source::Store => store += 1,
                }
                now += STEP;
                state.record_failure(source, 0.0, now);
            }
        }
    }
    assert!(peer >= 10 && store >= 10, "{peer} and {store}");
    assert!(peer + store <= 100, "{peer} and {store}");
}

#[test]
fn changes_that_follow_one_another_are_no_long_lag() {
    let mut state = CatchUp::new(Budget::default(), 0.0);
    let mut now = Duration::ZERO;
    for number in 10..200 {
        state.record_peer(address(0), at(number), at(number - 2), now);
        state.record_own(at(number - 2), now);
        let lag = state.lag(at(number - 2), now);
        assert!(lag.time <= STEP * 2, "{lag:?}");
        now += STEP;
    }
    let lag = state.record_own(at(500), now).expect("it was behind");
    assert!(lag.time <= STEP * 2 && lag.revisions <= 2, "{lag:?}");
    assert_eq!(state.next(at(500), Duration::ZERO, now), Step::Idle);
}

/// A change on its way over links that transfers share equally.
#[derive(Debug)]
struct Transfer {
    from: Option<usize>,
    to: usize,
    bits_left: f64,
    until: Duration,
}

/// A fleet of entries in three failure domains, of which only the hubs have fast links.
struct Fleet {
    budget: Budget,
    links: Vec<f64>,
    states: Vec<CatchUp>,
    senders: Vec<Transfers>,
    known_at: Vec<Option<Duration>>,
    fetching: Vec<bool>,
    transfers: Vec<Transfer>,
    now: Duration,
}

/// Entries of each failure domain that have fast links and are its hubs.
const HUBS: usize = 2;
const DOMAINS: usize = 3;
/// Speed of the store's link and of the fast and slow ones, in bits a second; callers use a quarter.
const STORE_LINK: f64 = 1e9;
const FAST: f64 = 200e6 * 0.75;
const SLOW: f64 = 10e6 * 0.75;
/// A value of 1 MiB that hardly compresses: at a peer, and in Base64.
const PEER_BITS: f64 = 780e3 * 8.0;
const STORE_BITS: f64 = 1.4e6 * 8.0;
/// Calls a second that the store takes from entries that catch up.
const STORE_CALLS_PER_S: f64 = 3_000.0;

impl Fleet {
    fn new(entries: usize, budget: Budget) -> Self {
        let is_hub = |entry: usize| entry < HUBS * DOMAINS;
        let part = |entry: usize| f64::from(u16::try_from(entry).unwrap()) * 0.618 % 1.0;
        Self {
            budget,
            links: (0..entries)
                .map(|entry| if is_hub(entry) { FAST } else { SLOW })
                .collect(),
            states: (0..entries)
                .map(|entry| CatchUp::new(budget, part(entry)))
                .collect(),
            senders: (0..entries)
                .map(|entry| Transfers::new(if is_hub(entry) { 200 } else { 10 }))
                .collect(),
            known_at: vec![None; entries],
            fetching: vec![false; entries],
            transfers: Vec::new(),
            now: Duration::ZERO,
        }
    }

    /// Lets an entry have the change, and announces that to those that it sends messages to.
    fn complete(&mut self, entry: usize) {
        self.known_at[entry] = Some(self.now);
        self.states[entry].record_own(NEW, self.now);
        // The readers are the hubs of the first failure domain.
        let reader = entry < HUBS;
        let domain = entry / HUBS;
        for other in 0..self.links.len() {
            let hub = other < HUBS * DOMAINS;
            let member = !hub && entry < HUBS * DOMAINS && other % DOMAINS == domain;
            if self.known_at[other].is_none() && (member || hub && reader) {
                self.states[other].record_peer(address(entry), NEW, OLD, self.now);
            }
        }
    }

    fn decide(&mut self, entry: usize) {
        let entries = f64::from(u32::try_from(self.links.len()).unwrap());
        let spread = Duration::from_secs_f64(entries / STORE_CALLS_PER_S);
        let Step::Fetch { source, until } = self.states[entry].next(OLD, spread, self.now) else {
            return;
        };
        let from = match source {
            Source::Store => None,
            Source::Peer(peer) => Some(usize::from(peer.port()) - 1),
        };
        if let Some(from) = from {
            let bytes = 780_000;
            let within = self.budget.transfer();
            if !self.senders[from].begin(bytes, within, self.now) {
                self.states[entry].record_failure(source, 0.5, self.now);
                return;
            }
        }
        self.fetching[entry] = true;
        self.transfers.push(Transfer {
            from,
            to: entry,
            bits_left: if from.is_some() {
                PEER_BITS
            } else {
                STORE_BITS
            },
            until,
        });
    }

    fn transfer(&mut self) {
        let mut uploads: HashMap<Option<usize>, f64> = HashMap::new();
        for transfer in &self.transfers {
            *uploads.entry(transfer.from).or_default() += 1.0;
        }
        let mut ended = Vec::new();
        let now = self.now;
        for transfer in &mut self.transfers {
            let link = transfer.from.map_or(STORE_LINK, |from| self.links[from]);
            let rate = (link / uploads[&transfer.from]).min(self.links[transfer.to]);
            transfer.bits_left -= rate * STEP.as_secs_f64();
            if transfer.bits_left <= 0.0 || now >= transfer.until {
                ended.push((transfer.to, transfer.from, transfer.bits_left <= 0.0));
            }
        }
        self.transfers
            .retain(|transfer| transfer.bits_left > 0.0 && now < transfer.until);
        for (entry, from, whole) in ended {
            self.fetching[entry] = false;
            if whole {
                self.complete(entry);
            } else {
                let source = from.map_or(Source::Store, |from| Source::Peer(address(from)));
                self.states[entry].record_failure(source, 0.5, now);
            }
        }
    }

    /// Returns when the last entry has the change that the readers get at the beginning.
    fn run(&mut self) -> Duration {
        for reader in 0..HUBS {
            self.fetching[reader] = true;
            self.transfers.push(Transfer {
                from: None,
                to: reader,
                bits_left: STORE_BITS,
                until: Duration::MAX,
            });
        }
        while self.known_at.iter().any(Option::is_none) {
            assert!(self.now < Duration::from_mins(1), "never complete");
            self.now += STEP;
            self.transfer();
            for entry in 0..self.links.len() {
                if self.known_at[entry].is_none() && !self.fetching[entry] {
                    self.decide(entry);
                }
            }
        }
        self.now
    }
}

/// Most entries have links of 10 Mbit/s. Hubs alone would send a megabyte to all of them for seconds.
#[test]
fn a_change_of_a_megabyte_is_at_every_entry_in_time() {
    let budget = Budget::new(Duration::from_secs(3));
    for entries in [9, 75, 300] {
        let complete_at = Fleet::new(entries, budget).run();
        assert!(
            complete_at <= budget.bound(),
            "{entries} entries: {complete_at:?}"
        );
    }
}
