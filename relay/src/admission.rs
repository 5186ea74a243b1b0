//! Admission of requests to services whose servers have less capacity than callers ask for, as
//! [`medlarfall_coordination::room`] decides. It is active for services whose servers report slowness.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use medlarfall_coordination::dissemination::{AccountDemand, demands, tag};
use medlarfall_coordination::room::{self, Decision, Key, Others, Request, Room, Ticket};
use medlarfall_coordination::server_load::Report;
use tokio::sync::oneshot;

use crate::answer::{Reason, Refusal};
use crate::codec::Codec;
use crate::ingress::Job;
use crate::state::{Backend, Relay};

/// Time between two updates of what is known of a service.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two looks at the requests that wait: a fraction of a call's time.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Most servers that a request is sent to while the service is full: a second one may have a free slot.
const ATTEMPTS: u32 = 2;

/// Bounds of a stream's work relative to the usual one, so that no stated length takes all credit.
const COSTS: (f64, f64) = (0.25, 4.0);

/// Admission to one service, for calls or for streams.
#[derive(Debug, Default)]
pub struct Service {
    state: Mutex<State>,
    polled: AtomicBool,
}

#[derive(Debug, Default)]
struct State {
    room: Room,
    others: Others,
    refreshed_at: Option<Duration>,
    waiting: HashMap<Ticket, oneshot::Sender<()>>,
    usual_prompt: f64,
}

/// The services whose servers report slowness.
pub type Services = RwLock<HashMap<Arc<str>, Arc<Service>>>;

/// What is known of a service's servers and of the other entries.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// The capacity, if servers have responded recently.
    pub capacity: Option<room::Capacity>,
    /// The other entries.
    pub others: Others,
    /// Length of a prompt, in tokens.
    pub usual_prompt: f64,
    /// Mean wait of streams at the servers, from the streams of all entries.
    pub wait: Option<Duration>,
}

impl Service {
    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Updates what is known, if it is time.
    fn refresh<C: Codec>(&self, relay: &Relay<C>, service: &str, stream: bool) {
        let now = relay.clock.now();
        let due = self.with(|state| {
            let recently = |at: Duration| now.saturating_sub(at) < REFRESH_INTERVAL;
            let due = !state.refreshed_at.is_some_and(recently);
            if due {
                state.refreshed_at = Some(now);
            }
            due
        });
        if !due {
            return;
        }
        let known = relay.known_capacity(service, &name(service, stream), stream);
        self.with(|state| {
            state.others = known.others;
            state.usual_prompt = known.usual_prompt;
            if let Some(capacity) = known.capacity {
                state.room.observe(capacity, now);
            }
            if let Some(wait) = known.wait {
                state.room.record_wait(wait, now);
            }
        });
    }

    /// Lets the requests through whose turn it is; returns whether others wait.
    fn poll<C: Codec>(&self, relay: &Relay<C>) -> bool {
        let now = relay.clock.now();
        self.with(|state| {
            let State { room, others, .. } = state;
            for ticket in room.poll(others, now) {
                if let Some(waiting) = state.waiting.remove(&ticket) {
                    // The caller may have left.
                    let _ = waiting.send(());
                }
            }
            !state.waiting.is_empty()
        })
    }
}

/// Returns the name under which entries share the demand for a service.
fn name(service: &str, stream: bool) -> Arc<str> {
    if stream {
        Arc::from(format!("{service}/streams"))
    } else {
        Arc::from(service)
    }
}

fn key(job: &Job) -> Key {
    let account = job.account.as_ref().map_or("", |account| &*account.name);
    Key {
        priority: job.priority(),
        account: tag(account).max(1),
    }
}

fn find<C: Codec>(relay: &Relay<C>, job: &Job) -> Option<Arc<Service>> {
    let services = relay.admission.read();
    let services = services.unwrap_or_else(PoisonError::into_inner);
    if services.is_empty() {
        return None;
    }
    let stream = job.route.kind.is_stream();
    if stream {
        services.get(&name(&job.service, true)).cloned()
    } else {
        services.get(&job.service).cloned()
    }
}

/// Removes a request that waits if its caller leaves.
struct Place<'service> {
    service: &'service Service,
    ticket: Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.service.with(|state| {
            if state.waiting.remove(&self.ticket).is_some() {
                state.room.withdraw(self.ticket);
            }
        });
    }
}

/// Waits until a request may be sent.
///
/// # Errors
///
/// Returns the refusal of a request that would not be answered in time.
pub async fn admit<C: Codec>(relay: &Arc<Relay<C>>, job: &Job) -> Result<(), Refusal> {
    let Some(service) = find(relay, job) else {
        return Ok(());
    };
    let stream = job.route.kind.is_stream();
    service.refresh(relay, &job.service, stream);
    let now = relay.clock.now();
    let target = job.began + job.route.target_latency;
    let (decision, receiver, inputs) = service.with(|state| {
        let request = Request {
            key: key(job),
            cost: cost(job, state.usual_prompt),
            target: target.saturating_sub(now),
            deadline: job.deadline.saturating_sub(now),
        };
        let decision = state.room.arrive(request, &state.others, now);
        let receiver = match decision {
            Decision::Wait { ticket, .. } => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                Some(receiver)
            }
            _ => None,
        };
        (decision, receiver, Inputs::of(state, request.key, now))
    });
    relay.metrics.admission.set_share(&job.service, inputs.part);
    match (decision, receiver) {
        (Decision::Wait { ticket, longest }, Some(receiver)) => {
            relay.metrics.admission.count("queued");
            inputs.log(job, "queued", longest);
            let place = Place {
                service: &service,
                ticket,
            };
            start_polling(relay, &service, job);
            let turn = tokio::time::timeout(longest, receiver).await;
            let waited = relay.clock.now().saturating_sub(now);
            relay.metrics.admission.record_wait(waited);
            if matches!(turn, Ok(Ok(()))) {
                return Ok(());
            }
            drop(place);
            let now = relay.clock.now();
            let retry_after = service.with(|state| state.room.give_up(ticket, key(job), now));
            relay.metrics.admission.count("gave_up");
            Err(Refusal::with_retry(Reason::Full, retry_after))
        }
        (
            Decision::Reject {
                reason,
                retry_after,
            },
            _,
        ) => {
            let reason = match reason {
                room::Reason::Share => "share",
                room::Reason::Deadline => "deadline",
                room::Reason::Queue => "queue",
            };
            relay.metrics.admission.count(reason);
            inputs.log(job, reason, retry_after);
            Err(Refusal::with_retry(Reason::Full, retry_after))
        }
        _ => {
            relay.metrics.admission.count("sent");
            Ok(())
        }
    }
}

/// What a decision was based on, for the log.
struct Inputs {
    part: f64,
    rate: f64,
    wait: Duration,
    correction: f64,
    queued: usize,
}

impl Inputs {
    fn of(state: &State, key: Key, now: Duration) -> Self {
        Self {
            part: state.room.part(key),
            rate: state.room.rate(now).unwrap_or(0.0),
            wait: state.room.wait(now),
            correction: state.room.correction(),
            queued: state.room.waiting(),
        }
    }

    fn log(&self, job: &Job, decision: &str, time: Duration) {
        log::info!(
            request = &*job.original.request_id, service = &*job.service, decision,
            priority = job.priority(), ms = time.as_millis(), share = self.part,
            per_second = self.rate, correction = self.correction,
            server_wait_ms = self.wait.as_millis(), queued = self.queued,
            account = job.account.as_ref().map_or("", |account| &*account.name);
            "service is full"
        );
    }
}

/// Returns the work of a request, in usual ones.
fn cost(job: &Job, usual_prompt: f64) -> f64 {
    match job.head.prompt_tokens {
        Some(tokens) if job.route.kind.is_stream() && usual_prompt > 0.0 => {
            let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
            (tokens / usual_prompt).clamp(COSTS.0, COSTS.1)
        }
        _ => 1.0,
    }
}

/// Starts the task that lets waiting requests through, unless it runs.
fn start_polling<C: Codec>(relay: &Arc<Relay<C>>, service: &Arc<Service>, job: &Job) {
    if service.polled.swap(true, Ordering::AcqRel) {
        return;
    }
    let (relay, service) = (Arc::clone(relay), Arc::clone(service));
    let (name, stream) = (Arc::clone(&job.service), job.route.kind.is_stream());
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            service.refresh(&relay, &name, stream);
            if service.poll(&relay) {
                continue;
            }
            service.polled.store(false, Ordering::Release);
            // A request may have begun to wait meanwhile.
            let waits = service.with(|state| !state.waiting.is_empty());
            if !waits || service.polled.swap(true, Ordering::AcqRel) {
                return;
            }
        }
    });
}

/// Returns the number of servers that a request may be sent to, if the service is full.
pub fn attempts<C: Codec>(relay: &Relay<C>, job: &Job) -> Option<u32> {
    let service = find(relay, job)?;
    let tight = service.with(|state| state.room.is_tight());
    tight.then_some(ATTEMPTS)
}

/// Records that a server rejected a request.
pub fn record_rejection<C: Codec>(relay: &Relay<C>, job: &Job) {
    if let Some(service) = find(relay, job) {
        let now = relay.clock.now();
        service.with(|state| state.room.record_rejection(now));
    }
}

/// Returns when the caller of a request that servers rejected may return, if the service is full.
pub fn next_return<C: Codec>(relay: &Relay<C>, job: &Job) -> Option<Duration> {
    let service = find(relay, job)?;
    let now = relay.clock.now();
    service.with(|state| {
        let tight = state.room.is_tight();
        let wait = state.room.wait(now);
        tight.then(|| state.room.next_return(key(job), wait, now))
    })
}

/// Records the load that a server reported with its response to a call or stream.
pub fn record_report<C: Codec>(relay: &Relay<C>, backend: &Backend, report: Report) {
    if report.slowness.is_none() {
        return;
    }
    let now = relay.clock.now();
    let service = &backend.server.service;
    let call = backend.estimate(|estimate| {
        let usual = Duration::from_secs_f64(estimate.usual(now).call.clamp(0.0, 60.0));
        let slots = f64::from(estimate.slots().max(1));
        let ahead = (f64::from(report.requests()) + 1.0 - slots).max(0.0);
        usual.mul_f64(estimate.slowness(now) * ahead.min(1e4) / slots)
    });
    // The wait of streams follows from their numbers, which entries share.
    for (name, wait) in [
        (name(service, false), Some(call)),
        (name(service, true), None),
    ] {
        let known = {
            let services = relay.admission.read();
            let services = services.unwrap_or_else(PoisonError::into_inner);
            services.get(&name).cloned()
        };
        let known = known.unwrap_or_else(|| {
            let services = relay.admission.write();
            let mut services = services.unwrap_or_else(PoisonError::into_inner);
            Arc::clone(services.entry(name).or_default())
        });
        if let Some(wait) = wait {
            known.with(|state| state.room.record_wait(wait, now));
        }
    }
}

/// Returns what is asked for at this entry, of services whose capacity is nearly used up.
pub fn demand<C: Codec>(relay: &Relay<C>) -> AccountDemand {
    let services: Vec<(Arc<str>, Arc<Service>)> = {
        let services = relay.admission.read();
        let services = services.unwrap_or_else(PoisonError::into_inner);
        let services = services.iter();
        services
            .map(|(name, service)| (Arc::clone(name), Arc::clone(service)))
            .collect()
    };
    let now = relay.clock.now();
    let demand = services.into_iter().map(|(name, service)| {
        let demand = service.with(|state| {
            let State { room, others, .. } = state;
            room.demand(others, now)
        });
        (name, demand)
    });
    demands::limit(demand.filter(|(_, demand)| !demand.is_empty()).collect())
}
