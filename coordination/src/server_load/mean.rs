//! Means of what an entry measured at a server or heard from it.

use std::time::Duration;

/// Time that a report counts for in these means: it says little about later times.
const REPORT_VALIDITY: Duration = Duration::from_millis(200);

/// Most samples in a mean: a server's permanent speed is known after this many requests, and a change
/// of it is noticed after as many.
const MEAN_SAMPLES: u32 = 64;

/// Weight, in samples, of the service's usual value in the mean of one server.
const USUAL_SAMPLES: f64 = 3.0;

/// Age at which the mean of a server counts half. A server that was believed to be slow and got no
/// request since is tried again.
const MEAN_HALF_AGE: Duration = Duration::from_secs(20);

/// A moving mean of samples, and its age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    pub(super) value: f64,
    pub(super) samples: u32,
    updated_at: Duration,
}

impl Mean {
    /// Adds a sample; one that is not a number is ignored.
    pub(super) fn add(&mut self, sample: f64, now: Duration) {
        if !sample.is_finite() {
            return;
        }
        self.samples = (self.samples + 1).min(MEAN_SAMPLES);
        self.value += (sample - self.value) / f64::from(self.samples);
        self.updated_at = now;
    }

    /// Returns the mean, drawn towards the usual value if it is of few samples or old.
    pub(super) fn value(&self, usual: f64, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let samples = f64::from(self.samples) / (1.0 + age / MEAN_HALF_AGE.as_secs_f64());
        usual + (self.value - usual) * samples / (samples + USUAL_SAMPLES)
    }
}

/// Time that reports have counted for in a mean, up to its window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Seen(Duration);

impl Seen {
    /// Returns the weight of a report in the mean. The one before came at `before`.
    pub(super) fn weight(
        &mut self,
        before: Option<Duration>,
        window: Duration,
        now: Duration,
    ) -> f64 {
        let validity = before.map_or(REPORT_VALIDITY, |before| {
            now.saturating_sub(before).min(REPORT_VALIDITY)
        });
        self.0 = (self.0 + validity).min(window);
        validity.as_secs_f64() / self.0.as_secs_f64()
    }
}
