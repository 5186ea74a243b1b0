//! A failure detector that learns how long a healthy engine may be silent.
//!
//! The gaps before the first token and those between tokens are learnt apart, per version and per
//! backend server. A server's own gaps decide once there are enough of them; before that the
//! version's do, and before those the ceiling. A silence that ended an attempt is a gap whose end
//! was not seen: it widens the bound of that server only, so that a server that became slower is
//! learnt and one that died changes nothing for the others.
//!
//! ```
//! use std::time::Duration;
//! use medlarfall_coordination::detector::{Bounds, Detector, Phase, Subject};
//!
//! let bounds = Bounds { floor: Duration::from_millis(300), ceiling: Duration::from_secs(2) };
//! let mut detector = Detector::new(bounds);
//! let subject = Subject { service: "briefs".into(), version: "v1".into(), server: "engine-0".into() };
//! assert_eq!(detector.bound(&subject, Phase::InterToken), Duration::from_secs(2));
//! for _ in 0..100 {
//!     detector.observe(&subject, Phase::InterToken, Duration::from_millis(10));
//! }
//! assert_eq!(detector.bound(&subject, Phase::InterToken), Duration::from_millis(300));
//! ```

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Gaps that must have been seen before they decide.
const LEARNT_GAPS: u32 = 32;

/// Weight of a new gap in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

/// Weight of a new gap in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 16.0;

/// Mean deviations above the mean that are still healthy.
const DEVIATIONS: f64 = 8.0;

/// How often the longest recent gap fits into the bound.
const PEAK_FACTOR: f64 = 3.0;

/// What is left of the longest recent gap after each further gap.
const PEAK_DECAY: f64 = 0.999;

/// Between what the bound on silence must lie.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Shortest bound.
    pub floor: Duration,
    /// Longest bound, which holds until enough gaps were seen.
    pub ceiling: Duration,
}

/// Part of an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// From the request to the first token: the wait for a place and the prompt's computation.
    FirstToken,
    /// From one token to the next.
    InterToken,
}

/// Whose gaps are learnt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Subject {
    /// Service that is asked.
    pub service: Arc<str>,
    /// Version that answers.
    pub version: Arc<str>,
    /// Backend server that answers.
    pub server: Arc<str>,
}

/// What was learnt of one kind of gap, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    gaps: u32,
    mean: f64,
    deviation: f64,
    peak: f64,
}

/// What was learnt of both kinds of gap.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    first: Estimate,
    between: Estimate,
}

/// The failure detector of one entry.
#[derive(Clone, Debug)]
pub struct Detector {
    bounds: Bounds,
    versions: HashMap<(Arc<str>, Arc<str>), Pair>,
    servers: HashMap<Subject, Pair>,
}

impl Estimate {
    /// Learns a gap.
    fn observe(&mut self, gap: f64) {
        if self.gaps == 0 {
            self.mean = gap;
        }
        let error = gap - self.mean;
        self.gaps = self.gaps.saturating_add(1);
        self.mean += error * MEAN_WEIGHT;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_WEIGHT;
        self.peak = gap.max(self.peak * PEAK_DECAY);
    }

    /// Returns the bound in seconds, once enough gaps were seen.
    fn bound(&self) -> Option<f64> {
        let spread = self.mean + DEVIATIONS * self.deviation;
        let bound = spread.max(PEAK_FACTOR * self.peak);
        (self.gaps >= LEARNT_GAPS).then_some(bound)
    }
}

impl Pair {
    fn phase(&self, phase: Phase) -> &Estimate {
        match phase {
            Phase::FirstToken => &self.first,
            Phase::InterToken => &self.between,
        }
    }

    fn phase_mut(&mut self, phase: Phase) -> &mut Estimate {
        match phase {
            Phase::FirstToken => &mut self.first,
            Phase::InterToken => &mut self.between,
        }
    }
}

impl Detector {
    /// Returns a detector that has learnt nothing.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            versions: HashMap::new(),
            servers: HashMap::new(),
        }
    }

    /// Learns a gap that ended with a token of the attempt itself.
    pub fn observe(&mut self, subject: &Subject, phase: Phase, gap: Duration) {
        let gap = gap.as_secs_f64();
        self.server(subject).phase_mut(phase).observe(gap);
        let version = (Arc::clone(&subject.service), Arc::clone(&subject.version));
        let version = self.versions.entry(version).or_default();
        version.phase_mut(phase).observe(gap);
    }

    /// Learns a silence that ended an attempt.
    pub fn record_timeout(&mut self, subject: &Subject, phase: Phase, silence: Duration) {
        let estimate = self.server(subject).phase_mut(phase);
        estimate.peak = estimate.peak.max(silence.as_secs_f64());
    }

    /// Returns how long the silence may last before the attempt is taken for lost.
    #[must_use]
    pub fn bound(&self, subject: &Subject, phase: Phase) -> Duration {
        let version = (Arc::clone(&subject.service), Arc::clone(&subject.version));
        let learnt = |pair: &Pair| pair.phase(phase).bound();
        let server = self.servers.get(subject).and_then(learnt);
        let bound = server.or_else(|| self.versions.get(&version).and_then(learnt));
        let bound = bound.map_or(self.bounds.ceiling, |bound| {
            Duration::try_from_secs_f64(bound).unwrap_or(self.bounds.ceiling)
        });
        bound.clamp(self.bounds.floor, self.bounds.ceiling)
    }

    /// Forgets what does not satisfy `keep`, so that servers that have gone hold no memory.
    pub fn retain(&mut self, mut keep: impl FnMut(&Subject) -> bool) {
        self.servers.retain(|subject, _| keep(subject));
        let servers = &self.servers;
        self.versions.retain(|(service, version), _| {
            servers
                .keys()
                .any(|subject| subject.service == *service && subject.version == *version)
        });
    }

    /// Returns the number of backend servers of which something was learnt.
    #[must_use]
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    fn server(&mut self, subject: &Subject) -> &mut Pair {
        self.servers.entry(subject.clone()).or_default()
    }
}
