//! Comparison of the durations of both versions by one look at the end of a stage.

use std::collections::VecDeque;
use std::time::Duration;

use super::Cohort;

/// Most durations of a version that are kept; the latest count.
const CAPACITY: usize = 512;

/// Baseline durations that a comparison requires.
const MIN_BASELINE: usize = 32;

/// Quantile of the baseline durations from which slowness is judged, in percent.
const QUANTILE: usize = 90;

/// Factor on the quantile from which a duration counts as slow. An answer that is several times slower
/// than usual exceeds it, and few of a sound version's do.
const SLOWNESS: f64 = 2.0;

/// Share of slow durations that is tolerated regardless of the baseline.
const TOLERATED_SHARE: f64 = 0.02;

/// Factor on the baseline's share of slow durations that is tolerated.
const TOLERATED_FACTOR: f64 = 1.5;

/// Durations of both versions.
#[derive(Clone, Debug, Default)]
pub(super) struct Sample {
    canary: VecDeque<Duration>,
    baseline: VecDeque<Duration>,
}

impl Sample {
    /// Adds a duration.
    pub(super) fn add(&mut self, cohort: Cohort, duration: Duration) {
        let durations = match cohort {
            Cohort::Baseline => &mut self.baseline,
            Cohort::Canary => &mut self.canary,
        };
        if durations.len() >= CAPACITY {
            durations.pop_front();
        }
        durations.push_back(duration);
    }

    /// Forgets the durations of the canary.
    pub(super) fn restart(&mut self) {
        self.canary.clear();
    }

    /// Returns whether the canary has slow durations more often than tolerated: a canary that is as good as
    /// tolerated has so many with a probability below `significance`.
    pub(super) fn is_slower(&self, significance: f64) -> bool {
        if self.baseline.len() < MIN_BASELINE {
            return false;
        }
        let mut sorted: Vec<Duration> = self.baseline.iter().copied().collect();
        sorted.sort_unstable();
        let bound = sorted[(sorted.len() - 1) * QUANTILE / 100].mul_f64(SLOWNESS);
        let slow = |durations: &VecDeque<Duration>| {
            durations
                .iter()
                .filter(|duration| **duration > bound)
                .count()
        };
        let share = number(slow(&self.baseline)) / number(self.baseline.len());
        let tolerated = (TOLERATED_FACTOR * share).max(TOLERATED_SHARE);
        let probability = upper_tail(self.canary.len(), slow(&self.canary), tolerated);
        probability < significance
    }
}

/// Returns the probability of at least `bad` of `total` if each is bad with the probability `share`.
fn upper_tail(total: usize, bad: usize, share: f64) -> f64 {
    let odds = share / (1.0 - share);
    let total = number(total);
    let mut logarithm = total * (1.0 - share).ln();
    let mut below = 0.0;
    for count in 0..bad {
        below += logarithm.exp();
        let count = number(count);
        logarithm += ((total - count) / (count + 1.0) * odds).ln();
    }
    1.0 - below
}

fn number(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
