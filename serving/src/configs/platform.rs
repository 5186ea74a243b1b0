//! The platform's key-value service and instance list.

use std::net::SocketAddr;
use std::time::Duration;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Default timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Default pause between two reads of the instance list.
const INSTANCES_INTERVAL: Duration = Duration::from_millis(500);

/// Default longest wait of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Section `[platform]`.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Timeout of one call to the store.
    pub call_timeout: Duration,
    /// Pause between two reads of the instance list.
    pub instances_interval: Duration,
    /// Longest wait of one watch call.
    pub watch_timeout: Duration,
}

impl TryFrom<raw::Platform> for Platform {
    type Error = Problem;

    fn try_from(raw: raw::Platform) -> Result<Self, Problem> {
        Ok(Self {
            address: value::address("platform.address", raw.address)?,
            call_timeout: value::duration("platform.call_timeout", raw.call_timeout, CALL_TIMEOUT)?,
            instances_interval: value::duration(
                "platform.instances_interval",
                raw.instances_interval,
                INSTANCES_INTERVAL,
            )?,
            watch_timeout: value::duration(
                "platform.watch_timeout",
                raw.watch_timeout,
                WATCH_TIMEOUT,
            )?,
        })
    }
}

impl Platform {
    /// Returns the default settings for the platform at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            call_timeout: CALL_TIMEOUT,
            instances_interval: INSTANCES_INTERVAL,
            watch_timeout: WATCH_TIMEOUT,
        }
    }
}
