//! The journal compared with a simple model that stores all tokens and attempts.

use std::sync::Arc;

use bolero::check;
use medlarfall_coordination::journal::{Attempt, Ending, Journal, Verdict};

/// An event: its kind, attempt and index, each reduced to a small range so that collisions are
/// frequent.
type Event = (u8, u8, u8);

/// A model of the journal that searches all delivered tokens.
#[derive(Default)]
struct Model {
    delivered: Vec<(u64, String)>,
    attempts: Vec<u64>,
    complete: bool,
}

impl Model {
    fn current(&self) -> u64 {
        self.attempts.iter().copied().max().unwrap_or(0)
    }

    fn next(&self) -> u64 {
        self.delivered
            .iter()
            .map(|(index, _)| index + 1)
            .max()
            .unwrap_or(0)
    }

    fn accept(&mut self, attempt: u64, index: u64, token: &str) -> Verdict {
        if attempt != self.current() {
            return Verdict::Stale;
        }
        if self.complete {
            return Verdict::Ended;
        }
        if self.delivered.iter().any(|(held, _)| *held == index) {
            return Verdict::Duplicate;
        }
        if index != self.next() {
            return Verdict::Gap;
        }
        self.delivered.push((index, token.to_owned()));
        Verdict::Deliver
    }

    fn end(&mut self, attempt: u64, length: u64) -> Ending {
        if attempt != self.current() {
            return Ending::Stale;
        }
        if length != self.next() {
            return Ending::Incomplete;
        }
        self.complete = true;
        Ending::Complete
    }
}

/// Returns the token of the expected answer at an index.
fn expected_token(index: u64) -> String {
    format!(" {index}")
}

#[test]
fn verdicts_equal_those_of_the_model_in_any_order_of_events() {
    check!().with_type::<Vec<Event>>().for_each(|events| {
        let mut journal = Journal::new();
        let mut model = Model::default();
        for (kind, attempt, index) in events {
            // Attempts are at or just before the current one, so that stale and current ones
            // alternate.
            let attempt = model.current().saturating_sub(u64::from(attempt % 3));
            let index = (model.next() + u64::from(index % 5)).saturating_sub(2);
            match kind % 8 {
                0 => {
                    let begun = journal.begin_attempt();
                    model.attempts.push(model.current() + 1);
                    assert_eq!(begun, Attempt(model.current()));
                }
                1 => assert_eq!(
                    journal.end(Attempt(attempt), index),
                    model.end(attempt, index)
                ),
                _ => {
                    let token = expected_token(index);
                    let verdict = journal.accept(Attempt(attempt), index, Arc::from(token.clone()));
                    assert_eq!(verdict, model.accept(attempt, index, &token));
                }
            }
            let expected: String = (0..model.next()).map(expected_token).collect();
            assert_eq!(journal.text(), expected);
            assert_eq!(journal.next_index(), model.next());
        }
    });
}

#[test]
fn a_generation_lost_twice_is_delivered_once_and_in_order() {
    check!()
        .with_type::<(u8, u8, Vec<Event>)>()
        .for_each(|(first, second, strays)| {
            const LENGTH: u64 = 24;
            let losses = [u64::from(*first) % LENGTH, u64::from(*second) % LENGTH];
            let mut journal = Journal::new();
            let mut strays = strays.iter();
            for end in [losses[0], losses[0].max(losses[1]), LENGTH] {
                let attempt = journal.begin_attempt();
                for index in journal.next_index()..end {
                    // Tokens of earlier attempts may arrive at any time.
                    if let Some((_, age, index)) = strays.next() {
                        let age = 1 + u64::from(age % 2);
                        let stale = Attempt(attempt.0.saturating_sub(age));
                        let verdict = journal.accept(stale, u64::from(*index), Arc::from(" stray"));
                        assert_eq!(verdict, Verdict::Stale);
                    }
                    let token = Arc::from(expected_token(index));
                    assert_eq!(journal.accept(attempt, index, token), Verdict::Deliver);
                }
                let complete = journal.next_index() == LENGTH;
                let expected = if complete {
                    Ending::Complete
                } else {
                    Ending::Incomplete
                };
                assert_eq!(journal.end(attempt, LENGTH), expected);
            }
            let expected: String = (0..LENGTH).map(expected_token).collect();
            assert_eq!(journal.text(), expected);
        });
}

#[test]
fn a_restored_journal_continues_and_accepts_truncated_tokens_again() {
    let tokens = vec![Arc::from(expected_token(0)), Arc::from(expected_token(1))];
    let mut journal = Journal::restore(tokens, Attempt(3));
    let token: Arc<str> = Arc::from(expected_token(2));
    assert_eq!(
        journal.accept(Attempt(3), 2, Arc::clone(&token)),
        Verdict::Deliver
    );
    journal.truncate(2);
    assert_eq!(
        journal.accept(Attempt(3), 2, Arc::clone(&token)),
        Verdict::Stale
    );
    let attempt = journal.begin_attempt();
    assert_eq!(journal.accept(attempt, 2, token), Verdict::Deliver);
    assert_eq!(journal.text(), " 0 1 2");
}
