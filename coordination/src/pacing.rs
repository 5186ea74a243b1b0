//! Paces what entries send one another by the links that carry it: messages, and changes of the store that
//! peers fetch.

use std::time::Duration;

/// Share of a link that messages between entries may use; callers' requests need the rest.
const LINK_SHARE: f64 = 0.1;

/// Longest pause between two messages, since peers place streams by their content.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Size of a datagram's headers, in bytes.
const HEADER_BYTES: usize = 28;

/// Share of a link that changes which peers fetch may use: a configuration has to be in force in time, and
/// callers' requests go on meanwhile.
const TRANSFER_SHARE: f64 = 0.5;

fn bits(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) * 8.0
}

fn bits_per_second(link_mbps: u32) -> f64 {
    f64::from(link_mbps.max(1)) * 1e6
}

/// The changes that an entry sends to peers at their request. If many ask at once, they would all get them
/// late, over a link that is full for callers too.
///
/// ```
/// use medlarfall_coordination::pacing::Transfers;
/// use std::time::Duration;
///
/// let mut transfers = Transfers::new(10);
/// let within = Duration::from_millis(500);
/// let begin = |it: &mut Transfers, at| it.begin(500_000, within, Duration::from_millis(at));
/// assert!(begin(&mut transfers, 0));
/// assert!(!begin(&mut transfers, 100));
/// assert!(begin(&mut transfers, 900));
/// ```
#[derive(Clone, Debug)]
pub struct Transfers {
    bits_per_second: f64,
    /// When the transfers that have begun are complete.
    free_at: Duration,
}

impl Transfers {
    /// Returns the state of a link of `link_mbps` that carries no transfer.
    #[must_use]
    pub fn new(link_mbps: u32) -> Self {
        Self {
            bits_per_second: bits_per_second(link_mbps) * TRANSFER_SHARE,
            free_at: Duration::ZERO,
        }
    }

    /// Returns whether a transfer of `bytes` may begin, and counts it if so: it would be complete `within` that
    /// time, or is the only one.
    pub fn begin(&mut self, bytes: usize, within: Duration, now: Duration) -> bool {
        let takes = Duration::from_secs_f64(bits(bytes) / self.bits_per_second);
        let complete_at = self.free_at.max(now) + takes;
        let begins = self.free_at <= now || complete_at <= now + within;
        if begins {
            self.free_at = complete_at;
        }
        begins
    }
}

/// Returns the pause after a message of `bytes` to `recipients` peers over a link of `link_mbps`.
#[must_use]
pub fn pause(bytes: usize, recipients: usize, link_mbps: u32) -> Duration {
    let bits = bits((bytes + HEADER_BYTES).saturating_mul(recipients));
    Duration::from_secs_f64(bits / (bits_per_second(link_mbps) * LINK_SHARE)).min(MAX_PAUSE)
}
