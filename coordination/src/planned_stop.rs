//! Planned stops: the target of a stop, and the time at which a generation is moved off a server
//! that will stop.
//!
//! A generation that is estimated to end before the stop stays. The others are moved at times
//! spread between the acceptance of the stop and its date.
//!
//! ```
//! use std::time::Duration;
//! use medlarfall_coordination::planned_stop::{Decision, Policy, Snapshot};
//!
//! let policy = Policy { lead: Duration::from_secs(5), margin_percent: 50 };
//! let snapshot = Snapshot {
//!     accepted: Duration::ZERO,
//!     date: Duration::from_secs(60),
//!     share: 0.5,
//!     remaining_tokens: 100,
//!     token_interval: Some(Duration::from_millis(10)),
//! };
//! // One second of work and a margin of half a second end well before the date.
//! assert_eq!(policy.decide(&snapshot, Duration::ZERO), Decision::Stay);
//! let long = Snapshot { remaining_tokens: 100_000, ..snapshot };
//! let moment = Duration::from_millis(27_500);
//! assert_eq!(policy.decide(&long, Duration::ZERO), Decision::MoveAt(moment));
//! assert_eq!(policy.decide(&long, moment), Decision::MoveNow);
//! ```

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;

/// Target of a planned stop.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Target {
    /// One backend server, by name.
    Server(Arc<str>),
    /// Every instance of a failure domain, by its name.
    FailureDomain(Arc<str>),
    /// One entry, by name.
    Entry(Arc<str>),
}

/// The error of a target that cannot be parsed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "`target = {value}` cannot be used: write `server/NAME`, `failure-domain/NAME` or `entry/NAME`"
))]
pub struct Malformed {
    /// The value.
    pub value: String,
}

impl FromStr for Target {
    type Err = Malformed;

    fn from_str(value: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed {
            value: value.to_owned(),
        };
        let (scope, name) = value.split_once('/').ok_or_else(malformed)?;
        let allowed = |character: char| {
            character.is_ascii_alphanumeric() || matches!(character, '-' | '.' | '_')
        };
        match scope {
            _ if name.is_empty() || !name.chars().all(allowed) => Err(malformed()),
            "server" => Ok(Self::Server(Arc::from(name))),
            "failure-domain" => Ok(Self::FailureDomain(Arc::from(name))),
            "entry" => Ok(Self::Entry(Arc::from(name))),
            _ => Err(malformed()),
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Server(name) => write!(formatter, "server/{name}"),
            Self::FailureDomain(name) => write!(formatter, "failure-domain/{name}"),
            Self::Entry(name) => write!(formatter, "entry/{name}"),
        }
    }
}

impl Target {
    /// Returns whether the target covers a backend server.
    #[must_use]
    pub fn covers_server(&self, server: &str, failure_domain: &str) -> bool {
        match self {
            Self::Server(name) => name.as_ref() == server,
            Self::FailureDomain(name) => name.as_ref() == failure_domain,
            Self::Entry(_) => false,
        }
    }

    /// Returns whether the target covers an entry.
    #[must_use]
    pub fn covers_entry(&self, entry: &str, failure_domain: &str) -> bool {
        match self {
            Self::Entry(name) => name.as_ref() == entry,
            Self::FailureDomain(name) => name.as_ref() == failure_domain,
            Self::Server(_) => false,
        }
    }
}

/// Parameters that decide when generations are moved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Time before the date of the stop at which the last generations are moved.
    pub lead: Duration,
    /// Share added to the estimate of a generation's remaining time, in percent.
    pub margin_percent: u32,
}

/// A generation and the planned stop of its server, at one time. All times share one origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Snapshot {
    /// Time at which this entry accepted the stop.
    pub accepted: Duration,
    /// Time at which the server stops.
    pub date: Duration,
    /// Position, from 0 to 1, of this generation's move between acceptance and the latest time of a
    /// move; it spreads the moves over time.
    pub share: f64,
    /// Highest number of tokens that the generation may still produce.
    pub remaining_tokens: u64,
    /// Measured time between two tokens; nothing before two tokens were received.
    pub token_interval: Option<Duration>,
}

/// What to do with a generation on a server that will stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is estimated to end in time: decide again at each token.
    Stay,
    /// It is not estimated to end in time: move it at this time, unless a later decision differs.
    MoveAt(Duration),
    /// Move it now.
    MoveNow,
}

impl Policy {
    /// Returns the latest time at which a generation is moved.
    #[must_use]
    pub fn latest(&self, date: Duration) -> Duration {
        date.saturating_sub(self.lead)
    }

    /// Decides what to do with a generation at `now`.
    #[must_use]
    pub fn decide(&self, snapshot: &Snapshot, now: Duration) -> Decision {
        let latest = self.latest(snapshot.date);
        if now >= latest {
            return Decision::MoveNow;
        }
        let ends = snapshot
            .token_interval
            .map(|interval| self.estimated_end(now, snapshot.remaining_tokens, interval));
        let moment = move_time(snapshot.accepted, latest, snapshot.share);
        match ends {
            Some(ends) if ends <= latest => Decision::Stay,
            None => Decision::MoveAt(latest),
            Some(_) if now >= moment => Decision::MoveNow,
            Some(_) => Decision::MoveAt(moment),
        }
    }

    /// Returns the estimated end of a generation, including the margin.
    fn estimated_end(&self, now: Duration, tokens: u64, interval: Duration) -> Duration {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let work = interval.saturating_mul(tokens);
        let margin = work.saturating_mul(self.margin_percent) / 100;
        now.saturating_add(work).saturating_add(margin)
    }
}

/// Returns the time at the fraction `share` between two times.
fn move_time(accepted: Duration, latest: Duration, share: f64) -> Duration {
    let share = if share.is_finite() {
        share.clamp(0.0, 1.0)
    } else {
        0.0
    };
    accepted + latest.saturating_sub(accepted).mul_f64(share)
}

/// Returns a hash of the request identifier between 0 and 1, for [`Snapshot::share`].
#[must_use]
pub fn share(request_id: &str) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64(request_id.as_bytes());
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

/// Decides whether a stop has finished. Reports of the requests on a server are delayed, so their
/// count must stay zero for some time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Completion {
    settle: Duration,
    since: Option<Duration>,
}

impl Completion {
    /// Returns the state of a stop that has finished once the count has been zero for `settle`.
    #[must_use]
    pub fn new(settle: Duration) -> Self {
        Self {
            settle,
            since: None,
        }
    }

    /// Records at `now` how many requests delay the stop, or nothing if the count could not be
    /// read; returns whether the stop has finished.
    pub fn observe(&mut self, now: Duration, requests: Option<u64>) -> bool {
        if requests != Some(0) {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        now.saturating_sub(since) >= self.settle
    }
}
