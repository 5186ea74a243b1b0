//! Telling leaving engines themselves that they get no new work, and those that stay after all that
//! they do.
//!
//! The entry that accepted a stop does so at once. The entries of the server's failure domain look a
//! little later whether it was done, so that it is done even if that entry is lost, and look again
//! now and then until the stop is over.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::backend::{Engine as _, Role, Server};
use crate::context::Context;
use crate::modules::orders::{self, Desired};

/// Pause between two looks at a server that did what it was told.
const LOOK_AGAIN: Duration = Duration::from_secs(10);

/// What is known of a server.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Revision of the stop.
    revision: u64,
    /// When to look at it.
    next_look: Duration,
}

/// What is to be told to a server.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    revision: u64,
    drain: bool,
    here: bool,
}

/// Keeps the servers told, for ever.
pub(super) async fn run(context: &Context) {
    let mut known: BTreeMap<Arc<str>, Known> = BTreeMap::new();
    let mut declared = context.stops.declared();
    loop {
        declared.mark_unchanged();
        let due = due(context, &mut known);
        let told = due.into_iter().map(async |(server, wanted)| {
            let done = tell(context, &server, wanted.drain).await;
            (server, wanted, done)
        });
        for (server, wanted, done) in futures::future::join_all(told).await {
            let pause = match done {
                true if wanted.drain => Some(LOOK_AGAIN + jitter(LOOK_AGAIN)),
                true => None,
                false => Some(jitter(context.settings.stops.drain_interval)),
            };
            let now = context.clock.now();
            let next_look = pause.map_or(Duration::MAX, |pause| now + pause);
            let revision = wanted.revision;
            known.insert(
                Arc::clone(&server.name),
                Known {
                    revision,
                    next_look,
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

/// Returns the servers that are to be looked at now.
fn due(context: &Context, known: &mut BTreeMap<Arc<str>, Known>) -> Vec<(Arc<Server>, Wanted)> {
    let now = context.clock.now();
    let directory = Arc::clone(&context.directory.borrow());
    known.retain(|name, _| directory.find(name).is_some());
    let mut due = Vec::new();
    for server in directory.iter() {
        let Some(wanted) = wanted(context, server) else {
            continue;
        };
        let seen = known.get(&server.name).copied();
        let seen = seen.filter(|seen| seen.revision == wanted.revision);
        let next_look =
            seen.map_or_else(|| first_look(context, wanted, now), |seen| seen.next_look);
        if now >= next_look {
            due.push((Arc::clone(server), wanted));
            continue;
        }
        let revision = wanted.revision;
        known.insert(
            Arc::clone(&server.name),
            Known {
                revision,
                next_look,
            },
        );
    }
    due
}

/// Returns when a server of a stop that is new here is looked at.
fn first_look(context: &Context, wanted: Wanted, now: Duration) -> Duration {
    if wanted.here {
        return now;
    }
    now + jitter(context.settings.stops.drain_interval)
}

/// Returns what is to be told to a server, if it is for this entry to tell it.
fn wanted(context: &Context, server: &Server) -> Option<Wanted> {
    if server.role != Role::Engine {
        return None;
    }
    let declared = Arc::clone(&context.stops.declared.borrow());
    let planned = declared.of_server(server);
    let drain = planned.is_some();
    let planned = planned.or_else(|| declared.cancelled(server))?;
    let near = server.failure_domain == context.settings.entry.failure_domain;
    (near || planned.here).then_some(Wanted {
        revision: planned.stop.revision,
        drain,
        here: planned.here,
    })
}

/// Tells a server whether to drain unless it does; returns whether it then does.
async fn tell(context: &Context, server: &Server, drain: bool) -> bool {
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
    let given = orders::execute(
        &context.orders(),
        server,
        &desired,
        enforced,
        Duration::ZERO,
    )
    .await;
    if let Err(error) = &given {
        log::warn!(error:% = error; "a server could not be told whether to drain");
    }
    given.is_ok()
}

/// Returns a random part of a duration.
fn jitter(duration: Duration) -> Duration {
    duration.mul_f64(rand::random::<f64>())
}
