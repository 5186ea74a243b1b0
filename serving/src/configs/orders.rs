//! How orders are given to backend servers.

use std::time::Duration;

use medlarfall_coordination::fencing::Policy;
use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Length of a lock's lease in timeouts of an order: one until an older order can no longer take
/// effect, one to send the own order, and two for the delays of the store and the server.
const LEASE_TIMEOUTS: u32 = 4;

/// Section `[orders]`.
#[derive(Clone, Copy, Debug)]
pub struct Orders {
    /// Limits of time and attempts.
    pub policy: Policy,
}

impl Orders {
    /// Returns how long the lease of a lock lasts.
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.policy.order_timeout * LEASE_TIMEOUTS
    }
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            policy: Policy {
                order_timeout: Duration::from_secs(1),
                attempts: 3,
            },
        }
    }
}

impl TryFrom<raw::Orders> for Orders {
    type Error = Problem;

    fn try_from(raw: raw::Orders) -> Result<Self, Problem> {
        let default = Self::default().policy;
        let attempts = raw.attempts.map_or(Ok(default.attempts), u32::try_from);
        let attempts = attempts.ok().filter(|attempts| *attempts > 0);
        let attempts = attempts.ok_or_else(|| {
            let value = raw.attempts.unwrap_or_default();
            value::invalid("orders.attempts", &value, "write a small number above zero")
        })?;
        Ok(Self {
            policy: Policy {
                order_timeout: value::duration(
                    "orders.timeout",
                    raw.timeout,
                    default.order_timeout,
                )?,
                attempts,
            },
        })
    }
}
