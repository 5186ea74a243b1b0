//! True time: the median of the wall clocks of this entry and of those that it hears of. A step of one
//! machine's clock changes nothing where three or more clocks are known.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//! use medlarfall_coordination::true_time::TrueTime;
//!
//! let mut time = TrueTime::default();
//! let now = Duration::from_secs(1);
//! time.record(&Arc::from("entry-2"), 50_001, now);
//! time.record(&Arc::from("entry-3"), 50_002, now);
//! // The own clock was set forward by a minute.
//! assert_eq!(time.at(110_000, now), 50_002);
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a clock counts that is not heard of any more. Clocks drift by less than a tenth of a
/// millisecond in a second.
const FRESH: Duration = Duration::from_secs(30);

/// Most other clocks that are used. The median of these is as good as that of all.
const CLOCKS: usize = 32;

/// The known wall clocks.
#[derive(Clone, Debug, Default)]
pub struct TrueTime {
    /// Difference between each clock and the monotonic one, in milliseconds, and when it was seen.
    offsets: BTreeMap<Arc<str>, (i64, Duration)>,
}

impl TrueTime {
    /// Records that the wall clock of an entry showed `wall_ms`, in Unix milliseconds.
    pub fn record(&mut self, entry: &Arc<str>, wall_ms: u64, now: Duration) {
        self.offsets
            .retain(|_, (_, seen_at)| now.saturating_sub(*seen_at) < FRESH);
        if self.offsets.len() < CLOCKS || self.offsets.contains_key(entry) {
            self.offsets
                .insert(Arc::clone(entry), (offset(wall_ms, now), now));
        }
    }

    /// Returns the true time in Unix milliseconds; `wall_ms` is what this entry's wall clock shows.
    #[must_use]
    pub fn at(&self, wall_ms: u64, now: Duration) -> u64 {
        let fresh = self.offsets.values();
        let fresh = fresh.filter(|(_, seen_at)| now.saturating_sub(*seen_at) < FRESH);
        let mut offsets: Vec<i64> = fresh.map(|(offset, _)| *offset).collect();
        offsets.push(offset(wall_ms, now));
        offsets.sort_unstable();
        let median = offsets[(offsets.len() - 1) / 2];
        u64::try_from(median.saturating_add(millis(now))).unwrap_or_default()
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

fn offset(wall_ms: u64, now: Duration) -> i64 {
    i64::try_from(wall_ms)
        .unwrap_or(i64::MAX)
        .saturating_sub(millis(now))
}
