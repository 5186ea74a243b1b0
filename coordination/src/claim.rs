//! At most once: a claim on a caller's identifier, held in the platform's store.
//!
//! A [`Call`] runs one call under a caller's identifier. It is fed what the store, the claimer and
//! the backend server answered, and returns what to do next. The first byte goes out only after a
//! claim that names this entry has been confirmed. A claim passes to another entry only on the
//! word of its claimer (see [`Ledger`]), never because of time or silence, so that a late write or
//! a paused claimer cannot make the call run twice.
//!
//! ```
//! use std::time::Duration;
//! use medlarfall_coordination::claim::{Action, Call, Claimer, Input, Limits};
//!
//! let now = Duration::ZERO;
//! let me = Claimer {
//!     entry: "entry-0".into(),
//!     incarnation: "first".into(),
//!     address: "10.0.0.7:9000".into(),
//!     sequence: 1,
//! };
//! let (mut call, first) = Call::begin(me, "hash of the request".into(), Limits::default(), now);
//! assert!(matches!(first, Action::Put { expected: 0, .. }));
//! assert_eq!(call.step(Input::Written(7), now), Action::Prepare);
//! assert_eq!(call.step(Input::Prepared, now), Action::Send);
//! ```

use std::sync::Arc;
use std::time::Duration;

pub mod identifier;
pub mod ledger;
pub mod message;
pub mod record;

pub use identifier::Identifier;
pub use ledger::{Ledger, Status};
pub use message::{Action, Cleanup, Input, Outcome, Reason};
pub use record::{Answer, Body, Claimer, Held, Record};

/// Bounds on one call.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time from asking for a claim to the first byte, without reading the claim again.
    pub confirmation_ttl: Duration,
    /// Most calls to the store and to claimers before the call is given up.
    pub rounds: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            confirmation_ttl: Duration::from_secs(2),
            rounds: 8,
        }
    }
}

/// What a call waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Writing { expected: u64 },
    Settling { expected: u64 },
    Asking { revision: u64 },
    Verifying { word: Option<Status> },
    Confirmed { revision: u64 },
    Rechecking,
    Sent { revision: u64 },
    Ended { remainder: Cleanup, word: Status },
}

/// One call under a caller's identifier.
#[derive(Clone, Debug)]
pub struct Call {
    record: Record,
    limits: Limits,
    phase: Phase,
    rounds: u32,
    trusted_since: Duration,
    loose: bool,
}

impl Call {
    /// Begins a call: `claimer` is this entry with a sequence number never used before.
    #[must_use]
    pub fn begin(
        claimer: Claimer,
        binding: Arc<str>,
        limits: Limits,
        now: Duration,
    ) -> (Self, Action) {
        let record = Record {
            claimer,
            binding,
            answer: None,
        };
        let mut call = Self {
            record,
            limits,
            phase: Phase::Writing { expected: 0 },
            rounds: 0,
            trusted_since: now,
            loose: false,
        };
        let first = call.put(0, now);
        (call, first)
    }

    /// Returns who claims.
    #[must_use]
    pub fn claimer(&self) -> &Claimer {
        &self.record.claimer
    }

    /// Returns whether the first byte may have gone out.
    #[must_use]
    pub fn sent(&self) -> bool {
        matches!(self.phase, Phase::Sent { .. })
    }

    /// Returns what is left to do in the store once the call has ended.
    #[must_use]
    pub fn cleanup(&self) -> Cleanup {
        match &self.phase {
            Phase::Ended { remainder, .. } => remainder.clone(),
            _ => Cleanup::Nothing,
        }
    }

    /// Returns what this entry may tell others about the call.
    #[must_use]
    pub fn status(&self) -> Status {
        match &self.phase {
            Phase::Ended { word, .. } => word.clone(),
            _ => Status::Running,
        }
    }

    /// Takes an input and returns what to do next; an input that does not fit ends the call.
    pub fn step(&mut self, input: Input, now: Duration) -> Action {
        let phase = std::mem::replace(
            &mut self.phase,
            Phase::Ended {
                remainder: Cleanup::Nothing,
                word: Status::Unknown,
            },
        );
        match (phase, input) {
            (Phase::Writing { .. }, Input::Written(revision)) => self.confirm(revision),
            (Phase::Writing { .. }, Input::Conflict(held)) => self.meet(held, now),
            (Phase::Writing { expected }, Input::Lost) => {
                self.loose = true;
                self.phase = Phase::Settling { expected };
                self.read(now)
            }
            (Phase::Settling { expected }, Input::Found(held)) => self.settle(expected, held, now),
            (Phase::Asking { revision }, Input::Status(word)) => self.heed(revision, word, now),
            (Phase::Verifying { word }, Input::Found(found)) => self.verify(word.as_ref(), found),
            (Phase::Verifying { word }, _) => self.unsure(word.as_ref()),
            (Phase::Confirmed { revision }, Input::Prepared) => self.depart(revision, now),
            (Phase::Rechecking, Input::Found(Some(held))) if self.owns(&held) => {
                self.confirm(held.revision)
            }
            (Phase::Rechecking, Input::Found(_)) => self.not_run(Reason::ClaimLost),
            (Phase::Sent { revision }, Input::Replied(answer)) => self.ran(revision, answer),
            (Phase::Sent { revision } | Phase::Confirmed { revision }, Input::Refused) => {
                let remainder = Cleanup::Delete { expected: revision };
                self.end(
                    Outcome::NotRun(Reason::Refused),
                    remainder,
                    Status::NeverSent,
                )
            }
            (Phase::Sent { .. }, _) => {
                let outcome = Outcome::Unknown(Reason::AnswerLost);
                self.end(outcome, Cleanup::Nothing, Status::Unknown)
            }
            // Nothing that comes after the end may make it look as if the call had not run.
            (ended @ Phase::Ended { .. }, _) => {
                self.phase = ended;
                Action::Finish(Outcome::Unknown(Reason::AnswerLost))
            }
            _ => self.not_run(Reason::StoreUnavailable),
        }
    }

    /// Writes the claim.
    fn put(&mut self, expected: u64, now: Duration) -> Action {
        if self.exhausted() {
            return self.not_run(Reason::Contended);
        }
        self.phase = Phase::Writing { expected };
        self.trusted_since = now;
        Action::Put {
            record: self.record.clone(),
            expected,
        }
    }

    /// Reads the claim; the phase says what for.
    fn read(&mut self, now: Duration) -> Action {
        if self.exhausted() {
            return self.not_run(Reason::Contended);
        }
        self.trusted_since = now;
        Action::Read
    }

    /// Counts a round and returns whether none was left.
    fn exhausted(&mut self) -> bool {
        self.rounds += 1;
        self.rounds > self.limits.rounds
    }

    /// Returns whether a claim is this call's.
    fn owns(&self, held: &Held) -> bool {
        held.record.claimer == self.record.claimer
    }

    /// The claim is this call's.
    fn confirm(&mut self, revision: u64) -> Action {
        self.loose = true;
        self.phase = Phase::Confirmed { revision };
        Action::Prepare
    }

    /// The store holds this instead of the claim that was to be written.
    fn meet(&mut self, held: Option<Held>, now: Duration) -> Action {
        match held {
            None => self.put(0, now),
            Some(held) if self.owns(&held) => self.confirm(held.revision),
            Some(held) if held.record.binding != self.record.binding => {
                self.not_run(Reason::Mismatch)
            }
            Some(held) => match held.record.answer {
                Some(answer) => self.ran_before(answer),
                None if self.exhausted() => self.not_run(Reason::Contended),
                None => {
                    self.phase = Phase::Asking {
                        revision: held.revision,
                    };
                    Action::QueryClaimer(held.record.claimer)
                }
            },
        }
    }

    /// A write's answer was lost and the store now holds this.
    fn settle(&mut self, expected: u64, held: Option<Held>, now: Duration) -> Action {
        let unchanged = held.as_ref().map_or(0, |held| held.revision) == expected;
        if unchanged {
            return self.put(expected, now);
        }
        self.meet(held, now)
    }

    /// The claimer of a claim gave its word.
    fn heed(&mut self, revision: u64, word: Option<Status>, now: Duration) -> Action {
        match word {
            Some(Status::Ran(answer)) => self.ran_before(answer),
            Some(Status::NeverSent) => self.put(revision, now),
            Some(Status::Running | Status::Unknown) | None if self.exhausted() => {
                self.unsure(word.as_ref())
            }
            Some(Status::Running | Status::Unknown) | None => {
                self.phase = Phase::Verifying { word };
                Action::Read
            }
        }
    }

    /// The claim was read once more because its claimer could not say whether the call ran.
    fn verify(&mut self, word: Option<&Status>, found: Option<Held>) -> Action {
        let answer = found
            .filter(|found| found.record.binding == self.record.binding)
            .and_then(|found| found.record.answer);
        match answer {
            Some(answer) => self.ran_before(answer),
            None => self.unsure(word),
        }
    }

    /// The call is about to be sent.
    fn depart(&mut self, revision: u64, now: Duration) -> Action {
        if now.saturating_sub(self.trusted_since) <= self.limits.confirmation_ttl {
            self.phase = Phase::Sent { revision };
            return Action::Send;
        }
        self.phase = Phase::Rechecking;
        self.read(now)
    }

    /// The call ran here.
    fn ran(&mut self, revision: u64, answer: Answer) -> Action {
        let record = Record {
            answer: Some(answer.clone()),
            ..self.record.clone()
        };
        let remainder = Cleanup::Keep {
            record,
            expected: revision,
        };
        self.end(Outcome::Ran, remainder, Status::Ran(answer))
    }

    /// The call ran before.
    fn ran_before(&mut self, answer: Answer) -> Action {
        let remainder = self.withdrawal();
        self.end(Outcome::RanBefore(answer), remainder, Status::NeverSent)
    }

    /// The claimer's call may have run.
    fn unsure(&mut self, word: Option<&Status>) -> Action {
        let reason = match word {
            Some(Status::Running) => Reason::StillRunning,
            _ => Reason::ClaimerSilent,
        };
        let remainder = self.withdrawal();
        self.end(Outcome::Unknown(reason), remainder, Status::NeverSent)
    }

    /// The call was not sent and will not be.
    fn not_run(&mut self, reason: Reason) -> Action {
        let remainder = self.withdrawal();
        self.end(Outcome::NotRun(reason), remainder, Status::NeverSent)
    }

    /// Returns what is left of a call that was not sent.
    fn withdrawal(&self) -> Cleanup {
        if self.loose {
            Cleanup::Withdraw
        } else {
            Cleanup::Nothing
        }
    }

    /// Ends the call.
    fn end(&mut self, outcome: Outcome, remainder: Cleanup, word: Status) -> Action {
        self.phase = Phase::Ended { remainder, word };
        Action::Finish(outcome)
    }
}
