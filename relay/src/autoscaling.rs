//! Sends scaling orders to the provider, for the subjects that this entry holds.
//!
//! [`medlarfall_coordination::autoscaling`] decides. Each hub observes all scaled services, so that the next
//! holder knows the load when it takes over. An order is sent when its number changes, and repeated.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use medlarfall_coordination::autoscaling::{Fleet, Order, Reason};
use rand::Rng;
use tokio::time::{MissedTickBehavior, interval};

use crate::codec::Codec;
use crate::duty::{self, CALL_TIMEOUT, Outcome, Permit, Provider, Subject};
use crate::state::Relay;

/// Time between two decisions. Entries report their demand once a second.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an accepted order is repeated, so that one that took no effect does not last.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Longest pause after an order that the provider did not accept.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// The orders of one subject by this entry.
#[derive(Clone, Copy, Debug)]
struct Sent {
    /// Token of the term in which they were sent.
    token: u64,
    /// Whether the number has changed since the last accepted order.
    changed: bool,
    /// When the next order is due if the number does not change.
    due_at: Duration,
    /// Orders that failed since the last one that was accepted.
    failures: u32,
}

/// An order that is due.
struct Call {
    service: Arc<str>,
    failure_domain: Arc<str>,
    permit: Permit,
    order: Order,
}

/// What the driver knows.
struct Driver<C: Codec, P> {
    relay: Arc<Relay<C>>,
    provider: P,
    fleets: BTreeMap<Arc<str>, Fleet>,
    sent: BTreeMap<Subject, Sent>,
}

/// Sends orders until the task is aborted.
pub async fn run<C: Codec, P: Provider>(relay: Arc<Relay<C>>, provider: P) {
    let mut driver = Driver {
        relay,
        provider,
        fleets: BTreeMap::new(),
        sent: BTreeMap::new(),
    };
    let mut rounds = interval(INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        let calls = driver.decide();
        let (relay, provider) = (&driver.relay, &driver.provider);
        let outcomes = join_all(calls.iter().map(|call| send(relay, provider, call))).await;
        for (call, outcome) in calls.iter().zip(&outcomes) {
            driver.record(call, outcome);
        }
    }
}

/// Sends an order, unless the permit ended while it waited for its turn.
async fn send<C: Codec, P: Provider>(relay: &Relay<C>, provider: &P, call: &Call) -> Outcome {
    let Call {
        service,
        failure_domain,
        permit,
        order,
    } = call;
    let sending = async {
        if !permit.allows(CALL_TIMEOUT) {
            let reason = "the lease may end before the call does".to_owned();
            return Outcome::NotSent { reason };
        }
        let desired = order.desired;
        provider
            .order_servers(permit, service, failure_domain, desired)
            .await
    };
    duty::call(relay, permit, sending).await
}

impl<C: Codec, P: Provider> Driver<C, P> {
    /// Observes all services, and returns the orders that are due.
    fn decide(&mut self) -> Vec<Call> {
        let now = self.relay.clock.now();
        let observed = self.relay.observe_scaled();
        self.fleets
            .retain(|service, _| observed.contains_key(service));
        let mut calls = Vec::new();
        let mut held = BTreeMap::new();
        for (service, (limits, observation)) in &observed {
            let fleet = self.fleets.entry(Arc::clone(service));
            let fleet = fleet.or_insert_with(|| Fleet::new(*limits));
            fleet.set_limits(*limits);
            fleet.observe(observation, now);
            for failure_domain in observation.domains.keys() {
                let subject = Subject::Scaling {
                    service: Arc::clone(service),
                    failure_domain: Arc::clone(failure_domain),
                };
                let Some(permit) = self.relay.permit(&subject) else {
                    fleet.release(failure_domain);
                    continue;
                };
                let order = fleet.order(failure_domain, now);
                let known = self.sent.remove(&subject);
                let known = known.filter(|sent| sent.token == permit.token);
                let Some(order) = order else {
                    held.extend(known.map(|sent| (subject, sent)));
                    continue;
                };
                // The first number of a term is that of the registered servers, which needs no order.
                let mut sent = known.unwrap_or(Sent {
                    token: permit.token,
                    changed: false,
                    due_at: now + REPEAT_INTERVAL,
                    failures: 0,
                });
                sent.changed |= order.reason != Reason::Unchanged;
                let due = (sent.changed && sent.failures == 0) || now >= sent.due_at;
                if due && permit.allows(CALL_TIMEOUT) {
                    let ends_at = self.relay.boot_clock.now() + CALL_TIMEOUT;
                    self.relay
                        .duties(|duties| duties.begin_call(&subject, ends_at));
                    calls.push(Call {
                        service: Arc::clone(service),
                        failure_domain: Arc::clone(failure_domain),
                        permit,
                        order,
                    });
                }
                held.insert(subject, sent);
            }
        }
        for subject in self
            .sent
            .keys()
            .filter(|subject| !held.contains_key(subject))
        {
            if let Subject::Scaling {
                service,
                failure_domain,
            } = subject
            {
                let metrics = &self.relay.metrics.duties;
                metrics.set_desired(service, failure_domain, None);
            }
        }
        self.sent = held;
        calls
    }

    /// Records and logs the outcome of an order.
    fn record(&mut self, call: &Call, outcome: &Outcome) {
        let Call {
            service,
            failure_domain,
            order,
            ..
        } = call;
        let now = self.relay.clock.now();
        let subject = &call.permit.subject;
        if let Some(sent) = self.sent.get_mut(subject) {
            let pause = match outcome {
                Outcome::Accepted => {
                    sent.failures = 0;
                    sent.changed = false;
                    REPEAT_INTERVAL
                }
                outcome => {
                    sent.failures = sent.failures.saturating_add(1);
                    pause(sent.failures, outcome)
                }
            };
            sent.due_at = now + pause;
        }
        if *outcome == Outcome::Accepted {
            let metrics = &self.relay.metrics.duties;
            metrics.set_desired(service, failure_domain, Some(order.desired));
        }
        let reason = outcome.reason();
        log::info!(
            service = &**service, failure_domain = &**failure_domain, token = call.permit.token,
            desired = order.desired, change = order.reason.name(), held_by = order.held_by,
            binding = order.binding, need = order.need, work = order.work, growth = order.growth,
            requests_per_s = order.level.requests, prompt_tokens_per_s = order.level.prompt_tokens,
            running = order.level.running, waiting = order.level.waiting,
            prefill_ns = order.prefill_ns, ready = order.servers.ready,
            starting = order.servers.starting, suspect = order.servers.suspect,
            draining = order.servers.draining, failure_domains = order.domains,
            outcome = outcome.name(), reason = reason.as_str();
            "servers ordered"
        );
    }
}

/// Returns the pause after a number of failed orders, with jitter.
fn pause(failures: u32, outcome: &Outcome) -> Duration {
    let doubled = INTERVAL * 2_u32.pow(failures.saturating_sub(1).min(3));
    let pause = doubled
        .min(MAX_PAUSE)
        .mul_f64(rand::rng().random_range(0.5..=1.0));
    match outcome {
        Outcome::Refused {
            retry_after: Some(asked),
            ..
        } => pause.max((*asked).min(MAX_PAUSE)),
        _ => pause,
    }
}
