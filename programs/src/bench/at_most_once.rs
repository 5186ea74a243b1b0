//! Scenario `at-most-once`: actions that must not run twice, retried through several entries while
//! the service, the store and the entries fail.

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

use super::Figures;
use crate::caller::{Caller, Reply};
use crate::cluster::{Cluster, Plan, TRACKER, wait};

/// Actions while faults come and go, each way.
const ACTIONS: usize = 600;

/// Actions without faults, by which calls to the store are counted.
const QUIET_ACTIONS: usize = 200;

/// Actions at a time.
const CONCURRENCY: usize = 16;

/// Most tries of one action.
const TRIES: usize = 4;

/// One in this many actions carries no identifier and is tried once.
const WITHOUT_IDENTIFIER: usize = 4;

/// Pause of a caller before it tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time between two changes of the faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(40);

/// Timeout of the entries' calls to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time that entries take to clear up after the faults.
const SETTLE: Duration = Duration::from_secs(3);

/// An action of the plan.
#[derive(Clone, Debug)]
struct Action {
    name: String,
    identifier: Option<String>,
    entries: Vec<usize>,
    tries: usize,
}

/// What a caller was told of one action.
#[derive(Debug)]
struct Told {
    name: String,
    replies: Vec<Reply>,
}

/// What a phase came to.
#[derive(Debug, Default)]
struct Tally {
    ran_twice: usize,
    not_run_but_ran: usize,
    answers_wrong: usize,
    unknown: usize,
    not_run: usize,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Figures, Box<dyn Error>> {
    let (tally, store_calls) = phase(seed, true).await?;
    let (naive, _) = phase(seed, false).await?;
    let share = |count: usize| -> Result<Value, Box<dyn Error>> {
        Ok((f64::from(u32::try_from(count)?) / f64::from(u32::try_from(ACTIONS)?)).into())
    };
    Ok(Figures::from([
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

/// Runs the actions under faults, with identifiers or without, then some without faults.
async fn phase(seed: u64, identified: bool) -> Result<(Tally, f64), Box<dyn Error>> {
    let plan = Plan {
        entries: 3,
        engines: 0,
        services: 2,
        adjust,
        ..Plan::default()
    };
    let cluster = Arc::new(Cluster::start(plan).await?);
    let faults = tokio::spawn(disturb(Arc::clone(&cluster), seed));
    let told = act_all(&cluster, actions(seed, ACTIONS, identified)).await;
    faults.abort();
    heal(&cluster);
    let tally = judge(&cluster, &told);
    if !identified {
        return Ok((tally, 0.0));
    }
    Ok((tally, count_store_calls(&cluster, seed).await?))
}

/// Shortens what an outage of the store costs the scenario.
fn adjust(_: usize, settings: &mut Settings) {
    settings.platform.call_timeout = STORE_TIMEOUT;
}

/// Returns the actions of a seed; without identifiers they are retried all the same, as a caller
/// would who does not know better.
fn actions(seed: u64, count: usize, identified: bool) -> Vec<Action> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..count)
        .map(|index| {
            let once = index % WITHOUT_IDENTIFIER == 0;
            // The last entry dies: a caller that tries only once would meet it dead for ever.
            let entries = if once { 2 } else { 3 };
            Action {
                name: format!("assign-{count}-{index}"),
                identifier: (identified && !once).then(|| Uuid::now_v7().to_string()),
                entries: (0..TRIES)
                    .map(|_| random.random_range(0..entries))
                    .collect(),
                tries: if once { 1 } else { TRIES },
            }
        })
        .collect()
}

/// Carries out the actions, a bounded number at a time.
async fn act_all(cluster: &Arc<Cluster>, actions: Vec<Action>) -> Vec<Told> {
    let callers: Vec<Caller> = (0..3).map(|entry| cluster.caller(entry)).collect();
    futures::stream::iter(actions)
        .map(|action| act(callers.clone(), action))
        .buffer_unordered(CONCURRENCY)
        .collect()
        .await
}

/// Carries out an action: again through another entry until it is known to have run.
async fn act(callers: Vec<Caller>, action: Action) -> Told {
    let mut replies = Vec::new();
    for entry in action.entries.iter().take(action.tries) {
        let headers: Vec<(&str, &str)> = action
            .identifier
            .iter()
            .map(|identifier| ("idempotency-key", identifier.as_str()))
            .collect();
        let path = format!("/s/{TRACKER}/plots/7");
        let reply = callers[*entry]
            .call_with(Method::POST, &path, &action.name, &headers)
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
    Told {
        name: action.name,
        replies,
    }
}

/// Changes the faults again and again, and kills an entry once.
async fn disturb(cluster: Arc<Cluster>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 1);
    let death = random.random_range(2..10);
    for step in 0.. {
        for plain in &cluster.services {
            plain.service.set_faults(service_faults(&mut random));
        }
        cluster.platform.set_faults(platform_faults(&mut random));
        if step == death {
            cluster.entries[2].kill();
        }
        tokio::time::sleep(FAULT_INTERVAL).await;
    }
}

/// Draws faults of a service.
fn service_faults(random: &mut ChaCha8Rng) -> service::Faults {
    let none = service::Faults::default();
    match random.random_range(0..6) {
        0 => service::Faults {
            drop_answers: 3,
            ..none
        },
        1 => service::Faults {
            cross_answers: 3,
            ..none
        },
        2 => service::Faults { refuse: 5, ..none },
        3 => service::Faults {
            answer_after_ms: 60,
            ..none
        },
        _ => none,
    }
}

/// Draws faults of the platform.
fn platform_faults(random: &mut ChaCha8Rng) -> platform::Faults {
    let none = platform::Faults::default();
    match random.random_range(0..10) {
        0 => platform::Faults { down: true, ..none },
        1 => platform::Faults { hang: true, ..none },
        2 => platform::Faults {
            drop_answers: 3,
            ..none
        },
        3 => platform::Faults {
            late_writes: 3,
            ..none
        },
        4 => platform::Faults {
            stale_reads: 3,
            ..none
        },
        5 => {
            let slow = [20, 100].choose(random).copied().unwrap_or_default();
            platform::Faults {
                slow_ms: slow,
                ..none
            }
        }
        _ => none,
    }
}

/// Ends all faults.
fn heal(cluster: &Cluster) {
    for plain in &cluster.services {
        plain.service.set_faults(service::Faults::default());
    }
    cluster.platform.set_faults(platform::Faults::default());
}

/// Compares what callers were told with what the services count.
fn judge(cluster: &Cluster, told: &[Told]) -> Tally {
    let mut tally = Tally::default();
    let ran: BTreeSet<String> = cluster
        .services
        .iter()
        .flat_map(|plain| plain.service.executed_requests())
        .collect();
    for told in told {
        let runs = runs(cluster, &told.name);
        tally.ran_twice += usize::from(runs > 1);
        for reply in &told.replies {
            let denied = reply.run == "not-run" && ran.contains(&reply.request_id);
            tally.not_run_but_ran += usize::from(denied);
            tally.answers_wrong += usize::from(wrong(reply, &told.name, runs));
        }
        let last = told.replies.last().map_or("unknown", |reply| &reply.run);
        tally.unknown += usize::from(last == "unknown");
        tally.not_run += usize::from(last == "not-run");
    }
    tally
}

/// Returns how often an action ran, over all services.
fn runs(cluster: &Cluster, name: &str) -> u64 {
    cluster
        .services
        .iter()
        .filter_map(|plain| plain.service.run_counts().get(name).copied())
        .sum()
}

/// Returns whether a reply says that an action ran that did not, or is not its own.
fn wrong(reply: &Reply, name: &str, runs: u64) -> bool {
    if reply.run != "ran" {
        return false;
    }
    let answer: Value = serde_json::from_str(&reply.body).unwrap_or_default();
    runs == 0 || reply.status != 200 || answer["action"] != name
}

/// Returns the calls to the store for each call under an identifier, without faults.
async fn count_store_calls(cluster: &Arc<Cluster>, seed: u64) -> Result<f64, Box<dyn Error>> {
    let mut actions = actions(seed, QUIET_ACTIONS, true);
    actions.retain(|action| action.identifier.is_some());
    for action in &mut actions {
        action.entries = vec![0, 1];
    }
    let count = u64::try_from(actions.len())?;
    // What the phase before has left is cleared up first.
    tokio::time::sleep(SETTLE).await;
    let before = cluster.platform.stats();
    act_all(cluster, actions).await;
    wait("the answers are kept", || {
        cluster.platform.stats().writes >= before.writes + 2 * count
    })
    .await?;
    let after = cluster.platform.stats();
    let calls = after.reads + after.writes - before.reads - before.writes;
    Ok(f64::from(u32::try_from(calls)?) / f64::from(u32::try_from(count)?))
}
