//! Properties of orders with fencing: two holders, pauses, lapsed leases and lost answers.

use std::time::Duration;

use bolero::check;
use medlarfall_coordination::fencing::{Action, Answer, Holder, Outcome, Policy};

const TIMEOUT: u64 = 200;
const LEASE: u64 = 4 * TIMEOUT;
const POLICY: Policy = Policy {
    order_timeout: Duration::from_millis(TIMEOUT),
    attempts: 4,
};

/// The lock in the store: its holder, when its lease ends, and the store's revision.
#[derive(Default)]
struct Store {
    revision: u64,
    held: Option<(usize, u64)>,
}

impl Store {
    fn expire(&mut self, now: u64) {
        self.held = self.held.filter(|(_, until)| *until > now);
    }

    fn acquire(&mut self, who: usize, now: u64) -> Option<u64> {
        self.expire(now);
        if self.held.is_some() {
            return None;
        }
        self.revision += 1;
        self.held = Some((who, now + LEASE));
        Some(self.revision)
    }

    fn release(&mut self, who: usize) {
        self.held = self.held.filter(|(holder, _)| *holder != who);
    }
}

/// An order on its way to the server.
struct Flight {
    who: usize,
    run: u64,
    fencing: u64,
    arrives: u64,
    lost: bool,
}

/// A server, and the fencing numbers of the orders that had an effect, in their order.
struct Server {
    enforces: bool,
    highest: u64,
    effects: Vec<u64>,
    state: usize,
}

impl Server {
    fn take(&mut self, flight: &Flight) -> Answer {
        if self.enforces && flight.fencing < self.highest {
            return Answer::Fenced;
        }
        self.highest = self.highest.max(flight.fencing);
        self.effects.push(flight.fencing);
        self.state = flight.who;
        Answer::Done
    }
}

/// Two holders that give contrary orders, again and again, to one server.
struct World {
    now: u64,
    store: Store,
    server: Server,
    flights: Vec<Flight>,
    holders: [Holder; 2],
    paused_until: [u64; 2],
    awaits: [Option<u64>; 2],
    runs: [u64; 2],
    achieved: u64,
}

impl World {
    fn new(enforces: bool) -> Self {
        Self {
            now: 0,
            store: Store::default(),
            server: Server {
                enforces,
                highest: 0,
                effects: Vec::new(),
                state: usize::MAX,
            },
            flights: Vec::new(),
            holders: [0, 1].map(|_| Holder::new(POLICY, enforces)),
            paused_until: [0; 2],
            awaits: [None; 2],
            runs: [0; 2],
            achieved: 0,
        }
    }

    /// Lets `by` milliseconds pass and delivers what arrives in them.
    fn pass(&mut self, by: u64) {
        let end = self.now + by;
        self.flights.sort_by_key(|flight| flight.arrives);
        while self
            .flights
            .first()
            .is_some_and(|flight| flight.arrives <= end)
        {
            let flight = self.flights.remove(0);
            self.now = flight.arrives;
            let answer = self.server.take(&flight);
            let awaited = self.runs[flight.who] == flight.run && self.awaits[flight.who].is_some();
            if awaited && !flight.lost {
                self.awaits[flight.who] = None;
                self.holders[flight.who].record_answer(Duration::from_millis(self.now), answer);
            }
        }
        self.now = end;
        for who in 0..2 {
            // No answer came within the timeout: the order counts as lost.
            if self.awaits[who].is_some_and(|deadline| deadline <= self.now) {
                self.awaits[who] = None;
                self.holders[who].record_answer(Duration::from_millis(self.now), Answer::Lost);
            }
        }
    }

    /// Lets one holder take its next step.
    fn step(&mut self, who: usize, delay: u64, lost: bool) {
        if self.paused_until[who] > self.now || self.awaits[who].is_some() {
            return;
        }
        let now = Duration::from_millis(self.now);
        match self.holders[who].next(now) {
            Action::Wait { .. } => {}
            Action::Acquire => {
                // A lock that is held still is not given up: its lease runs out.
                if let Some(fencing) = self.store.acquire(who, self.now) {
                    let until = Duration::from_millis(self.now + LEASE);
                    self.holders[who].record_acquired(now, fencing, until);
                }
            }
            Action::Read => {
                let in_state = self.server.state == who;
                self.holders[who].record_read((!lost).then_some(in_state));
            }
            Action::Order { fencing } => {
                self.flights.push(Flight {
                    who,
                    run: self.runs[who],
                    fencing,
                    arrives: self.now + delay % (2 * TIMEOUT),
                    lost,
                });
                // A cut connection tells early that the answer is lost.
                let patience = if lost { delay / 7 % TIMEOUT } else { TIMEOUT };
                self.awaits[who] = Some(self.now + patience);
            }
            Action::End(ending) => {
                if ending.outcome == Outcome::Achieved {
                    self.achieved += 1;
                }
                if ending.release {
                    self.store.release(who);
                }
                self.runs[who] += 1;
                self.holders[who] = Holder::new(POLICY, self.server.enforces);
            }
        }
    }
}

fn run(enforces: bool, events: &[(u8, u16, u16, bool)]) -> World {
    let mut world = World::new(enforces);
    for (kind, time, delay, lost) in events {
        let who = usize::from(kind % 2);
        match kind / 2 % 8 {
            0 => world.paused_until[who] = world.now + u64::from(time % 2_000),
            1 => world.pass(u64::from(time % 1_000)),
            _ => world.step(who, u64::from(*delay), *lost),
        }
        world.pass(u64::from(time % 50));
    }
    world
}

#[test]
fn an_old_order_never_undoes_a_newer_one() {
    for enforces in [true, false] {
        check!()
            .with_type::<Vec<(u8, u16, u16, bool)>>()
            .for_each(|events| {
                let world = run(enforces, events);
                let effects = &world.server.effects;
                assert!(effects.is_sorted(), "enforces {enforces}: {effects:?}");
            });
    }
}

/// The property above is not met by doing nothing: holders that alternate achieve their orders.
#[test]
fn holders_that_take_turns_achieve_their_orders() {
    for enforces in [true, false] {
        let turns = [(4, 37, 20, false), (5, 37, 20, false)];
        let events = turns.repeat(2_000);
        let world = run(enforces, &events);
        assert!(world.achieved > 20, "{enforces}: {}", world.achieved);
        assert!(world.server.effects.len() > 20);
    }
}

/// A holder that ignores the rules for servers without fencing is caught by the same world.
#[test]
fn without_the_rules_an_old_order_undoes_a_newer_one() {
    let mut world = World::new(false);
    // Both order as if the server enforced fencing.
    world.holders = [0, 1].map(|_| Holder::new(POLICY, true));
    world.step(0, 0, false);
    world.step(0, 2 * TIMEOUT - 1, false);
    world.store.release(0);
    world.step(1, 0, false);
    world.step(1, 0, false);
    world.pass(2 * TIMEOUT);
    assert_eq!(world.server.effects, [2, 1]);
}

#[test]
fn a_lock_is_kept_while_an_order_may_be_in_flight() {
    let mut holder = Holder::new(POLICY, false);
    let at = Duration::from_millis;
    holder.record_acquired(at(0), 1, at(LEASE));
    assert_eq!(holder.next(at(0)), Action::Wait { until: at(TIMEOUT) });
    assert_eq!(holder.next(at(TIMEOUT)), Action::Read);
    holder.record_read(Some(false));
    assert_eq!(holder.next(at(TIMEOUT)), Action::Order { fencing: 1 });
    holder.record_answer(at(2 * TIMEOUT), Answer::Lost);
    assert_eq!(holder.next(at(2 * TIMEOUT)), Action::Read);
    holder.record_read(Some(true));
    let Action::End(ending) = holder.next(at(2 * TIMEOUT)) else {
        panic!("the order is achieved");
    };
    assert_eq!((ending.outcome, ending.release), (Outcome::Achieved, false));
}

#[test]
fn an_order_that_the_lease_may_not_outlast_is_not_sent() {
    let mut holder = Holder::new(POLICY, false);
    let at = Duration::from_millis;
    holder.record_acquired(at(0), 1, at(LEASE));
    holder.record_read(Some(false));
    assert_eq!(holder.next(at(LEASE - TIMEOUT + 1)), Action::Acquire);
}
