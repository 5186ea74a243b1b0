//! Inputs, actions and outcomes of a call.

use super::{Answer, Claimer, Held, Record, Status};

/// An event that a call processes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// The store wrote the record at this revision.
    Written(u64),
    /// The store refused the write because of a revision mismatch; it holds this value.
    Conflict(Option<Held>),
    /// The store was read and holds this value.
    Found(Option<Held>),
    /// The store's response was lost: a write may take effect now, later or never.
    Lost,
    /// The store did not accept the operation.
    Unavailable,
    /// The status that the claimer reported, or nothing if it did not respond.
    Status(Option<Status>),
    /// A backend server is chosen and the call is ready to be sent.
    Prepared,
    /// The call ran with this answer.
    Replied(Answer),
    /// The backend servers refused the call before it ran, and it will not be sent again.
    Refused,
    /// The answer was lost: the call may have run.
    AnswerLost,
}

/// The next action of a call's driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the record if the key's revision is `expected` (0: if the key has no value).
    Put {
        /// The record.
        record: Record,
        /// Expected revision.
        expected: u64,
    },
    /// Read the key.
    Read,
    /// Query a claimer for the status of its call.
    QueryClaimer(Claimer),
    /// Choose a backend server, then pass [`Input::Prepared`].
    Prepare,
    /// Send the call now.
    Send,
    /// The call has ended.
    Finish(Outcome),
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran at this entry under this claim.
    Ran,
    /// It ran earlier, with this stored answer.
    RanBefore(Answer),
    /// It did not run under this claim and never will.
    NotRun(Reason),
    /// It may have run.
    Unknown(Reason),
}

/// Why a call ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The store did not respond, so no claim could be confirmed.
    StoreUnavailable,
    /// Other entries changed the claim until the limit of rounds was reached.
    Contended,
    /// The identifier is bound to another request.
    Mismatch,
    /// The store no longer held the claim when it was read again before sending.
    ClaimLost,
    /// The backend servers refused the call before it ran.
    Refused,
    /// The answer of the backend server was lost.
    AnswerLost,
    /// The claimer does not respond or has no record of the call.
    ClaimerSilent,
    /// The claimer is still running the call.
    StillRunning,
}

/// The store operation that remains after a call has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cleanup {
    /// No operation.
    Nothing,
    /// Write the record with its answer if the revision is still `expected`.
    Keep {
        /// The record with its answer.
        record: Record,
        /// Expected revision.
        expected: u64,
    },
    /// Delete the claim if the revision is still `expected`.
    Delete {
        /// Expected revision.
        expected: u64,
    },
    /// The claim may be in the store, or a delayed write may still store it: read it, and delete it
    /// if it is this call's.
    Withdraw,
}
