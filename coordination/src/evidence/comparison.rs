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
    /// Lower limits of the slowness bounds.
    floors: [Duration; QUANTILES.len()],
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
        let mut bounds = QUANTILES.map(|quantile| {
            let reference = durations[(durations.len() - 1) * quantile / 100];
            reference
                .mul_f64(limits.slowness)
                .max(reference + limits.slack)
        });
        for (bound, floor) in bounds.iter_mut().zip(self.floors) {
            *bound = (*bound).max(floor);
        }
        self.slow_bounds = Some(bounds);
    }

    /// Keeps the slowness bounds from falling below those of the stages so far, since the baseline servers
    /// may answer sooner once they have lost most of their requests.
    pub(super) fn keep_bounds(&mut self) {
        self.floors = self.slow_bounds.unwrap_or_default();
    }

    /// Restarts the tests and keeps the baseline durations.
    pub(super) fn restart(&mut self) {
        self.tests.iter_mut().for_each(Test::restart);
        self.sample.restart();
    }

    /// Returns the evidence against the canary as a share of what its rejection requires.
    pub(super) fn value(&self, threshold: f64) -> f64 {
        let values = self.tests.iter().map(|test| test.value(threshold));
        values.fold(0.0, f64::max)
    }

    /// Returns the same by the absolute bounds alone.
    pub(super) fn bound_value(&self, threshold: f64) -> f64 {
        let values = self.tests.iter().map(|test| test.bound_value(threshold));
        values.fold(0.0, f64::max)
    }

    /// Returns whether the canary's durations are slower than the baseline's by one look at all of them.
    pub(super) fn is_slower(&self, significance: f64) -> bool {
        self.sample.is_slower(significance)
    }
}
