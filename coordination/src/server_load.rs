//! Estimate of one server: the work ahead of a new request, its present slowness, and how long a
//! request takes there.
//!
//! An entry knows its own requests exactly. Those of other entries, and the server's slowness, come
//! from the load header of the server's responses and are out of date between responses. Each value
//! therefore decays with its age towards that server's mean.
//!
//! ```
//! use medlarfall_coordination::server_load::{Estimate, Report, Work};
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(1);
//! let mut estimate = Estimate::new(4);
//! let idle = estimate.expected_time(Work::Call, now);
//! let report = Report::checked(4, 8, Some(4), Some(250.0)).expect("plausible");
//! estimate.record_report(report, now);
//! assert!(estimate.reports_slowness());
//! assert!(estimate.expected_time(Work::Call, now) > 2 * idle);
//! assert_eq!(Report::checked(u32::MAX, 0, None, None), None);
//! ```

use std::time::Duration;

use crate::dissemination::Count;

mod mean;
mod report;
mod work;

use mean::{Mean, Seen};
pub use report::Report;
pub use work::{Usual, Work};
use work::{plausible_length, tokens};

/// Time within which a reported slowness decays towards the server's mean. Slowness changes many
/// times a second. In simulations with slowdowns of half a second, 100 ms gave longer waits and 200 ms
/// the same ones.
const SLOWNESS_DECAY: Duration = Duration::from_millis(150);

/// Time over which the mean number of other entries' requests is taken.
const REQUESTS_WINDOW: Duration = Duration::from_secs(5);

/// Time over which the mean slowness is taken: several slowdowns of half a second, so that none of them
/// counts as the permanent speed.
const SLOWNESS_WINDOW: Duration = Duration::from_secs(15);

/// Variance, in requests, of the number of requests at a server beyond that of the reports' age: requests
/// of other entries are on their way.
const MIN_VARIANCE: f64 = 1.0;

/// Work of a stream that produces events, relative to a prompt in prefill: it lengthens each engine
/// step by a few percent.
const GENERATION_WORK: f64 = 0.2;

/// Change of a server's mean time that is announced, as a share of it.
const ANNOUNCED_CHANGE: f64 = 0.25;

/// Samples before the first announcement.
const ANNOUNCED_SAMPLES: u32 = 16;

/// Least time between two announcements of one server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);

/// Estimate of one server, as known to this entry.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    slots: u32,
    own_requests: u32,
    /// Requests sent since the last report.
    sent_since_report: u32,
    /// Requests of other entries in the last report, and their mean.
    other_requests: f64,
    mean_other_requests: f64,
    requests_seen: Seen,
    reported_at: Option<Duration>,
    /// Slowness in the last report that stated it, its mean, and when it was stated.
    slowness: f64,
    mean_slowness: f64,
    slowness_seen: Seen,
    slowness_at: Option<Duration>,
    /// Duration of a call without waiting at usual slowness, in seconds.
    call: Mean,
    /// Time to process a prompt token at usual slowness, in seconds.
    token: Mean,
    /// Length of a prompt, in tokens.
    prompt: Mean,
    /// Time between two events of a stream, in seconds.
    event_gap: Mean,
    /// Tokens of this entry's prompts that wait for their first event.
    prompt_tokens: u64,
    usual: Usual,
    announced: f64,
    announced_at: Duration,
}

impl Default for Estimate {
    fn default() -> Self {
        Self::new(1)
    }
}

impl Estimate {
    /// Returns the estimate of a server that nothing was heard of, with the number of slots in its
    /// registration.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            own_requests: 0,
            sent_since_report: 0,
            other_requests: 0.0,
            mean_other_requests: 0.0,
            requests_seen: Seen::default(),
            reported_at: None,
            slowness: 1.0,
            mean_slowness: 1.0,
            slowness_seen: Seen::default(),
            slowness_at: None,
            call: Mean::default(),
            token: Mean::default(),
            prompt: Mean::default(),
            event_gap: Mean::default(),
            prompt_tokens: 0,
            usual: Usual::default(),
            announced: 1.0,
            announced_at: Duration::ZERO,
        }
    }

    /// Records the load that the server reports, which includes this entry's requests.
    pub fn record_report(&mut self, report: Report, now: Duration) {
        if report.slots > 0 {
            self.slots = report.slots;
        }
        let others = f64::from(report.requests().saturating_sub(self.own_requests));
        let weight = self
            .requests_seen
            .weight(self.reported_at, REQUESTS_WINDOW, now);
        self.mean_other_requests += (others - self.mean_other_requests) * weight;
        self.other_requests = others;
        self.reported_at = Some(now);
        self.sent_since_report = 0;
        if let Some(slowness) = report.slowness {
            let weight = self
                .slowness_seen
                .weight(self.slowness_at, SLOWNESS_WINDOW, now);
            self.mean_slowness += (slowness - self.mean_slowness) * weight;
            self.slowness = slowness;
            self.slowness_at = Some(now);
        }
    }

    /// Counts a request sent to the server.
    pub fn request_sent(&mut self, _now: Duration) {
        self.own_requests = self.own_requests.saturating_add(1);
        self.sent_since_report = self.sent_since_report.saturating_add(1);
    }

    /// Counts a request that ended; `took` is its duration if the server answered a call.
    pub fn request_ended(&mut self, took: Option<Duration>, now: Duration) {
        if let Some(took) = took {
            // By Little's law a call takes its service time for each full round of requests at the server.
            let rounds = (self.work_ahead(now) / f64::from(self.slots)).max(1.0);
            let slowness = self.slowness(now);
            self.call.add(took.as_secs_f64() / rounds / slowness, now);
        }
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Sets the usual values of the service.
    pub fn set_usual(&mut self, usual: Usual) {
        self.usual = usual;
    }

    /// Returns the server's values, drawn towards the usual ones of the service where they are little known.
    #[must_use]
    pub fn usual(&self, now: Duration) -> Usual {
        Usual {
            call: self.call.value(self.usual.call, now),
            token: self.token.value(self.usual.token, now),
            prompt: self.prompt.value(self.usual.prompt, now),
        }
    }

    /// Returns whether the server has reported its slowness.
    #[must_use]
    pub fn reports_slowness(&self) -> bool {
        self.slowness_at.is_some()
    }

    /// Returns the number of slots.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of this entry's requests in progress at the server.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns the number of requests sent since the last report.
    #[must_use]
    pub fn sent_since_report(&self) -> u32 {
        self.sent_since_report
    }

    /// Returns the age of the last report, if there was one.
    #[must_use]
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        self.reported_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the time that work takes at present relative to the usual time.
    #[must_use]
    pub fn slowness(&self, now: Duration) -> f64 {
        let Some(at) = self.slowness_at else {
            return 1.0;
        };
        let decay = decay(now.saturating_sub(at), SLOWNESS_DECAY.as_secs_f64());
        self.mean_slowness + (self.slowness - self.mean_slowness) * decay
    }

    /// Returns the requests at the server: this entry's, and those of others from the last report, which
    /// decay towards their mean over the duration of a call.
    #[must_use]
    pub fn work_ahead(&self, now: Duration) -> f64 {
        let call = self.call.value(self.usual.call, now);
        f64::from(self.own_requests) + self.others(call, now).0
    }

    /// Returns the expected requests of other entries, and their variance.
    fn others(&self, call: f64, now: Duration) -> (f64, f64) {
        let Some(at) = self.reported_at else {
            return (0.0, 0.0);
        };
        let age = now.saturating_sub(at);
        let decay_now = decay(age, (call * self.mean_slowness).max(1e-3));
        let mean =
            self.mean_other_requests / (1.0 + age.as_secs_f64() / REQUESTS_WINDOW.as_secs_f64());
        let others = mean + (self.other_requests - mean) * decay_now;
        (others, others * (1.0 - decay_now))
    }

    /// Returns the time that a call takes at the server's present speed once it runs, in seconds.
    fn service_time(&self, now: Duration) -> f64 {
        self.call.value(self.usual.call, now) * self.slowness(now)
    }

    /// Returns the wait for a free slot, in slot times, for a request that is sent now.
    fn rounds_of_wait(&self, call: f64, now: Duration) -> f64 {
        let (others, variance) = self.others(call, now);
        let slots = f64::from(self.slots);
        let excess = f64::from(self.own_requests) + others + 1.0 - slots;
        // Smooth positive part: the number of requests is not known exactly, so that even a server with
        // few free slots may make a request wait.
        let positive = f64::midpoint(excess, (excess * excess + variance + MIN_VARIANCE).sqrt());
        positive / slots
    }

    /// Returns the expected time until a call that is sent now begins to run.
    #[must_use]
    pub fn expected_wait(&self, now: Duration) -> Duration {
        let call = self.call.value(self.usual.call, now);
        seconds(self.rounds_of_wait(call, now) * call * self.slowness(now))
    }

    /// Returns the expected time until a call that is sent now is answered, or until a stream that is
    /// sent now has its first event, with the delay of its events by other streams.
    #[must_use]
    pub fn expected_time(&self, work: Work, now: Duration) -> Duration {
        seconds(self.expected_seconds(work, now))
    }

    /// Returns [`Self::expected_time`] in seconds.
    #[must_use]
    pub fn expected_seconds(&self, work: Work, now: Duration) -> f64 {
        match work {
            Work::Call => {
                let call = self.call.value(self.usual.call, now);
                (1.0 + self.rounds_of_wait(call, now)) * call * self.slowness(now)
            }
            Work::Stream {
                prompt_tokens,
                peers,
            } => {
                let token = self.token.value(self.usual.token, now);
                let prompt = self.prompt.value(self.usual.prompt, now);
                let own = plausible_length(prompt_tokens).unwrap_or(prompt);
                (self.tokens_before(peers, prompt) + own) * token * self.slowness(now)
            }
        }
    }

    /// Returns the time that the server saves, in seconds, if it need not process `saved` tokens of a prompt
    /// of `prompt_tokens`: at most the time for the whole prompt.
    #[must_use]
    pub fn saved_seconds(&self, prompt_tokens: Option<u64>, saved: u64, now: Duration) -> f64 {
        let prompt = self.prompt.value(self.usual.prompt, now);
        let own = plausible_length(prompt_tokens).unwrap_or(prompt);
        let token = self.token.value(self.usual.token, now);
        tokens(saved).min(own) * token * self.slowness(now)
    }

    /// Returns the work ahead of a stream, in prompt tokens: the prompts that wait for their first event,
    /// and the streams that produce events.
    #[must_use]
    pub fn tokens_ahead(&self, peers: Count, now: Duration) -> f64 {
        self.tokens_before(peers, self.prompt.value(self.usual.prompt, now))
    }

    fn tokens_before(&self, peers: Count, prompt: f64) -> f64 {
        let streams = f64::from(self.own_requests.saturating_add(peers.streams));
        let peers = f64::from(peers.prefilling);
        tokens(self.prompt_tokens) + (peers + streams * GENERATION_WORK) * prompt
    }

    /// Counts a prompt that waits for its first event and of which the server need not process `saved`
    /// tokens. Returns the tokens that it counts for: the rest of its length, or of the usual one if it is
    /// not stated.
    pub fn prompt_sent(&mut self, prompt_tokens: Option<u64>, saved: u64, now: Duration) -> u64 {
        if let Some(length) = plausible_length(prompt_tokens) {
            self.prompt.add(length, now);
        }
        let length = plausible_length(prompt_tokens).unwrap_or(self.usual.prompt);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "lengths are positive and bounded"
        )]
        let counted = (length as u64).saturating_sub(saved);
        self.prompt_tokens = self.prompt_tokens.saturating_add(counted);
        counted
    }

    /// Counts a prompt of `counted` tokens that no longer waits. `processed` is the time until its first
    /// event and the tokens that were ahead of it, if it had one.
    pub fn prompt_ended(
        &mut self,
        counted: u64,
        processed: Option<(Duration, f64)>,
        now: Duration,
    ) {
        self.prompt_tokens = self.prompt_tokens.saturating_sub(counted);
        if let Some((took, ahead)) = processed {
            let time = took.as_secs_f64() / (ahead + tokens(counted)).max(1.0);
            self.token.add(time / self.slowness(now), now);
        }
    }

    /// Records the mean time between events of a stream.
    pub fn record_event_gap(&mut self, gap: Duration, now: Duration) {
        self.event_gap.add(gap.as_secs_f64(), now);
    }

    /// Returns the mean time between events of a stream at the server, if it is known.
    #[must_use]
    pub fn event_gap(&self) -> Option<Duration> {
        (self.event_gap.samples > 0).then(|| seconds(self.event_gap.value))
    }

    /// Returns the number of free slots, in requests.
    #[must_use]
    pub fn room(&self, now: Duration) -> f64 {
        (f64::from(self.slots) - self.work_ahead(now)).max(0.0)
    }

    /// Returns the calls a second that the server serves at its present speed.
    #[must_use]
    pub fn throughput(&self, now: Duration) -> f64 {
        f64::from(self.slots) / self.service_time(now).max(1e-6)
    }

    /// Returns the server's mean time of a call, or of a prompt token, relative to the usual one, if it must
    /// be announced since it has changed.
    pub fn announce_speed(&mut self, now: Duration) -> Option<f64> {
        let (mean, usual) = if self.token.samples > 0 {
            (self.token, self.usual.token)
        } else {
            (self.call, self.usual.call)
        };
        let ratio = mean.value * self.mean_slowness / usual.max(f64::MIN_POSITIVE);
        let changed = (ratio - self.announced).abs() > ANNOUNCED_CHANGE * self.announced;
        let due = now.saturating_sub(self.announced_at) >= ANNOUNCE_INTERVAL;
        if !changed || !due || mean.samples < ANNOUNCED_SAMPLES || !self.reports_slowness() {
            return None;
        }
        self.announced = ratio;
        self.announced_at = now;
        Some(ratio)
    }
}

fn decay(age: Duration, time: f64) -> f64 {
    (-age.as_secs_f64() / time).exp()
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
