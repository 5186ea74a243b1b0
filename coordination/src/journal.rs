//! The journal of a generation: the tokens delivered so far and the check of each further token.
//!
//! A generation may run in several attempts at different servers. The journal accepts each token
//! once, in order and from the current attempt only, so that the caller receives one whole answer.
//!
//! ```
//! use medlarfall_coordination::journal::{Journal, Verdict};
//!
//! let mut journal = Journal::new();
//! let first = journal.begin_attempt();
//! assert_eq!(journal.accept(first, 0, " a".into()), Verdict::Deliver);
//! let second = journal.begin_attempt();
//! assert_eq!(journal.accept(first, 1, " b".into()), Verdict::Stale);
//! assert_eq!(journal.accept(second, 1, " b".into()), Verdict::Deliver);
//! assert_eq!(journal.text(), " a b");
//! ```

use std::sync::Arc;

/// Number of an attempt at a generation; it increases with each attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(pub u64);

/// What to do with a received token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The token is the next one and has been added to the journal: deliver it.
    Deliver,
    /// The token was delivered before: drop it.
    Duplicate,
    /// The token belongs to an attempt that is no longer current: drop it.
    Stale,
    /// Tokens are missing before this one: end the attempt and resume.
    Gap,
    /// The answer was complete before this token: drop it.
    Ended,
}

/// What to do at the end of an attempt's stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The answer is complete.
    Complete,
    /// Tokens are missing: end the attempt and resume.
    Incomplete,
    /// The end belongs to an attempt that is no longer current: ignore it.
    Stale,
}

/// The journal of one generation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Journal {
    tokens: Vec<Arc<str>>,
    attempt: u64,
    highest_number: u64,
    ended: bool,
}

impl Journal {
    /// Returns the journal of a generation without delivered tokens.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the journal of a generation whose `tokens` were delivered and whose last attempt,
    /// `attempt`, stays the current one.
    #[must_use]
    pub fn restore(tokens: Vec<Arc<str>>, attempt: Attempt) -> Self {
        Self {
            tokens,
            attempt: attempt.0,
            highest_number: attempt.0,
            ended: false,
        }
    }

    /// Starts an attempt, which makes every earlier one stale.
    pub fn begin_attempt(&mut self) -> Attempt {
        let attempt = self.prepared_attempt(0);
        self.adopt(attempt);
        attempt
    }

    /// Returns the number for an attempt that is prepared while the current one continues, after
    /// `others` that were prepared before it.
    #[must_use]
    pub fn prepared_attempt(&self, others: u64) -> Attempt {
        Attempt(self.attempt.max(self.highest_number) + 1 + others)
    }

    /// Records the highest number of a prepared attempt, so that it is not assigned again.
    pub fn record_prepared(&mut self, attempt: Attempt) {
        self.highest_number = self.highest_number.max(attempt.0);
    }

    /// Makes a prepared attempt the current one, and every earlier one stale; an attempt older than
    /// the current one stays stale.
    pub fn adopt(&mut self, attempt: Attempt) {
        self.attempt = self.attempt.max(attempt.0);
    }

    /// Checks a token, and adds it to the journal if it is to be delivered.
    pub fn accept(&mut self, attempt: Attempt, index: u64, token: Arc<str>) -> Verdict {
        let next = self.next_index();
        match index {
            _ if attempt.0 != self.attempt => Verdict::Stale,
            _ if self.ended => Verdict::Ended,
            _ if index < next => Verdict::Duplicate,
            _ if index > next => Verdict::Gap,
            _ => {
                self.tokens.push(token);
                Verdict::Deliver
            }
        }
    }

    /// Checks the end of an attempt whose complete answer has `length` tokens.
    pub fn end(&mut self, attempt: Attempt, length: u64) -> Ending {
        match length {
            _ if attempt.0 != self.attempt => Ending::Stale,
            _ if length != self.next_index() => Ending::Incomplete,
            _ => {
                self.ended = true;
                Ending::Complete
            }
        }
    }

    /// Removes the tokens from index `length` on, which were not sent to the caller; the current
    /// attempt becomes stale.
    pub fn truncate(&mut self, length: u64) {
        self.tokens
            .truncate(usize::try_from(length).unwrap_or(usize::MAX));
        self.attempt += 1;
        self.ended = false;
    }

    /// Returns the index of the next token to deliver.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.tokens.len() as u64
    }

    /// Returns the tokens delivered so far.
    #[must_use]
    pub fn tokens(&self) -> &[Arc<str>] {
        &self.tokens
    }

    /// Returns the text delivered so far.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}
