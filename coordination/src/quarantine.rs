//! Quarantine of requests that crash the servers that begin to answer them.
//!
//! A request whose server is lost before the answer begins is sent to another server. If the request
//! itself crashes servers, this crashes one after the other. The tracker finds the parts of prompts
//! that such losses have in common and that no answered prompt has, and blocks the requests that have
//! them. A call without a prompt has a single part, its [`Fingerprint`].
//!
//! Servers are also lost for other reasons, together with the prompts in prefill there. Therefore a
//! part needs several losses at different moments without an answer in between, more of them the more
//! often other prompts are lost. What is blocked is a combination: all parts that these losses have in
//! common. It shrinks when a prompt with some of its parts is answered, and ends when a prompt with
//! all of them is.
//!
//! ```
//! use medlarfall_coordination::quarantine::{Loss, Tracker};
//! use std::time::Duration;
//!
//! let mut tracker = Tracker::default();
//! for (server, last_part) in [(1, 10), (2, 11), (3, 12)] {
//!     let now = Duration::from_secs(server.into());
//!     let parts = [7, 666, last_part].into();
//!     tracker.record_loss(&Loss { server, parts }, 60, now, now);
//! }
//! let now = Duration::from_secs(3);
//! tracker.record_answer(&[7, 20], now, now);
//! assert!(tracker.blocked_for(&[8, 666, 13], now).is_some());
//! assert!(tracker.blocked_for(&[7, 21], now).is_none());
//! ```

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::dissemination::Tag;

mod fingerprint;
mod rate;

pub use fingerprint::{Fingerprint, Kind, Trackers};

/// Identifier of a part of a prompt, or the hash of a call.
pub type Part = u64;

/// Losses of a part that was blocked, alone or with others, after which it is blocked again.
const REPEATED_LOSSES: usize = 2;

/// Time between the losses of two prompts at a server that count as one crash.
const CRASH_WINDOW: Duration = Duration::from_millis(500);

/// Time within which a loss of the same prompt at the same server is the same one, reported again.
const REPEAT_WINDOW: Duration = Duration::from_secs(3);

/// Time for which a loss counts.
const MEMORY: Duration = Duration::from_secs(30);

/// Time over which the rate of losses is measured.
pub const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Time for which a combination is blocked first; doubled each time it crashes a server after that.
pub const FIRST_TIME: Duration = Duration::from_mins(2);

/// Longest time for which a combination is blocked.
const LONGEST_TIME: Duration = Duration::from_mins(32);

/// Interval in which about one entry of the fleet may try a combination whose time is over.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which the answers to prompts are remembered, since news of an earlier loss may still be on
/// its way.
const ANSWER_MEMORY: Duration = Duration::from_secs(2);

/// Most losses that are remembered.
const MAX_LOSSES: usize = 256;

/// Most combinations that are blocked.
const MAX_COMBINATIONS: usize = 64;

/// Most parts of a loss that are considered.
const MAX_PARTS: usize = 32;

/// A run that was lost with its server before its answer began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loss {
    /// The server.
    pub server: Tag,
    /// Parts of the prompt.
    pub parts: Arc<[Part]>,
}

#[derive(Clone, Debug)]
struct Record {
    server: Tag,
    parts: Arc<[Part]>,
    /// The parts that no prompt answered since had.
    suspects: Vec<Part>,
    at: Duration,
}

/// A blocked combination of parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Combination {
    /// The parts, in ascending order. A request with all of them is blocked.
    pub parts: Arc<[Part]>,
    /// End of the time for which it is blocked. After that, single requests are tried.
    pub ends_at: Duration,
    /// Whether this entry found it, from losses that it knows.
    pub found: bool,
    time: Duration,
}

impl Combination {
    fn new(parts: Arc<[Part]>, time: Duration, now: Duration) -> Self {
        Self {
            parts,
            ends_at: now + time,
            found: true,
            time,
        }
    }

    fn within(&self, parts: &[Part]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    /// Returns the end of the time in which single requests are tried.
    fn forgotten_at(&self) -> Duration {
        self.ends_at + self.time
    }
}

/// The share of an entry in trials of combinations whose time is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Turn {
    /// Entries that take turns.
    pub entries: u32,
    /// Number that differs between entries.
    pub offset: u64,
}

impl Turn {
    fn is_on(self, now: Duration) -> bool {
        let interval = now.as_secs() / TRIAL_INTERVAL.as_secs();
        (interval + self.offset).is_multiple_of(u64::from(self.entries.max(1)))
    }
}

/// The losses of other requests that show how likely a sound one is lost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Measure {
    /// Those of the last [`RATE_WINDOW`].
    #[default]
    Recent,
    /// Those about the time of the losses in question. Where requests are frequent, a sound one is lost
    /// several times within seconds while all servers fail.
    Concurrent,
}

/// What an entry knows of requests that crash servers.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    measure: Measure,
    records: VecDeque<Record>,
    combinations: Vec<Combination>,
    answered: HashMap<Part, Duration>,
}

impl Tracker {
    /// Returns a tracker that knows nothing.
    #[must_use]
    pub fn new(measure: Measure) -> Self {
        Self {
            measure,
            ..Self::default()
        }
    }

    /// Records a loss at `at`. `requests` is the number of requests of this kind in the fleet over
    /// [`RATE_WINDOW`]. Returns the parts of the loss that this entry has seen answered since, which
    /// the other entries must learn.
    pub fn record_loss(
        &mut self,
        loss: &Loss,
        requests: u32,
        at: Duration,
        now: Duration,
    ) -> Vec<Part> {
        self.expire(now);
        let parts = considered(&loss.parts);
        let known = |record: &Record| {
            record.server == loss.server
                && record.parts == parts
                && record.at.abs_diff(at) < REPEAT_WINDOW
        };
        if now.saturating_sub(at) >= MEMORY || self.records.iter().any(known) {
            return Vec::new();
        }
        let answered_since = |part: &&Part| {
            self.answered
                .get(part)
                .is_some_and(|answered| *answered > at)
        };
        let answered: Vec<Part> = parts.iter().filter(answered_since).copied().collect();
        let unanswered = |part: &&Part| !answered.contains(part);
        let suspects = parts.iter().filter(unanswered).copied().collect();
        if self.records.len() >= MAX_LOSSES {
            self.records.pop_front();
        }
        for combination in &mut self.combinations {
            if combination.within(&parts) && combination.ends_at <= at {
                let time = (combination.time * 2).min(LONGEST_TIME);
                *combination = Combination::new(Arc::clone(&combination.parts), time, now);
            }
        }
        self.records.push_back(Record {
            server: loss.server,
            parts,
            suspects,
            at,
        });
        while let Some(parts) = self.find(requests, now) {
            self.insert(Combination::new(parts, FIRST_TIME, now));
        }
        answered
    }

    /// Records that the answer to a prompt with `parts` began at `at`. Returns the parts that were
    /// suspect, which the other entries must learn.
    pub fn record_answer(&mut self, parts: &[Part], at: Duration, now: Duration) -> Vec<Part> {
        self.expire(now);
        let mut cleared = Vec::new();
        for part in parts {
            let answered_at = self.answered.entry(*part).or_default();
            *answered_at = at.max(*answered_at);
        }
        for record in self.records.iter_mut().filter(|record| record.at < at) {
            record.suspects.retain(|suspect| {
                let answered = parts.contains(suspect);
                cleared.extend(answered.then_some(*suspect));
                !answered
            });
        }
        self.combinations.retain_mut(|combination| {
            let (answered, rest): (Vec<Part>, Vec<Part>) = combination
                .parts
                .iter()
                .partition(|part| parts.contains(*part));
            if !answered.is_empty() {
                cleared.extend(answered);
                combination.parts = rest.into();
            }
            !combination.parts.is_empty()
        });
        cleared.sort_unstable();
        cleared.dedup();
        cleared
    }

    /// Returns for how long requests with these parts are blocked, if they are.
    #[must_use]
    pub fn blocked_for(&self, parts: &[Part], now: Duration) -> Option<Duration> {
        let matching = self.matching(parts);
        let remaining = matching.map(|combination| combination.ends_at.saturating_sub(now));
        remaining.max().filter(|remaining| !remaining.is_zero())
    }

    /// Returns for how long a request with these parts is refused, if it is: it is blocked, or the time
    /// is over, and it is not this entry's turn to try it.
    #[must_use]
    pub fn refused_for(&self, parts: &[Part], turn: Turn, now: Duration) -> Option<Duration> {
        let waits = || {
            let mut open = self.matching(parts);
            let waiting = open.any(|combination| now < combination.forgotten_at());
            (waiting && !turn.is_on(now)).then_some(TRIAL_INTERVAL)
        };
        self.blocked_for(parts, now).or_else(waits)
    }

    /// Returns whether a request with a single part was lost repeatedly and not answered since, so that it
    /// should not be sent to another server after a loss.
    #[must_use]
    pub fn suspects(&self, part: Part) -> bool {
        let losses = self.records.iter();
        let losses = losses.filter(|record| record.suspects.contains(&part));
        losses.count() >= REPEATED_LOSSES
    }

    /// Blocks a combination that another entry has found, unless a narrower one is known. Returns whether
    /// it was not known before.
    pub fn adopt(&mut self, parts: &[Part], now: Duration) -> bool {
        let parts = sorted(parts.to_vec());
        if parts.is_empty() || self.matching(&parts).next().is_some() {
            return false;
        }
        self.insert(Combination {
            found: false,
            ..Combination::new(parts, FIRST_TIME, now)
        });
        true
    }

    /// Returns whether a combination is known, blocked or with its time over.
    #[must_use]
    pub fn knows(&self, parts: &[Part]) -> bool {
        let mut combinations = self.combinations.iter();
        combinations.any(|combination| *combination.parts == *parts)
    }

    /// Returns the blocked combinations.
    pub fn blocked(&self, now: Duration) -> impl Iterator<Item = &Combination> {
        let combinations = self.combinations.iter();
        combinations.filter(move |combination| now < combination.ends_at)
    }

    fn matching(&self, parts: &[Part]) -> impl Iterator<Item = &Combination> {
        let combinations = self.combinations.iter();
        combinations.filter(move |combination| combination.within(parts))
    }

    /// Returns whether a known combination explains a loss: the lost prompt has it, or another prompt
    /// that was lost in the same crash.
    fn is_explained(&self, record: &Record) -> bool {
        if self.combinations.is_empty() {
            return false;
        }
        let same_crash = |other: &&Record| {
            other.server == record.server && other.at.abs_diff(record.at) < CRASH_WINDOW
        };
        let mut crash = self.records.iter().filter(same_crash);
        crash.any(|other| self.matching(&other.parts).next().is_some())
    }

    /// Returns the next combination to block.
    fn find(&self, requests: u32, now: Duration) -> Option<Arc<[Part]>> {
        let newest = match self.measure {
            Measure::Recent => None,
            // Only a further loss of a part changes what is known of it.
            Measure::Concurrent => self.records.back(),
        };
        let in_question = |part: &&Part| newest.is_none_or(|it| it.suspects.contains(*part));
        let mut losses: BTreeMap<Part, Vec<&Record>> = BTreeMap::new();
        for record in &self.records {
            let mut parts = record.suspects.iter().filter(in_question).peekable();
            if parts.peek().is_none() || self.is_explained(record) {
                continue;
            }
            for part in parts {
                losses.entry(*part).or_default().push(record);
            }
        }
        let counted = losses.iter();
        let counted = counted.map(|(part, losses)| (part, self.counted(losses)));
        let repeated = counted.filter(|(_, count)| *count >= REPEATED_LOSSES);
        let enough = repeated.filter(|(part, count)| *count >= self.limit(**part, requests, now));
        let (part, _) = enough.max_by_key(|(_, count)| *count)?;
        self.common_suspects(*part)
    }

    /// Returns the suspect parts that all losses of a part have in common.
    fn common_suspects(&self, part: Part) -> Option<Arc<[Part]>> {
        let records = self.records.iter();
        let of_part = records.filter(|record| record.suspects.contains(&part));
        let suspects = of_part.map(|record| record.suspects.clone());
        let common = suspects.reduce(|mut common, suspects| {
            common.retain(|part| suspects.contains(part));
            common
        })?;
        Some(sorted(common))
    }

    /// Adds a combination in place of those that have all of its parts.
    fn insert(&mut self, combination: Combination) {
        self.combinations
            .retain(|wider| !combination.within(&wider.parts));
        if self.combinations.len() >= MAX_COMBINATIONS {
            self.combinations.remove(0);
        }
        self.combinations.push(combination);
    }

    fn expire(&mut self, now: Duration) {
        self.records
            .retain(|record| now.saturating_sub(record.at) < MEMORY);
        self.combinations
            .retain(|combination| now < combination.forgotten_at());
        self.answered
            .retain(|_, answered| now.saturating_sub(*answered) < ANSWER_MEMORY);
    }
}

/// Returns the first parts of a prompt and its last one, without repetitions.
fn considered(parts: &[Part]) -> Arc<[Part]> {
    let first = parts.iter().take(MAX_PARTS - 1);
    sorted(first.chain(parts.last()).copied().collect())
}

fn sorted(mut parts: Vec<Part>) -> Arc<[Part]> {
    parts.sort_unstable();
    parts.dedup();
    parts.into()
}
