//! The tests of one measure on one route.

use std::collections::VecDeque;
use std::time::Duration;

use super::process::Test;
use super::sample::Sample;
use super::{Cohort, QUANTILES};

/// Recent baseline durations from which the slowness bounds are computed.
const RECENT_DURATIONS: usize = 128;

/// Baseline durations after which the slowness bounds are recomputed.
const RECOMPUTE_INTERVAL: usize = 16;

/// Limits from which a duration counts as slow.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowLimits {
    pub(super) slowness: f64,
    pub(super) slack: Duration,
}

/// The tests of one measure on one route: one for failures, or one for each quantile of durations.
#[derive(Clone, Debug, Default)]
pub(super) struct Comparison {
    tests: [Test; QUANTILES.len()],
    /// Durations of the stage, for one look at its end.
    sample: Sample,
    recent: VecDeque<Duration>,
    slow_bounds: Option<[Duration; QUANTILES.len()]>,
    since_recompute: usize,
}

impl Comparison {
    /// Adds whether an attempt failed.
    pub(super) fn add(&mut self, cohort: Cohort, failed: bool, tolerated: f64) {
        self.tests[0].add(cohort, failed, tolerated);
    }

    /// Adds a duration, which counts as bad if it exceeds the bounds from earlier baseline durations.
    pub(super) fn add_duration(
        &mut self,
        cohort: Cohort,
        duration: Duration,
        limits: SlowLimits,
        tolerated: f64,
    ) {
        self.sample.add(cohort, duration);
        for (test, bound) in self.tests.iter_mut().zip(self.slow_bounds.iter().flatten()) {
            test.add(cohort, duration > *bound, tolerated);
        }
        if cohort == Cohort::Canary {
            return;
        }
        self.recent.push_back(duration);
        if self.recent.len() > RECENT_DURATIONS {
            self.recent.pop_front();
        }
        self.since_recompute += 1;
        if self.since_recompute >= RECOMPUTE_INTERVAL {
            self.since_recompute = 0;
            self.recompute_bounds(limits);
        }
    }

    /// Computes the bounds above which a duration is slow from the recent baseline durations.
    fn recompute_bounds(&mut self, limits: SlowLimits) {
        let mut durations: Vec<Duration> = self.recent.iter().copied().collect();
        durations.sort_unstable();
        self.slow_bounds = Some(QUANTILES.map(|quantile| {
            let reference = durations[(durations.len() - 1) * quantile / 100];
            reference
                .mul_f64(limits.slowness)
                .max(reference + limits.slack)
        }));
    }

    /// Restarts the tests and keeps the baseline durations.
    pub(super) fn restart(&mut self) {
        self.tests.iter_mut().for_each(Test::restart);
        self.sample.restart();
    }

    /// Returns the evidence against the canary as a share of what its rejection requires.
    ///
    /// Without a concurrent baseline only the first quantile counts: noise that begins later raises
    /// half of all durations above the earlier median.
    pub(super) fn value(&self, threshold: f64, without_baseline: bool) -> f64 {
        let counted = if without_baseline {
            1
        } else {
            self.tests.len()
        };
        let values = self.tests[..counted].iter();
        values
            .map(|test| test.value(threshold, without_baseline))
            .fold(0.0, f64::max)
    }

    /// Returns whether the canary's durations are slower than the baseline's by one look at all of them.
    pub(super) fn is_slower(&self, significance: f64) -> bool {
        self.sample.is_slower(significance)
    }
}
