//! Duties of entries towards the platform's provider: keeps the locks that
//! [`medlarfall_coordination::duty`] decides on, and hands permits to the drivers of the duties.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::duty::{self, Action, Event, Granted, Lock};
use medlarfall_runtime::clock::BootClock;
use medlarfall_runtime::store::{Change, Error, Guard, Lease, Store, Written};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::codec::Codec;
use crate::metrics::StoreCall;
use crate::state::Relay;
use crate::store_watch::{self, with_timeout};

pub use medlarfall_coordination::duty::Subject;

/// Longest time for a call to the provider. A holder acts only while its lease lasts for longer.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two checks of the subjects and the candidates, which only look at this entry's state.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a holder keeps its locks although it is no hub any more: a hub may be passed over for a
/// moment.
const HUB_LOSS: Duration = Duration::from_secs(2);

/// Delay of a renewal from which it is logged.
const LATE_RENEWAL: Duration = Duration::from_millis(300);

/// Entries that may call the provider at the same time within the rate that it accepts. More than that rarely
/// have calls to make at once, and calls that it refuses are repeated.
const CALLING_ENTRIES: u32 = 4;

/// Settings of the duties.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Whether usage is reported.
    pub usage_reporting: bool,
    /// Whether scaling orders are sent.
    pub autoscaling: bool,
    /// Calls per second that the provider accepts from all entries together.
    pub calls_per_s: f64,
    /// Time within which the holder of a subject must not change twice.
    pub lease: Duration,
    /// Whether the provider checks fencing tokens.
    pub fenced: bool,
    /// Length of a usage window.
    pub window: Duration,
    /// Relative error of a usage count that the provider accepts.
    pub tolerance: f64,
    /// Time after its end by which a window is to be reported.
    pub usage_due: Duration,
}

/// Permission to act for a subject, which must be checked right before each call.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The subject.
    pub subject: Subject,
    /// Fencing token: it increases when the holder changes.
    pub token: u64,
    /// Name of the entry that holds the subject.
    pub holder: Arc<str>,
    pub(crate) granted: duty::Permit,
    pub(crate) clock: BootClock,
}

impl Permit {
    /// Returns whether a call may be sent now that ends within `call_timeout`.
    #[must_use]
    pub fn allows(&self, call_timeout: Duration) -> bool {
        self.granted.allows(self.clock.now(), call_timeout)
    }

    /// Returns the time until the first call may be sent.
    #[must_use]
    pub fn usable_in(&self) -> Duration {
        self.granted.usable_at.saturating_sub(self.clock.now())
    }

    /// Returns the revision of the lock.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.granted.revision
    }

    /// Returns the era of the store in which the lock was written.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.granted.era
    }
}

/// Outcome of a call to the provider.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The provider accepted the call.
    Accepted,
    /// The call was not sent: the permit did not allow it, or no connection was opened.
    NotSent {
        /// Why.
        reason: String,
    },
    /// The provider refused the call, with a status.
    Refused {
        /// Status of the response.
        status: u16,
        /// Pause that the provider asks for.
        retry_after: Option<Duration>,
    },
    /// No response arrived in time; the call may have taken effect.
    Lost {
        /// Why.
        reason: String,
    },
}

impl Outcome {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::NotSent { .. } => "not_sent",
            Self::Refused { .. } => "refused",
            Self::Lost { .. } => "lost",
        }
    }

    /// Returns why the call was not accepted.
    #[must_use]
    pub fn reason(&self) -> String {
        match self {
            Self::Accepted => String::new(),
            Self::NotSent { reason } | Self::Lost { reason } => reason.clone(),
            Self::Refused { status, .. } => format!("status {status}"),
        }
    }
}

/// The platform's API that takes usage reports and scaling orders. Implementations check the permit
/// right before they write a call, and end a call without a response after [`CALL_TIMEOUT`].
pub trait Provider: Clone + Send + Sync + 'static {
    /// Reports the requests of each account in a window.
    fn report_usage(
        &self,
        permit: &Permit,
        window: u64,
        counts: &BTreeMap<Arc<str>, u64>,
    ) -> impl Future<Output = Outcome> + Send;

    /// Orders the number of servers of a service in a failure domain.
    fn order_servers(
        &self,
        permit: &Permit,
        service: &str,
        failure_domain: &str,
        desired: u32,
    ) -> impl Future<Output = Outcome> + Send;
}

/// Makes a call to the provider with the permit of a subject, and records its outcome. Drivers use it for
/// each call.
pub async fn call<C: Codec>(
    relay: &Relay<C>,
    permit: &Permit,
    call: impl Future<Output = Outcome>,
) -> Outcome {
    let subject = &permit.subject;
    let calls_per_s = relay.settings.duties.map_or(1.0, |it| it.calls_per_s);
    let spacing = Duration::from_secs_f64(f64::from(CALLING_ENTRIES) / calls_per_s);
    let reserve = |duties: &mut duty::Duties| duties.reserve_call(spacing, relay.boot_clock.now());
    sleep(relay.duties(reserve).unwrap_or_default()).await;
    let sent_at = relay.boot_clock.now();
    relay.duties(|duties| duties.begin_call(subject, sent_at + CALL_TIMEOUT));
    let outcome = call.await;
    let answered = matches!(outcome, Outcome::Accepted | Outcome::Refused { .. });
    relay.duties(|duties| duties.end_call(subject, answered, sent_at));
    let duty = subject.duty();
    relay.metrics.duties.count_call(duty, outcome.name());
    outcome
}

/// Value of a lock.
#[derive(Debug, Deserialize, Serialize)]
struct Value {
    entry: Arc<str>,
    incarnation: u64,
    lease: u64,
}

/// Applies the lock of a subject in the store, or its removal (`None`). One that can't be decoded is held by
/// an unknown entry.
pub fn apply<C: Codec>(relay: &Relay<C>, subject: &Subject, value: Option<&str>, revision: u64) {
    let lock = value.map(|value| {
        let value = serde_json::from_str(value).unwrap_or_else(|error| {
            log::warn!(subject = subject.to_string().as_str(), problem = error.to_string().as_str(); "lock of a duty not decoded");
            Value {
                entry: Arc::from(""),
                incarnation: 0,
                lease: 0,
            }
        });
        Lock {
            entry: value.entry,
            incarnation: value.incarnation,
            lease: value.lease,
            revision,
        }
    });
    let now = relay.boot_clock.now();
    let holder = lock.as_ref().map(|lock| Arc::clone(&lock.entry));
    relay.duties(|duties| duties.set_lock(subject, lock, now));
    // Counts go to the last known holder until there is another.
    if *subject == Subject::Usage && holder.is_some() {
        relay.set_usage_holder(holder);
    }
    relay.notify_duties();
}

/// Keeps the locks of the subjects until the task is aborted.
pub async fn run<C: Codec, S: Store>(relay: Arc<Relay<C>>, store: S) {
    let mut changed = relay.duties_changed.subscribe();
    let mut hub_at = relay.boot_clock.now();
    loop {
        changed.mark_unchanged();
        let now = relay.boot_clock.now();
        update(&relay, &mut hub_at, now);
        let action = relay.duties(|duties| duties.next(now));
        record_state(&relay, now);
        match action {
            None => return std::future::pending().await,
            Some(Action::Wait { until }) => {
                let wait = until.map_or(CHECK_INTERVAL, |until| until.saturating_sub(now));
                let _ = timeout(wait.min(CHECK_INTERVAL), changed.changed()).await;
                // Rounds times that are shorter than the timer's precision.
                sleep(Duration::from_millis(1)).await;
            }
            Some(action) => {
                act(&relay, &store, action).await;
                record_state(&relay, relay.boot_clock.now());
                relay.notify_duties();
            }
        }
    }
}

/// Brings the state of the duties up to date with the configuration, the hubs and the era of the store.
fn update<C: Codec>(relay: &Relay<C>, hub_at: &mut Duration, now: Duration) {
    let subjects = relay.duty_subjects();
    let mut positions = relay.duty_positions(&subjects);
    if positions.iter().any(Option::is_some) {
        *hub_at = now;
    }
    let keep = now.saturating_sub(*hub_at) < HUB_LOSS;
    let era = relay.store_era();
    let stopping = *relay.stopping.borrow();
    let store_available = relay.store_available();
    relay.duties(|duties| {
        duties.set_store_available(store_available);
        for (subject, position) in subjects.iter().zip(&mut positions) {
            if keep && position.is_none() && duties.permit(subject, now).is_some() {
                *position = Some(usize::MAX);
            }
        }
        let subjects: Vec<(Subject, Option<usize>)> = subjects.into_iter().zip(positions).collect();
        duties.set_subjects(&subjects, now);
        if era != 0 {
            duties.set_era(era, now);
        }
        if stopping {
            duties.stop();
        }
    });
}

/// Logs events and sets the gauges.
fn record_state<C: Codec>(relay: &Relay<C>, now: Duration) {
    let events = relay.duties(duty::Duties::take_events).unwrap_or_default();
    for event in events {
        match event {
            Event::Acquired(subject, token) => {
                log::info!(subject = subject.to_string().as_str(), token; "duty acquired");
            }
            Event::Lost(subject, reason) => {
                log::warn!(subject = subject.to_string().as_str(), reason; "duty lost");
            }
            Event::Released(subject) => {
                log::info!(subject = subject.to_string().as_str(); "duty released");
            }
            Event::Unheld(subject, unheld) => {
                log::warn!(subject = subject.to_string().as_str(), ms = unheld.as_millis(); "duty without a holder");
            }
        }
    }
    let states = relay.duties(|duties| {
        let states = duties.states(now);
        let states = states.map(|(subject, held, unheld)| (subject.to_string(), held, unheld));
        states.collect::<Vec<_>>()
    });
    for (subject, held, unheld) in states.unwrap_or_default() {
        relay.metrics.duties.set_subject(subject, held, unheld);
    }
}

/// Makes one store call and records its outcome.
async fn act<C: Codec, S: Store>(relay: &Relay<C>, store: &S, action: Action) {
    let clock = relay.boot_clock;
    let sent_at = clock.now();
    match action {
        Action::Wait { .. } => {}
        Action::Grant => {
            let era = relay.store_era();
            let ttl = relay
                .settings
                .duties
                .map(|settings| policy(&settings).ttl());
            relay.metrics.count_store_call(StoreCall::Lease);
            let granted = with_timeout(Duration::ZERO, store.grant(ttl.unwrap_or_default())).await;
            relay.duties(|duties| match granted {
                Ok(Lease(lease)) => duties.record_granted(Granted { lease, era }, sent_at),
                Err(error) => record_failure(duties, "lease", &error, clock.now()),
            });
        }
        Action::Renew { lease } => {
            relay.metrics.count_store_call(StoreCall::Renewal);
            let renewed = with_timeout(Duration::ZERO, store.renew_in_era(Lease(lease))).await;
            relay.duties(|duties| match renewed {
                Ok(era) => {
                    let late = duties.record_renewed(era, sent_at);
                    if late > LATE_RENEWAL {
                        log::info!(ms = late.as_millis(); "lease of duties renewed late");
                    }
                }
                Err(Error::LeaseEnded) => duties.record_lease_ended(clock.now()),
                Err(error) => record_failure(duties, "renewal", &error, clock.now()),
            });
        }
        Action::Acquire { subject, lease } => acquire(relay, store, &subject, lease).await,
        Action::Release { subject, revision } => {
            relay.metrics.count_store_call(StoreCall::Lock);
            let key = relay.codec.duty_key(&subject);
            let deleted = with_timeout(Duration::ZERO, store.delete(&key, revision)).await;
            relay.duties(|duties| match deleted {
                Ok(_) => duties.record_released(&subject, clock.now()),
                Err(error) => record_failure(duties, "release", &error, clock.now()),
            });
        }
    }
}

/// Writes the lock of a subject.
async fn acquire<C: Codec, S: Store>(relay: &Relay<C>, store: &S, subject: &Subject, lease: u64) {
    let key = relay.codec.duty_key(subject);
    let value = Value {
        entry: Arc::clone(&relay.settings.entry),
        incarnation: relay
            .duties(|duties| duties.incarnation())
            .unwrap_or_default(),
        lease,
    };
    let value = serde_json::to_string(&value).unwrap_or_default();
    let guard = Guard {
        key: &key,
        revision: 0,
    };
    let known_era = relay.store_era();
    relay.metrics.count_store_call(StoreCall::Lock);
    let writing = store.put_guarded(&key, value.clone(), Some(Lease(lease)), guard);
    let written = with_timeout(Duration::ZERO, writing).await;
    let now = relay.boot_clock.now();
    let change = match written {
        Ok(Written { revision, era }) => {
            relay.duties(|duties| duties.record_acquired(subject, revision, era, now));
            (era == known_era).then(|| Change {
                key: key.clone(),
                value: Some(value),
                revision,
            })
        }
        Err(Error::Conflict { current }) => {
            relay.duties(|duties| duties.record_not_acquired(subject, now));
            current.map(Change::from)
        }
        Err(error) => {
            relay.duties(|duties| {
                if error == Error::LeaseEnded {
                    duties.record_lease_ended(now);
                }
                duties.record_not_acquired(subject, now);
            });
            let reason = error.to_string();
            log::info!(subject = subject.to_string().as_str(), reason = reason.as_str(); "duty not acquired");
            None
        }
    };
    if let Some(change) = change {
        store_watch::apply(relay, known_era, &change);
    }
}

fn record_failure(duties: &mut duty::Duties, call: &str, error: &Error, now: Duration) {
    duties.record_failed(now);
    log::info!(call, reason = error.to_string().as_str(); "call to the store for duties failed");
}

/// Returns the times that all entries agree on.
#[must_use]
pub fn policy(settings: &Settings) -> duty::Policy {
    duty::Policy {
        lease: settings.lease,
        call_timeout: CALL_TIMEOUT,
    }
}
