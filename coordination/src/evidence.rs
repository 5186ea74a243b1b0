//! Sequential tests of whether the new version (the canary) performs worse than the version in
//! force (the baseline) over the same time.
//!
//! Each test is a betting process (a test martingale): its value starts at 1 and its expectation
//! does not grow while the canary is no worse than tolerated. By Ville's inequality the probability
//! that it ever reaches `1 / a` is then at most `a`, however often it is evaluated. A mixture over
//! the observation at which a fault may have begun detects faults that appear late; a mixture over
//! alternatives detects strong and weak faults. A test rejects the canary only if it is both worse
//! than an absolute bound and worse than the baseline.
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

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

mod comparison;
mod process;
mod proof;
mod sample;

use comparison::{Comparison, SlowLimits};
use proof::Proof;

pub use proof::Gap;

/// Maximum number of routes with their own tests; further routes count in the overall tests only.
const MAX_ROUTES: usize = 8;

/// Number of tests at a stage of a move: overall and for each route, one test of failures and, for
/// each duration measure, one per quantile.
const TESTS_PER_STAGE: usize = (MAX_ROUTES + 1) * (1 + (Measure::ALL.len() - 1) * QUANTILES.len());

/// Quantiles of the baseline durations from which slowness is judged, in percent. The high one
/// detects a canary whose slow responses are slower. The median detects one that is slower
/// throughout, even when noise that affects both versions raises the baseline's slow responses above
/// the canary's typical ones.
const QUANTILES: [usize; 2] = [90, 50];

/// Share of the required evidence from which the canary is suspect.
const SUSPECT_SHARE: f64 = 0.01;

/// The version of a move that processed a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cohort {
    /// The version in force before the move.
    Baseline,
    /// The version that the move leads to.
    Canary,
}

/// A property of attempts that is compared between the versions.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Measure {
    /// Whether the attempt failed.
    Failure,
    /// Time to the first token.
    FirstToken,
    /// Mean time between tokens.
    TokenGap,
    /// Duration of a whole call.
    CallDuration,
}

impl Measure {
    /// Every measure.
    const ALL: [Self; 4] = [
        Self::Failure,
        Self::FirstToken,
        Self::TokenGap,
        Self::CallDuration,
    ];
}

impl fmt::Display for Measure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Failure => "it fails more often",
            Self::FirstToken => "its first token comes later",
            Self::TokenGap => "its tokens come more slowly",
            Self::CallDuration => "its calls take longer",
        })
    }
}

/// The observed outcome of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// The version that processed the attempt.
    pub cohort: Cohort,
    /// Route of the request; empty for generations.
    pub route: Arc<str>,
    /// Whether the attempt failed; `None` while it is in progress.
    pub failed: Option<bool>,
    /// Time to the first token.
    pub first: Option<Duration>,
    /// Mean time between tokens.
    pub gap: Option<Duration>,
    /// Duration of the whole call.
    pub call: Option<Duration>,
}

impl Observation {
    /// Returns an observation without durations.
    #[must_use]
    pub fn failure(cohort: Cohort, route: &str, failed: bool) -> Self {
        Self {
            cohort,
            route: Arc::from(route),
            failed: Some(failed),
            first: None,
            gap: None,
            call: None,
        }
    }

    /// Returns the duration that a measure compares.
    fn duration(&self, measure: Measure) -> Option<Duration> {
        match measure {
            Measure::Failure => None,
            Measure::FirstToken => self.first,
            Measure::TokenGap => self.gap,
            Measure::CallDuration => self.call,
        }
    }
}

/// Tolerated degradation of the canary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Probability that the move of a good version is taken back.
    pub false_alarm: f64,
    /// Share of failures that is tolerated regardless of the baseline.
    pub failures: f64,
    /// Factor on the baseline's quantile from which a duration counts as slow.
    pub slowness: f64,
    /// Minimum excess over the baseline's quantile that counts as slow.
    pub slack: Duration,
    /// The same for the mean time between tokens, which varies less than single durations.
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

impl Tolerance {
    /// Returns the limits from which the durations of a measure count as slow.
    fn limits_of(&self, measure: Measure) -> SlowLimits {
        SlowLimits {
            slowness: self.slowness,
            slack: if measure == Measure::TokenGap {
                self.gap_slack
            } else {
                self.slack
            },
        }
    }
}

/// Share of slow durations that is tolerated regardless of the baseline.
const SLOW_SHARE: f64 = 0.2;

/// Probability of the canary's slow durations, if it is as good as tolerated, below which it is not
/// accepted at the end of a move.
const FINAL_SIGNIFICANCE: f64 = 0.01;

/// The same for each of up to a thousand looks during a move.
const REPEATED_SIGNIFICANCE: f64 = FINAL_SIGNIFICANCE / 1_000.0;

/// Numbers of a version's observations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Attempts whose outcome is known.
    pub attempts: u64,
    /// Of these, attempts that failed.
    pub failed: u64,
    /// Observations with a duration.
    pub timed: u64,
}

impl Tally {
    fn add(&mut self, observation: &Observation) {
        let timed = [observation.first, observation.gap, observation.call];
        self.attempts += u64::from(observation.failed.is_some());
        self.failed += u64::from(observation.failed == Some(true));
        self.timed += u64::from(timed.iter().any(Option::is_some));
    }
}

/// The evidence that one entry has collected at a stage of a move.
#[derive(Clone, Debug)]
pub struct Evidence {
    tolerance: Tolerance,
    threshold: f64,
    last_stage: bool,
    canary: Tally,
    baseline: Tally,
    comparisons: BTreeMap<(Arc<str>, Measure), Comparison>,
    proof: Proof,
    routes: Vec<Arc<str>>,
}

impl Evidence {
    /// Returns empty evidence for the first of `stages` stages.
    #[must_use]
    pub fn new(tolerance: Tolerance, stages: u32) -> Self {
        let tests = u32::try_from(TESTS_PER_STAGE).map_or(f64::MAX, f64::from);
        Self {
            tolerance,
            threshold: tests * f64::from(stages.max(1)) / tolerance.false_alarm,
            last_stage: false,
            canary: Tally::default(),
            baseline: Tally::default(),
            comparisons: BTreeMap::new(),
            proof: Proof::default(),
            routes: Vec::new(),
        }
    }

    /// Begins the next stage: restarts the tests and keeps the statistics of the baseline.
    ///
    /// At the last stage the canary's failures count by the absolute bound alone, since the baseline gets
    /// too few requests to compare them soon. Its durations depend on the load, which both versions
    /// share, and count only if they are worse than the baseline's over the same time.
    pub fn begin_stage(&mut self, last: bool) {
        self.last_stage = last;
        self.canary = Tally::default();
        self.proof.restart();
        for comparison in self.comparisons.values_mut() {
            comparison.restart();
            if last {
                comparison.keep_bounds();
            }
        }
    }

    /// Adds an observation.
    pub fn observe(&mut self, observation: &Observation) {
        match observation.cohort {
            Cohort::Canary => self.canary.add(observation),
            Cohort::Baseline => self.baseline.add(observation),
        }
        self.add(&Arc::from(""), observation);
        let known = self.routes.contains(&observation.route);
        if !known && !observation.route.is_empty() && self.routes.len() < MAX_ROUTES {
            self.routes.push(Arc::clone(&observation.route));
        }
        let mut routes = self.routes.iter();
        let index = routes.position(|route| *route == observation.route);
        self.proof.add(index.unwrap_or(MAX_ROUTES), observation);
        if index.is_some() {
            self.add(&Arc::clone(&observation.route), observation);
        }
    }

    /// Adds an observation to the tests of one route, or to the overall tests (empty route).
    fn add(&mut self, route: &Arc<str>, observation: &Observation) {
        let tolerance = self.tolerance;
        for measure in Measure::ALL {
            let key = || (Arc::clone(route), measure);
            match (measure, observation.failed, observation.duration(measure)) {
                (Measure::Failure, Some(failed), _) => {
                    let comparison = self.comparisons.entry(key()).or_default();
                    comparison.add(observation.cohort, failed, tolerance.failures);
                }
                (_, _, Some(duration)) => {
                    let comparison = self.comparisons.entry(key()).or_default();
                    comparison.add_duration(
                        observation.cohort,
                        duration,
                        tolerance.limits_of(measure),
                        SLOW_SHARE,
                    );
                }
                _ => {}
            }
        }
    }

    /// Returns the number of requests that the canary has finished at this stage.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.canary.attempts
    }

    /// Returns the numbers of observations of the canary at this stage, and of the baseline at all stages.
    #[must_use]
    pub fn tallies(&self) -> (Tally, Tally) {
        (self.canary, self.baseline)
    }

    /// Returns whether there is some evidence against the canary, if not enough for a rejection.
    #[must_use]
    pub fn suspect(&self) -> bool {
        self.strongest()
            .is_some_and(|(_, _, value)| value >= SUSPECT_SHARE)
    }

    /// Returns why the canary must not be accepted at the end of a move: its answers are probably slower,
    /// though there may be too little evidence to reject it before.
    ///
    /// A canary gets few requests, and the sequential tests, which may reject it at any moment, need
    /// more evidence than a single look at the end.
    #[must_use]
    pub fn doubt(&self) -> Option<String> {
        self.slower(FINAL_SIGNIFICANCE)
    }

    /// Returns a gap in the proof that the canary is sound, or `None` if it may be accepted. Tests that do not
    /// reject a version are no proof: while both versions fail, nothing tells them apart.
    ///
    /// At the last stage the baseline may have no server left, and durations can't be judged then. They were
    /// at the stages before.
    #[must_use]
    pub fn unproved(&self) -> Option<Gap> {
        self.proof.gap(self.last_stage)
    }

    /// Returns why the canary is slower beyond doubt, by one of many looks during a move.
    #[must_use]
    pub fn certainty(&self) -> Option<String> {
        self.slower(REPEATED_SIGNIFICANCE)
    }

    fn slower(&self, significance: f64) -> Option<String> {
        let mut comparisons = self.comparisons.iter();
        let slower = comparisons.find(|(_, comparison)| comparison.is_slower(significance));
        slower.map(|((route, measure), _)| describe(route, *measure))
    }

    /// Returns the reason for rejecting the canary if the evidence is sufficient.
    #[must_use]
    pub fn rejection(&self) -> Option<String> {
        let (route, measure, value) = self.strongest()?;
        if value < 1.0 {
            return None;
        }
        Some(describe(route, measure))
    }

    /// Returns the test with the most evidence against the canary.
    fn strongest(&self) -> Option<(&Arc<str>, Measure, f64)> {
        let values = self
            .comparisons
            .iter()
            .map(|((route, measure), comparison)| {
                let value = match measure {
                    Measure::Failure if self.last_stage => comparison.bound_value(self.threshold),
                    _ => comparison.value(self.threshold),
                };
                (route, *measure, value)
            });
        values.max_by(|left, right| left.2.total_cmp(&right.2))
    }
}

/// Describes how the canary is worse; an empty route stands for all.
fn describe(route: &str, measure: Measure) -> String {
    if route.is_empty() {
        format!("{measure} than the old version")
    } else {
        format!("{measure} than the old version on route {route}")
    }
}
