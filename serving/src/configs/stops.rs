//! How planned stops are carried out.

use std::time::Duration;

use medlarfall_coordination::planned_stop::Policy;
use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Section `[stops]`.
#[derive(Clone, Copy, Debug)]
pub struct Stops {
    /// When generations are moved off a leaving server.
    pub policy: Policy,
    /// Longest time that a stopping entry waits for its requests in progress.
    pub entry_window: Duration,
    /// Base interval of drain checks and stop exchanges.
    pub drain_interval: Duration,
}

impl Default for Stops {
    fn default() -> Self {
        Self {
            policy: Policy {
                lead: Duration::from_secs(5),
                margin_percent: 50,
            },
            entry_window: Duration::from_secs(30),
            drain_interval: Duration::from_secs(1),
        }
    }
}

impl TryFrom<raw::Stops> for Stops {
    type Error = Problem;

    fn try_from(raw: raw::Stops) -> Result<Self, Problem> {
        let default = Self::default();
        let margin = raw
            .margin_percent
            .map_or(Ok(default.policy.margin_percent), u32::try_from);
        let margin_percent = margin.map_err(|_| {
            let value = raw.margin_percent.unwrap_or_default();
            value::invalid("stops.margin_percent", &value, "write a smaller number")
        })?;
        Ok(Self {
            policy: Policy {
                lead: value::duration("stops.lead", raw.lead, default.policy.lead)?,
                margin_percent,
            },
            entry_window: value::duration(
                "stops.entry_window",
                raw.entry_window,
                default.entry_window,
            )?,
            drain_interval: value::duration(
                "stops.drain_interval",
                raw.drain_interval,
                default.drain_interval,
            )?,
        })
    }
}
