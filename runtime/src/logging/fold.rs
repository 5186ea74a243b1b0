//! Bounds how many lines one place in the code writes.
//!
//! A crash of a failure domain, or a caller that repeats without pause, makes one place write
//! thousands of lines a second. Those beyond a limit are counted, and the count is told.

use std::collections::HashMap;
use std::time::Duration;

/// Lines that one place writes in a period. An entry of the users' largest site ends some 30
/// requests a second, each with a line; a burst has a few times as many.
pub const LINES: u32 = 200;

/// The period over which lines are counted.
pub const PERIOD: Duration = Duration::from_secs(1);

/// A place in the code: file and line.
pub type Place = (&'static str, u32);

/// Lines of one place in the period that began last.
#[derive(Clone, Copy, Debug)]
struct Count {
    began: Duration,
    lines: u32,
    folded: u64,
}

/// Counts lines by the place that writes them.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    counts: HashMap<Place, Count>,
    swept_at: Duration,
}

impl Fold {
    /// Counts a line and returns whether it is written.
    pub fn admit(&mut self, place: Place, now: Duration) -> bool {
        let count = self.counts.entry(place).or_insert(Count {
            began: now,
            lines: 0,
            folded: 0,
        });
        if now.saturating_sub(count.began) >= PERIOD && count.folded == 0 {
            count.began = now;
            count.lines = 0;
        }
        if count.lines < LINES {
            count.lines += 1;
            return true;
        }
        count.folded += 1;
        false
    }

    /// Returns the places whose period is over and that had lines folded, with the number of them.
    pub fn told(&mut self, now: Duration) -> Vec<(Place, u64)> {
        if now.saturating_sub(self.swept_at) < PERIOD {
            return Vec::new();
        }
        self.swept_at = now;
        let mut told = Vec::new();
        for (place, count) in &mut self.counts {
            if count.folded > 0 && now.saturating_sub(count.began) >= PERIOD {
                told.push((*place, count.folded));
                *count = Count {
                    began: now,
                    lines: 0,
                    folded: 0,
                };
            }
        }
        told.sort_unstable();
        told
    }
}
