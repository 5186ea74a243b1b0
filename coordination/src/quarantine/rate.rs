//! How many losses of a part show that it crashes servers, given how often other requests are lost.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::dissemination::Tag;

use super::{Measure, Part, RATE_WINDOW, REPEATED_LOSSES, Record, Tracker};

/// Losses of a part at different moments after which it is blocked, if prompts are rarely lost.
const LOSSES: usize = 3;

/// Most losses of a call at different servers that count among those within [`SPACING`] of each other.
const SERVERS_AT_ONCE: usize = 2;

/// Time between the losses of two calls at a server that ran them when it crashed.
const CALL_CRASH_WINDOW: Duration = Duration::from_millis(50);

/// Time before the first loss of a part from which [`Measure::Concurrent`] counts other losses.
const CONCURRENT_MARGIN: Duration = Duration::from_millis(250);

/// Accepted probability that a sound part has as many losses in a row as block it.
const FALSE_POSITIVE_RATE: f64 = 2e-4;

/// Bounds of the rate of losses among sound prompts: few requests give no smaller estimate, and above
/// the upper one no number of losses tells anything.
const RATE_BOUNDS: (f64, f64) = (0.02, 0.8);

/// Shortest time between two losses that count for a part. Servers that fail together are found lost
/// within this time.
const SPACING: Duration = Duration::from_millis(300);

impl Tracker {
    /// Returns the number of losses after which a part is blocked.
    pub(super) fn limit(&self, part: Part, requests: u32, now: Duration) -> usize {
        let rate = self.rate(part, requests, now);
        if self.measure == Measure::Concurrent && rate >= RATE_BOUNDS.1 {
            return usize::MAX;
        }
        let rate = rate.clamp(RATE_BOUNDS.0, RATE_BOUNDS.1);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at most 39, since the rate is bounded"
        )]
        let in_a_row = (FALSE_POSITIVE_RATE.ln() / rate.ln()).ceil() as usize;
        let known = self.combinations.iter();
        if known
            .flat_map(|known| known.parts.iter())
            .any(|known| *known == part)
        {
            in_a_row.saturating_sub(1).max(REPEATED_LOSSES)
        } else {
            in_a_row.max(LOSSES)
        }
    }

    /// Returns the share of requests without a part that were lost.
    fn rate(&self, part: Part, requests: u32, now: Duration) -> f64 {
        let others = self.records.iter();
        let others = others.filter(|record| !record.parts.contains(&part));
        let (others, requests) = match self.measure {
            Measure::Recent => {
                let recent = |it: &&Record| now.saturating_sub(it.at) < RATE_WINDOW;
                (others.filter(recent).count(), f64::from(requests))
            }
            Measure::Concurrent => {
                let of_part = self.records.iter();
                let of_part = of_part.filter(|record| record.suspects.contains(&part));
                let first = of_part.clone().map(|record| record.at).min();
                let last = of_part.clone().map(|record| record.at).max();
                let from = first.unwrap_or(now).saturating_sub(CONCURRENT_MARGIN);
                let span = from..=last.unwrap_or(now);
                // Calls that were lost in the same crash are explained if the part causes it.
                let same_crash = |other: &Record| {
                    of_part.clone().any(|record| {
                        record.server == other.server
                            && record.at.abs_diff(other.at) < CALL_CRASH_WINDOW
                    })
                };
                let others = others.filter(|it| span.contains(&it.at) && !same_crash(it));
                let length = span.end().saturating_sub(*span.start());
                let windows = length.as_secs_f64() / RATE_WINDOW.as_secs_f64();
                let own = u32::try_from(of_part.clone().count()).unwrap_or(u32::MAX);
                let requests = f64::from(requests) * windows - f64::from(own);
                (others.count(), requests)
            }
        };
        let others = u32::try_from(others).unwrap_or(u32::MAX);
        f64::from(others) / requests.max(1.0)
    }

    /// Returns how many losses of a part count: of those within [`SPACING`] of each other a single one, or for
    /// calls up to [`SERVERS_AT_ONCE`] at different servers.
    pub(super) fn counted(&self, losses: &[&Record]) -> usize {
        let most = match self.measure {
            Measure::Recent => 1,
            Measure::Concurrent => SERVERS_AT_ONCE,
        };
        let mut losses: Vec<(Duration, Tag)> = losses.iter().map(|it| (it.at, it.server)).collect();
        losses.sort_unstable();
        let mut counted = 0;
        let mut rest = &losses[..];
        while let Some((first, _)) = rest.first() {
            let end = *first + SPACING;
            let (moment, later) = rest.split_at(rest.partition_point(|(at, _)| *at < end));
            let servers: BTreeSet<Tag> = moment.iter().map(|(_, server)| *server).collect();
            counted += servers.len().min(most);
            rest = later;
        }
        counted
    }
}
