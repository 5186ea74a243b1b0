//! Claims under any interleaving of calls, lost responses and crashes, with a model of the store
//! and the service: a call runs at most once, and no outcome denies a run.

use std::sync::Arc;
use std::time::Duration;

use bolero::check;
use medlarfall_coordination::claim::{
    Action, Answer, Call, Claimer, Cleanup, Held, Input, Ledger, Limits, Outcome, Record, Status,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 3;
const CALLS: usize = 8;

/// A message to the store, a claimer or the service.
#[derive(Clone, Debug)]
enum Message {
    Put(Record, u64),
    Read,
    Withdraw(Claimer),
    Delete(u64),
    QueryClaimer(Claimer),
    Send(usize),
}

/// A message in flight, the call that waits for its answer, and the answer after it took effect.
#[derive(Clone, Debug)]
struct InFlight {
    message: Message,
    waiter: Option<usize>,
    answer: Option<Input>,
    applied: bool,
}

struct Running {
    entry: usize,
    call: Call,
    prepared: bool,
    dead: bool,
    runs: u32,
    outcome: Option<Outcome>,
}

/// A model of a store, a service and entries; the test input selects the next event.
struct World {
    ledgers: Vec<Ledger>,
    incarnations: u64,
    calls: Vec<Running>,
    in_flight: Vec<InFlight>,
    stored: Vec<Option<Held>>,
    revision: u64,
    answered: Option<Answer>,
    now: Duration,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            ledgers: Vec::new(),
            incarnations: 0,
            calls: Vec::new(),
            in_flight: Vec::new(),
            stored: vec![None],
            revision: 0,
            answered: None,
            now: Duration::ZERO,
        };
        for entry in 0..ENTRIES {
            let ledger = world.ledger(entry);
            world.ledgers.push(ledger);
        }
        world
    }

    fn ledger(&mut self, entry: usize) -> Ledger {
        self.incarnations += 1;
        let incarnation = self.incarnations.to_string();
        Ledger::new(format!("entry-{entry}").into(), incarnation.into(), 2, 1024)
    }

    fn begin(&mut self, entry: usize) {
        if self.calls.len() == CALLS {
            return;
        }
        let claimer = self.ledgers[entry].open();
        let limits = Limits::default();
        let (call, action) = Call::begin(claimer, "binding".into(), limits, self.now);
        self.calls.push(Running {
            entry,
            call,
            prepared: false,
            dead: false,
            runs: 0,
            outcome: None,
        });
        self.execute(self.calls.len() - 1, action);
    }

    fn execute(&mut self, index: usize, action: Action) {
        let message = match action {
            Action::Put { record, expected } => Message::Put(record, expected),
            Action::Read => Message::Read,
            Action::QueryClaimer(claimer) => Message::QueryClaimer(claimer),
            Action::Prepare => {
                self.calls[index].prepared = true;
                return;
            }
            Action::Send => Message::Send(index),
            Action::Finish(outcome) => return self.finish(index, outcome),
        };
        self.enqueue(message, Some(index));
    }

    fn enqueue(&mut self, message: Message, waiter: Option<usize>) {
        self.in_flight.push(InFlight {
            message,
            waiter,
            answer: None,
            applied: false,
        });
    }

    fn finish(&mut self, index: usize, outcome: Outcome) {
        if let Outcome::RanBefore(answer) = &outcome {
            assert_eq!(Some(answer), self.answered.as_ref(), "a wrong answer");
        }
        let running = &mut self.calls[index];
        running.outcome = Some(outcome);
        let claimer = running.call.claimer().clone();
        self.ledgers[running.entry].close(claimer.sequence, running.call.status());
        match running.call.cleanup() {
            Cleanup::Nothing => {}
            Cleanup::Keep { record, expected } => {
                self.enqueue(Message::Put(record, expected), None);
            }
            Cleanup::Delete { expected } => self.enqueue(Message::Delete(expected), None),
            Cleanup::Withdraw => self.enqueue(Message::Withdraw(claimer), None),
        }
    }

    fn input(&mut self, index: usize, input: Input) {
        if self.calls[index].dead {
            return;
        }
        let action = self.calls[index].call.step(input, self.now);
        self.execute(index, action);
    }

    fn current(&self) -> Option<Held> {
        self.stored.last().cloned().flatten()
    }

    fn write(&mut self, record: Option<Record>, expected: u64) -> Input {
        let current = self.current();
        if current.as_ref().map_or(0, |held| held.revision) != expected {
            return Input::Conflict(current);
        }
        self.revision += 1;
        let revision = self.revision;
        self.stored
            .push(record.map(|record| Held { record, revision }));
        Input::Written(revision)
    }

    /// Applies a message: a read returns the state `age` changes ago, and the service may refuse.
    fn apply(&mut self, position: usize, age: usize, refused: bool) {
        if std::mem::replace(&mut self.in_flight[position].applied, true) {
            return;
        }
        let flight = self.in_flight[position].clone();
        let past = self.stored[self.stored.len() - 1 - age % self.stored.len()].clone();
        let answer = match flight.message {
            Message::Put(record, expected) => self.write(Some(record), expected),
            Message::Read => Input::Found(past),
            Message::Withdraw(claimer) => {
                let own = past.filter(|held| held.record.claimer == claimer);
                if let Some(held) = own.filter(|held| held.record.answer.is_none()) {
                    self.enqueue(Message::Delete(held.revision), None);
                }
                Input::Lost
            }
            Message::Delete(expected) => self.write(None, expected),
            Message::QueryClaimer(claimer) => {
                let status = self
                    .ledgers
                    .iter()
                    .find_map(|ledger| ledger.status(&claimer));
                Input::Status(status)
            }
            Message::Send(_) if refused => Input::Refused,
            Message::Send(index) => Input::Replied(self.run(index)),
        };
        self.in_flight[position].answer = Some(answer);
    }

    fn run(&mut self, index: usize) -> Answer {
        self.calls[index].runs += 1;
        let answer = Answer {
            status: 200,
            content_type: Some(Arc::from(index.to_string())),
            body: None,
        };
        assert!(self.answered.replace(answer.clone()).is_none(), "ran twice");
        answer
    }

    /// Delivers an answer or loses it; a message without an answer may still take effect later.
    fn deliver(&mut self, position: usize, lost: bool) {
        let flight = self.in_flight[position].clone();
        let Some(index) = flight.waiter.filter(|_| flight.answer.is_some() || lost) else {
            return;
        };
        let input = match (&flight.message, flight.answer.clone()) {
            (_, Some(answer)) if !lost => answer,
            (Message::Send(_), _) => Input::AnswerLost,
            (Message::QueryClaimer(_), _) => Input::Status(None),
            (Message::Put(..), None) if position.is_multiple_of(2) => Input::Unavailable,
            _ => Input::Lost,
        };
        self.in_flight[position].waiter = None;
        if self.calls[index].outcome.is_none() {
            self.input(index, input);
        }
    }

    fn kill(&mut self, entry: usize) {
        for running in &mut self.calls {
            running.dead |= running.entry == entry;
        }
        let ledger = self.ledger(entry);
        self.ledgers[entry] = ledger;
    }

    fn event(&mut self, kind: u8, which: u8) {
        self.in_flight
            .retain(|flight| !flight.applied || flight.waiter.is_some());
        let which = usize::from(which);
        let position = which % self.in_flight.len().max(1);
        match kind % 16 {
            0 | 1 => self.begin(which % ENTRIES),
            2..=5 if position < self.in_flight.len() => self.apply(position, 0, which / 16 == 0),
            6 if position < self.in_flight.len() => {
                self.apply(position, which / 8, which / 16 == 0);
            }
            7..=10 if position < self.in_flight.len() => self.deliver(position, false),
            11 if position < self.in_flight.len() => self.deliver(position, true),
            12 | 13 if !self.calls.is_empty() => {
                let index = which % self.calls.len();
                if std::mem::take(&mut self.calls[index].prepared) {
                    self.input(index, Input::Prepared);
                }
            }
            14 => self.now += Duration::from_millis(which as u64 * 20),
            15 => self.kill(which % ENTRIES),
            _ => {}
        }
    }

    fn check(&self) {
        let runs: u32 = self.calls.iter().map(|running| running.runs).sum();
        assert!(runs <= 1, "ran twice");
        for running in &self.calls {
            let not_run = matches!(running.outcome, Some(Outcome::NotRun(_)));
            assert!(
                !not_run || running.runs == 0,
                "reported as not run but ran: {:?}",
                running.outcome
            );
            let ran = matches!(running.outcome, Some(Outcome::Ran));
            assert!(!ran || running.runs == 1, "reported as run but did not run");
        }
    }
}

#[test]
fn no_interleaving_runs_a_call_twice_or_denies_that_it_ran() {
    check!()
        .with_max_len(512)
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|events| {
            let mut world = World::new();
            for (kind, which) in events {
                world.event(*kind, *which);
                world.check();
            }
        });
}

/// Number of random event sequences per input of the test below.
const WORLDS: usize = 40;

#[test]
fn no_random_interleaving_runs_a_call_twice_or_denies_that_it_ran() {
    check!().with_type::<u64>().for_each(|seed| {
        let mut random = ChaCha8Rng::seed_from_u64(*seed);
        for _ in 0..WORLDS {
            let mut world = World::new();
            for _ in 0..random.random_range(20..200) {
                world.event(random.random(), random.random());
            }
            world.check();
        }
    });
}

#[test]
fn no_input_after_the_end_denies_that_the_call_ran() {
    let mut world = world_with_sent_call();
    world.input(0, Input::AnswerLost);
    let call = &mut world.calls[0].call;
    for input in [Input::Lost, Input::Refused, Input::Prepared] {
        let action = call.step(input, Duration::ZERO);
        assert!(matches!(action, Action::Finish(Outcome::Unknown(_))));
        assert_eq!(call.status(), Status::Unknown);
    }
}

/// Applies and delivers all messages in order, without faults.
fn run_to_completion(world: &mut World) {
    for _ in 0..64 {
        for position in 0..world.in_flight.len() {
            world.apply(position, 0, false);
            world.deliver(position, false);
        }
        for index in 0..world.calls.len() {
            if std::mem::take(&mut world.calls[index].prepared) {
                world.input(index, Input::Prepared);
            }
        }
    }
    world.check();
}

#[test]
fn a_retry_through_another_entry_gets_the_stored_answer() {
    let mut world = World::new();
    world.begin(0);
    run_to_completion(&mut world);
    assert_eq!(world.calls[0].outcome, Some(Outcome::Ran));
    world.kill(0);
    world.begin(1);
    run_to_completion(&mut world);
    let answer = world.answered.clone().expect("it ran");
    assert_eq!(world.calls[1].outcome, Some(Outcome::RanBefore(answer)));
}

#[test]
fn a_lost_write_response_is_resolved_by_reading_the_claim() {
    let mut world = World::new();
    world.begin(0);
    world.apply(0, 0, false);
    world.deliver(0, true);
    world.apply(1, 0, false);
    world.deliver(1, false);
    assert!(world.calls[0].prepared);
    run_to_completion(&mut world);
    assert_eq!(world.calls[0].outcome, Some(Outcome::Ran));
}

#[test]
fn a_claim_written_late_is_never_sent_and_is_handed_over() {
    let mut world = World::new();
    world.begin(0);
    world.in_flight[0].waiter = None;
    world.input(0, Input::Lost);
    world.input(0, Input::Unavailable);
    assert!(matches!(world.calls[0].outcome, Some(Outcome::NotRun(_))));
    world.apply(0, 0, false);
    assert!(world.current().is_some(), "the late claim is in the store");
    world.begin(1);
    run_to_completion(&mut world);
    assert_eq!(world.calls[1].outcome, Some(Outcome::Ran));
    assert_eq!(world.calls[0].runs, 0);
}

#[test]
fn a_silent_claimer_means_unknown() {
    let mut world = World::new();
    world.begin(0);
    world.apply(0, 0, false);
    world.kill(0);
    world.begin(1);
    run_to_completion(&mut world);
    assert!(matches!(world.calls[1].outcome, Some(Outcome::Unknown(_))));
    assert!(world.answered.is_none());
}

#[test]
fn a_claimer_that_was_paused_reads_its_claim_again() {
    let mut world = World::new();
    world.begin(0);
    world.apply(0, 0, false);
    world.deliver(0, false);
    world.now += Duration::from_mins(1);
    assert_eq!(
        world.calls[0].call.step(Input::Prepared, world.now),
        Action::Read
    );
    let finished = world.calls[0].call.step(Input::Found(None), world.now);
    assert!(matches!(finished, Action::Finish(Outcome::NotRun(_))));
}

#[test]
fn the_same_identifier_with_another_body_is_refused() {
    let mut ledger = Ledger::new("entry-0".into(), "i".into(), 8, 1024);
    let limits = Limits::default();
    let (mut call, _) = Call::begin(ledger.open(), "one".into(), limits, Duration::ZERO);
    let record = Record {
        claimer: ledger.open(),
        binding: "other".into(),
        answer: None,
    };
    let held = Held {
        record,
        revision: 3,
    };
    let action = call.step(Input::Conflict(Some(held)), Duration::ZERO);
    assert!(matches!(action, Action::Finish(Outcome::NotRun(_))));
    assert_eq!(call.cleanup(), Cleanup::Nothing);
    assert_eq!(call.status(), Status::NeverSent);
}

/// Returns a world in which entry 0 has a confirmed claim and has sent its call.
fn world_with_sent_call() -> World {
    let mut world = World::new();
    world.begin(0);
    world.apply(0, 0, false);
    world.deliver(0, false);
    world.calls[0].prepared = false;
    world.input(0, Input::Prepared);
    world
}

#[test]
fn a_call_that_may_have_run_is_never_sent_again() {
    type Fault = fn(&mut World);
    let faults: [(&str, Fault); 5] = [
        ("still running", |_| {}),
        ("the answer was lost", |world| {
            world.input(0, Input::AnswerLost);
        }),
        ("the answer was lost and the claimer died", |world| {
            world.input(0, Input::AnswerLost);
            world.kill(0);
        }),
        ("the claimer died", |world| world.kill(0)),
        ("the claimer evicted the call", |world| {
            world.input(0, Input::AnswerLost);
            for _ in 0..9 {
                let sequence = world.ledgers[0].open().sequence;
                world.ledgers[0].close(sequence, Status::NeverSent);
            }
        }),
    ];
    for (name, fault) in faults {
        let mut world = world_with_sent_call();
        fault(&mut world);
        world.begin(1);
        // The call of entry 0 stays in flight and may still reach the service.
        let delayed = world.in_flight.remove(1);
        run_to_completion(&mut world);
        let outcome = &world.calls[1].outcome;
        assert!(matches!(outcome, Some(Outcome::Unknown(_))), "{name}");
        world.in_flight.push(delayed);
        run_to_completion(&mut world);
        assert_eq!(world.calls[1].runs, 0, "{name}");
    }
}
