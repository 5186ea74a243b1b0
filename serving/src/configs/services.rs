//! How plain services are called.

use std::time::Duration;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Largest kept answer that fits into a value of the store in any encoding, in bytes.
const KEPT_ANSWER_CEILING: usize = 256 << 10;

/// Section `[services]`.
#[derive(Clone, Copy, Debug)]
pub struct Services {
    /// Timeout of one attempt at a call to a plain service.
    pub call_timeout: Duration,
    /// Largest number of attempts at one call, if it may be retried at all.
    pub attempts: usize,
    /// Time limit for one call with all its attempts, unless the caller sets one.
    pub deadline: Duration,
    /// Retries allowed per hundred successes.
    pub retry_percent: usize,
    /// Largest answer of a plain service, in bytes.
    pub answer_limit: usize,
    /// Memory limit for buffered bodies and answers, in bytes.
    pub held_limit: usize,
    /// Time limit for a caller to read an answer.
    pub read_timeout: Duration,
    /// Age above which callers' identifiers are refused.
    pub claim_retention: Duration,
    /// Largest accepted difference between the clocks of callers and entries.
    pub clock_skew: Duration,
    /// Time after requesting a claim within which the call may be sent without reading the claim
    /// again.
    pub claim_trust: Duration,
    /// Largest answer that is stored for retries, in bytes.
    pub kept_answer_limit: usize,
}

impl Default for Services {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(5),
            attempts: 3,
            deadline: Duration::from_secs(10),
            retry_percent: 10,
            answer_limit: 4 << 20,
            held_limit: 32 << 20,
            read_timeout: Duration::from_secs(30),
            claim_retention: Duration::from_hours(24),
            clock_skew: Duration::from_mins(5),
            claim_trust: Duration::from_secs(2),
            kept_answer_limit: 16 << 10,
        }
    }
}

impl TryFrom<raw::Services> for Services {
    type Error = Problem;

    fn try_from(raw: raw::Services) -> Result<Self, Problem> {
        let default = Self::default();
        let services = Self {
            call_timeout: value::duration(
                "services.call_timeout",
                raw.call_timeout,
                default.call_timeout,
            )?,
            attempts: value::count("services.attempts", raw.attempts, default.attempts)?,
            deadline: value::duration("services.deadline", raw.deadline, default.deadline)?,
            retry_percent: value::count(
                "services.retry_percent",
                raw.retry_percent,
                default.retry_percent,
            )?,
            answer_limit: value::size(
                "services.answer_limit",
                raw.answer_limit,
                default.answer_limit,
            )?,
            held_limit: value::size("services.held_limit", raw.held_limit, default.held_limit)?,
            read_timeout: value::duration(
                "services.read_timeout",
                raw.read_timeout,
                default.read_timeout,
            )?,
            claim_retention: value::duration(
                "services.claim_retention",
                raw.claim_retention,
                default.claim_retention,
            )?,
            clock_skew: value::duration("services.clock_skew", raw.clock_skew, default.clock_skew)?,
            claim_trust: value::duration(
                "services.claim_trust",
                raw.claim_trust,
                default.claim_trust,
            )?,
            kept_answer_limit: value::size(
                "services.kept_answer_limit",
                raw.kept_answer_limit,
                default.kept_answer_limit,
            )?,
        };
        services.check()
    }
}

impl Services {
    /// Checks the values against each other.
    fn check(self) -> Result<Self, Problem> {
        if self.held_limit < self.answer_limit {
            return Err(value::invalid(
                "services.held_limit",
                &format!("{} bytes", self.held_limit),
                "write at least as much as `services.answer_limit`",
            ));
        }
        if self.kept_answer_limit > KEPT_ANSWER_CEILING {
            return Err(value::invalid(
                "services.kept_answer_limit",
                &format!("{} bytes", self.kept_answer_limit),
                "write at most \"256KiB\", which fits a value of the platform's store",
            ));
        }
        Ok(self)
    }
}
