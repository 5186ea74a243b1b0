//! Memory of engines that streams and the backups of other servers' streams share.
//!
//! A fleet that is scaled to its load has little spare memory. An engine without memory for a prompt
//! queues it, preempts a running stream, or does not accept a backup, and each of these delays a
//! stream by seconds. Streams and backups are therefore placed by the memory that they occupy.
//!
//! ```
//! use medlarfall_coordination::dissemination::Count;
//! use medlarfall_coordination::server_memory::Demand;
//!
//! let demand = Demand { request_tokens: 6_000, memory_tokens: 55_000 };
//! let idle = Count::default();
//! let full = Count { streams: 5, backups: 4, ..Count::default() };
//! assert_eq!(demand.load(idle), 0.0);
//! assert!(demand.load(full) > 1.0);
//! assert!(demand.occupancy(full) > demand.occupancy(idle));
//! ```

use crate::dissemination::Count;

/// Share of the memory up to which a stream is not placed by memory: the lengths of the streams at a
/// server vary, and those of other entries are known with a delay.
const AMPLE: f64 = 0.6;

/// Load, in prompts in prefill, of a server whose memory a request would fill entirely. A prompt that
/// waits for memory waits for the end of another stream, which takes as long as several prompts.
const FULL_LOAD: f64 = 6.0;

/// Load of a server whose memory a backup would fill entirely. Loads are compared in halves, so servers whose
/// memory differs by a sixteenth are told apart.
const FULL_BACKUP_LOAD: f64 = 8.0;

/// Memory that a request needs, and that of one server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Tokens of the request: its prompt and the events that it generates.
    pub request_tokens: u64,
    /// Memory of a server, in tokens.
    pub memory_tokens: u64,
}

impl Demand {
    /// Returns the share of a server's memory that is occupied once it has the request too, if the
    /// requests and backups there are as long as this one. It can exceed 1.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "sizes of memory are far below 2^52 tokens"
    )]
    pub fn occupancy(&self, count: Count) -> f64 {
        let requests = f64::from(count.streams) + f64::from(count.backups) + 1.0;
        requests * self.request_tokens as f64 / self.memory_tokens.max(1) as f64
    }

    /// Returns the load that the scarcity of memory adds to a server for a stream, in prompts in prefill.
    #[must_use]
    pub fn load(&self, count: Count) -> f64 {
        FULL_LOAD * ((self.occupancy(count) - AMPLE) / (1.0 - AMPLE)).max(0.0)
    }

    /// Returns the load of a server for a backup, which occupies memory and needs nothing else.
    #[must_use]
    pub fn backup_load(&self, count: Count) -> f64 {
        FULL_BACKUP_LOAD * self.occupancy(count)
    }
}
