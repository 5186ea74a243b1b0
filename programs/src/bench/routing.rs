//! Scenario `routing`: whether nine entries keep engines within their memory and route requests to
//! engines with their prefix in the cache.
//!
//! The same requests are sent in three ways: through the entries, of which one dies and one joins
//! meanwhile; directly to engines chosen at random; and directly to the engine with the least
//! reported load.

use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::StreamExt;
use hdrhistogram::Histogram;
use medlarfall_serving::backend::http::Client;
use medlarfall_serving::backend::{Engine as _, Frames as _, Generate, Server};
use medlarfall_standin::{engine, oracle};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Mutex;

use super::stopwatch::{Sample, Stopwatch};
use super::{Report, backend_server, milliseconds, ratio};
use crate::caller::{Caller, Completion};
use crate::cluster::{BRIEFS, CALLER_KEY, Cluster, Plan};

/// Requests sent in each of the three ways.
const REQUESTS: usize = 3_000;

/// Requests in flight.
const CALLERS: usize = 240;

/// Number of distinct prefixes that prompts share.
const PREFIXES: usize = 48;

/// Length of a prefix, in words.
const PREFIX_WORDS: usize = 64;

/// Length of the tail of a long prompt, in words.
const LONG_WORDS: usize = 1_500;

/// One prompt in this many is long.
const LONG_EVERY: usize = 30;

/// Maximum number of tokens of each answer.
const MAX_TOKENS: u64 = 64;

/// Memory of each engine, in tokens.
const MEMORY_TOKENS: u64 = 14_000;

/// How the engine of a direct request is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// An engine chosen at random.
    Random,
    /// The engine that reports the fewest held tokens.
    LeastReported,
}

/// Measurements of one way; `ttft` is in microseconds.
struct Measurements {
    ttft: Histogram<u64>,
    wrong: u64,
    overruns: u64,
    hit_ratio: f64,
    held_peak: u64,
    cross_domain_ratio: f64,
    store_calls_per_request: f64,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Report, Box<dyn Error>> {
    let prompts = prompts(seed);
    let routed = run_through_entries(&prompts).await?;
    let random = run_direct(&prompts, Policy::Random, seed).await?;
    let least = run_direct(&prompts, Policy::LeastReported, seed).await?;
    Ok(Report::from([
        ("backend_overruns", routed.overruns.into()),
        ("random_backend_overruns", random.overruns.into()),
        ("least_reported_backend_overruns", least.overruns.into()),
        ("answers_wrong", routed.wrong.into()),
        ("random_answers_wrong", random.wrong.into()),
        ("least_reported_answers_wrong", least.wrong.into()),
        ("prefix_hit_ratio", routed.hit_ratio.into()),
        ("random_prefix_hit_ratio", random.hit_ratio.into()),
        ("least_reported_prefix_hit_ratio", least.hit_ratio.into()),
        (
            "store_calls_per_request",
            routed.store_calls_per_request.into(),
        ),
        (
            "ttft_p50_ms",
            milliseconds(routed.ttft.value_at_quantile(0.5)),
        ),
        (
            "random_ttft_p50_ms",
            milliseconds(random.ttft.value_at_quantile(0.5)),
        ),
        (
            "ttft_p95_ms",
            milliseconds(routed.ttft.value_at_quantile(0.95)),
        ),
        (
            "random_ttft_p95_ms",
            milliseconds(random.ttft.value_at_quantile(0.95)),
        ),
        (
            "least_reported_ttft_p95_ms",
            milliseconds(least.ttft.value_at_quantile(0.95)),
        ),
        ("cross_domain_ratio", routed.cross_domain_ratio.into()),
        (
            "memory_use_ratio",
            ratio(routed.held_peak, MEMORY_TOKENS).into(),
        ),
    ]))
}

/// Returns the plan of a cluster with `entries` entries.
fn plan(entries: usize) -> Plan {
    Plan {
        failure_domains: 3,
        entries,
        engines: 6,
        engine: engine::Config {
            memory_tokens: MEMORY_TOKENS,
            cache_tokens: 1_600,
            prefill_per_token: Duration::from_micros(200),
            ..engine::Config::default()
        },
        ..Plan::default()
    }
}

/// Returns the prompts of a seed: each has a shared prefix and a unique tail.
fn prompts(seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..REQUESTS)
        .map(|index| {
            let prefix = random.random_range(0..PREFIXES);
            let tail = if index % LONG_EVERY == 0 {
                LONG_WORDS
            } else {
                4
            };
            let shared = (0..PREFIX_WORDS).map(|word| format!("p{prefix}w{word}"));
            let own = (0..tail).map(|word| format!("r{index}w{word}"));
            shared.chain(own).collect::<Vec<String>>().join(" ")
        })
        .collect()
}

/// Sends the prompts through the entries while one dies and another joins.
async fn run_through_entries(prompts: &[String]) -> Result<Measurements, Box<dyn Error>> {
    let cluster = Arc::new(Mutex::new(Cluster::start(plan(9)).await?));
    let callers = Arc::new(Mutex::new(callers(&*cluster.lock().await)));
    let done = Arc::new(AtomicUsize::new(0));
    let replacement = tokio::spawn(replace_entry(
        Arc::clone(&cluster),
        Arc::clone(&callers),
        Arc::clone(&done),
    ));
    let samples: Vec<Option<Sample>> = futures::stream::iter(prompts.iter().enumerate())
        .map(|(index, prompt)| {
            let (callers, done) = (Arc::clone(&callers), Arc::clone(&done));
            async move {
                let sample = send_with_retries(&callers, index, prompt).await;
                done.fetch_add(1, Ordering::SeqCst);
                sample
            }
        })
        .buffer_unordered(CALLERS)
        .collect()
        .await;
    replacement.await??;
    summarize(&*cluster.lock().await, samples)
}

/// Returns a caller of each entry.
fn callers(cluster: &Cluster) -> Vec<Caller> {
    let entries = cluster.entries.iter();
    entries
        .map(|entry| Caller::new(entry.addresses.callers, CALLER_KEY))
        .collect()
}

/// Kills an entry when a third of the requests are done, and adds one when two thirds are.
async fn replace_entry(
    cluster: Arc<Mutex<Cluster>>,
    callers: Arc<Mutex<Vec<Caller>>>,
    done: Arc<AtomicUsize>,
) -> Result<(), crate::cluster::Error> {
    wait_for_requests(&done, REQUESTS / 3).await;
    cluster.lock().await.entries[8].kill();
    callers.lock().await.truncate(8);
    wait_for_requests(&done, 2 * REQUESTS / 3).await;
    let mut cluster = cluster.lock().await;
    cluster.add_entry().await?;
    let added = &cluster.entries[9];
    let knows_services = || {
        added.context.declarations.borrow().loaded
            && added.context.directory.borrow().iter().count() > 0
    };
    crate::cluster::wait_until("the new entry knows the services", knows_services).await?;
    callers.lock().await.push(cluster.caller(9));
    Ok(())
}

/// Waits until `count` requests are done.
async fn wait_for_requests(done: &AtomicUsize, count: usize) {
    while done.load(Ordering::SeqCst) < count {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Sends a prompt through an entry; retries through other entries on failure.
async fn send_with_retries(
    callers: &Mutex<Vec<Caller>>,
    index: usize,
    prompt: &str,
) -> Option<Sample> {
    for attempt in 0..3 {
        let caller = {
            let callers = callers.lock().await;
            callers[(index + attempt) % callers.len()].clone()
        };
        if let Some(sample) = send_once(&caller, prompt).await {
            return Some(sample);
        }
    }
    None
}

/// Sends a prompt through one entry.
async fn send_once(caller: &Caller, prompt: &str) -> Option<Sample> {
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: MAX_TOKENS,
        stream: true,
    };
    let mut clock = Stopwatch::start();
    let mut stream = caller.stream(&completion).await.ok()?;
    let (mut text, mut complete) = (String::new(), false);
    while let Some(chunk) = stream.next().await.ok()? {
        clock.record_token();
        for choice in chunk.choices {
            text.push_str(&choice.text);
            complete |= choice.finish_reason.is_some();
        }
    }
    complete.then(|| clock.finish(text != oracle::answer("v1", prompt, MAX_TOKENS)))
}

/// Sends the prompts directly to engines chosen by `policy`.
async fn run_direct(
    prompts: &[String],
    policy: Policy,
    seed: u64,
) -> Result<Measurements, Box<dyn Error>> {
    let cluster = Cluster::start(plan(1)).await?;
    let servers: Vec<Server> = cluster
        .engines
        .iter()
        .filter_map(|engine| backend_server(&engine.instance))
        .collect();
    let client = Client::new();
    let samples: Vec<Option<Sample>> = futures::stream::iter(prompts.iter().enumerate())
        .map(|(index, prompt)| send_direct(&client, &servers, policy, seed, index, prompt))
        .buffer_unordered(CALLERS)
        .collect()
        .await;
    summarize(&cluster, samples)
}

/// Sends a prompt directly to an engine.
async fn send_direct(
    client: &Client,
    servers: &[Server],
    policy: Policy,
    seed: u64,
    index: usize,
    prompt: &str,
) -> Option<Sample> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ index as u64);
    let mut pick = random.random_range(0..servers.len());
    if policy == Policy::LeastReported {
        let reports =
            futures::future::join_all(servers.iter().map(|server| client.load(server))).await;
        let held_tokens_by_server = reports
            .iter()
            .map(|load| load.as_ref().map_or(u64::MAX, |load| load.held_tokens));
        pick = held_tokens_by_server
            .enumerate()
            .min_by_key(|(_, tokens)| *tokens)
            .map_or(pick, |(index, _)| index);
    }
    let generate = Generate {
        request_id: Arc::from(format!("direct-{index}")),
        attempt: 1,
        version: Arc::from("v1"),
        prompt: Arc::from(prompt),
        resume: Vec::new(),
        max_tokens: MAX_TOKENS,
        priority: 0,
    };
    let mut clock = Stopwatch::start();
    let mut frames = client.generate(&servers[pick], &generate).await.ok()?;
    let mut text = String::new();
    while let Some(frame) = frames.next().await.ok()? {
        clock.record_token();
        text.push_str(frame.token.as_deref().unwrap_or_default());
    }
    Some(clock.finish(text != oracle::answer("v1", prompt, MAX_TOKENS)))
}

/// Returns the measurements of one way, from its samples and the cluster's counters.
fn summarize(
    cluster: &Cluster,
    samples: Vec<Option<Sample>>,
) -> Result<Measurements, Box<dyn Error>> {
    let stats: Vec<engine::Stats> = cluster
        .engines
        .iter()
        .map(|engine| engine.engine.stats())
        .collect();
    let mut ttft = Histogram::new(3)?;
    let mut wrong = 0;
    for sample in samples {
        match sample {
            Some(sample) if !sample.wrong => ttft.record(sample.ttft_us)?,
            _ => wrong += 1,
        }
    }
    let total = |value: fn(&engine::Stats) -> u64| stats.iter().map(value).sum::<u64>();
    let (near, far) = cluster.entries.iter().fold((0, 0), |(near, far), entry| {
        let admitted = &entry.context.metrics.admitted;
        (
            near + admitted.own_failure_domain(),
            far + admitted.other_failure_domains(),
        )
    });
    let calls = cluster.platform.stats();
    Ok(Measurements {
        ttft,
        wrong,
        overruns: total(|stats| stats.overruns),
        hit_ratio: ratio(
            total(|stats| stats.cached_tokens),
            total(|stats| stats.prompt_tokens),
        ),
        held_peak: stats.iter().map(|stats| stats.held_peak).max().unwrap_or(0),
        cross_domain_ratio: ratio(far, near + far),
        store_calls_per_request: ratio(calls.reads + calls.writes, REQUESTS as u64),
    })
}
