//! Several entries that lend each other memory never exceed a server's memory, even if responses
//! are lost.

use std::time::Duration;

use bolero::{TypeGenerator, check};
use medlarfall_coordination::memory::{Ledger, LoanKey, ReservationKey, ServerKey};

const ENTRIES: usize = 4;
const MEMORY: u64 = 400;

#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    Reserve {
        entry: u8,
        tokens: u8,
    },
    Release {
        entry: u8,
        which: u8,
        answer_lost: bool,
    },
    Borrow {
        from: u8,
        to: u8,
        tokens: u8,
        seconds: u8,
        answer_lost: bool,
    },
    AdvanceTime {
        seconds: u8,
    },
}

struct Held {
    key: ReservationKey,
    tokens: u64,
    loan: Option<(usize, LoanKey)>,
}

struct Entry {
    ledger: Ledger,
    server: ServerKey,
    held: Vec<Held>,
}

impl Entry {
    fn new() -> Self {
        let mut ledger = Ledger::new();
        let server = ledger.add(MEMORY / ENTRIES as u64);
        let held = Vec::new();
        Self {
            ledger,
            server,
            held,
        }
    }

    fn tokens(&self) -> u64 {
        self.held.iter().map(|held| held.tokens).sum()
    }

    /// Ends reservations in borrowed memory and loans that have expired, as the entry's task does.
    fn end_expired(&mut self, now: Duration) {
        let ledger = &mut self.ledger;
        self.held.retain(|held| {
            let ends = ledger.ends(held.key).is_some_and(|until| until <= now);
            if ends {
                ledger.release(held.key);
            }
            !ends
        });
        ledger.expire(now);
    }
}

/// Borrows from one entry for another for a `term`, given by its start and duration; if the response is lost, only the lender records the loan.
fn borrow(
    entries: &mut [Entry],
    from: usize,
    to: usize,
    tokens: u64,
    term: (Duration, Duration),
    lost: bool,
) {
    let (now, duration) = term;
    let lender = &mut entries[from];
    let loan = lender.ledger.lend(lender.server, tokens, now, duration);
    let Some(loan) = loan.filter(|_| !lost && from != to) else {
        return;
    };
    let borrower = &mut entries[to];
    let key = borrower
        .ledger
        .reserve_borrowed(borrower.server, tokens, now + duration);
    let loan = Some((from, loan));
    borrower
        .held
        .extend(key.map(|key| Held { key, tokens, loan }));
}

/// Ends a reservation and returns its loan, unless the message that returns it is lost.
fn release(entries: &mut [Entry], entry: usize, which: usize, lost: bool) {
    let entry = &mut entries[entry];
    if entry.held.is_empty() {
        return;
    }
    let held = entry.held.swap_remove(which % entry.held.len());
    entry.ledger.release(held.key);
    if let Some((lender, loan)) = held.loan.filter(|_| !lost) {
        entries[lender].ledger.end_loan(loan);
    }
}

fn run(steps: &[Step]) {
    let mut entries: Vec<Entry> = (0..ENTRIES).map(|_| Entry::new()).collect();
    let mut now = Duration::ZERO;
    for step in steps {
        match *step {
            Step::Reserve { entry, tokens } => {
                let entry = &mut entries[usize::from(entry) % ENTRIES];
                let tokens = tokens.into();
                let key = entry.ledger.reserve(entry.server, tokens);
                let loan = None;
                entry.held.extend(key.map(|key| Held { key, tokens, loan }));
            }
            Step::Release {
                entry,
                which,
                answer_lost,
            } => {
                release(
                    &mut entries,
                    usize::from(entry) % ENTRIES,
                    which.into(),
                    answer_lost,
                );
            }
            Step::Borrow {
                from,
                to,
                tokens,
                seconds,
                answer_lost,
            } => {
                let (from, to) = (usize::from(from) % ENTRIES, usize::from(to) % ENTRIES);
                let term = (now, Duration::from_secs(seconds.into()));
                borrow(&mut entries, from, to, tokens.into(), term, answer_lost);
            }
            Step::AdvanceTime { seconds } => {
                now += Duration::from_secs(seconds.into());
                for entry in &mut entries {
                    entry.end_expired(now);
                }
            }
        }
        let total: u64 = entries.iter().map(Entry::tokens).sum();
        assert!(total <= MEMORY, "{total} tokens are reserved of {MEMORY}");
    }
}

#[test]
fn entries_together_never_exceed_the_memory_of_a_server() {
    check!()
        .with_type::<Vec<Step>>()
        .for_each(|steps| run(steps));
}

#[test]
fn a_loan_whose_response_was_lost_ends_when_it_expires() {
    let mut ledger = Ledger::new();
    let server = ledger.add(100);
    let loan = ledger.lend(server, 60, Duration::ZERO, Duration::from_secs(5));
    assert!(loan.is_some());
    assert!(ledger.reserve(server, 50).is_none());
    ledger.expire(Duration::from_secs(5));
    assert!(ledger.reserve(server, 100).is_some());
}
