//! At-most-once execution of calls, by a claim on the caller's identifier in the platform's store.
//!
//! A [`Call`] is the state machine of one call under a caller's identifier. Its inputs are the
//! responses of the store, the current claimer and the backend server; its outputs are the next
//! actions. The first byte is sent only after a claim that names this entry has been confirmed.
//! Another entry takes a claim over only if the claimer reports that it never sent the call (see
//! [`Ledger`]), never after a time-out, so that a late write or a paused claimer cannot make the
//! call run twice.
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
    /// Longest time from the start of the write or read that confirms a claim to the first byte;
    /// after it the claim is read again.
    pub confirmation_ttl: Duration,
    /// Highest number of writes, reads and status queries before the call is abandoned.
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

/// State of a call, with the data that the next input needs.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Writing { expected: u64 },
    ResolvingWrite { expected: u64 },
    QueryingClaimer { revision: u64 },
    Verifying { status: Option<Status> },
    Confirmed { revision: u64 },
    Rechecking,
    Sent { revision: u64 },
    Ended { cleanup: Cleanup, status: Status },
}

/// One call under a caller's identifier.
#[derive(Clone, Debug)]
pub struct Call {
    record: Record,
    limits: Limits,
    phase: Phase,
    rounds: u32,
    confirmation_started: Duration,
    may_be_stored: bool,
}

impl Call {
    /// Starts a call and returns its first action. `claimer` is this entry with a sequence number
    /// that it has never used before.
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
            confirmation_started: now,
            may_be_stored: false,
        };
        let first = call.put(0, now);
        (call, first)
    }

    /// Returns the claimer of this call.
    #[must_use]
    pub fn claimer(&self) -> &Claimer {
        &self.record.claimer
    }

    /// Returns whether the first byte may have been sent.
    #[must_use]
    pub fn sent(&self) -> bool {
        matches!(self.phase, Phase::Sent { .. })
    }

    /// Returns the store operation that remains after the call has ended.
    #[must_use]
    pub fn cleanup(&self) -> Cleanup {
        match &self.phase {
            Phase::Ended { cleanup, .. } => cleanup.clone(),
            _ => Cleanup::Nothing,
        }
    }

    /// Returns the status of the call to report to other entries.
    #[must_use]
    pub fn status(&self) -> Status {
        match &self.phase {
            Phase::Ended { status, .. } => status.clone(),
            _ => Status::Running,
        }
    }

    /// Processes an input and returns the next action. An input that the state does not expect ends
    /// the call.
    pub fn step(&mut self, input: Input, now: Duration) -> Action {
        let phase = std::mem::replace(
            &mut self.phase,
            Phase::Ended {
                cleanup: Cleanup::Nothing,
                status: Status::Unknown,
            },
        );
        match (phase, input) {
            (Phase::Writing { .. }, Input::Written(revision)) => self.confirm(revision),
            (Phase::Writing { .. }, Input::Conflict(held)) => self.handle_existing(held, now),
            (Phase::Writing { expected }, Input::Lost) => {
                self.may_be_stored = true;
                self.phase = Phase::ResolvingWrite { expected };
                self.read(now)
            }
            (Phase::ResolvingWrite { expected }, Input::Found(held)) => {
                self.resolve_lost_write(expected, held, now)
            }
            (Phase::QueryingClaimer { revision }, Input::Status(status)) => {
                self.handle_status(revision, status, now)
            }
            (Phase::Verifying { status }, Input::Found(found)) => {
                self.verify(status.as_ref(), found)
            }
            (Phase::Verifying { status }, _) => self.finish_unknown(status.as_ref()),
            (Phase::Confirmed { revision }, Input::Prepared) => self.send_if_fresh(revision, now),
            (Phase::Rechecking, Input::Found(Some(held))) if self.owns(&held) => {
                self.confirm(held.revision)
            }
            (Phase::Rechecking, Input::Found(_)) => self.finish_not_run(Reason::ClaimLost),
            (Phase::Sent { revision }, Input::Replied(answer)) => self.finish_ran(revision, answer),
            (Phase::Sent { revision } | Phase::Confirmed { revision }, Input::Refused) => {
                let cleanup = Cleanup::Delete { expected: revision };
                self.end(Outcome::NotRun(Reason::Refused), cleanup, Status::NeverSent)
            }
            (Phase::Sent { .. }, _) => {
                let outcome = Outcome::Unknown(Reason::AnswerLost);
                self.end(outcome, Cleanup::Nothing, Status::Unknown)
            }
            // An input after the end must not turn the outcome into `NotRun`: the call may have
            // run.
            (ended @ Phase::Ended { .. }, _) => {
                self.phase = ended;
                Action::Finish(Outcome::Unknown(Reason::AnswerLost))
            }
            _ => self.finish_not_run(Reason::StoreUnavailable),
        }
    }

    /// Writes the claim.
    fn put(&mut self, expected: u64, now: Duration) -> Action {
        if self.exhausted() {
            return self.finish_not_run(Reason::Contended);
        }
        self.phase = Phase::Writing { expected };
        self.confirmation_started = now;
        Action::Put {
            record: self.record.clone(),
            expected,
        }
    }

    /// Reads the claim, for the purpose that the phase records.
    fn read(&mut self, now: Duration) -> Action {
        if self.exhausted() {
            return self.finish_not_run(Reason::Contended);
        }
        self.confirmation_started = now;
        Action::Read
    }

    /// Counts a round and returns whether the limit was exceeded.
    fn exhausted(&mut self) -> bool {
        self.rounds += 1;
        self.rounds > self.limits.rounds
    }

    /// Returns whether a claim is this call's.
    fn owns(&self, held: &Held) -> bool {
        held.record.claimer == self.record.claimer
    }

    /// Records that the store holds this call's claim.
    fn confirm(&mut self, revision: u64) -> Action {
        self.may_be_stored = true;
        self.phase = Phase::Confirmed { revision };
        Action::Prepare
    }

    /// Decides how to continue from `held`, the value that the store holds under the key after a
    /// write that was refused or had no response.
    fn handle_existing(&mut self, held: Option<Held>, now: Duration) -> Action {
        match held {
            None => self.put(0, now),
            Some(held) if self.owns(&held) => self.confirm(held.revision),
            Some(held) if held.record.binding != self.record.binding => {
                self.finish_not_run(Reason::Mismatch)
            }
            Some(held) => match held.record.answer {
                Some(answer) => self.finish_ran_before(answer),
                None if self.exhausted() => self.finish_not_run(Reason::Contended),
                None => {
                    self.phase = Phase::QueryingClaimer {
                        revision: held.revision,
                    };
                    Action::QueryClaimer(held.record.claimer)
                }
            },
        }
    }

    /// Handles the read that follows a write without a response: repeats the write if the key is
    /// unchanged.
    fn resolve_lost_write(&mut self, expected: u64, held: Option<Held>, now: Duration) -> Action {
        let unchanged = held.as_ref().map_or(0, |held| held.revision) == expected;
        if unchanged {
            return self.put(expected, now);
        }
        self.handle_existing(held, now)
    }

    /// Handles the status that the claimer of an existing claim reported, if it responded.
    fn handle_status(&mut self, revision: u64, status: Option<Status>, now: Duration) -> Action {
        match status {
            Some(Status::Ran(answer)) => self.finish_ran_before(answer),
            Some(Status::NeverSent) => self.put(revision, now),
            Some(Status::Running | Status::Unknown) | None if self.exhausted() => {
                self.finish_unknown(status.as_ref())
            }
            Some(Status::Running | Status::Unknown) | None => {
                self.phase = Phase::Verifying { status };
                Action::Read
            }
        }
    }

    /// Handles the second read of a claim whose claimer could not report whether the call ran.
    fn verify(&mut self, status: Option<&Status>, found: Option<Held>) -> Action {
        let answer = found
            .filter(|found| found.record.binding == self.record.binding)
            .and_then(|found| found.record.answer);
        match answer {
            Some(answer) => self.finish_ran_before(answer),
            None => self.finish_unknown(status),
        }
    }

    /// Sends the call, or reads the claim again if its confirmation is too old.
    fn send_if_fresh(&mut self, revision: u64, now: Duration) -> Action {
        if now.saturating_sub(self.confirmation_started) <= self.limits.confirmation_ttl {
            self.phase = Phase::Sent { revision };
            return Action::Send;
        }
        self.phase = Phase::Rechecking;
        self.read(now)
    }

    /// Ends a call that ran at this entry; its answer is to be stored in the claim.
    fn finish_ran(&mut self, revision: u64, answer: Answer) -> Action {
        let record = Record {
            answer: Some(answer.clone()),
            ..self.record.clone()
        };
        let cleanup = Cleanup::Keep {
            record,
            expected: revision,
        };
        self.end(Outcome::Ran, cleanup, Status::Ran(answer))
    }

    /// Ends the call with the stored answer of an earlier run.
    fn finish_ran_before(&mut self, answer: Answer) -> Action {
        let cleanup = self.unsent_cleanup();
        self.end(Outcome::RanBefore(answer), cleanup, Status::NeverSent)
    }

    /// Ends the call because the claimer of the existing claim may have run it.
    fn finish_unknown(&mut self, status: Option<&Status>) -> Action {
        let reason = match status {
            Some(Status::Running) => Reason::StillRunning,
            _ => Reason::ClaimerSilent,
        };
        let cleanup = self.unsent_cleanup();
        self.end(Outcome::Unknown(reason), cleanup, Status::NeverSent)
    }

    /// Ends a call that was not sent and will not be.
    fn finish_not_run(&mut self, reason: Reason) -> Action {
        let cleanup = self.unsent_cleanup();
        self.end(Outcome::NotRun(reason), cleanup, Status::NeverSent)
    }

    /// Returns the store operation that remains after a call that was not sent.
    fn unsent_cleanup(&self) -> Cleanup {
        if self.may_be_stored {
            Cleanup::Withdraw
        } else {
            Cleanup::Nothing
        }
    }

    /// Ends the call.
    fn end(&mut self, outcome: Outcome, cleanup: Cleanup, status: Status) -> Action {
        self.phase = Phase::Ended { cleanup, status };
        Action::Finish(outcome)
    }
}
