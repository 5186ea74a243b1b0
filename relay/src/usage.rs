//! Reports usage to the provider, while this entry holds that duty.
//!
//! [`medlarfall_coordination::usage`] decides what is reported when. The counts of a window are recorded in
//! the store before they are sent, in one of a fixed number of keys, so that the next holder sends the same.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::usage::{Bounds, Counts, Record, Reporter, Step, Term, WINDOWS};
use medlarfall_runtime::store::{Guard, Item, Store};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::codec::Codec;
use crate::duty::{self, CALL_TIMEOUT, Outcome, Permit, Provider, Settings, Subject};
use crate::metrics::StoreCall;
use crate::state::Relay;
use crate::store_watch::with_timeout;

/// Additional time for reading the records, which may take a megabyte.
const LIST_TIME: Duration = Duration::from_secs(1);

/// Pause after the records could not be read.
const LIST_PAUSE: Duration = Duration::from_millis(300);

/// Pause while the permit does not allow calls.
const PERMIT_PAUSE: Duration = Duration::from_millis(20);

/// Value of a record.
#[derive(Debug, Deserialize, Serialize)]
struct Value {
    window: u64,
    counts: Arc<Counts>,
    undelivered: u64,
}

/// What the driver knows of its own term.
struct Driver<C: Codec, S, P> {
    relay: Arc<Relay<C>>,
    store: S,
    provider: P,
    reporter: Reporter,
    /// Token of the term for which the records were read.
    token: Option<u64>,
    /// Era of the store that was known last, and when another one was found, in true time.
    era: u64,
    restored_ms: Option<u64>,
}

/// Reports usage until the task is aborted.
pub async fn run<C: Codec, S: Store, P: Provider>(
    relay: Arc<Relay<C>>,
    store: S,
    provider: P,
    settings: Settings,
) {
    let bounds = Bounds {
        window: settings.window,
        due: settings.usage_due,
        call_timeout: CALL_TIMEOUT,
        tolerance: settings.tolerance,
    };
    let mut changed = relay.duties_changed.subscribe();
    let mut driver = Driver {
        reporter: Reporter::new(bounds),
        relay,
        store,
        provider,
        token: None,
        era: 0,
        restored_ms: None,
    };
    loop {
        changed.mark_unchanged();
        driver.record_era();
        let pause = match driver.relay.permit(&Subject::Usage) {
            Some(permit) => driver.step(&permit).await,
            None => Duration::from_secs(1),
        };
        if !pause.is_zero() {
            let _ = timeout(pause, changed.changed()).await;
        }
    }
}

impl<C: Codec, S: Store, P: Provider> Driver<C, S, P> {
    /// Records when the store was restored.
    fn record_era(&mut self) {
        let era = self.relay.store_era();
        if self.era != 0 && era != self.era {
            self.restored_ms = Some(self.relay.true_ms());
        }
        self.era = era;
    }

    /// Does the next step as the holder; returns the pause after it.
    async fn step(&mut self, permit: &Permit) -> Duration {
        if self.token != Some(permit.token) && !self.take_over(permit).await {
            sleep(LIST_PAUSE).await;
            return PERMIT_PAUSE;
        }
        let now_ms = self.relay.true_ms();
        let relay = Arc::clone(&self.relay);
        match self
            .reporter
            .next(now_ms, |window| relay.usage_count(window))
        {
            Step::Wait(until_ms) => {
                let wait = Duration::from_millis(until_ms.saturating_sub(now_ms));
                return wait.clamp(Duration::from_millis(1), Duration::from_secs(1));
            }
            Step::Record(record) => self.write(permit, record).await,
            Step::Send(window, counts) => return self.send(permit, window, &counts).await,
            Step::Uncounted(window, reason) => {
                relay.metrics.duties.count_window("uncounted");
                log::warn!(window, reason; "usage window not counted");
                self.settle();
            }
            Step::Abandoned(window) => {
                relay.metrics.duties.count_window("abandoned");
                log::error!(window; "usage window given up: the provider has not accepted it");
            }
        }
        Duration::ZERO
    }

    /// Reads the records of earlier holders; returns whether that succeeded.
    async fn take_over(&mut self, permit: &Permit) -> bool {
        let relay = &self.relay;
        relay.metrics.count_store_call(StoreCall::List);
        let prefix = relay.codec.usage_key(None);
        let listing = match with_timeout(LIST_TIME, self.store.list(&prefix)).await {
            Ok(listing) if listing.era == permit.era() => listing,
            Ok(_) => return false,
            Err(error) => {
                log::info!(reason = error.to_string().as_str(); "records of usage windows not read");
                return false;
            }
        };
        let records: Vec<Record> = listing.items.iter().filter_map(decode).collect();
        let newest = records.iter().map(|record| record.window).max();
        let now_ms = relay.true_ms();
        let age_ms = u64::try_from(relay.clock.now().as_millis()).unwrap_or(u64::MAX);
        let term = Term {
            records,
            restored_ms: self.restored_ms,
            started_ms: now_ms.saturating_sub(age_ms),
        };
        self.reporter.take_over(term, now_ms);
        self.token = Some(permit.token);
        self.settle();
        log::info!(token = permit.token, newest = newest.unwrap_or(0); "usage reports taken over");
        true
    }

    /// Tells the other entries which windows need no more counts.
    fn settle(&self) {
        if let Some(settled) = self.reporter.settled() {
            self.relay.settle_usage(settled);
        }
    }

    /// Writes the record of a window, guarded by this entry's lock.
    async fn write(&mut self, permit: &Permit, record: Record) {
        let relay = &self.relay;
        let window = record.window;
        let value = Value {
            window,
            counts: record.counts,
            undelivered: record.undelivered,
        };
        let value = serde_json::to_string(&value).unwrap_or_default();
        let slot = usize::try_from(window % WINDOWS as u64).unwrap_or_default();
        let key = relay.codec.usage_key(Some(slot));
        let lock = relay.codec.duty_key(&Subject::Usage);
        let guard = Guard {
            key: &lock,
            revision: permit.revision(),
        };
        relay.metrics.count_store_call(StoreCall::UsageRecord);
        let writing = self.store.put_guarded(&key, value, None, guard);
        let written = with_timeout(Duration::ZERO, writing).await;
        // In another era the lock with this revision may be that of another holder.
        let reason = match written {
            Ok(written) if written.era == permit.era() => None,
            Ok(_) => Some("the store was restored".to_owned()),
            Err(error) => Some(error.to_string()),
        };
        match reason {
            None => {
                self.reporter.record_written(window);
                self.settle();
            }
            Some(reason) => {
                let now_ms = relay.true_ms();
                self.reporter
                    .record_failed(window, None, rand::random(), now_ms);
                log::warn!(window, reason = reason.as_str(); "record of a usage window not written");
            }
        }
    }

    /// Sends the counts of a window to the provider; returns the pause after it.
    async fn send(&mut self, permit: &Permit, window: u64, counts: &Arc<Counts>) -> Duration {
        if !permit.allows(CALL_TIMEOUT) {
            return permit.usable_in().max(PERMIT_PAUSE);
        }
        let relay = &self.relay;
        let call = self.provider.report_usage(permit, window, counts);
        let outcome = duty::call(relay, permit, call).await;
        let now_ms = relay.true_ms();
        let late_ms = (window + 1) * u64::try_from(self.reporter.window().as_millis()).unwrap_or(1);
        let late_ms = now_ms.saturating_sub(late_ms);
        let requests: u64 = counts.values().sum();
        if outcome == Outcome::Accepted {
            relay.metrics.duties.count_window("reported");
            self.reporter.record_delivered(window);
            log::info!(window, token = permit.token, accounts = counts.len(), requests, after_end_ms = late_ms; "usage window reported");
            return Duration::ZERO;
        }
        let asked = match &outcome {
            Outcome::Refused { retry_after, .. } => *retry_after,
            _ => None,
        };
        let pause = self
            .reporter
            .record_failed(window, asked, rand::random(), now_ms);
        let reason = outcome.reason();
        log::warn!(window, token = permit.token, outcome = outcome.name(), reason = reason.as_str(), after_end_ms = late_ms, retry_ms = pause.as_millis(); "usage window not reported yet");
        PERMIT_PAUSE
    }
}

/// Decodes a record. One that can't be decoded is logged and has no effect.
fn decode(item: &Item) -> Option<Record> {
    match serde_json::from_str::<Value>(&item.value) {
        Ok(value) => Some(Record {
            window: value.window,
            counts: value.counts,
            undelivered: value.undelivered,
        }),
        Err(error) => {
            log::error!(key = item.key.as_str(), problem = error.to_string().as_str(); "record of a usage window not decoded");
            None
        }
    }
}
