//! Orders to engines: to drain if a stop is planned for them, and to take work again if it was
//! cancelled.
//!
//! The entry that accepted a stop gives the order immediately. The entries of the engine's failure
//! domain check the engine after a random delay and give the order if it is missing, so that it is
//! given even if the first entry has crashed. They repeat this check until the stop has ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::backend::{Engine as _, Role, Server};
use crate::context::Context;
use crate::modules::orders::{self, Desired};

/// Shortest pause between two checks of an engine that obeyed the order.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// When a server is checked next for a revision of its stop.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    /// Revision of the stop.
    revision: u64,
    /// Time of the next check, by the entry's clock.
    next_check: Duration,
}

/// The order that a server is to be given.
#[derive(Clone, Copy, Debug)]
struct DrainOrder {
    /// Revision of the stop.
    revision: u64,
    drain: bool,
    /// Whether an operator planned the stop at this entry.
    accepted_here: bool,
}

/// Checks the servers that are due and gives them their orders; never returns.
pub(super) async fn run(context: &Context) {
    let mut schedules: BTreeMap<Arc<str>, Schedule> = BTreeMap::new();
    let mut declared = context.stops.declared();
    loop {
        declared.mark_unchanged();
        let due = due(context, &mut schedules);
        let orders = due.into_iter().map(async |(server, order)| {
            let done = ensure_drain(context, &server, order.drain).await;
            (server, order, done)
        });
        for (server, order, done) in futures::future::join_all(orders).await {
            let pause = match done {
                true if order.drain => Some(MIN_CHECK_INTERVAL + jitter(MIN_CHECK_INTERVAL)),
                true => None,
                false => Some(jitter(context.settings.stops.drain_interval)),
            };
            let now = context.clock.now();
            let next_check = pause.map_or(Duration::MAX, |pause| now + pause);
            let revision = order.revision;
            schedules.insert(
                Arc::clone(&server.name),
                Schedule {
                    revision,
                    next_check,
                },
            );
        }
        let pause = tokio::time::sleep(context.settings.stops.drain_interval);
        tokio::select! {
            () = pause => {}
            _ = declared.changed() => {}
        }
    }
}

/// Returns the servers to check now, each with its order, and updates the schedules of the others.
fn due(
    context: &Context,
    schedules: &mut BTreeMap<Arc<str>, Schedule>,
) -> Vec<(Arc<Server>, DrainOrder)> {
    let now = context.clock.now();
    let directory = Arc::clone(&context.directory.borrow());
    schedules.retain(|name, _| directory.find(name).is_some());
    let mut due = Vec::new();
    for server in directory.iter() {
        let Some(order) = order_for(context, server) else {
            continue;
        };
        let schedule = schedules.get(&server.name).copied();
        let schedule = schedule.filter(|schedule| schedule.revision == order.revision);
        let next_check = schedule.map_or_else(
            || first_check(context, order, now),
            |schedule| schedule.next_check,
        );
        if now >= next_check {
            due.push((Arc::clone(server), order));
            continue;
        }
        let revision = order.revision;
        schedules.insert(
            Arc::clone(&server.name),
            Schedule {
                revision,
                next_check,
            },
        );
    }
    due
}

/// Returns the time of the first check for a new revision of a stop.
fn first_check(context: &Context, order: DrainOrder, now: Duration) -> Duration {
    if order.accepted_here {
        return now;
    }
    now + jitter(context.settings.stops.drain_interval)
}

/// Returns the order for a server, if this entry is responsible for giving it.
fn order_for(context: &Context, server: &Server) -> Option<DrainOrder> {
    if server.role != Role::Engine {
        return None;
    }
    let declared = Arc::clone(&context.stops.declared.borrow());
    let planned = declared.of_server(server);
    let drain = planned.is_some();
    let planned = planned.or_else(|| declared.cancelled(server))?;
    let same_domain = server.failure_domain == context.settings.entry.failure_domain;
    (same_domain || planned.accepted_here).then_some(DrainOrder {
        revision: planned.stop.revision,
        drain,
        accepted_here: planned.accepted_here,
    })
}

/// Orders a server to drain or to stop draining, unless it is in that state already; returns whether
/// it is then in that state.
async fn ensure_drain(context: &Context, server: &Server, drain: bool) -> bool {
    let timeout = context.settings.orders.policy.order_timeout;
    let read = context.backend.order_state(server);
    let state = tokio::time::timeout(timeout, read).await;
    if matches!(&state, Ok(Ok(state)) if state.draining == drain) {
        return true;
    }
    let desired = Desired {
        drain: Some(drain),
        ..Desired::default()
    };
    let enforced = context.enforces_fencing(server);
    let outcome = orders::execute(
        &context.orders(),
        server,
        &desired,
        enforced,
        Duration::ZERO,
    )
    .await;
    if let Err(error) = &outcome {
        log::warn!(error:% = error; "order to drain or to resume work failed; retrying");
    }
    outcome.is_ok()
}

/// Returns a random duration from zero up to `duration`.
fn jitter(duration: Duration) -> Duration {
    duration.mul_f64(rand::random::<f64>())
}
