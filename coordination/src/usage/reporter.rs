//! Decides when a usage window is recorded in the store and sent to the provider.
//!
//! The provider must never accept two reports of one window with different counts. So the holder records the
//! counts of a window in the store first, guarded by its lock, and every holder sends what is recorded.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Count, Counts, WINDOWS, millis};

/// Time after the end of a window at which it is reported if it is complete. Entries report once a second,
/// so that after this time a single lost message has been repeated.
const SETTLE: Duration = Duration::from_millis(2_400);

/// Time that remains for the record and the call when an incomplete window is decided on.
const DECISION_MARGIN: Duration = Duration::from_secs(1);

/// Time for which a new holder waits for the sums of the other failure domains.
const TAKE_OVER: Duration = Duration::from_millis(1_500);

/// Time after the first start of a deployment within which its windows are complete although no hub has
/// received reports from their start on: hubs are found within this time.
const FIRST_START: Duration = Duration::from_secs(8);

/// Pause before a call or write that failed is repeated. It doubles with each failure up to the longest.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause before a call is repeated.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Time between two checks of an incomplete window.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Bounds that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of a window.
    pub window: Duration,
    /// Time after its end by which a window is to be reported.
    pub due: Duration,
    /// Longest time for a call.
    pub call_timeout: Duration,
    /// Relative error that a count may have.
    pub tolerance: f64,
}

/// The counts of a window as they are recorded in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Number of the window.
    pub window: u64,
    /// Requests by account.
    pub counts: Arc<Counts>,
    /// First window that the provider had not accepted when the record was written.
    pub undelivered: u64,
}

/// What a holder finds when its term begins. Times are in Unix milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Term {
    /// Records in the store.
    pub records: Vec<Record>,
    /// When this process was started, in true time.
    pub started_ms: u64,
    /// When the store was restored from a copy, if it was since this process started: windows that had ended
    /// then may have been reported without a record that remains.
    pub restored_ms: Option<u64>,
}

/// The next step of the holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Write a record to the store.
    Record(Record),
    /// Send the counts of a window to the provider.
    Send(u64, Arc<Counts>),
    /// The window can't be counted within the tolerance; it is not reported.
    Uncounted(u64, &'static str),
    /// The provider has not accepted a window for so long that it is given up.
    Abandoned(u64),
    /// Wait until this time, in Unix milliseconds.
    Wait(u64),
}

#[derive(Clone, Debug)]
struct Entry {
    counts: Arc<Counts>,
    written: bool,
    delivered: bool,
    failures: u32,
    retry_ms: u64,
}

/// The windows of the entry that reports usage, or has reported it.
#[derive(Clone, Debug)]
pub struct Reporter {
    bounds: Bounds,
    /// First window that is not decided on; `None` before the first take-over.
    next: Option<u64>,
    records: BTreeMap<u64, Entry>,
    taken_over_ms: u64,
    /// Windows that begin before this time are complete although hubs have not received all reports.
    first_start_ms: u64,
}

impl Reporter {
    /// Returns the reporter of a process that has reported nothing.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            next: None,
            records: BTreeMap::new(),
            taken_over_ms: 0,
            first_start_ms: 0,
        }
    }

    /// Returns the length of a window.
    #[must_use]
    pub fn window(&self) -> Duration {
        self.bounds.window
    }

    fn window_ms(&self) -> u64 {
        millis(self.bounds.window).max(1)
    }

    /// Returns the newest window that is recorded or will not be reported, so that its counts are needed no
    /// more.
    #[must_use]
    pub fn settled(&self) -> Option<u64> {
        self.next?.checked_sub(1)
    }

    /// Takes over from another holder.
    pub fn take_over(&mut self, term: Term, now_ms: u64) {
        let Term {
            records,
            started_ms,
            restored_ms,
        } = term;
        self.taken_over_ms = now_ms;
        let undelivered = records.iter().map(|record| record.undelivered).max();
        for record in records {
            let known = self.records.entry(record.window).or_insert(Entry {
                counts: Arc::clone(&record.counts),
                written: true,
                delivered: false,
                failures: 0,
                retry_ms: 0,
            });
            // Counts that were not recorded were not sent.
            if !known.written {
                known.counts = record.counts;
                known.written = true;
            }
        }
        for (window, record) in &mut self.records {
            record.delivered |= undelivered.is_some_and(|undelivered| *window < undelivered);
        }
        // Counts whose write failed are decided on anew: another holder may have decided since.
        self.records.retain(|_, record| record.written);
        let after_records = self.records.last_key_value().map(|(window, _)| window + 1);
        let after_restore = restored_ms.map(|restored_ms| restored_ms / self.window_ms());
        let known = after_records.max(self.next);
        let first = match (known, after_restore) {
            (known, Some(after_restore)) => known.unwrap_or(0).max(after_restore),
            (Some(known), None) => known,
            (None, None) => {
                self.first_start_ms = started_ms.saturating_add(millis(FIRST_START));
                started_ms / self.window_ms()
            }
        };
        self.next = Some(first);
    }

    /// Returns the next step; `count` returns what is known of a window.
    pub fn next(&mut self, now_ms: u64, count: impl FnOnce(u64) -> Count) -> Step {
        let Some(window) = self.next else {
            return Step::Wait(now_ms.saturating_add(millis(CHECK_INTERVAL)));
        };
        if let Some(step) = self.next_undelivered(now_ms) {
            return step;
        }
        let waiting = self.records.values().filter(|record| !record.delivered);
        let retry_ms = waiting.map(|record| record.retry_ms).min();
        let wait =
            |until_ms: u64| Step::Wait(retry_ms.map_or(until_ms, |retry| retry.min(until_ms)));
        if let Some(record) = self.records.get(&window) {
            // The write of its record failed or its outcome is unknown.
            return if record.retry_ms <= now_ms {
                self.record(window, Arc::clone(&record.counts))
            } else {
                wait(record.retry_ms)
            };
        }
        let end_ms = (window + 1).saturating_mul(self.window_ms());
        let settle_ms = end_ms.saturating_add(millis(SETTLE));
        if now_ms < settle_ms {
            return wait(settle_ms);
        }
        let oldest = (now_ms / self.window_ms()).saturating_sub(WINDOWS as u64);
        if window < oldest {
            self.next = Some(window + 1);
            return Step::Uncounted(window, "it ended too long ago");
        }
        let Count {
            counts,
            missing,
            waiting,
            gap,
        } = count(window);
        let decide = self
            .bounds
            .due
            .saturating_sub(self.bounds.call_timeout + DECISION_MARGIN);
        let decide_ms = end_ms.saturating_add(millis(decide));
        let decide_ms = decide_ms.max(self.taken_over_ms.saturating_add(millis(TAKE_OVER)));
        if !waiting.is_empty() && now_ms < decide_ms {
            return wait(now_ms.saturating_add(millis(CHECK_INTERVAL)));
        }
        let began_ms = window.saturating_mul(self.window_ms());
        let reason = if gap && began_ms >= self.first_start_ms {
            Some("entries were started inside it that had to add up its counts")
        } else if exceeds(missing, self.bounds.tolerance, counts.values().sum()) {
            Some("counts of failed or unreachable entries may be missing")
        } else {
            None
        };
        if let Some(reason) = reason {
            self.next = Some(window + 1);
            return Step::Uncounted(window, reason);
        }
        let counts = Arc::new(counts);
        let entry = Entry {
            counts: Arc::clone(&counts),
            written: false,
            delivered: false,
            failures: 0,
            retry_ms: now_ms,
        };
        self.records.insert(window, entry);
        self.record(window, counts)
    }

    /// Returns the step for the oldest recorded window that the provider has not accepted and whose pause
    /// has ended.
    fn next_undelivered(&mut self, now_ms: u64) -> Option<Step> {
        let oldest = (now_ms / self.window_ms()).saturating_sub(WINDOWS as u64);
        while let Some(first) = self.records.first_entry() {
            let window = *first.key();
            if window >= oldest || Some(window) == self.next {
                break;
            }
            if !first.remove().delivered {
                return Some(Step::Abandoned(window));
            }
        }
        let mut due = self.records.iter();
        let due = due
            .find(|(_, record)| record.written && !record.delivered && record.retry_ms <= now_ms);
        due.map(|(window, record)| Step::Send(*window, Arc::clone(&record.counts)))
    }

    fn record(&self, window: u64, counts: Arc<Counts>) -> Step {
        let mut waiting = self.records.iter().filter(|(_, record)| !record.delivered);
        Step::Record(Record {
            window,
            counts,
            undelivered: waiting.next().map_or(window, |(first, _)| *first),
        })
    }

    /// Records that the record of a window was written.
    pub fn record_written(&mut self, window: u64) {
        if let Some(record) = self.records.get_mut(&window) {
            record.written = true;
            record.retry_ms = 0;
        }
        self.next = self.next.max(Some(window + 1));
    }

    /// Records that a write or call failed, and returns the pause before the next one. `asked` is the pause
    /// that the provider asked for, and `jitter` is between 0 and 1.
    pub fn record_failed(
        &mut self,
        window: u64,
        asked: Option<Duration>,
        jitter: f64,
        now_ms: u64,
    ) -> Duration {
        let Some(record) = self.records.get_mut(&window) else {
            return RETRY_PAUSE;
        };
        let pause = RETRY_PAUSE.saturating_mul(1 << record.failures.min(4));
        let pause = pause
            .min(MAX_RETRY_PAUSE)
            .mul_f64(0.75 + jitter.clamp(0.0, 1.0) / 2.0);
        let pause = pause.max(asked.unwrap_or_default().min(MAX_RETRY_PAUSE));
        record.failures += 1;
        record.retry_ms = now_ms.saturating_add(millis(pause));
        pause
    }

    /// Records that the provider accepted a window.
    pub fn record_delivered(&mut self, window: u64) {
        if let Some(record) = self.records.get_mut(&window) {
            record.delivered = true;
        }
    }
}

/// Returns whether `missing` requests are more than the tolerated part of all.
#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of requests are far below 2^52"
)]
fn exceeds(missing: u64, tolerance: f64, known: u64) -> bool {
    missing as f64 > tolerance * (known as f64 + missing as f64)
}
