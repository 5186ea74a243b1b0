//! Limits the rate of log lines per call site.
//!
//! A crash of a failure domain, or a client that retries without pause, can make one log statement
//! write thousands of lines a second. Lines beyond the limit are not written; they are counted, and
//! their number is reported.

use std::collections::HashMap;
use std::time::Duration;

/// Lines that one call site may write in a period. An entry of the largest site in use ends about
/// 30 requests a second, with one line each, and a few times as many in a burst.
pub const LINES_PER_PERIOD: u32 = 200;

/// Period over which the lines of a call site are counted.
pub const PERIOD: Duration = Duration::from_secs(1);

/// Location of a log statement: file and line.
pub type CallSite = (&'static str, u32);

/// Lines of one call site in its current period.
#[derive(Clone, Copy, Debug)]
struct Count {
    period_start: Duration,
    admitted: u32,
    suppressed: u64,
}

/// Counts lines by call site and limits their rate.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    counts: HashMap<CallSite, Count>,
    last_check: Duration,
}

impl RateLimiter {
    /// Counts a line and returns whether it may be written.
    pub fn admit(&mut self, call_site: CallSite, now: Duration) -> bool {
        let count = self.counts.entry(call_site).or_insert(Count {
            period_start: now,
            admitted: 0,
            suppressed: 0,
        });
        // A period with suppressed lines ends only when `take_suppressed` has reported them.
        if now.saturating_sub(count.period_start) >= PERIOD && count.suppressed == 0 {
            count.period_start = now;
            count.admitted = 0;
        }
        if count.admitted < LINES_PER_PERIOD {
            count.admitted += 1;
            return true;
        }
        count.suppressed += 1;
        false
    }

    /// Returns the call sites whose period is over and that had lines suppressed, with the number
    /// of those lines, and starts a new period for them. Checks the call sites at most once a
    /// period; calls in between return nothing.
    pub fn take_suppressed(&mut self, now: Duration) -> Vec<(CallSite, u64)> {
        if now.saturating_sub(self.last_check) < PERIOD {
            return Vec::new();
        }
        self.last_check = now;
        let mut suppressed = Vec::new();
        for (call_site, count) in &mut self.counts {
            if count.suppressed > 0 && now.saturating_sub(count.period_start) >= PERIOD {
                suppressed.push((*call_site, count.suppressed));
                *count = Count {
                    period_start: now,
                    admitted: 0,
                    suppressed: 0,
                };
            }
        }
        suppressed.sort_unstable();
        suppressed
    }
}
