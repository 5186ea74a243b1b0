//! The journal against a naive twin that keeps every event and replays them all.

use std::sync::Arc;

use bolero::check;
use medlarfall_coordination::journal::{Attempt, Ending, Journal, Verdict};

/// An event that reaches the journal; numbers are taken modulo what makes them collide often.
type Event = (u8, u8, u8);

/// Keeps every delivered token with its index and searches them all.
#[derive(Default)]
struct Naive {
    delivered: Vec<(u64, String)>,
    attempts: Vec<u64>,
    whole: bool,
}

impl Naive {
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
        if self.whole {
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
        self.whole = true;
        Ending::Complete
    }
}

/// Returns the token that the one true answer has at an index.
fn truth(index: u64) -> String {
    format!(" {index}")
}

#[test]
fn any_order_of_events_is_judged_as_by_the_naive_twin() {
    check!().with_type::<Vec<Event>>().for_each(|events| {
        let mut journal = Journal::new();
        let mut naive = Naive::default();
        for (kind, attempt, index) in events {
            // Attempts lie around the current one, so that stale and current ones mix.
            let attempt = naive.current().saturating_sub(u64::from(attempt % 3));
            let index = (naive.next() + u64::from(index % 5)).saturating_sub(2);
            match kind % 8 {
                0 => {
                    let begun = journal.begin_attempt();
                    naive.attempts.push(naive.current() + 1);
                    assert_eq!(begun, Attempt(naive.current()));
                }
                1 => assert_eq!(
                    journal.end(Attempt(attempt), index),
                    naive.end(attempt, index)
                ),
                _ => {
                    let token = truth(index);
                    let verdict = journal.accept(Attempt(attempt), index, Arc::from(token.clone()));
                    assert_eq!(verdict, naive.accept(attempt, index, &token));
                }
            }
            let expected: String = (0..naive.next()).map(truth).collect();
            assert_eq!(journal.text(), expected);
            assert_eq!(journal.next_index(), naive.next());
        }
    });
}

#[test]
fn a_generation_lost_twice_is_whole_and_unmixed() {
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
                    // Frames of earlier attempts arrive at any moment.
                    if let Some((_, age, index)) = strays.next() {
                        let age = 1 + u64::from(age % 2);
                        let stale = Attempt(attempt.0.saturating_sub(age));
                        let verdict = journal.accept(stale, u64::from(*index), Arc::from(" stray"));
                        assert_eq!(verdict, Verdict::Stale);
                    }
                    let token = Arc::from(truth(index));
                    assert_eq!(journal.accept(attempt, index, token), Verdict::Deliver);
                }
                let whole = journal.next_index() == LENGTH;
                let expected = if whole {
                    Ending::Complete
                } else {
                    Ending::Incomplete
                };
                assert_eq!(journal.end(attempt, LENGTH), expected);
            }
            let expected: String = (0..LENGTH).map(truth).collect();
            assert_eq!(journal.text(), expected);
        });
}

#[test]
fn a_restored_journal_goes_on_and_struck_tokens_come_again() {
    let tokens = vec![Arc::from(truth(0)), Arc::from(truth(1))];
    let mut journal = Journal::restore(tokens, Attempt(3));
    let token: Arc<str> = Arc::from(truth(2));
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
