//! Properties of fenced orders with two holders, pauses, expired leases and lost responses.

use std::time::Duration;

use bolero::check;
use medlarfall_coordination::fencing::{Action, Answer, Holder, Outcome, Policy};

const TIMEOUT: u64 = 200;
const LEASE: u64 = 4 * TIMEOUT;
const POLICY: Policy = Policy {
    order_timeout: Duration::from_millis(TIMEOUT),
    attempts: 4,
};

/// A model of the store: the lock's holder with the end of its lease, and the revision.
#[derive(Default)]
struct Store {
    revision: u64,
    held: Option<(usize, u64)>,
}

impl Store {
    fn expire(&mut self, now: u64) {
        self.held = self.held.filter(|(_, until)| *until > now);
    }

    fn acquire(&mut self, holder_index: usize, now: u64) -> Option<u64> {
        self.expire(now);
        if self.held.is_some() {
            return None;
        }
        self.revision += 1;
        self.held = Some((holder_index, now + LEASE));
        Some(self.revision)
    }

    fn release(&mut self, holder_index: usize) {
        self.held = self.held.filter(|(holder, _)| *holder != holder_index);
    }
}

/// An order in flight to the server.
struct InFlight {
    holder_index: usize,
    run: u64,
    fencing: u64,
    arrives: u64,
    lost: bool,
}

/// A model of a server, with the fencing numbers of the orders that took effect, in sequence.
struct Server {
    enforces: bool,
    highest: u64,
    effects: Vec<u64>,
    state: usize,
}

impl Server {
    fn receive(&mut self, order: &InFlight) -> Answer {
        if self.enforces && order.fencing < self.highest {
            return Answer::Fenced;
        }
        self.highest = self.highest.max(order.fencing);
        self.effects.push(order.fencing);
        self.state = order.holder_index;
        Answer::Done
    }
}

/// Two holders that repeatedly send contradictory orders to one server.
struct World {
    now: u64,
    store: Store,
    server: Server,
    in_flight: Vec<InFlight>,
    holders: [Holder; 2],
    paused_until: [u64; 2],
    deadlines: [Option<u64>; 2],
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
            in_flight: Vec::new(),
            holders: [0, 1].map(|_| Holder::new(POLICY, enforces)),
            paused_until: [0; 2],
            deadlines: [None; 2],
            runs: [0; 2],
            achieved: 0,
        }
    }

    /// Advances the time by `by` milliseconds and delivers the orders that arrive in it.
    fn advance(&mut self, by: u64) {
        let end = self.now + by;
        self.in_flight.sort_by_key(|order| order.arrives);
        while self
            .in_flight
            .first()
            .is_some_and(|order| order.arrives <= end)
        {
            let order = self.in_flight.remove(0);
            self.now = order.arrives;
            let answer = self.server.receive(&order);
            let awaited = self.runs[order.holder_index] == order.run
                && self.deadlines[order.holder_index].is_some();
            if awaited && !order.lost {
                self.deadlines[order.holder_index] = None;
                self.holders[order.holder_index]
                    .record_answer(Duration::from_millis(self.now), answer);
            }
        }
        self.now = end;
        for holder_index in 0..2 {
            // Without a response within the timeout, the order counts as lost.
            if self.deadlines[holder_index].is_some_and(|deadline| deadline <= self.now) {
                self.deadlines[holder_index] = None;
                self.holders[holder_index]
                    .record_answer(Duration::from_millis(self.now), Answer::Lost);
            }
        }
    }

    /// Executes the next action of one holder.
    fn step(&mut self, holder_index: usize, delay: u64, lost: bool) {
        if self.paused_until[holder_index] > self.now || self.deadlines[holder_index].is_some() {
            return;
        }
        let now = Duration::from_millis(self.now);
        match self.holders[holder_index].next(now) {
            Action::Wait { .. } => {}
            Action::Acquire => {
                // An existing lock is not released here: its lease expires.
                if let Some(fencing) = self.store.acquire(holder_index, self.now) {
                    let until = Duration::from_millis(self.now + LEASE);
                    self.holders[holder_index].record_acquired(now, fencing, until);
                }
            }
            Action::Read => {
                let in_state = self.server.state == holder_index;
                self.holders[holder_index].record_read((!lost).then_some(in_state));
            }
            Action::Order { fencing } => {
                self.in_flight.push(InFlight {
                    holder_index,
                    run: self.runs[holder_index],
                    fencing,
                    arrives: self.now + delay % (2 * TIMEOUT),
                    lost,
                });
                // A closed connection reports the lost response before the timeout.
                let timeout = if lost { delay / 7 % TIMEOUT } else { TIMEOUT };
                self.deadlines[holder_index] = Some(self.now + timeout);
            }
            Action::End(ending) => {
                if ending.outcome == Outcome::Achieved {
                    self.achieved += 1;
                }
                if ending.release {
                    self.store.release(holder_index);
                }
                self.runs[holder_index] += 1;
                self.holders[holder_index] = Holder::new(POLICY, self.server.enforces);
            }
        }
    }
}

fn run(enforces: bool, events: &[(u8, u16, u16, bool)]) -> World {
    let mut world = World::new(enforces);
    for (kind, time, delay, lost) in events {
        let holder_index = usize::from(kind % 2);
        match kind / 2 % 8 {
            0 => world.paused_until[holder_index] = world.now + u64::from(time % 2_000),
            1 => world.advance(u64::from(time % 1_000)),
            _ => world.step(holder_index, u64::from(*delay), *lost),
        }
        world.advance(u64::from(time % 50));
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

/// Guards the property above against holders that never send an order.
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

/// Checks that the model detects holders that omit the waiting and reading that a server without
/// fencing requires.
#[test]
fn fencing_assumed_of_a_server_without_it_lets_an_old_order_win() {
    let mut world = World::new(false);
    // Both holders assume that the server enforces fencing.
    world.holders = [0, 1].map(|_| Holder::new(POLICY, true));
    world.step(0, 0, false);
    world.step(0, 2 * TIMEOUT - 1, false);
    world.store.release(0);
    world.step(1, 0, false);
    world.step(1, 0, false);
    world.advance(2 * TIMEOUT);
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
