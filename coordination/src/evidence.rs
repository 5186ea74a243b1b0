//! Evidence for and against a new version, compared with the old one over the same time.
//!
//! Each test is a betting process: its value starts at 1 and, while the new version is no worse
//! than tolerated, is not expected to grow. By Ville's inequality the chance that it ever reaches
//! `1 / a` is then at most `a`, however often it is looked at. A mixture over the observation at
//! which a fault may have begun finds faults that show late; a mixture over alternatives finds
//! strong and weak ones. A test speaks against the new version only if it is worse than an absolute
//! bound and worse than the old version.
//!
//! ```
//! use medlarfall_coordination::evidence::{Cohort, Evidence, Observation, Tolerance};
//!
//! let mut evidence = Evidence::new(Tolerance::default(), 5);
//! for _ in 0..200 {
//!     evidence.observe(&Observation::failure(Cohort::Baseline, "", false));
//! }
//! for _ in 0..8 {
//!     for _ in 0..19 {
//!         evidence.observe(&Observation::failure(Cohort::Baseline, "", false));
//!     }
//!     evidence.observe(&Observation::failure(Cohort::Canary, "", true));
//! }
//! assert!(evidence.rejection().is_some());
//! ```

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

mod process;

use process::Test;

/// Most routes that are tested one by one; further ones are tested in the whole only.
const ROUTES: usize = 8;

/// Tests of a move's stage: of the whole and of each route, one of failures and, for each measure of
/// time, one for each quantile.
const TESTS: usize = (ROUTES + 1) * (1 + (Measure::ALL.len() - 1) * QUANTILES.len());

/// Old durations from which the bound of slowness is computed.
const RECENT: usize = 128;

/// Old durations after which the bound of slowness is computed anew.
const FEWEST: usize = 16;

/// Quantiles of the old durations from which slowness counts, in percent. The high one finds a new
/// version whose slow answers are slower; the median one that is slower throughout, also where noise
/// that both versions share lifts the old version's slow answers above the new version's usual ones.
const QUANTILES: [usize; 2] = [90, 50];

/// Part of the needed evidence from which a test leans against the new version.
const SUSPECT: f64 = 0.01;

/// Which version answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Cohort {
    /// The version in force before the move.
    #[serde(rename = "Old")]
    Baseline,
    /// The version that is moved to.
    #[serde(rename = "New")]
    Canary,
}

/// What is compared.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Measure {
    /// Whether the attempt failed.
    Failure,
    /// Time to the first token.
    FirstToken,
    /// Time between tokens.
    Gap,
    /// Time of a whole call.
    Call,
}

impl Measure {
    /// Every measure.
    const ALL: [Self; 4] = [Self::Failure, Self::FirstToken, Self::Gap, Self::Call];
}

impl fmt::Display for Measure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Failure => "it fails more often",
            Self::FirstToken => "its first token comes later",
            Self::Gap => "its tokens come more slowly",
            Self::Call => "its calls take longer",
        })
    }
}

/// What one attempt showed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// Which version answered.
    #[serde(rename = "side")]
    pub cohort: Cohort,
    /// Route of the request; empty for generations.
    pub route: Arc<str>,
    /// Whether the attempt failed; absent while it runs.
    pub failed: Option<bool>,
    /// Time to the first token.
    pub first: Option<Duration>,
    /// Mean time between tokens.
    pub gap: Option<Duration>,
    /// Time of the whole call.
    pub call: Option<Duration>,
}

impl Observation {
    /// Returns an observation without times.
    #[must_use]
    pub fn failure(side: Cohort, route: &str, failed: bool) -> Self {
        Self {
            cohort: side,
            route: Arc::from(route),
            failed: Some(failed),
            first: None,
            gap: None,
            call: None,
        }
    }

    /// Returns the time that a measure compares.
    fn time(&self, measure: Measure) -> Option<Duration> {
        match measure {
            Measure::Failure => None,
            Measure::FirstToken => self.first,
            Measure::Gap => self.gap,
            Measure::Call => self.call,
        }
    }
}

/// What is tolerated of a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Chance that a move of a good version is taken back.
    pub false_alarm: f64,
    /// Share of failures that is borne whatever the old version does.
    pub failures: f64,
    /// Factor on the old version's slow times from which a time counts as slow.
    pub slowness: f64,
    /// Least difference from the old version's slow times that counts as slow.
    pub slack: Duration,
    /// The same for the mean time between tokens, which varies less than single times.
    pub gap_slack: Duration,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            false_alarm: 0.01,
            failures: 0.01,
            slowness: 1.5,
            slack: Duration::from_millis(5),
            gap_slack: Duration::from_millis(1),
        }
    }
}

/// From where a time counts as slow.
#[derive(Clone, Copy, Debug)]
struct Limits {
    slowness: f64,
    slack: Duration,
}

impl Tolerance {
    /// Returns from where the times of a measure count as slow.
    fn of(&self, measure: Measure) -> Limits {
        Limits {
            slowness: self.slowness,
            slack: if measure == Measure::Gap {
                self.gap_slack
            } else {
                self.slack
            },
        }
    }
}

/// Share of slow times that is borne whatever the old version does.
const SLOW_SHARE: f64 = 0.2;

/// The same at a stage without requests to the old version.
const SLOW_SHARE_ALONE: f64 = 0.4;

/// The tests of one measure on one route: one of failures, or one for each quantile of times.
#[derive(Clone, Debug, Default)]
struct Comparison {
    tests: [Test; QUANTILES.len()],
    recent: VecDeque<Duration>,
    bounds: Option<[Duration; QUANTILES.len()]>,
    since_bound: usize,
}

impl Comparison {
    /// Takes whether an attempt failed.
    fn take(&mut self, side: Cohort, failed: bool, tolerated: f64) {
        self.tests[0].take(side, failed, tolerated);
    }

    /// Takes a time; it is bad if it lies above the bounds that earlier old times gave.
    fn take_time(&mut self, side: Cohort, time: Duration, limits: Limits, tolerated: f64) {
        for (test, bound) in self.tests.iter_mut().zip(self.bounds.iter().flatten()) {
            test.take(side, time > *bound, tolerated);
        }
        if side == Cohort::Canary {
            return;
        }
        self.recent.push_back(time);
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
        self.since_bound += 1;
        if self.since_bound >= FEWEST {
            self.since_bound = 0;
            self.set_bounds(limits);
        }
    }

    /// Sets the bounds above which a time is slow, from the recent times of the old version.
    fn set_bounds(&mut self, limits: Limits) {
        let mut times: Vec<Duration> = self.recent.iter().copied().collect();
        times.sort_unstable();
        self.bounds = Some(QUANTILES.map(|quantile| {
            let usual = times[(times.len() - 1) * quantile / 100];
            usual.mul_f64(limits.slowness).max(usual + limits.slack)
        }));
    }

    /// Starts the tests again; the times of the old version stay.
    fn restart(&mut self) {
        self.tests.iter_mut().for_each(Test::restart);
    }

    /// Returns how much of what is needed speaks against the new version: 1 is enough.
    ///
    /// Without an old version beside it only the first quantile counts: noise that comes up later
    /// lifts half of all times above what the median was.
    fn value(&self, threshold: f64, alone: bool) -> f64 {
        let counted = if alone { 1 } else { self.tests.len() };
        let values = self.tests[..counted].iter();
        values
            .map(|test| test.value(threshold, alone))
            .fold(0.0, f64::max)
    }
}

/// The evidence that one entry has at a stage of a move.
#[derive(Clone, Debug)]
pub struct Evidence {
    tolerance: Tolerance,
    threshold: f64,
    alone: bool,
    requests: u64,
    comparisons: BTreeMap<(Arc<str>, Measure), Comparison>,
    routes: Vec<Arc<str>>,
}

impl Evidence {
    /// Returns the evidence at the first of `stages` stages.
    #[must_use]
    pub fn new(tolerance: Tolerance, stages: u32) -> Self {
        let tests = u32::try_from(TESTS).map_or(f64::MAX, f64::from);
        Self {
            tolerance,
            threshold: tests * f64::from(stages.max(1)) / tolerance.false_alarm,
            alone: false,
            requests: 0,
            comparisons: BTreeMap::new(),
            routes: Vec::new(),
        }
    }

    /// Begins the next stage: the tests start again, what is known of the old version stays.
    ///
    /// `alone` says that the old version gets no more requests.
    pub fn begin_stage(&mut self, alone: bool) {
        self.alone = alone;
        self.requests = 0;
        for comparison in self.comparisons.values_mut() {
            comparison.restart();
        }
    }

    /// Takes an observation.
    pub fn observe(&mut self, observation: &Observation) {
        if observation.cohort == Cohort::Canary && observation.failed.is_some() {
            self.requests += 1;
        }
        self.take(&Arc::from(""), observation);
        if observation.route.is_empty() {
            return;
        }
        let known = self.routes.contains(&observation.route);
        if !known && self.routes.len() < ROUTES {
            self.routes.push(Arc::clone(&observation.route));
        }
        if self.routes.contains(&observation.route) {
            self.take(&Arc::clone(&observation.route), observation);
        }
    }

    /// Takes an observation of the whole or of one route.
    fn take(&mut self, route: &Arc<str>, observation: &Observation) {
        let tolerance = self.tolerance;
        let slow_share = if self.alone {
            SLOW_SHARE_ALONE
        } else {
            SLOW_SHARE
        };
        for measure in Measure::ALL {
            let key = || (Arc::clone(route), measure);
            match (measure, observation.failed, observation.time(measure)) {
                (Measure::Failure, Some(failed), _) => {
                    let comparison = self.comparisons.entry(key()).or_default();
                    comparison.take(observation.cohort, failed, tolerance.failures);
                }
                (_, _, Some(time)) => {
                    let comparison = self.comparisons.entry(key()).or_default();
                    comparison.take_time(
                        observation.cohort,
                        time,
                        tolerance.of(measure),
                        slow_share,
                    );
                }
                _ => {}
            }
        }
    }

    /// Returns the number of the new version's answers at this stage.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Returns whether the evidence leans against the new version.
    #[must_use]
    pub fn suspect(&self) -> bool {
        self.worst().is_some_and(|(_, _, value)| value >= SUSPECT)
    }

    /// Returns what speaks against the new version if it is enough.
    #[must_use]
    pub fn rejection(&self) -> Option<String> {
        let (route, measure, value) = self.worst()?;
        if value < 1.0 {
            return None;
        }
        Some(if route.is_empty() {
            format!("{measure} than the old version")
        } else {
            format!("{measure} than the old version on route {route}")
        })
    }

    /// Returns the test that speaks most against the new version.
    fn worst(&self) -> Option<(&Arc<str>, Measure, f64)> {
        let values = self
            .comparisons
            .iter()
            .map(|((route, measure), comparison)| {
                (
                    route,
                    *measure,
                    comparison.value(self.threshold, self.alone),
                )
            });
        values.max_by(|left, right| left.2.total_cmp(&right.2))
    }
}
