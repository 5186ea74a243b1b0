//! Where a request goes.

use std::sync::Arc;

use rand::seq::IndexedRandom;

use crate::backend::Server;
use crate::context::Context;
use crate::modules::stops;

/// Returns a backend server of `service` and `version` that is not leaving and not in `tried`,
/// from the entry's own failure domain if there is one.
#[must_use]
pub fn pick(
    context: &Context,
    service: &str,
    version: &str,
    tried: &[Arc<str>],
) -> Option<Arc<Server>> {
    let directory = Arc::clone(&context.directory.borrow());
    let candidates: Vec<&Arc<Server>> = directory
        .servers(service)
        .iter()
        .filter(|server| server.version.as_ref() == version && !server.leaving)
        .filter(|server| !tried.contains(&server.name))
        .filter(|server| stops::accepts(context, server))
        .collect();
    let own = &context.settings.entry.failure_domain;
    let near: Vec<&Arc<Server>> = candidates
        .iter()
        .copied()
        .filter(|server| server.failure_domain == *own)
        .collect();
    let pool = if near.is_empty() { candidates } else { near };
    pool.choose(&mut rand::rng())
        .map(|server| Arc::clone(server))
}
