//! The demand of the last seconds, its level and its growth.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Demand, WINDOW};

/// Time over which the level is averaged. Requests arrive at random: at 57 a second, a mean over 4 s is
/// within 7% of the rate two times out of three.
const LEVEL_TIME: Duration = Duration::from_secs(4);

/// Time over which growth is measured, and the least time that shows it.
const GROWTH_TIME: Duration = Duration::from_secs(8);
const MIN_GROWTH_TIME: Duration = Duration::from_secs(4);

/// Standard deviations of random arrivals by which the last demand must exceed the level to be taken as a
/// step of the load. A lower value orders servers for chance alone about once a minute.
const STEP_DEVIATIONS: f64 = 2.5;

/// Standard deviations by which the growth must exceed what random arrivals look like. With 1.5, orders on a
/// calm day cost up to 2% more, and growth was not detected earlier.
const GROWTH_DEVIATIONS: f64 = 2.0;

/// Greatest factor by which the demand is expected to grow until new servers serve. A load that grows more
/// is followed by the next orders.
const MAX_GROWTH: f64 = 2.0;

/// Level of a demand.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Level {
    /// Requests a second.
    pub requests: f64,
    /// Prompt tokens a second.
    pub prompt_tokens: f64,
    /// Requests at servers.
    pub running: f64,
    /// Those that wait for their first event.
    pub waiting: f64,
}

/// Demands of the last seconds, oldest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    samples: VecDeque<(Duration, Demand)>,
}

impl History {
    /// Adds the demand at a time.
    pub fn push(&mut self, demand: Demand, now: Duration) {
        let old = |at: Duration| now.saturating_sub(at) > GROWTH_TIME;
        while self.samples.front().is_some_and(|(at, _)| old(*at)) {
            self.samples.pop_front();
        }
        self.samples.push_back((now, demand));
    }

    /// Returns the level of the demand: the mean, or the last value if it is greater by more than chance.
    #[must_use]
    pub fn level(&self) -> Level {
        let Some((now, last)) = self.samples.back() else {
            return Level::default();
        };
        let recent = self.samples.iter();
        let recent = recent.filter(|(at, _)| now.saturating_sub(*at) < LEVEL_TIME);
        let recent: Vec<Level> = recent.map(|(_, demand)| level_of(*demand)).collect();
        let mean = |value: fn(&Level) -> f64| {
            let count = u32::try_from(recent.len()).unwrap_or(u32::MAX);
            recent.iter().map(value).sum::<f64>() / f64::from(count.max(1))
        };
        let last = level_of(*last);
        let requests = mean(|level| level.requests);
        let window = WINDOW.as_secs_f64();
        let deviation = (requests.max(1.0) / window).sqrt();
        let stepped = last.requests > requests + STEP_DEVIATIONS * deviation;
        let running = mean(|level| level.running);
        let crowded = last.running > running + STEP_DEVIATIONS * running.max(1.0).sqrt();
        Level {
            requests: if stepped { last.requests } else { requests },
            prompt_tokens: if stepped {
                last.prompt_tokens
            } else {
                mean(|level| level.prompt_tokens)
            },
            running: if crowded { last.running } else { running },
            waiting: mean(|level| level.waiting),
        }
    }

    /// Returns the factor, at least 1, by which the demand probably grows within `time`.
    #[must_use]
    pub fn growth(&self, time: Duration) -> f64 {
        let (Some((first, _)), Some((last, _))) = (self.samples.front(), self.samples.back())
        else {
            return 1.0;
        };
        let span = last.saturating_sub(*first);
        if span < MIN_GROWTH_TIME {
            return 1.0;
        }
        let points = self.samples.iter().map(|(at, demand)| {
            let at = at.saturating_sub(*first).as_secs_f64();
            (at, level_of(*demand).requests)
        });
        let points: Vec<(f64, f64)> = points.collect();
        let count = f64::from(u32::try_from(points.len()).unwrap_or(u32::MAX));
        let mean_at = points.iter().map(|(at, _)| at).sum::<f64>() / count;
        let mean_rate = points.iter().map(|(_, rate)| rate).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(at, rate)| (at - mean_at) * (rate - mean_rate))
            .sum();
        let variance: f64 = points.iter().map(|(at, _)| (at - mean_at).powi(2)).sum();
        let slope = covariance / variance.max(f64::EPSILON);
        // The variance of the slope of random arrivals at a constant rate over a span.
        let span = (span + WINDOW).as_secs_f64();
        let deviation = (12.0 * mean_rate / span.powi(3)).sqrt();
        let slope = (slope - GROWTH_DEVIATIONS * deviation).max(0.0);
        let rate = self.level().requests.max(1.0);
        (1.0 + slope * time.as_secs_f64() / rate).min(MAX_GROWTH)
    }

    /// Returns whether no demand is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of tokens are far below 2^52"
)]
fn level_of(demand: Demand) -> Level {
    let window = WINDOW.as_secs_f64();
    Level {
        requests: f64::from(demand.requests) / window,
        prompt_tokens: demand.prompt_tokens as f64 / window,
        running: f64::from(demand.running),
        waiting: f64::from(demand.waiting),
    }
}
