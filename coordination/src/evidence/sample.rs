//! Comparison of the durations of both versions by one look at the end of a stage.
//!
//! Noise that affects both versions may coincide with a change of their mix, as when most requests are
//! shifted to the canary. Each canary duration is therefore judged by the baseline durations that
//! arrived around it.

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

/// Largest share of slow durations that is tolerated.
const MAX_TOLERATED_SHARE: f64 = 0.99;

/// Baseline durations before a canary duration, and after it, by which it is judged.
const NEIGHBOURS: usize = 6;

/// Probability of the slow durations among these neighbours, at the baseline's usual share, below which
/// they arrived at a time of noise.
const NOISE_SIGNIFICANCE: f64 = 0.03;

/// A duration of the canary.
#[derive(Clone, Copy, Debug)]
struct Placed {
    duration: Duration,
    /// Number of baseline durations that arrived before it.
    position: usize,
}

/// Durations of both versions, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct Sample {
    canary: VecDeque<Placed>,
    baseline: VecDeque<Duration>,
    /// Baseline durations that are no longer kept.
    dropped: usize,
}

impl Sample {
    /// Adds a duration.
    pub(super) fn add(&mut self, cohort: Cohort, duration: Duration) {
        match cohort {
            Cohort::Baseline => {
                if self.baseline.len() >= CAPACITY {
                    self.baseline.pop_front();
                    self.dropped += 1;
                }
                self.baseline.push_back(duration);
            }
            Cohort::Canary => {
                if self.canary.len() >= CAPACITY {
                    self.canary.pop_front();
                }
                let position = self.dropped + self.baseline.len();
                self.canary.push_back(Placed { duration, position });
            }
        }
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
        let slow: Vec<bool> = self.baseline.iter().map(|it| *it > bound).collect();
        let count = |slow: &[bool]| slow.iter().filter(|slow| **slow).count();
        let usual = number(count(&slow)) / number(slow.len());
        let tolerated = |placed: &Placed| {
            let position = placed.position.saturating_sub(self.dropped);
            let first = position.saturating_sub(NEIGHBOURS);
            let neighbours = &slow[first..(position + NEIGHBOURS).min(slow.len())];
            let slow = count(neighbours);
            let probability = upper_tail(neighbours.len(), slow, usual.max(TOLERATED_SHARE));
            let share = if probability < NOISE_SIGNIFICANCE {
                number(slow) / number(neighbours.len())
            } else {
                usual
            };
            (TOLERATED_FACTOR * share).clamp(TOLERATED_SHARE, MAX_TOLERATED_SHARE)
        };
        // The sum of trials with different probabilities exceeds a value above its mean no more often than
        // that of trials with their mean (Hoeffding 1956).
        let total = self.canary.len();
        let mean = self.canary.iter().map(tolerated).sum::<f64>() / number(total.max(1));
        let bad = self.canary.iter().filter(|it| it.duration > bound).count();
        let probability = upper_tail(total, bad, mean);
        probability < significance
    }
}

/// Returns the probability of at least `bad` of `total` if each is bad with the probability `share`.
pub(super) fn upper_tail(total: usize, bad: usize, share: f64) -> f64 {
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

pub(super) fn number(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
