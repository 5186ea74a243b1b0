//! The locks of all subjects, as one entry sees them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Action, Event, Granted, Lock, Permit, Policy, Subject};

/// Renewals in the time of a lease.
const RENEWALS: u32 = 3;

/// Time by which a candidate waits longer than the one before it: the first one's write is known to the
/// others by then, so usually one write is made.
const CANDIDATE_DELAY: Duration = Duration::from_millis(600);

/// Pause after a store call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Time without a response of the provider after which the holder gives the lock up: another candidate may
/// reach it, and still report a window in time.
const UNANSWERED: Duration = Duration::from_millis(2_500);

/// Leases for which an entry does not try to acquire a lock that it gave up since the provider did not answer.
const UNANSWERED_PAUSE: u32 = 5;

/// Bits of a fencing token for the revision of the lock.
const REVISION_BITS: u32 = 40;

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    era: u64,
    /// When the last renewal that succeeded was sent.
    renewed_at: Duration,
    until: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    revision: u64,
    era: u64,
    acquired_at: Duration,
    /// Whether the lease was renewed by a call that was sent after the lock was acquired.
    confirmed: bool,
    in_flight_until: Duration,
    /// When the first of the calls was sent that got no response.
    unanswered_since: Option<Duration>,
}

impl Held {
    fn reaches_nobody(&self, now: Duration) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_sub(since) >= UNANSWERED)
    }
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Position among the candidates; `None` if this entry is none.
    position: Option<usize>,
    lock: Option<Lock>,
    /// When the lock changed last, or was first looked for.
    changed_at: Duration,
    held: Option<Held>,
    retry_at: Duration,
    /// Whether the operators were told that nobody holds the lock.
    reported: bool,
}

/// The locks of all subjects, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Duties {
    policy: Policy,
    entry: Arc<str>,
    incarnation: u64,
    /// Time before which no lock is acquired.
    blocked_until: Duration,
    era: Option<u64>,
    lease: Option<Lease>,
    /// Time before which the store is not called for the lease.
    retry_at: Duration,
    subjects: BTreeMap<Subject, State>,
    stopping: bool,
    store_available: bool,
    /// Time from which the next call to the provider may be sent.
    next_call_at: Duration,
    events: Vec<Event>,
}

impl Duties {
    /// Returns the state of an entry whose process starts at `now`; `incarnation` distinguishes the processes
    /// of one entry.
    #[must_use]
    pub fn new(policy: Policy, entry: Arc<str>, incarnation: u64, now: Duration) -> Self {
        Self {
            policy,
            entry,
            incarnation,
            blocked_until: now + policy.ttl(),
            era: None,
            lease: None,
            retry_at: now,
            subjects: BTreeMap::new(),
            stopping: false,
            store_available: true,
            next_call_at: now,
            events: Vec::new(),
        }
    }

    /// Returns the incarnation of this process.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Replaces the subjects, each with this entry's position among its candidates, if it is one. A lock of
    /// another subject is known again once it is seen again.
    pub fn set_subjects(&mut self, subjects: &[(Subject, Option<usize>)], now: Duration) {
        for (subject, position) in subjects {
            let state = self.subjects.entry(subject.clone()).or_insert(State {
                changed_at: now,
                ..State::default()
            });
            state.position = *position;
        }
        // A subject that is no longer wanted is released like any other, and its known lock is kept.
        for (subject, state) in &mut self.subjects {
            if !subjects.iter().any(|(wanted, _)| wanted == subject) {
                state.position = None;
                state.reported = true;
            }
        }
    }

    /// Stops acquiring locks; those that may be released are.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Sets whether the store responds, as far as is known. No lock is acquired while it does not.
    pub fn set_store_available(&mut self, available: bool) {
        self.store_available = available;
    }

    /// Applies the era of the store. In another era the locks and leases of the earlier one are worth
    /// nothing. The first known era may have begun just now.
    pub fn set_era(&mut self, era: u64, now: Duration) {
        if self.era.replace(era) == Some(era) {
            return;
        }
        self.drop_lease("the store was restored");
        self.blocked_until = self.blocked_until.max(now + self.policy.ttl());
    }

    /// Applies the lock of a subject, as the store has it now.
    pub fn set_lock(&mut self, subject: &Subject, lock: Option<Lock>, now: Duration) {
        let state = self.subjects.entry(subject.clone()).or_insert(State {
            reported: true,
            ..State::default()
        });
        if state.lock == lock {
            return;
        }
        state.lock.clone_from(&lock);
        state.changed_at = now;
        state.reported = false;
        let revision = lock.as_ref().map(|lock| lock.revision);
        if state
            .held
            .is_some_and(|held| revision.is_none_or(|revision| revision > held.revision))
        {
            state.held = None;
            self.events
                .push(Event::Lost(subject.clone(), "the lock is gone"));
        }
        // The response to the write of this lock was lost.
        let own = lock.filter(|lock| {
            lock.entry == self.entry
                && lock.incarnation == self.incarnation
                && self
                    .lease
                    .is_some_and(|lease| lease.id == lock.lease && now < lease.until)
        });
        let era = self.lease.map_or(0, |lease| lease.era);
        if let Some(lock) = own {
            self.record_acquired(subject, lock.revision, era, now);
        }
    }

    /// Returns the next action at `now`.
    pub fn next(&mut self, now: Duration) -> Action {
        if self.lease.is_some_and(|lease| now >= lease.until) {
            self.drop_lease("the lease was not renewed in time");
        }
        if let Some(release) = self.release(now) {
            return release;
        }
        let holds = self.subjects.values().any(|state| state.held.is_some());
        let mut due: Option<Duration> = None;
        let mut wait_for = |time: Duration| due = Some(due.map_or(time, |due| due.min(time)));
        if let Some(lease) = self.lease.filter(|_| holds) {
            let unconfirmed = self.subjects.values().filter_map(|state| state.held);
            let unconfirmed = unconfirmed.filter(|held| !held.confirmed).count() > 0;
            let interval = if unconfirmed {
                Duration::ZERO
            } else {
                self.policy.ttl() / RENEWALS
            };
            let renew_at = (lease.renewed_at + interval).max(self.retry_at);
            if renew_at <= now {
                return Action::Renew { lease: lease.id };
            }
            wait_for(renew_at.min(lease.until));
        }
        if !self.stopping {
            for (subject, state) in &mut self.subjects {
                let Some(position) = state.position.filter(|_| state.lock.is_none()) else {
                    continue;
                };
                let unheld_for = now.saturating_sub(state.changed_at);
                if unheld_for > 2 * self.policy.ttl() && now > self.blocked_until && !state.reported
                {
                    state.reported = true;
                    self.events.push(Event::Unheld(subject.clone(), unheld_for));
                }
                if state.held.is_some() || !self.store_available {
                    continue;
                }
                let turn = CANDIDATE_DELAY * u32::try_from(position).unwrap_or(u32::MAX);
                let at = state.changed_at + turn;
                let at = at
                    .max(self.blocked_until)
                    .max(state.retry_at)
                    .max(self.retry_at);
                if at > now {
                    wait_for(at);
                    continue;
                }
                // A lock must not be bound to a lease that is about to expire.
                let lasts = now + self.policy.ttl() / 2;
                return match self.lease {
                    Some(lease) if lease.until > lasts => Action::Acquire {
                        subject: subject.clone(),
                        lease: lease.id,
                    },
                    Some(lease) if holds => Action::Renew { lease: lease.id },
                    _ => Action::Grant,
                };
            }
        }
        let releases = self
            .subjects
            .values()
            .filter_map(|state| state.held.map(|held| (state, held)));
        for (state, held) in releases {
            if self.stopping || state.position.is_none() {
                wait_for((held.acquired_at + self.policy.lease).max(held.in_flight_until));
            }
        }
        Action::Wait { until: due }
    }

    /// Returns the release of a lock that this entry must give up and may.
    fn release(&self, now: Duration) -> Option<Action> {
        let mut states = self.subjects.iter();
        states.find_map(|(subject, state)| {
            let held = state.held?;
            let unwanted = self.stopping || state.position.is_none() || held.reaches_nobody(now);
            let may = now >= held.acquired_at + self.policy.lease
                && now >= held.in_flight_until
                && now >= self.retry_at;
            (unwanted && may).then(|| Action::Release {
                subject: subject.clone(),
                revision: held.revision,
            })
        })
    }

    /// Records a lease that was requested at `sent_at`.
    pub fn record_granted(&mut self, granted: Granted, sent_at: Duration) {
        self.lease = Some(Lease {
            id: granted.lease,
            era: granted.era,
            renewed_at: sent_at,
            until: sent_at + self.policy.ttl(),
        });
    }

    /// Records that the lease was renewed by a call that was sent at `sent_at`; `era` is the era that the
    /// response names. Returns how long after its due time the renewal was sent.
    pub fn record_renewed(&mut self, era: u64, sent_at: Duration) -> Duration {
        let Some(lease) = &mut self.lease else {
            return Duration::ZERO;
        };
        if era != lease.era {
            self.drop_lease("the store was restored");
            return Duration::ZERO;
        }
        let late = sent_at.saturating_sub(lease.renewed_at + self.policy.ttl() / RENEWALS);
        lease.renewed_at = sent_at;
        lease.until = lease.until.max(sent_at + self.policy.ttl());
        for held in self
            .subjects
            .values_mut()
            .filter_map(|state| state.held.as_mut())
        {
            held.confirmed |= sent_at >= held.acquired_at;
        }
        late
    }

    /// Records that the store said that the lease has ended.
    pub fn record_lease_ended(&mut self, now: Duration) {
        self.drop_lease("the store ended the lease");
        self.retry_at = now + RETRY_PAUSE;
    }

    /// Records that a call for the lease, or the release of a lock, failed.
    pub fn record_failed(&mut self, now: Duration) {
        self.retry_at = now + RETRY_PAUSE;
    }

    /// Records that the lock of a subject was written at `revision` in `era`, which the response named, and
    /// that the response arrived at `now`.
    pub fn record_acquired(&mut self, subject: &Subject, revision: u64, era: u64, now: Duration) {
        let Some(lease) = self.lease.filter(|lease| lease.era == era) else {
            // The lock may be bound to the lease of another entry.
            self.drop_lease("the store was restored");
            return;
        };
        let state = self.subjects.entry(subject.clone()).or_default();
        if state.held.is_some_and(|held| held.revision >= revision) {
            return;
        }
        state.lock = Some(Lock {
            entry: Arc::clone(&self.entry),
            incarnation: self.incarnation,
            lease: lease.id,
            revision,
        });
        state.changed_at = now;
        state.reported = false;
        state.held = Some(Held {
            revision,
            era,
            acquired_at: now,
            confirmed: false,
            in_flight_until: now,
            unanswered_since: None,
        });
        self.events
            .push(Event::Acquired(subject.clone(), token(era, revision)));
    }

    /// Records that the lock of a subject was not written, or that it is not known whether it was.
    pub fn record_not_acquired(&mut self, subject: &Subject, now: Duration) {
        if let Some(state) = self.subjects.get_mut(subject) {
            state.retry_at = now + RETRY_PAUSE;
        }
    }

    /// Records that this entry deleted its lock.
    pub fn record_released(&mut self, subject: &Subject, now: Duration) {
        if let Some(state) = self.subjects.get_mut(subject) {
            let held = state.held.take();
            let leases = match held {
                Some(held) if held.reaches_nobody(now) => UNANSWERED_PAUSE,
                _ => 1,
            };
            state.lock = None;
            state.changed_at = now;
            // Another candidate is to be the next holder.
            state.retry_at = now + self.policy.ttl() * leases;
            self.events.push(Event::Released(subject.clone()));
        }
    }

    /// Reserves a call to the provider, and returns the time until it may be sent. Calls of this entry are sent
    /// `spacing` apart.
    pub fn reserve_call(&mut self, spacing: Duration, now: Duration) -> Duration {
        let at = self.next_call_at.max(now);
        self.next_call_at = at + spacing;
        at.saturating_sub(now)
    }

    /// Records that a call for a subject is being sent that ends by `until`.
    pub fn begin_call(&mut self, subject: &Subject, until: Duration) {
        if let Some(held) = self
            .subjects
            .get_mut(subject)
            .and_then(|state| state.held.as_mut())
        {
            held.in_flight_until = held.in_flight_until.max(until);
        }
    }

    /// Records whether the provider answered a call for a subject that was sent at `sent_at`.
    pub fn end_call(&mut self, subject: &Subject, answered: bool, sent_at: Duration) {
        let state = self.subjects.get_mut(subject);
        if let Some(held) = state.and_then(|state| state.held.as_mut()) {
            held.unanswered_since = match held.unanswered_since {
                _ if answered => None,
                since => since.or(Some(sent_at)),
            };
        }
    }

    /// Returns the permission to act for a subject, if this entry holds it now.
    #[must_use]
    pub fn permit(&self, subject: &Subject, now: Duration) -> Option<Permit> {
        let held = self
            .subjects
            .get(subject)?
            .held
            .filter(|held| held.confirmed)?;
        let lease = self.lease.filter(|lease| now < lease.until)?;
        Some(Permit {
            subject: subject.clone(),
            token: token(held.era, held.revision),
            revision: held.revision,
            era: held.era,
            until: lease.until,
            usable_at: held.acquired_at + self.policy.call_timeout,
        })
    }

    /// Returns the known lock of a subject.
    #[must_use]
    pub fn lock(&self, subject: &Subject) -> Option<&Lock> {
        self.subjects.get(subject)?.lock.as_ref()
    }

    /// Returns each subject with whether this entry holds it, and the time for which nobody has.
    pub fn states(&self, now: Duration) -> impl Iterator<Item = (&Subject, bool, Duration)> {
        self.subjects.iter().map(move |(subject, state)| {
            let unheld = match state.lock {
                None => now.saturating_sub(state.changed_at),
                Some(_) => Duration::ZERO,
            };
            (subject, state.held.is_some(), unheld)
        })
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    fn drop_lease(&mut self, reason: &'static str) {
        self.lease = None;
        for (subject, state) in &mut self.subjects {
            if state.held.take().is_some() {
                self.events.push(Event::Lost(subject.clone(), reason));
            }
        }
    }
}

fn token(era: u64, revision: u64) -> u64 {
    (era << REVISION_BITS) + revision
}
