//! Betting processes on whether attempts are bad.

use std::collections::VecDeque;

use super::Cohort;

/// Old attempts that one new attempt is compared with, at most.
const GROUP: usize = 64;

/// New attempts that are held until an old one comes, at most.
const GROUP_LIMIT: f64 = 64.0;

/// Value of the comparison that is enough beside that of the bound; it guards against faults that
/// both versions share.
const COMPARED_THRESHOLD: f64 = 100.0;

/// Factor on the old version's share of bad attempts that is borne.
const BORNE: f64 = 1.5;

/// Shares of bad attempts, of the new and of the old version, that are bet on.
const PAIRS: [(f64, f64); 3] = [(0.9, 0.02), (0.9, 0.15), (0.4, 0.05)];

/// How far between the tolerated share of bad attempts and all of them the bets lie.
const SHARES: [f64; 3] = [0.1, 0.4, 0.9];

/// A mixture of bets over alternatives and over the attempt at which a fault may have begun.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Mixture {
    bets: [f64; 3],
    kept: f64,
    steps: f64,
}

impl Default for Mixture {
    fn default() -> Self {
        Self {
            bets: [0.0; 3],
            kept: 1.0,
            steps: 0.0,
        }
    }
}

impl Mixture {
    /// Stakes a little on a fault that begins now, then multiplies each bet by its factor.
    fn step(&mut self, factors: [f64; 3]) {
        self.steps += 1.0;
        let stake = 1.0 / (self.steps * (self.steps + 1.0));
        self.kept -= stake;
        for (bet, factor) in self.bets.iter_mut().zip(factors) {
            *bet = ((*bet + stake / 3.0) * factor).min(f64::MAX / 8.0);
        }
    }

    /// Returns the value of the mixture.
    fn value(&self) -> f64 {
        self.kept.max(0.0) + self.bets.iter().sum::<f64>()
    }
}

/// Attempts of one version in a block.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Count {
    all: f64,
    bad: f64,
}

impl Count {
    /// Counts an attempt.
    fn add(&mut self, bad: bool) {
        self.all += 1.0;
        self.bad += f64::from(u8::from(bad));
    }

    /// Returns the probability of these attempts in this order, where a share of them is bad.
    fn likelihood(self, share: f64) -> f64 {
        share.powf(self.bad) * (1.0 - share).powf(self.all - self.bad)
    }
}

/// Returns by how much a block of attempts is likelier with `pair`'s shares than with a shared one.
///
/// While the new version is no worse, the expectation of this factor is at most 1.
fn factor(new: Count, old: Count, pair: (f64, f64)) -> f64 {
    let shared = (new.all * pair.0 + old.all * pair.1) / (new.all + old.all);
    let apart = new.likelihood(pair.0) * old.likelihood(pair.1);
    apart / (new.likelihood(shared) * old.likelihood(shared))
}

/// A test of whether new attempts are bad more often than tolerated and than old ones.
#[derive(Clone, Debug, Default)]
pub(super) struct Test {
    bound: Mixture,
    compared: Mixture,
    new: Count,
    old: VecDeque<bool>,
    old_all: Count,
}

impl Test {
    /// Starts the bets again.
    pub(super) fn restart(&mut self) {
        self.bound = Mixture::default();
        self.compared = Mixture::default();
        self.new = Count::default();
    }

    /// Takes an attempt; `tolerated` is the share of the new version's bad ones that is borne.
    pub(super) fn take(&mut self, side: Cohort, bad: bool, tolerated: f64) {
        match side {
            Cohort::Baseline => self.old(bad),
            Cohort::Canary => self.new_version(bad, tolerated),
        }
    }

    /// Takes an attempt of the old version.
    fn old(&mut self, bad: bool) {
        self.old_all.add(bad);
        self.old.push_back(bad);
        if self.old.len() > GROUP {
            self.old.pop_front();
        }
        self.compare();
    }

    /// Takes an attempt of the new version; `tolerated` is the share of bad ones that is borne.
    fn new_version(&mut self, bad: bool, tolerated: f64) {
        self.bet_on_bound(bad, tolerated);
        if self.new.all < GROUP_LIMIT {
            self.new.add(bad);
        }
        self.compare();
    }

    /// Returns how much of what is needed speaks against the new version: 1 is enough.
    ///
    /// `alone` says that there is no old version to compare with.
    pub(super) fn value(&self, threshold: f64, alone: bool) -> f64 {
        let bound = self.bound.value() / threshold;
        if alone {
            return bound;
        }
        bound.min(self.compared.value() / COMPARED_THRESHOLD)
    }

    /// Bets that bad attempts are more frequent than an absolute bound.
    fn bet_on_bound(&mut self, bad: bool, tolerated: f64) {
        let old = BORNE * (self.old_all.bad + 1.0) / (self.old_all.all + 2.0);
        let bound = tolerated.max(old).min(0.95);
        let factors = SHARES.map(|share| {
            let bet = bound + (1.0 - bound) * share;
            if bad {
                bet / bound
            } else {
                (1.0 - bet) / (1.0 - bound)
            }
        });
        self.bound.step(factors);
    }

    /// Bets, once a block holds attempts of both versions, that the new one is worse.
    fn compare(&mut self) {
        if self.new.all < 1.0 || self.old.is_empty() {
            return;
        }
        let mut old = Count::default();
        self.old.drain(..).for_each(|bad| old.add(bad));
        let new = std::mem::take(&mut self.new);
        self.compared.step(PAIRS.map(|pair| factor(new, old, pair)));
    }
}
