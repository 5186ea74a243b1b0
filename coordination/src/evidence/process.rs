//! Betting processes (test martingales) on whether attempts are bad: failed, or slower than a bound.

use std::collections::VecDeque;

use super::Cohort;

/// Maximum number of baseline attempts that one canary attempt is compared with.
const BASELINE_GROUP: usize = 64;

/// Maximum number of canary attempts that are held until the next baseline attempt.
const CANARY_GROUP: f64 = 64.0;

/// Value that the comparison with the baseline must reach, in addition to the threshold of the
/// absolute bound. It guards against faults that both versions share.
const COMPARED_THRESHOLD: f64 = 100.0;

/// Factor on the baseline's share of bad attempts that is tolerated.
const TOLERATED_FACTOR: f64 = 1.5;

/// Alternatives of the comparison: pairs of the shares of bad attempts of the canary and the
/// baseline.
const SHARE_PAIRS: [(f64, f64); 3] = [(0.9, 0.02), (0.9, 0.15), (0.4, 0.05)];

/// Alternatives of the bound: positions between the tolerated share of bad attempts and a share
/// of 1.
const SHARE_POSITIONS: [f64; 3] = [0.1, 0.4, 0.9];

/// A mixture of bets over the alternatives and over the attempt at which a fault may have begun.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Mixture {
    bets: [f64; 3],
    reserve: f64,
    steps: f64,
}

impl Default for Mixture {
    fn default() -> Self {
        Self {
            bets: [0.0; 3],
            reserve: 1.0,
            steps: 0.0,
        }
    }
}

impl Mixture {
    /// Moves a small stake from the reserve to a fault that begins now, then multiplies each bet by
    /// its factor.
    fn step(&mut self, factors: [f64; 3]) {
        self.steps += 1.0;
        let stake = 1.0 / (self.steps * (self.steps + 1.0));
        self.reserve -= stake;
        for (bet, factor) in self.bets.iter_mut().zip(factors) {
            *bet = ((*bet + stake / 3.0) * factor).min(f64::MAX / 8.0);
        }
    }

    /// Returns the value of the mixture.
    fn value(&self) -> f64 {
        self.reserve.max(0.0) + self.bets.iter().sum::<f64>()
    }
}

/// Number of attempts of one version in a block.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Count {
    total: f64,
    bad: f64,
}

impl Count {
    /// Counts an attempt.
    fn add(&mut self, bad: bool) {
        self.total += 1.0;
        self.bad += f64::from(u8::from(bad));
    }

    /// Returns the probability of this sequence of attempts if `share` of all attempts are bad.
    fn likelihood(self, share: f64) -> f64 {
        share.powf(self.bad) * (1.0 - share).powf(self.total - self.bad)
    }
}

/// Returns the likelihood ratio of a block of attempts: the two shares of `pair` against one share
/// common to both versions.
///
/// While the canary is no worse, the expectation of this factor is at most 1.
fn likelihood_ratio(canary: Count, baseline: Count, pair: (f64, f64)) -> f64 {
    let shared =
        (canary.total * pair.0 + baseline.total * pair.1) / (canary.total + baseline.total);
    let separate = canary.likelihood(pair.0) * baseline.likelihood(pair.1);
    separate / (canary.likelihood(shared) * baseline.likelihood(shared))
}

/// A test of whether canary attempts are bad more often than tolerated and than baseline attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Test {
    bound: Mixture,
    compared: Mixture,
    canary: Count,
    baseline: VecDeque<bool>,
    baseline_total: Count,
}

impl Test {
    /// Restarts the bets and keeps the counts of the baseline.
    pub(super) fn restart(&mut self) {
        self.bound = Mixture::default();
        self.compared = Mixture::default();
        self.canary = Count::default();
    }

    /// Adds an attempt; `tolerated` is the share of bad canary attempts that is tolerated.
    pub(super) fn add(&mut self, cohort: Cohort, bad: bool, tolerated: f64) {
        match cohort {
            Cohort::Baseline => self.add_baseline(bad),
            Cohort::Canary => self.add_canary(bad, tolerated),
        }
    }

    /// Adds an attempt of the baseline.
    fn add_baseline(&mut self, bad: bool) {
        self.baseline_total.add(bad);
        self.baseline.push_back(bad);
        if self.baseline.len() > BASELINE_GROUP {
            self.baseline.pop_front();
        }
        self.compare();
    }

    /// Adds an attempt of the canary; `tolerated` is the share of bad attempts that is tolerated.
    fn add_canary(&mut self, bad: bool, tolerated: f64) {
        self.bet_on_bound(bad, tolerated);
        if self.canary.total < CANARY_GROUP {
            self.canary.add(bad);
        }
        self.compare();
    }

    /// Returns the evidence against the canary as a share of what its rejection requires.
    pub(super) fn value(&self, threshold: f64) -> f64 {
        let compared = self.compared.value() / COMPARED_THRESHOLD;
        self.bound_value(threshold).min(compared)
    }

    /// Returns the same by the absolute bound alone.
    pub(super) fn bound_value(&self, threshold: f64) -> f64 {
        self.bound.value() / threshold
    }

    /// Bets that bad attempts are more frequent than the absolute bound.
    fn bet_on_bound(&mut self, bad: bool, tolerated: f64) {
        let baseline_share =
            TOLERATED_FACTOR * (self.baseline_total.bad + 1.0) / (self.baseline_total.total + 2.0);
        let bound = tolerated.max(baseline_share).min(0.95);
        let factors = SHARE_POSITIONS.map(|share| {
            let bet = bound + (1.0 - bound) * share;
            if bad {
                bet / bound
            } else {
                (1.0 - bet) / (1.0 - bound)
            }
        });
        self.bound.step(factors);
    }

    /// Bets that the canary is worse, once a block holds attempts of both versions.
    fn compare(&mut self) {
        if self.canary.total < 1.0 || self.baseline.is_empty() {
            return;
        }
        let mut baseline = Count::default();
        self.baseline.drain(..).for_each(|bad| baseline.add(bad));
        let canary = std::mem::take(&mut self.canary);
        self.compared
            .step(SHARE_PAIRS.map(|pair| likelihood_ratio(canary, baseline, pair)));
    }
}
