//! An adaptive failure detector that estimates how long a healthy engine may be silent.
//!
//! The gaps before the first token and those between tokens are estimated separately, per version
//! and per backend server. The bound comes from the server's own gaps once enough of them were
//! observed, before that from the gaps of its version, and before that it is the ceiling. A silence
//! that ended an attempt is a gap whose end was not observed. It raises the bound of that server
//! only, so that the estimate follows a server that became slower, and a server that died changes
//! nothing for the others.
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

/// Gaps that must be observed before an estimate is used.
const MIN_GAPS: u32 = 32;

/// Weight of a new gap in the moving average.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

/// Weight of a new gap in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 16.0;

/// Mean deviations above the mean that count as healthy.
const DEVIATION_FACTOR: f64 = 8.0;

/// Multiple of the longest recent gap that the bound must reach at least.
const PEAK_FACTOR: f64 = 3.0;

/// Factor by which the longest recent gap decays with each further gap.
const PEAK_DECAY: f64 = 0.999;

/// Range of the bound on silence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Shortest bound.
    pub floor: Duration,
    /// Longest bound, which applies until enough gaps were observed.
    pub ceiling: Duration,
}

/// Phase of an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// From the request to the first token: queueing and prefill.
    FirstToken,
    /// From one token to the next.
    InterToken,
}

/// The server and version whose gaps are estimated.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Subject {
    /// Service that the request is sent to.
    pub service: Arc<str>,
    /// Version of the server's software.
    pub version: Arc<str>,
    /// Backend server that processes the attempt.
    pub server: Arc<str>,
}

/// Statistics of the gaps of one phase, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    gaps: u32,
    mean: f64,
    deviation: f64,
    peak: f64,
}

/// Statistics of the gaps of both phases.
#[derive(Clone, Copy, Debug, Default)]
struct Estimates {
    first_token: Estimate,
    inter_token: Estimate,
}

/// The failure detector of one entry.
#[derive(Clone, Debug)]
pub struct Detector {
    bounds: Bounds,
    versions: HashMap<(Arc<str>, Arc<str>), Estimates>,
    servers: HashMap<Subject, Estimates>,
}

impl Estimate {
    /// Adds a gap to the statistics.
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

    /// Returns the bound in seconds, or `None` until enough gaps were observed.
    fn bound(&self) -> Option<f64> {
        let upper = self.mean + DEVIATION_FACTOR * self.deviation;
        let bound = upper.max(PEAK_FACTOR * self.peak);
        (self.gaps >= MIN_GAPS).then_some(bound)
    }
}

impl Estimates {
    fn phase(&self, phase: Phase) -> &Estimate {
        match phase {
            Phase::FirstToken => &self.first_token,
            Phase::InterToken => &self.inter_token,
        }
    }

    fn phase_mut(&mut self, phase: Phase) -> &mut Estimate {
        match phase {
            Phase::FirstToken => &mut self.first_token,
            Phase::InterToken => &mut self.inter_token,
        }
    }
}

impl Detector {
    /// Returns a detector without observations.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            versions: HashMap::new(),
            servers: HashMap::new(),
        }
    }

    /// Adds a gap that ended with a token of the attempt itself.
    pub fn observe(&mut self, subject: &Subject, phase: Phase, gap: Duration) {
        let gap = gap.as_secs_f64();
        self.server_mut(subject).phase_mut(phase).observe(gap);
        let version = (Arc::clone(&subject.service), Arc::clone(&subject.version));
        let version = self.versions.entry(version).or_default();
        version.phase_mut(phase).observe(gap);
    }

    /// Records a silence that ended an attempt.
    pub fn record_timeout(&mut self, subject: &Subject, phase: Phase, silence: Duration) {
        let estimate = self.server_mut(subject).phase_mut(phase);
        estimate.peak = estimate.peak.max(silence.as_secs_f64());
    }

    /// Returns how long the silence may last before the attempt is considered lost.
    #[must_use]
    pub fn bound(&self, subject: &Subject, phase: Phase) -> Duration {
        let version = (Arc::clone(&subject.service), Arc::clone(&subject.version));
        let estimated = |pair: &Estimates| pair.phase(phase).bound();
        let server = self.servers.get(subject).and_then(estimated);
        let bound = server.or_else(|| self.versions.get(&version).and_then(estimated));
        let bound = bound.map_or(self.bounds.ceiling, |bound| {
            Duration::try_from_secs_f64(bound).unwrap_or(self.bounds.ceiling)
        });
        bound.clamp(self.bounds.floor, self.bounds.ceiling)
    }

    /// Removes the statistics of servers that do not satisfy `keep`, so that servers that have gone
    /// hold no memory.
    pub fn retain(&mut self, mut keep: impl FnMut(&Subject) -> bool) {
        self.servers.retain(|subject, _| keep(subject));
        let servers = &self.servers;
        self.versions.retain(|(service, version), _| {
            servers
                .keys()
                .any(|subject| subject.service == *service && subject.version == *version)
        });
    }

    /// Returns the number of backend servers with statistics.
    #[must_use]
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    fn server_mut(&mut self, subject: &Subject) -> &mut Estimates {
        self.servers.entry(subject.clone()).or_default()
    }
}
