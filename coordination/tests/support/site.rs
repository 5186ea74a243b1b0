//! A small site with callers, entries and servers, whose events run in order of time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use medlarfall_coordination::room::shares::{sum, without};
use medlarfall_coordination::room::{
    Capacity, Decision, Demand, Key, Others, Request, Room, Ticket,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 3;
/// Calls that a server queues before it rejects further ones.
const QUEUE: usize = 24;
/// Time between two messages of an entry, and until the others have them.
const MESSAGES: u64 = 400_000;

/// A kind of requests, with times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Usual time at a server, for a stream until its first event.
    pub time: u64,
    pub slots: usize,
    pub deadline: u64,
    /// Whether entries tell each other their requests at each server, every 100 ms.
    pub counted: bool,
}

/// Calls.
pub const CALLS: Kind = Kind {
    time: 33_000,
    slots: 2,
    deadline: 1_000_000,
    counted: false,
};

/// Generations, whose prompts a server processes one after the other.
pub const STREAMS: Kind = Kind {
    time: 1_000_000,
    slots: 1,
    deadline: 30_000_000,
    counted: true,
};

impl Kind {
    /// Returns the requests a second that the servers complete.
    pub fn capacity(self) -> f64 {
        1e6 * f64::from(u32::try_from(SERVERS * self.slots).unwrap())
            / f64::from(u32::try_from(self.time).unwrap())
    }
}

/// How calls are admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// All are sent at once, to up to four servers; rejected callers return after 0.1 s.
    Today,
    /// By [`Room`].
    Shared,
    /// One entry that knows all servers admits those that will be on time.
    Oracle,
}

/// Callers of one account and priority.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    pub key: Key,
    /// Calls a second at all entries together, relative to the capacity.
    pub load: f64,
    /// Entries that they send to, from the first one on.
    pub entries: usize,
    pub target: u64,
}

/// What became of an account's calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub calls: f64,
    pub on_time: f64,
    pub served: f64,
    pub held_in_vain: f64,
    pub longest: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Call(usize),
    Arrival(usize),
    Answer { call: usize, server: usize },
    Message,
    Count,
    Poll(usize),
}

#[derive(Clone, Debug)]
struct Call {
    callers: usize,
    entry: usize,
    began: u64,
    tries: Vec<usize>,
    repeated: bool,
    ended: bool,
    waits: Option<(Ticket, u64)>,
    work: u64,
}

#[derive(Clone, Debug, Default)]
struct Server {
    running: usize,
    queue: std::collections::VecDeque<usize>,
}

struct Entry {
    room: Room,
    others: Others,
    /// Calls in progress at each server.
    own: Vec<usize>,
    /// Calls of the other entries at each server, as they said last.
    counted: Vec<usize>,
    held: HashMap<Ticket, usize>,
    shared: Vec<Demand>,
    alive: bool,
    error: f64,
    sent: usize,
}

/// The site.
pub struct Site {
    now: u64,
    kind: Kind,
    mode: Mode,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    random: ChaCha8Rng,
    callers: Vec<Callers>,
    calls: Vec<Call>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    /// Messages under way, with the time at which they arrive.
    heard: Vec<(u64, Vec<Vec<Demand>>)>,
    pub outcomes: BTreeMap<Key, Outcome>,
    pub counted_from: u64,
    /// Tries at servers.
    pub tries: u64,
    pub reports: bool,
    pub messages: bool,
}

const fn time(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

impl Site {
    pub fn new(kind: Kind, mode: Mode, entries: usize, callers: &[Callers], seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let entry = |random: &mut ChaCha8Rng| Entry {
            room: Room::default(),
            others: Others::default(),
            own: vec![0; SERVERS],
            counted: vec![0; SERVERS],
            held: HashMap::new(),
            shared: Vec::new(),
            alive: true,
            sent: random.random_range(0..SERVERS),
            error: random.random_range(0.93..1.07),
        };
        let mut site = Self {
            now: 0,
            kind,
            mode,
            events: BinaryHeap::new(),
            number: 0,
            callers: callers.to_vec(),
            calls: Vec::new(),
            servers: vec![Server::default(); SERVERS],
            entries: (0..entries).map(|_| entry(&mut random)).collect(),
            random,
            heard: Vec::new(),
            outcomes: BTreeMap::new(),
            counted_from: 0,
            tries: 0,
            reports: true,
            messages: true,
        };
        for index in 0..callers.len() {
            site.plan(0, Event::Call(index));
        }
        site.plan(0, Event::Message);
        if kind.counted {
            site.plan(0, Event::Count);
        }
        site
    }

    fn plan(&mut self, delay: u64, event: Event) {
        self.number += 1;
        self.events
            .push(Reverse((self.now + delay, self.number, event)));
    }

    /// Stops an entry: its callers use the others from now on.
    pub fn stop(&mut self, entry: usize) {
        self.entries[entry].alive = false;
    }

    pub fn room(&self, entry: usize) -> &Room {
        &self.entries[entry].room
    }

    /// Runs the events up to `until`, and counts the calls that begin from now on.
    pub fn run(&mut self, until: u64) {
        self.counted_from = self.now;
        self.outcomes.clear();
        self.tries = 0;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > until {
                self.events.push(Reverse((at, 0, event)));
                break;
            }
            self.now = at;
            match event {
                Event::Call(callers) => self.begin(callers),
                Event::Arrival(call) => self.arrive(call),
                Event::Answer { call, server } => self.answer(call, server),
                Event::Message => self.exchange(),
                Event::Count => self.count(),
                Event::Poll(entry) => self.poll(entry),
            }
        }
        self.now = until;
    }

    fn begin(&mut self, index: usize) {
        let callers = self.callers[index];
        let pause =
            -(1.0 - self.random.random::<f64>()).ln() * 1e6 / (callers.load * self.kind.capacity());
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "test"
        )]
        self.plan(pause as u64, Event::Call(index));
        let entries = callers.entries.min(self.entries.len());
        let mut entry = self.random.random_range(0..entries);
        while !self.entries[entry].alive {
            entry = (entry + 1) % self.entries.len();
        }
        self.calls.push(Call {
            callers: index,
            entry,
            began: self.now,
            tries: Vec::new(),
            repeated: false,
            ended: false,
            waits: None,
            work: self
                .random
                .random_range(self.kind.time * 7 / 10..self.kind.time * 13 / 10),
        });
        self.outcomes.entry(callers.key).or_default().calls += 1.0;
        self.arrive(self.calls.len() - 1);
    }

    fn capacity(&self, entry: usize) -> Capacity {
        let entry = &self.entries[entry];
        Capacity {
            rate: self.kind.capacity() * entry.error,
            time: time(self.kind.time),
        }
    }

    fn arrive(&mut self, index: usize) {
        let call = self.calls[index].clone();
        if self.now >= call.began + self.kind.deadline {
            return;
        }
        let callers = self.callers[call.callers];
        if self.mode == Mode::Oracle {
            let queued: usize = self.servers.iter().map(|server| server.queue.len()).sum();
            let busy = (queued as u64 + 1) * self.kind.time / (SERVERS * self.kind.slots) as u64;
            let margin = self.kind.time * 2;
            let all = self
                .servers
                .iter()
                .all(|server| server.running >= self.kind.slots);
            if all && self.now + busy + margin > call.began + callers.target {
                return self.reject(index, busy);
            }
            return self.send(index);
        }
        if self.mode == Mode::Today {
            return self.send(index);
        }
        let capacity = self.capacity(call.entry);
        let request = Request {
            key: callers.key,
            cost: 1.0,
            target: time((call.began + callers.target).saturating_sub(self.now)),
            deadline: time(call.began + self.kind.deadline - self.now),
        };
        let entry = &mut self.entries[call.entry];
        if self.reports {
            entry.room.observe(capacity, time(self.now));
        }
        match entry.room.arrive(request, &entry.others, time(self.now)) {
            Decision::Send => self.send(index),
            Decision::Wait { ticket, longest } => {
                entry.held.insert(ticket, index);
                let until = self.now + u64::try_from(longest.as_micros()).unwrap();
                self.calls[index].waits = Some((ticket, until));
                self.plan(5_000, Event::Poll(call.entry));
            }
            Decision::Reject { retry_after, .. } => {
                self.reject(index, u64::try_from(retry_after.as_micros()).unwrap());
            }
        }
    }

    fn poll(&mut self, index: usize) {
        let capacity = self.capacity(index);
        let entry = &mut self.entries[index];
        if self.reports {
            entry.room.observe(capacity, time(self.now));
        }
        for ticket in entry.room.poll(&entry.others, time(self.now)) {
            if let Some(call) = self.entries[index].held.remove(&ticket) {
                self.calls[call].waits = None;
                self.send(call);
            }
        }
        let held = self.entries[index].held.values().copied();
        let mut held: Vec<usize> = held.collect();
        held.sort_unstable();
        for call in held {
            let Some((ticket, until)) = self.calls[call].waits.filter(|(_, at)| *at <= self.now)
            else {
                continue;
            };
            debug_assert!(until <= self.now);
            let key = self.callers[self.calls[call].callers].key;
            self.outcomes.entry(key).or_default().held_in_vain += 1.0;
            let entry = &mut self.entries[index];
            entry.held.remove(&ticket);
            self.calls[call].waits = None;
            let pause = entry.room.give_up(ticket, key, time(self.now));
            self.reject(call, u64::try_from(pause.as_micros()).unwrap());
        }
        if !self.entries[index].held.is_empty() {
            self.plan(5_000, Event::Poll(index));
        }
    }

    fn send(&mut self, index: usize) {
        let call = &self.calls[index];
        let entry = &self.entries[call.entry];
        let oracle = self.mode == Mode::Oracle;
        let untried = (0..SERVERS).filter(|server| !call.tries.contains(server));
        let load = |server: usize| {
            if oracle {
                self.servers[server].running + self.servers[server].queue.len()
            } else {
                entry.own[server] + entry.counted[server]
            }
        };
        let sent = entry.sent;
        let hash = |server: usize| (server + sent) % SERVERS;
        let best = untried.min_by(|left, right| {
            let order = load(*left).cmp(&load(*right));
            order.then(hash(*left).cmp(&hash(*right)))
        });
        let Some(server) = best else {
            return self.reject(index, 100_000);
        };
        let (entry, callers) = (call.entry, call.callers);
        self.calls[index].tries.push(server);
        self.tries += 1;
        if self.servers[server].queue.len() < QUEUE {
            self.entries[entry].own[server] += 1;
            self.entries[entry].sent += 1;
            self.servers[server].queue.push_back(index);
            return self.start(server);
        }
        self.report(entry, server);
        let limit = match self.mode {
            Mode::Shared if self.entries[entry].room.is_tight() => 2,
            _ => 4,
        };
        let now = time(self.now);
        let room = &mut self.entries[entry].room;
        if self.mode == Mode::Shared && self.reports {
            room.record_rejection(now);
        }
        if self.calls[index].tries.len() < limit {
            return self.send(index);
        }
        let key = self.callers[callers].key;
        let pause = match self.mode {
            Mode::Shared => room.next_return(key, time(self.kind.time), now),
            _ => time(100_000),
        };
        self.reject(index, u64::try_from(pause.as_micros()).unwrap());
    }

    fn start(&mut self, server: usize) {
        while self.servers[server].running < self.kind.slots
            && let Some(call) = self.servers[server].queue.pop_front()
        {
            self.servers[server].running += 1;
            self.plan(self.calls[call].work, Event::Answer { call, server });
        }
    }

    fn report(&mut self, entry: usize, server: usize) {
        let all = self.servers[server].running + self.servers[server].queue.len();
        let excess = (all + 1).saturating_sub(self.kind.slots) as u64;
        let now = time(self.now);
        let entry = &mut self.entries[entry];
        if self.reports {
            let wait = time(excess * self.kind.time / self.kind.slots as u64);
            entry.room.record_wait(wait, now);
        }
    }

    fn answer(&mut self, index: usize, server: usize) {
        self.servers[server].running -= 1;
        self.start(server);
        let call = &mut self.calls[index];
        call.ended = true;
        let (entry, took) = (call.entry, self.now - call.began);
        let counted = call.began >= self.counted_from;
        let callers = self.callers[call.callers];
        self.entries[entry].own[server] -= 1;
        self.report(entry, server);
        if counted && took <= self.kind.deadline {
            let outcome = self.outcomes.entry(callers.key).or_default();
            outcome.served += 1.0;
            outcome.on_time += f64::from(u8::from(took <= callers.target));
            outcome.longest = outcome.longest.max(took);
        }
    }

    /// A rejected caller returns once, after at most a third of its remaining time.
    fn reject(&mut self, index: usize, pause: u64) {
        let remaining = (self.calls[index].began + self.kind.deadline).saturating_sub(self.now);
        let call = &mut self.calls[index];
        if !std::mem::replace(&mut call.repeated, true) {
            call.tries.clear();
            self.plan(pause.min(remaining / 3), Event::Arrival(index));
        }
    }

    fn count(&mut self) {
        self.plan(100_000, Event::Count);
        for server in 0..SERVERS {
            let all = self.servers[server].running + self.servers[server].queue.len();
            for entry in &mut self.entries {
                entry.counted[server] = all - entry.own[server];
            }
        }
        let queued = self
            .servers
            .iter()
            .map(|server| server.running + server.queue.len());
        let ahead = self.kind.time * queued.sum::<usize>() as u64;
        let wait = time(ahead / (SERVERS * self.kind.slots) as u64);
        for entry in self.entries.iter_mut().filter(|_| self.reports) {
            entry.room.record_wait(wait, time(self.now));
        }
    }

    fn exchange(&mut self) {
        self.plan(MESSAGES, Event::Message);
        if !self.messages {
            return;
        }
        let load: f64 = self.callers.iter().map(|callers| callers.load).sum();
        let rate = load * self.kind.capacity();
        let (now, arrived) = (
            self.now,
            self.heard.iter().rposition(|(at, _)| *at <= self.now),
        );
        if let Some(position) = arrived {
            let (_, demands) = self.heard.swap_remove(position);
            self.heard.truncate(position);
            let all = sum(demands.iter().flatten().copied());
            let alive = self.entries.iter().filter(|entry| entry.alive).count();
            for entry in &mut self.entries {
                entry.others.demand = without(&all, &entry.shared);
                entry.others.entries = u32::try_from(alive).unwrap();
                entry.others.rate = rate * (1.0 - 1.0 / f64::from(entry.others.entries));
            }
        }
        let demands = self.entries.iter_mut().map(|entry| {
            if !entry.alive {
                return Vec::new();
            }
            entry.shared = entry.room.demand(&entry.others, time(now));
            entry.shared.clone()
        });
        let demands = demands.collect();
        self.heard.push((now + MESSAGES, demands));
    }
}
