//! How requests are admitted to backend servers.

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Largest headroom, in percent.
const HEADROOM_LIMIT: u64 = 90;

/// Section `[admission]`.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Most entries that send to one backend server at once, replaced ones included.
    pub entries: usize,
    /// Part of an engine's memory that is never reserved, in percent.
    pub headroom_percent: u64,
    /// Calls that one instance of a plain service may hold from all entries.
    pub service_calls: usize,
    /// Requests that may wait in this entry.
    pub waiting: usize,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            entries: 12,
            headroom_percent: 5,
            service_calls: 768,
            waiting: 10_000,
        }
    }
}

impl Admission {
    /// Returns this entry's share of an engine's memory, in tokens.
    #[must_use]
    pub fn memory_share(&self, memory_tokens: u64) -> u64 {
        memory_tokens / 100 * (100 - self.headroom_percent) / self.entries as u64
    }

    /// Returns the calls that this entry may have at one instance of a plain service.
    #[must_use]
    pub fn calls_share(&self) -> u64 {
        (self.service_calls / self.entries) as u64
    }
}

impl TryFrom<raw::Admission> for Admission {
    type Error = Problem;

    fn try_from(raw: raw::Admission) -> Result<Self, Problem> {
        let default = Self::default();
        let admission = Self {
            entries: value::count("admission.entries", raw.entries, default.entries)?,
            headroom_percent: raw.headroom_percent.unwrap_or(default.headroom_percent),
            service_calls: value::count(
                "admission.service_calls",
                raw.service_calls,
                default.service_calls,
            )?,
            waiting: value::count("admission.waiting", raw.waiting, default.waiting)?,
        };
        if admission.headroom_percent > HEADROOM_LIMIT {
            let key = "admission.headroom_percent";
            return Err(value::invalid(
                key,
                &admission.headroom_percent,
                "write 0 to 90",
            ));
        }
        if admission.service_calls < admission.entries {
            let key = "admission.service_calls";
            return Err(value::invalid(
                key,
                &admission.service_calls,
                "write at least as much as `admission.entries`",
            ));
        }
        Ok(admission)
    }
}
