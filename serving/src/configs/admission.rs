//! How requests are admitted to backend servers.

use std::time::Duration;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Largest headroom or grant, in percent.
const PERCENT_LIMIT: u64 = 90;

/// Section `[admission]`.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Part of an engine's memory that is never reserved, in percent.
    pub headroom_percent: u64,
    /// Part of an engine's usable memory that entries may use without a grant, in percent.
    pub base_percent: u64,
    /// Largest number of entries at a time, including replaced ones, among which `base_percent` is
    /// divided. This is not an enforced limit.
    pub entries: usize,
    /// Step by which this entry's grant grows, in percent of the grantable memory.
    pub grant_percent: u64,
    /// Largest number of this entry's concurrent calls at one instance of a plain service.
    pub service_calls: usize,
    /// Largest number of requests that wait for admission in this entry.
    pub waiting: usize,
    /// How long granted memory stays unused before it is returned.
    pub idle_timeout: Duration,
    /// How long an entry is absent from the instance list before others reclaim its grants.
    pub reclaim_grace: Duration,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            headroom_percent: 5,
            base_percent: 25,
            entries: 16,
            grant_percent: 2,
            service_calls: 64,
            waiting: 10_000,
            idle_timeout: Duration::from_millis(500),
            reclaim_grace: Duration::from_secs(30),
        }
    }
}

impl Admission {
    /// Returns how much of an engine's memory this entry may use without a grant, and how much may be
    /// granted to all entries together, in tokens.
    #[must_use]
    pub fn memory(&self, memory_tokens: u64) -> (u64, u64) {
        let usable = memory_tokens * (100 - self.headroom_percent) / 100;
        let shared = usable * self.base_percent / 100;
        let base = shared / self.entries as u64;
        (base, usable - shared)
    }

    /// Returns the step by which a grant grows, in tokens.
    #[must_use]
    pub fn grant_step(&self, limit: u64) -> u64 {
        (limit * self.grant_percent / 100).max(1)
    }
}

impl TryFrom<raw::Admission> for Admission {
    type Error = Problem;

    fn try_from(raw: raw::Admission) -> Result<Self, Problem> {
        let default = Self::default();
        Ok(Self {
            headroom_percent: percent(
                "admission.headroom_percent",
                raw.headroom_percent,
                default.headroom_percent,
            )?,
            base_percent: percent(
                "admission.base_percent",
                raw.base_percent,
                default.base_percent,
            )?,
            entries: value::count("admission.entries", raw.entries, default.entries)?,
            grant_percent: percent(
                "admission.grant_percent",
                raw.grant_percent,
                default.grant_percent,
            )?,
            service_calls: value::count(
                "admission.service_calls",
                raw.service_calls,
                default.service_calls,
            )?,
            waiting: value::count("admission.waiting", raw.waiting, default.waiting)?,
            idle_timeout: value::duration(
                "admission.idle_timeout",
                raw.idle_timeout,
                default.idle_timeout,
            )?,
            reclaim_grace: value::duration(
                "admission.reclaim_grace",
                raw.reclaim_grace,
                default.reclaim_grace,
            )?,
        })
    }
}

/// Returns a percentage up to `PERCENT_LIMIT`.
fn percent(key: &'static str, value: Option<u64>, default: u64) -> Result<u64, Problem> {
    match value {
        None => Ok(default),
        Some(value) if value <= PERCENT_LIMIT => Ok(value),
        Some(value) => Err(value::invalid(key, &value, "write 0 to 90")),
    }
}
