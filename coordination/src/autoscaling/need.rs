//! The number of servers that a demand needs.

use std::time::Duration;

use super::history::Level;

/// Share of the remaining servers' capacity that the work may use while a whole failure domain is lost.
/// Above it, prompts wait for one another at a server: a prompt of a second delays the next by up to a
/// second, and slows down the server's streams.
pub const UTILISATION: f64 = 0.85;

/// Standard deviations of random arrivals for which the remaining servers suffice. This matters for small
/// services, where chance varies the work more than [`UTILISATION`] leaves room for.
const BURST_DEVIATIONS: f64 = 1.5;

/// Share of the servers that remain after a loss if there is only one failure domain.
const REMAINING_OF_ONE: f64 = 0.75;

/// Factor for the need during a rollout: both versions run, requests of one can't use the servers of the
/// other, and a server that is replaced does not serve while it starts.
const ROLLOUT: f64 = 1.25;

/// Memory of a request relative to its prompt: its generated events.
const MEMORY: f64 = 1.15;

/// Copies of a request in memory, if it has a backup on another server.
const COPIES: f64 = 2.0;

/// Share of the servers' memory that requests with backups can use. A server holds a few whole requests, which
/// are placed by counts that are out of date, so that some servers are full before the others. At 0.7, twice as
/// many streams were late as without scaling: requests were preempted, and resumes found no backup.
const USABLE_MEMORY: f64 = 0.6;

/// What one server can process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Time for a prompt token, if it is known.
    pub prefill_ns: Option<f64>,
    /// Requests at a time; 0 if unknown.
    pub slots: u32,
    /// Memory in tokens; 0 if it does not limit.
    pub memory_tokens: u64,
    /// Whether each request has a backup in the memory of another server.
    pub backups: bool,
}

/// The work of a demand, in servers that it occupies entirely.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Servers for the processing of prompts.
    pub prompts: f64,
    /// Servers for the memory of requests.
    pub memory: f64,
    /// Servers for the slots of requests.
    pub slots: f64,
}

impl Work {
    /// Returns the work of a demand that grows by a factor.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "the memory of a server is far below 2^52 tokens"
    )]
    pub fn new(level: &Level, growth: f64, capacity: &Capacity) -> Self {
        let prompts = level.prompt_tokens * capacity.prefill_ns.unwrap_or(0.0) / 1e9;
        let prompt = level.prompt_tokens / level.requests.max(f64::EPSILON);
        let (copies, usable) = if capacity.backups {
            (COPIES, USABLE_MEMORY)
        } else {
            (1.0, 1.0)
        };
        let tokens = prompt * MEMORY * copies;
        let memory = capacity.memory_tokens as f64 * usable;
        let divide = |value: f64, by: f64| if by > 0.0 { value / by } else { 0.0 };
        Self {
            prompts: prompts * growth,
            memory: divide(level.running * tokens, memory) * growth,
            slots: divide(level.running, f64::from(capacity.slots)) * growth,
        }
    }

    /// Returns the number of servers that the work occupies: what binds decides.
    #[must_use]
    pub fn servers(&self) -> f64 {
        self.prompts.max(self.memory).max(self.slots)
    }

    /// Returns the name of what binds.
    #[must_use]
    pub fn binding(&self) -> &'static str {
        match self.servers() {
            servers if servers <= self.prompts => "prompts",
            servers if servers <= self.memory => "memory",
            _ => "slots",
        }
    }
}

/// Returns the servers, beyond those of the work, that process waiting prompts within the time `startup`: more
/// than one for each server that can process requests wait for other prompts.
#[must_use]
pub fn backlog(level: &Level, capacity: &Capacity, live: u32, startup: Duration) -> f64 {
    let queued = (level.waiting - f64::from(live)).max(0.0);
    let tokens = level.prompt_tokens / level.requests.max(f64::EPSILON);
    let prompt = tokens * capacity.prefill_ns.unwrap_or(0.0) / 1e9;
    queued * prompt / startup.as_secs_f64().max(1.0)
}

/// Returns the servers that a failure domain needs: so many that, after the loss of any one of `domains`
/// failure domains, the others process the work `total` of all of them, and enough for the work `local` of
/// its own entries.
#[must_use]
pub fn of_domain(total: f64, local: f64, domains: u32, rollout: bool) -> f64 {
    let with_bursts = (total / UTILISATION).max(total + BURST_DEVIATIONS * total.sqrt());
    let remaining = match domains {
        0 | 1 => REMAINING_OF_ONE,
        _ => f64::from(domains - 1),
    };
    let need = (with_bursts / remaining).max(local / UTILISATION);
    need * if rollout { ROLLOUT } else { 1.0 }
}
