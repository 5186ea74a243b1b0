//! What a call is told, and what it decides.

use super::{Answer, Claimer, Held, Record, Status};

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// The store wrote the record at this revision.
    Written(u64),
    /// The store refused the write; it holds this.
    Conflict(Option<Held>),
    /// The store was read and holds this.
    Found(Option<Held>),
    /// The store's answer was lost: a write may take effect now, later or never.
    Lost,
    /// The store did not take the call.
    Unavailable,
    /// The claimer gave its word, or nothing if it did not answer.
    Status(Option<Status>),
    /// A backend server is chosen and the first byte could go out now.
    Prepared,
    /// The call ran.
    Replied(Answer),
    /// The call was truly not run, and will not be sent again.
    Refused,
    /// The call may have run: its answer was lost.
    AnswerLost,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the record if the key's revision is `expected` (0: if it has no value).
    Put {
        /// The record.
        record: Record,
        /// Expected revision.
        expected: u64,
    },
    /// Read the key.
    Read,
    /// Ask a claimer whether its call ran.
    QueryClaimer(Claimer),
    /// Choose a backend server, then say [`Input::Prepared`].
    Prepare,
    /// Send the call now.
    Send,
    /// The call has ended.
    Finish(Outcome),
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran at this entry just now.
    Ran,
    /// It ran before: this is the answer that was kept.
    RanBefore(Answer),
    /// It was truly not run under this claim, and never will be.
    NotRun(Reason),
    /// It may have run.
    Unknown(Reason),
}

/// Why a call did not end in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The store did not answer, so no claim could be confirmed.
    StoreUnavailable,
    /// Others changed the claim again and again.
    Contended,
    /// The identifier is bound to another request.
    Mismatch,
    /// The claim was gone when it was read again before sending.
    ClaimLost,
    /// The backend servers refused the call before it ran.
    Refused,
    /// The answer was lost.
    AnswerLost,
    /// The claimer does not answer or does not know.
    ClaimerSilent,
    /// The claimer still runs the call.
    StillRunning,
}

/// What is left to do in the store after a call has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cleanup {
    /// Nothing.
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
    /// The claim may be in the store or may still come: read it, and delete it if it is this call's.
    Withdraw,
}
