//! Detection of outages of the store from the outcomes of the calls to it.
//!
//! A call without a response may say something of its connection alone: a watch was cut, or the
//! connection has fallen silent. Only a second one without a response, on a new connection, shows that
//! the store is away. An outage keeps servers in use whose registrations are removed, so one that never
//! was would send requests to servers that have left.
//!
//! ```
//! use medlarfall_coordination::store_outage::{Detector, Outcome, State};
//! use std::time::Duration;
//!
//! let at = Duration::from_millis;
//! let mut detector = Detector::default();
//! detector.record(Outcome::Answered, at(0));
//! assert_eq!(detector.record(Outcome::Lost, at(1_000)), State::Unconfirmed);
//! assert_eq!(detector.record(Outcome::Answered, at(1_020)), State::Available);
//! assert_eq!(detector.record(Outcome::Refused, at(2_000)), State::Unavailable);
//! ```

use std::time::Duration;

/// Longest time without a response for which the store may count as available. A registration lapses
/// after three of the platform's heartbeat intervals, so that live servers remain registered in a shorter
/// outage.
const CONFIRMATION_LIMIT: Duration = Duration::from_secs(2);

/// Outcome of a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The store responded.
    Answered,
    /// No response arrived on a connection that was open: it was closed, or fell silent.
    Lost,
    /// The store refused the call or a connection.
    Refused,
}

/// Whether the store responds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// It does.
    #[default]
    Available,
    /// The last call got no response; a call on a new connection decides.
    Unconfirmed,
    /// It does not.
    Unavailable,
}

/// Detects outages of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    state: State,
    answered_at: Option<Duration>,
}

impl Detector {
    /// Records the outcome of a call, and returns whether the store responds. A call that follows a lost
    /// one has to use a new connection.
    pub fn record(&mut self, outcome: Outcome, now: Duration) -> State {
        let silent_for = self.answered_at.map(|at| now.saturating_sub(at));
        self.state = match (outcome, self.state) {
            (Outcome::Answered, _) => State::Available,
            (Outcome::Lost, State::Available)
                if silent_for.is_none_or(|silent| silent <= CONFIRMATION_LIMIT) =>
            {
                State::Unconfirmed
            }
            _ => State::Unavailable,
        };
        if outcome == Outcome::Answered {
            self.answered_at = Some(now);
        }
        self.state
    }

    /// Returns whether the store responds, as far as the recorded calls show it.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }
}
