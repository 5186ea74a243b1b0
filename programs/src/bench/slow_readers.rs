//! Scenario `slow-readers`: what an entry holds for callers that read slowly or not at all, against
//! holding whatever the engines give.

use std::error::Error;
use std::fs;
use std::time::Duration;

use hdrhistogram::Histogram;
use medlarfall_standin::{engine, oracle};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use super::{Figures, milliseconds};
use crate::caller::{Caller, Chunk, Completion, Stream};
use crate::cluster::{BRIEFS, CALLER_KEY, Cluster, Plan, wait};

/// Readers that stop after their first token.
const STOPPED: usize = 350;

/// Readers that read slowly.
const SLOW: usize = 150;

/// Answers that fast readers ask for, alone and beside the others.
const FAST: usize = 100;

/// Fast readers at a time.
const FAST_CALLERS: usize = 10;

/// Most tokens of an answer for stopped readers, slow ones and fast ones.
const MAX_TOKENS: [u64; 3] = [6_000, 1_600, 60];

/// Tokens that a slow reader reads before it pauses.
const SLOW_BURST: usize = 250;

/// How long a slow reader pauses.
const SLOW_PAUSE: Duration = Duration::from_millis(2_500);

/// Bytes that the system holds for a reader of ours that does not read.
const RECEIVE_BUFFER: usize = 4 << 10;

/// Bytes that an entry holds for one reader before back-pressure.
const READER_BYTES: usize = 16 << 10;

/// Bytes that an entry holds for all its readers: too few for all of them.
const ENTRY_BYTES: usize = 1 << 20;

/// Bytes above anything that the answers of this scenario amount to.
const UNBOUNDED: usize = 16 << 30;

/// What one run measured.
struct Measured {
    held_peak: usize,
    wrong: usize,
    given_up: u64,
    parked: u64,
    engines_freed: bool,
    entries_freed: bool,
    alone: Histogram<u64>,
    beside: Histogram<u64>,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Figures, Box<dyn Error>> {
    let bounded = measure(seed, bounds, true).await?;
    let resident = resident_peak()?;
    let naive = measure(seed, no_bounds, false).await?;
    let entries = Plan::default().entries;
    let ratio = |quantile| ratio(&bounded.beside, &bounded.alone, quantile);
    Ok(Figures::from([
        ("readers", (STOPPED + SLOW).into()),
        ("readers_stopped", STOPPED.into()),
        ("held_peak_bytes", bounded.held_peak.into()),
        ("held_bound_bytes", (entries * ENTRY_BYTES).into()),
        ("rss_peak_bytes", resident.into()),
        ("naive_held_peak_bytes", naive.held_peak.into()),
        ("answers_wrong", bounded.wrong.into()),
        ("held_given_up", bounded.given_up.into()),
        ("generations_parked", bounded.parked.into()),
        ("engines_freed", bounded.engines_freed.into()),
        ("entries_freed", bounded.entries_freed.into()),
        ("fast_reader_ttft_ratio", ratio(0.95).into()),
        ("fast_reader_ttft_p50_ratio", ratio(0.5).into()),
        (
            "fast_reader_ttft_p95_ms",
            milliseconds(bounded.beside.value_at_quantile(0.95)),
        ),
    ]))
}

/// Sets the bounds of an entry.
fn bounds(_: usize, settings: &mut medlarfall_serving::configs::Settings) {
    settings.generation.buffered_bytes = READER_BYTES;
    settings.generation.held_limit = ENTRY_BYTES;
    settings.callers.write_stall_timeout = Duration::from_secs(30);
}

/// Lets an entry hold whatever the engines give.
fn no_bounds(_: usize, settings: &mut medlarfall_serving::configs::Settings) {
    settings.generation.buffered_bytes = UNBOUNDED;
    settings.generation.held_limit = UNBOUNDED;
}

/// Runs all readers; waits until the stopped ones have been let go of if `until_freed`.
async fn measure(
    seed: u64,
    adjust: fn(usize, &mut medlarfall_serving::configs::Settings),
    until_freed: bool,
) -> Result<Measured, Box<dyn Error>> {
    let plan = Plan {
        engines: 4,
        engine: engine::Config {
            batch_limit: 400,
            memory_tokens: 4_000_000,
            ..engine::Config::default()
        },
        adjust,
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await?;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let alone = fast(&cluster, &mut random).await?;
    let mut stopped = Vec::new();
    for index in 0..STOPPED {
        stopped.push(stop(reader(&cluster, index), random.random()).await?);
    }
    let mut slow = JoinSet::new();
    for index in 0..SLOW {
        slow.spawn(read_slowly(reader(&cluster, index), random.random()));
    }
    let beside = fast(&cluster, &mut random).await?;
    let slow = slow.join_all().await;
    let engines_freed = until_freed && engines_freed(&cluster).await;
    let entries_freed = until_freed && entries_freed(&cluster).await;
    drop(stopped);
    let held = cluster.entries.iter().map(|entry| &entry.context);
    let metrics = held.clone().map(|context| &context.metrics);
    Ok(Measured {
        held_peak: held
            .map(|context| context.buffer_limiter.peak_bytes())
            .sum(),
        wrong: slow.into_iter().filter(|right| !right).count() + alone.wrong + beside.wrong,
        given_up: metrics
            .clone()
            .map(|metrics| metrics.held_given_up.get())
            .sum(),
        parked: metrics
            .map(|metrics| metrics.generations_parked.get())
            .sum(),
        engines_freed,
        entries_freed,
        alone: alone.first,
        beside: beside.first,
    })
}

/// Returns a caller that holds little of what it has not read.
fn reader(cluster: &Cluster, index: usize) -> Caller {
    let entry = &cluster.entries[index % cluster.entries.len()];
    Caller::with_receive_buffer(entry.addresses.callers, CALLER_KEY, Some(RECEIVE_BUFFER))
}

/// Returns a request for a generation.
fn completion(prompt: &str, max_tokens: u64) -> Completion {
    Completion {
        model: BRIEFS.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        stream: true,
    }
}

/// Asks for an answer, reads its first token and stops reading.
async fn stop(caller: Caller, draw: u64) -> Result<Stream, Box<dyn Error>> {
    let completion = completion(&format!("stopped {draw:x}"), MAX_TOKENS[0]);
    let mut stream = caller.stream(&completion).await?;
    stream.next().await?;
    Ok(stream)
}

/// Reads an answer in bursts; returns whether it is the oracle's.
async fn read_slowly(caller: Caller, draw: u64) -> bool {
    let prompt = format!("slow {draw:x}");
    let Ok(mut stream) = caller.stream(&completion(&prompt, MAX_TOKENS[1])).await else {
        return false;
    };
    let mut text = String::new();
    for count in 1.. {
        match stream.next().await {
            Ok(Some(chunk)) => text.push_str(&words(&chunk)),
            Ok(None) => break,
            Err(_) => return false,
        }
        if count % SLOW_BURST == 0 {
            time::sleep(SLOW_PAUSE).await;
        }
    }
    text == oracle::answer("v1", &prompt, MAX_TOKENS[1])
}

/// What fast readers measured.
struct Fast {
    first: Histogram<u64>,
    wrong: usize,
}

/// Has fast readers ask for answers; returns their times to the first token, in microseconds.
async fn fast(cluster: &Cluster, random: &mut ChaCha8Rng) -> Result<Fast, Box<dyn Error>> {
    use futures::StreamExt;
    let asked = (0..FAST).map(|index| {
        let caller = cluster.caller(index % cluster.entries.len());
        read_fast(caller, random.random())
    });
    let asked: Vec<_> = asked.collect();
    let read: Vec<Option<Duration>> = futures::stream::iter(asked)
        .buffer_unordered(FAST_CALLERS)
        .collect()
        .await;
    let mut fast = Fast {
        first: Histogram::new(3)?,
        wrong: 0,
    };
    for first in read {
        match first {
            Some(first) => fast.first.record(u64::try_from(first.as_micros())?)?,
            None => fast.wrong += 1,
        }
    }
    Ok(fast)
}

/// Reads an answer as it comes; returns the time to the first token if it is the oracle's.
async fn read_fast(caller: Caller, draw: u64) -> Option<Duration> {
    let prompt = format!("fast {draw:x}");
    let started = Instant::now();
    let mut stream = caller
        .stream(&completion(&prompt, MAX_TOKENS[2]))
        .await
        .ok()?;
    let chunk = stream.next().await.ok()??;
    let first = started.elapsed();
    let (rest, _) = stream.text().await.ok()?;
    let text = words(&chunk) + &rest;
    (text == oracle::answer("v1", &prompt, MAX_TOKENS[2])).then_some(first)
}

/// Returns the text of a chunk.
fn words(chunk: &Chunk) -> String {
    chunk
        .choices
        .iter()
        .map(|choice| choice.text.as_str())
        .collect()
}

/// Returns whether the engines come to hold no generation while the stopped readers stay.
async fn engines_freed(cluster: &Cluster) -> bool {
    let free = || {
        let mut engines = cluster.engines.iter();
        engines.all(|held| held.engine.stats().live == 0)
    };
    wait("the engines are free", free).await.is_ok()
}

/// Returns whether the entries come to hold nothing, once stopped readers are cut off.
async fn entries_freed(cluster: &Cluster) -> bool {
    let free = || {
        let mut entries = cluster.entries.iter();
        entries.all(|entry| entry.context.buffer_limiter.buffered_bytes() == 0)
    };
    wait("the entries hold nothing", free).await.is_ok()
}

/// Returns how a quantile compares with another's.
fn ratio(above: &Histogram<u64>, below: &Histogram<u64>, quantile: f64) -> f64 {
    let value = |histogram: &Histogram<u64>| {
        let value = histogram.value_at_quantile(quantile).max(1);
        u32::try_from(value).map_or(f64::MAX, f64::from)
    };
    (value(above) / value(below) * 1_000.0).round() / 1_000.0
}

/// Returns the most memory that this process ever held, in bytes.
fn resident_peak() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next());
    Ok(kibibytes.ok_or("no VmHWM")?.parse::<u64>()? * 1_024)
}
