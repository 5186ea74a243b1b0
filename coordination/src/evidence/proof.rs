//! Proof that the new version (the canary) is sound: it fails or slows down too seldom for a version that
//! does so with [`BAD_SHARES`] of the requests that the old version (the baseline) would serve well.
//!
//! The sequential tests reject a version that is proved worse. Where they can't tell the versions apart, as
//! while both fail, they say nothing for the canary, so a version is accepted on this proof only.
//!
//! Each attempt of the canary is judged by the baseline's attempts that arrived around it. If more of
//! these were bad than usual, it proves nothing and is left out.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use super::sample::{number, upper_tail};
use super::{Cohort, Measure, Observation};

/// Share of bad answers, beyond those of the baseline, that a sound version does not have: the largest one,
/// for a few attempts, and the smallest one, for many.
const BAD_SHARES: (f64, f64) = (0.25, 0.1);

/// Factor on the error of a share among so many attempts from which it can be told from none.
const BAD_SHARE_ERRORS: f64 = 1.7;

/// Probability with which a version with [`BAD_SHARES`] has so few bad answers, below which a version is
/// sound.
const SIGNIFICANCE: f64 = 0.05;

/// Baseline attempts before a canary attempt, and after it, by which it is judged.
const NEIGHBOURS: usize = 16;

/// Share of bad attempts among these neighbours from which both versions may be in trouble.
const TROUBLE_SHARE: f64 = 0.25;

/// Probability of the bad attempts among these neighbours, at the baseline's usual share, below which they
/// show a time of trouble, or one that is calmer than usual.
const TROUBLE_SIGNIFICANCE: f64 = 0.03;

/// Baseline durations that the bound of slow ones requires.
const MIN_DURATIONS: usize = 12;

/// Baseline durations that must follow one of the canary: noise may begin with the shift of all requests to
/// the canary, after which nothing tells it from a slow version.
const LATER_DURATIONS: usize = 4;

/// Quantile of the baseline durations, in percent, and the factor on it from which a duration is slow. An
/// answer that is several times slower than usual exceeds it, and few of a sound version's do.
const SLOW_QUANTILE: (usize, f64) = (90, 2.0);

/// The same for a low quantile, which is that of calm times if up to three quarters of the baseline
/// durations are slow because of trouble that both versions share.
const CALM_QUANTILE: (usize, f64) = (25, 4.0);

/// Most baseline attempts that are kept, with the canary attempts that arrived among them.
const CAPACITY: usize = 4_096;

/// Most canary attempts that are kept.
const CANARY_CAPACITY: usize = 512;

/// An attempt, by the route and what was observed.
#[derive(Clone, Copy, Debug)]
struct Attempt<T> {
    route: usize,
    value: T,
}

/// Attempts of both versions in the order of their arrival.
#[derive(Clone, Debug)]
struct Series<T> {
    /// With the number of baseline attempts that arrived before each.
    canary: VecDeque<(Attempt<T>, usize)>,
    baseline: VecDeque<Attempt<T>>,
    /// Baseline attempts that are no longer kept.
    dropped: usize,
}

impl<T> Default for Series<T> {
    fn default() -> Self {
        Self {
            canary: VecDeque::new(),
            baseline: VecDeque::new(),
            dropped: 0,
        }
    }
}

impl<T: Copy> Series<T> {
    fn add(&mut self, cohort: Cohort, attempt: Attempt<T>) {
        match cohort {
            Cohort::Canary => {
                let position = self.dropped + self.baseline.len();
                self.canary.push_back((attempt, position));
            }
            Cohort::Baseline => self.baseline.push_back(attempt),
        }
        if self.baseline.len() > CAPACITY {
            self.baseline.pop_front();
            self.dropped += 1;
        }
        let dropped = self.dropped;
        let outdated = |(_, position): &(Attempt<T>, usize)| *position < dropped;
        if self.canary.len() > CANARY_CAPACITY || self.canary.front().is_some_and(outdated) {
            self.canary.pop_front();
        }
    }

    /// Returns what the attempts say of the canary; `bad` says which are bad. Only attempts that were followed
    /// by `later` of the baseline count.
    fn findings(&self, later: usize, bad: impl Fn(&Attempt<T>) -> bool) -> Findings {
        let baseline = Baseline::new(self.baseline.iter().map(&bad).collect());
        let mut common_shares = Vec::new();
        let mut count = 0;
        for (attempt, position) in &self.canary {
            let position = position.saturating_sub(self.dropped);
            if position + later > baseline.bad.len() {
                break;
            }
            if let Some(common) = baseline.common_share(position) {
                common_shares.push(common);
                count += usize::from(bad(attempt));
            }
        }
        let attempts = common_shares.len();
        let bad_share = bad_share(attempts);
        let either = |common: f64| 1.0 - (1.0 - common) * (1.0 - bad_share);
        let probabilities: Vec<f64> = common_shares.into_iter().map(either).collect();
        Findings {
            attempts,
            bad: count,
            sound: lower_tail(&probabilities, count) < SIGNIFICANCE,
        }
    }
}

/// What the attempts of the canary say.
#[derive(Clone, Copy, Debug, Default)]
struct Findings {
    /// Attempts that can be judged.
    attempts: usize,
    /// Of these, bad ones.
    bad: usize,
    /// Whether they prove the canary sound.
    sound: bool,
}

/// Which attempts of the baseline were bad, in the order of their arrival.
#[derive(Clone, Debug)]
struct Baseline {
    bad: Vec<bool>,
    /// Share of bad attempts outside of times of trouble.
    usual: f64,
}

impl Baseline {
    fn new(bad: Vec<bool>) -> Self {
        let usual = share(&bad);
        let all = Self { bad, usual };
        let calm = (0..all.bad.len()).filter(|position| !all.in_trouble(*position));
        let calm: Vec<bool> = calm.map(|position| all.bad[position]).collect();
        Self {
            usual: share(&calm),
            ..all
        }
    }

    fn neighbours(&self, position: usize) -> &[bool] {
        let last = (position + NEIGHBOURS).min(self.bad.len());
        &self.bad[position.saturating_sub(NEIGHBOURS)..last]
    }

    /// Returns whether far more attempts than usual are bad around a position.
    fn in_trouble(&self, position: usize) -> bool {
        let neighbours = self.neighbours(position);
        let chance = || upper_tail(neighbours.len(), bad_among(neighbours), self.usual);
        share(neighbours) > TROUBLE_SHARE && chance() < TROUBLE_SIGNIFICANCE
    }

    /// Returns the share of attempts that are bad at both versions around a position, or `None` in a time of
    /// trouble.
    fn common_share(&self, position: usize) -> Option<f64> {
        if self.in_trouble(position) {
            return None;
        }
        let neighbours = self.neighbours(position);
        let usual = vec![self.usual; neighbours.len()];
        let calm = lower_tail(&usual, bad_among(neighbours)) < TROUBLE_SIGNIFICANCE;
        Some(if calm { share(neighbours) } else { self.usual })
    }
}

impl Series<Duration> {
    /// Returns what the durations say of the canary.
    fn slowness(&self) -> Findings {
        let mut by_route: BTreeMap<usize, Vec<Duration>> = BTreeMap::new();
        for attempt in &self.baseline {
            by_route
                .entry(attempt.route)
                .or_default()
                .push(attempt.value);
        }
        let all = self.baseline.iter().map(|attempt| attempt.value).collect();
        let Some(overall) = slow_bound(all) else {
            return Findings::default();
        };
        let bounds = by_route
            .into_iter()
            .filter_map(|(route, durations)| Some((route, slow_bound(durations)?)));
        let bounds: BTreeMap<usize, Duration> = bounds.collect();
        self.findings(LATER_DURATIONS, |attempt| {
            attempt.value > *bounds.get(&attempt.route).unwrap_or(&overall)
        })
    }
}

/// A measure in which the canary is not proved sound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gap {
    /// The measure.
    pub measure: Measure,
    /// Attempts of the canary that can be judged.
    pub attempts: usize,
    /// Of these, bad ones.
    pub bad: usize,
}

impl fmt::Display for Gap {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            measure,
            attempts,
            bad,
        } = self;
        write!(
            formatter,
            "it can't be excluded that {measure} ({bad} of {attempts})"
        )
    }
}

/// The attempts from which a version is proved sound.
#[derive(Clone, Debug, Default)]
pub(super) struct Proof {
    failures: Series<bool>,
    durations: BTreeMap<Measure, Series<Duration>>,
}

impl Proof {
    /// Adds an observation; `route` numbers its route.
    pub(super) fn add(&mut self, route: usize, observation: &Observation) {
        let cohort = observation.cohort;
        if let Some(value) = observation.failed {
            self.failures.add(cohort, Attempt { route, value });
        }
        for measure in Measure::ALL {
            if let Some(value) = observation.duration(measure) {
                let series = self.durations.entry(measure).or_default();
                series.add(cohort, Attempt { route, value });
            }
        }
    }

    /// Forgets the attempts of the canary.
    pub(super) fn restart(&mut self) {
        self.failures.canary.clear();
        for series in self.durations.values_mut() {
            series.canary.clear();
        }
    }

    /// Returns a gap in the proof that the canary is sound, or `None` if there is none. If durations are
    /// `optional`, those that can't be judged are left out.
    pub(super) fn gap(&self, optional: bool) -> Option<Gap> {
        let failures = self.failures.findings(0, |attempt| attempt.value);
        let durations = self.durations.iter();
        let durations = durations.map(|(measure, series)| (*measure, series.slowness()));
        let durations = durations.filter(|(_, found)| !optional || found.attempts > 0);
        let mut all = std::iter::once((Measure::Failure, failures)).chain(durations);
        let (measure, found) = all.find(|(_, found)| !found.sound)?;
        Some(Gap {
            measure,
            attempts: found.attempts,
            bad: found.bad,
        })
    }
}

/// Returns the duration from which one counts as slow, by the baseline's durations.
fn slow_bound(mut durations: Vec<Duration>) -> Option<Duration> {
    if durations.len() < MIN_DURATIONS {
        return None;
    }
    durations.sort_unstable();
    let last = durations.len() - 1;
    let bound = |(quantile, factor): (usize, f64)| durations[last * quantile / 100].mul_f64(factor);
    Some(bound(SLOW_QUANTILE).min(bound(CALM_QUANTILE)))
}

/// Returns the share of bad answers that a sound version does not have, by the number of attempts.
fn bad_share(attempts: usize) -> f64 {
    let (most, least) = BAD_SHARES;
    (BAD_SHARE_ERRORS / number(attempts.max(1)).sqrt()).clamp(least, most)
}

fn bad_among(attempts: &[bool]) -> usize {
    attempts.iter().filter(|bad| **bad).count()
}

fn share(attempts: &[bool]) -> f64 {
    number(bad_among(attempts)) / number(attempts.len().max(1))
}

/// Returns the probability that at most `bad` attempts are bad if each is with a probability of its own.
fn lower_tail(probabilities: &[f64], bad: usize) -> f64 {
    // By the number of bad attempts among those so far.
    let mut distribution = vec![0.0; bad + 1];
    distribution[0] = 1.0;
    for probability in probabilities {
        for count in (1..=bad).rev() {
            distribution[count] =
                distribution[count] * (1.0 - probability) + distribution[count - 1] * probability;
        }
        distribution[0] *= 1.0 - probability;
    }
    distribution.iter().sum()
}
