//! Scenario `at-most-once`: callers retry non-idempotent calls through several entries while the
//! service, the store and the entries fail. Counts calls that ran twice and calls whose reported
//! status was wrong, with idempotency keys and without.

use std::collections::BTreeSet;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use hyper::Method;
use medlarfall_serving::configs::Settings;
use medlarfall_standin::{platform, service};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use uuid::Uuid;

use super::Report;
use crate::caller::{Caller, Reply};
use crate::cluster::{Cluster, Plan, TRACKER, wait_until};

/// Actions under faults in each phase.
const ACTIONS: usize = 600;

/// Actions in the fault-free phase, in which calls to the store are counted.
const FAULT_FREE_ACTIONS: usize = 200;

/// Actions in flight.
const CONCURRENCY: usize = 16;

/// Maximum number of attempts at an action.
const MAX_ATTEMPTS: usize = 4;

/// One in this many actions carries no identifier and is attempted once.
const UNIDENTIFIED_EVERY: usize = 4;

/// Pause of a caller before a retry; there is none after a lost connection.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time between two changes of the faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(40);

/// Timeout of the entries' calls to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for entries to finish their cleanup after the faults.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// An action, and the entries through which it is attempted in turn.
#[derive(Clone, Debug)]
struct Action {
    name: String,
    identifier: Option<String>,
    entries: Vec<usize>,
    max_attempts: usize,
}

/// The replies that a caller received for one action.
#[derive(Debug)]
struct Outcome {
    name: String,
    replies: Vec<Reply>,
}

/// Counts of a phase; see [`evaluate`].
#[derive(Debug, Default)]
struct Tally {
    ran_twice: usize,
    not_run_but_ran: usize,
    answers_wrong: usize,
    unknown: usize,
    not_run: usize,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Report, Box<dyn Error>> {
    let (tally, store_calls) = phase(seed, true).await?;
    let (naive, _) = phase(seed, false).await?;
    let share = |count: usize| -> Result<Value, Box<dyn Error>> {
        Ok((f64::from(u32::try_from(count)?) / f64::from(u32::try_from(ACTIONS)?)).into())
    };
    Ok(Report::from([
        ("calls", ACTIONS.into()),
        ("ran_twice", tally.ran_twice.into()),
        ("not_run_but_ran", tally.not_run_but_ran.into()),
        ("answers_wrong", tally.answers_wrong.into()),
        ("unknown_ratio", share(tally.unknown)?),
        ("not_run_ratio", share(tally.not_run)?),
        ("store_calls_per_call", store_calls.into()),
        ("naive_ran_twice", naive.ran_twice.into()),
    ]))
}

/// Runs the actions under faults, with identifiers or without; with identifiers, then measures the
/// calls to the store without faults.
async fn phase(seed: u64, identified: bool) -> Result<(Tally, f64), Box<dyn Error>> {
    let plan = Plan {
        entries: 3,
        engines: 0,
        services: 2,
        adjust_settings,
        ..Plan::default()
    };
    let cluster = Arc::new(Cluster::start(plan).await?);
    let faults = tokio::spawn(inject_faults(Arc::clone(&cluster), seed));
    let outcomes = perform_all(&cluster, actions(seed, ACTIONS, identified)).await;
    faults.abort();
    clear_faults(&cluster);
    let tally = evaluate(&cluster, &outcomes);
    if !identified {
        return Ok((tally, 0.0));
    }
    Ok((tally, count_store_calls(&cluster, seed).await?))
}

/// Shortens the timeout of calls to the store, so that its outages take less of the scenario's
/// time.
fn adjust_settings(_: usize, settings: &mut Settings) {
    settings.platform.call_timeout = STORE_TIMEOUT;
}

/// Returns the actions of a seed. Without identifiers they are retried as well: this is the naive
/// caller that the scenario compares with.
fn actions(seed: u64, count: usize, identified: bool) -> Vec<Action> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..count)
        .map(|index| {
            let unidentified = index % UNIDENTIFIED_EVERY == 0;
            // The last entry dies and stays dead, so an action with a single attempt avoids it.
            let entries = if unidentified { 2 } else { 3 };
            Action {
                name: format!("assign-{count}-{index}"),
                identifier: (identified && !unidentified).then(|| Uuid::now_v7().to_string()),
                entries: (0..MAX_ATTEMPTS)
                    .map(|_| random.random_range(0..entries))
                    .collect(),
                max_attempts: if unidentified { 1 } else { MAX_ATTEMPTS },
            }
        })
        .collect()
}

/// Performs the actions, [`CONCURRENCY`] at a time.
async fn perform_all(cluster: &Arc<Cluster>, actions: Vec<Action>) -> Vec<Outcome> {
    let callers: Vec<Caller> = (0..3).map(|entry| cluster.caller(entry)).collect();
    futures::stream::iter(actions)
        .map(|action| perform(callers.clone(), action))
        .buffer_unordered(CONCURRENCY)
        .collect()
        .await
}

/// Performs an action; retries it through the next listed entry, possibly the same, up to
/// `max_attempts`, until a reply states that it ran.
async fn perform(callers: Vec<Caller>, action: Action) -> Outcome {
    let mut replies = Vec::new();
    for entry in action.entries.iter().take(action.max_attempts) {
        let headers: Vec<(&str, &str)> = action
            .identifier
            .iter()
            .map(|identifier| ("idempotency-key", identifier.as_str()))
            .collect();
        let path = format!("/s/{TRACKER}/plots/7");
        let reply = callers[*entry]
            .call_with_headers(Method::POST, &path, &action.name, &headers)
            .await;
        let Ok(reply) = reply else {
            continue;
        };
        let ran = reply.run == "ran";
        replies.push(reply);
        if ran {
            break;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Outcome {
        name: action.name,
        replies,
    }
}

/// Changes the faults at a fixed interval, and kills one entry.
async fn inject_faults(cluster: Arc<Cluster>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 1);
    let kill_step = random.random_range(2..10);
    for step in 0.. {
        for instance in &cluster.services {
            instance.service.set_faults(service_faults(&mut random));
        }
        cluster.platform.set_faults(platform_faults(&mut random));
        if step == kill_step {
            cluster.entries[2].kill();
        }
        tokio::time::sleep(FAULT_INTERVAL).await;
    }
}

/// Returns random faults of a service.
fn service_faults(random: &mut ChaCha8Rng) -> service::Faults {
    let no_faults = service::Faults::default();
    match random.random_range(0..6) {
        0 => service::Faults {
            drop_answers: 3,
            ..no_faults
        },
        1 => service::Faults {
            cross_answers: 3,
            ..no_faults
        },
        2 => service::Faults {
            refuse: 5,
            ..no_faults
        },
        3 => service::Faults {
            answer_after_ms: 60,
            ..no_faults
        },
        _ => no_faults,
    }
}

/// Returns random faults of the platform.
fn platform_faults(random: &mut ChaCha8Rng) -> platform::Faults {
    let no_faults = platform::Faults::default();
    match random.random_range(0..10) {
        0 => platform::Faults {
            down: true,
            ..no_faults
        },
        1 => platform::Faults {
            hang: true,
            ..no_faults
        },
        2 => platform::Faults {
            drop_answers: 3,
            ..no_faults
        },
        3 => platform::Faults {
            late_writes: 3,
            ..no_faults
        },
        4 => platform::Faults {
            stale_reads: 3,
            ..no_faults
        },
        5 => {
            let slow = [20, 100].choose(random).copied().unwrap_or_default();
            platform::Faults {
                slow_ms: slow,
                ..no_faults
            }
        }
        _ => no_faults,
    }
}

/// Clears all faults.
fn clear_faults(cluster: &Cluster) {
    for instance in &cluster.services {
        instance.service.set_faults(service::Faults::default());
    }
    cluster.platform.set_faults(platform::Faults::default());
}

/// Compares the replies to callers with the runs that the services counted.
fn evaluate(cluster: &Cluster, outcomes: &[Outcome]) -> Tally {
    let mut tally = Tally::default();
    let executed_requests: BTreeSet<String> = cluster
        .services
        .iter()
        .flat_map(|instance| instance.service.executed_requests())
        .collect();
    for outcome in outcomes {
        let run_count = count_runs(cluster, &outcome.name);
        tally.ran_twice += usize::from(run_count > 1);
        for reply in &outcome.replies {
            let contradicted =
                reply.run == "not-run" && executed_requests.contains(&reply.request_id);
            tally.not_run_but_ran += usize::from(contradicted);
            tally.answers_wrong += usize::from(is_wrong(reply, &outcome.name, run_count));
        }
        let last = outcome.replies.last().map_or("unknown", |reply| &reply.run);
        tally.unknown += usize::from(last == "unknown");
        tally.not_run += usize::from(last == "not-run");
    }
    tally
}

/// Returns how often an action ran, over all instances of the service.
fn count_runs(cluster: &Cluster, name: &str) -> u64 {
    cluster
        .services
        .iter()
        .filter_map(|instance| instance.service.run_counts().get(name).copied())
        .sum()
}

/// Returns whether a reply that states that its action ran is wrong: the action did not run, the
/// status is not 200, or the body names another action.
fn is_wrong(reply: &Reply, name: &str, run_count: u64) -> bool {
    if reply.run != "ran" {
        return false;
    }
    let answer: Value = serde_json::from_str(&reply.body).unwrap_or_default();
    run_count == 0 || reply.status != 200 || answer["action"] != name
}

/// Returns the average number of calls to the store per call with an identifier, without faults.
async fn count_store_calls(cluster: &Arc<Cluster>, seed: u64) -> Result<f64, Box<dyn Error>> {
    let mut actions = actions(seed, FAULT_FREE_ACTIONS, true);
    actions.retain(|action| action.identifier.is_some());
    for action in &mut actions {
        action.entries = vec![0, 1];
    }
    let count = u64::try_from(actions.len())?;
    // The entries first finish the cleanup of the previous phase.
    tokio::time::sleep(SETTLE_TIME).await;
    let before = cluster.platform.stats();
    perform_all(cluster, actions).await;
    wait_until("the answers are stored", || {
        cluster.platform.stats().writes >= before.writes + 2 * count
    })
    .await?;
    let after = cluster.platform.stats();
    let calls = after.reads + after.writes - before.reads - before.writes;
    Ok(f64::from(u32::try_from(calls)?) / f64::from(u32::try_from(count)?))
}
