//! Scenario `slow-readers`: bytes that entries buffer for callers that read slowly or not at all,
//! compared with entries that buffer without limit; and the effect of such callers on fast ones.

use std::error::Error;
use std::fs;
use std::time::Duration;

use hdrhistogram::Histogram;
use medlarfall_standin::{engine, oracle};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use super::{Report, milliseconds};
use crate::caller::{Caller, Chunk, Completion, Stream};
use crate::cluster::{BRIEFS, CALLER_KEY, Cluster, Plan, wait_until};

/// Readers that stop reading after their first token.
const STOPPED_READERS: usize = 350;

/// Readers that read in bursts with pauses.
const SLOW_READERS: usize = 150;

/// Answers that fast readers request, without slow readers and again beside them.
const FAST_ANSWERS: usize = 100;

/// Fast readers that read concurrently.
const FAST_CALLERS: usize = 10;

/// Maximum number of tokens of an answer, for stopped, slow and fast readers.
const MAX_TOKENS: [u64; 3] = [6_000, 1_600, 60];

/// Tokens that a slow reader reads before it pauses.
const SLOW_BURST: usize = 250;

/// Pause of a slow reader between bursts.
const SLOW_PAUSE: Duration = Duration::from_millis(2_500);

/// Receive buffer of a reader's connections, in bytes; a small one makes back-pressure reach the
/// entry early.
const RECEIVE_BUFFER: usize = 4 << 10;

/// Bytes that an entry buffers for one reader before it applies back-pressure.
const READER_BYTES: usize = 16 << 10;

/// Bytes that an entry buffers for all its readers; too few for all of them.
const ENTRY_BYTES: usize = 1 << 20;

/// Limit in bytes that exceeds the total size of this scenario's answers.
const UNBOUNDED: usize = 16 << 30;

/// Measurements of one run; times to the first token are in microseconds.
struct Measurements {
    held_peak: usize,
    wrong: usize,
    given_up: u64,
    parked: u64,
    engines_freed: bool,
    entries_freed: bool,
    without_slow: Histogram<u64>,
    beside_slow: Histogram<u64>,
}

/// Runs the scenario.
pub(super) async fn run(seed: u64) -> Result<Report, Box<dyn Error>> {
    let bounded = measure(seed, set_limits, true).await?;
    let resident = resident_peak()?;
    let naive = measure(seed, remove_limits, false).await?;
    let entries = Plan::default().entries;
    let ratio = |quantile| quantile_ratio(&bounded.beside_slow, &bounded.without_slow, quantile);
    Ok(Report::from([
        ("readers", (STOPPED_READERS + SLOW_READERS).into()),
        ("readers_stopped", STOPPED_READERS.into()),
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
            milliseconds(bounded.beside_slow.value_at_quantile(0.95)),
        ),
    ]))
}

/// Limits the buffers of an entry.
fn set_limits(_: usize, settings: &mut medlarfall_serving::configs::Settings) {
    settings.generation.buffered_bytes = READER_BYTES;
    settings.generation.held_limit = ENTRY_BYTES;
    settings.callers.write_stall_timeout = Duration::from_secs(30);
}

/// Removes the limits on the buffers of an entry.
fn remove_limits(_: usize, settings: &mut medlarfall_serving::configs::Settings) {
    settings.generation.buffered_bytes = UNBOUNDED;
    settings.generation.held_limit = UNBOUNDED;
}

/// Runs all readers; with `until_freed`, waits until the engines and entries have released the
/// resources of the stopped ones.
async fn measure(
    seed: u64,
    adjust_settings: fn(usize, &mut medlarfall_serving::configs::Settings),
    until_freed: bool,
) -> Result<Measurements, Box<dyn Error>> {
    let plan = Plan {
        engines: 4,
        engine: engine::Config {
            batch_limit: 400,
            memory_tokens: 4_000_000,
            ..engine::Config::default()
        },
        adjust_settings,
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await?;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let without_slow = run_fast_readers(&cluster, &mut random).await?;
    let mut stopped = Vec::new();
    for index in 0..STOPPED_READERS {
        stopped.push(read_first_token(reader(&cluster, index), random.random()).await?);
    }
    let mut slow = JoinSet::new();
    for index in 0..SLOW_READERS {
        slow.spawn(read_slowly(reader(&cluster, index), random.random()));
    }
    let beside_slow = run_fast_readers(&cluster, &mut random).await?;
    let slow = slow.join_all().await;
    let engines_freed = until_freed && engines_freed(&cluster).await;
    let entries_freed = until_freed && entries_freed(&cluster).await;
    drop(stopped);
    let contexts = cluster.entries.iter().map(|entry| &entry.context);
    let metrics = contexts.clone().map(|context| &context.metrics);
    Ok(Measurements {
        held_peak: contexts
            .map(|context| context.buffer_limiter.peak_bytes())
            .sum(),
        wrong: slow.into_iter().filter(|right| !right).count()
            + without_slow.wrong
            + beside_slow.wrong,
        given_up: metrics
            .clone()
            .map(|metrics| metrics.buffers_discarded.get())
            .sum(),
        parked: metrics
            .map(|metrics| metrics.generations_parked.get())
            .sum(),
        engines_freed,
        entries_freed,
        without_slow: without_slow.ttft,
        beside_slow: beside_slow.ttft,
    })
}

/// Returns a client with a small receive buffer.
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

/// Requests an answer, reads its first token and stops reading.
async fn read_first_token(caller: Caller, seed: u64) -> Result<Stream, Box<dyn Error>> {
    let completion = completion(&format!("stopped {seed:x}"), MAX_TOKENS[0]);
    let mut stream = caller.stream(&completion).await?;
    stream.next().await?;
    Ok(stream)
}

/// Reads an answer in bursts; returns whether it equals the oracle's.
async fn read_slowly(caller: Caller, seed: u64) -> bool {
    let prompt = format!("slow {seed:x}");
    let Ok(mut stream) = caller.stream(&completion(&prompt, MAX_TOKENS[1])).await else {
        return false;
    };
    let mut text = String::new();
    for count in 1.. {
        match stream.next().await {
            Ok(Some(chunk)) => text.push_str(&chunk_text(&chunk)),
            Ok(None) => break,
            Err(_) => return false,
        }
        if count % SLOW_BURST == 0 {
            time::sleep(SLOW_PAUSE).await;
        }
    }
    text == oracle::answer("v1", &prompt, MAX_TOKENS[1])
}

/// Measurements of the fast readers; times are in microseconds.
struct FastReaders {
    ttft: Histogram<u64>,
    wrong: usize,
}

/// Runs the fast readers; returns their times to the first token and the number of wrong answers.
async fn run_fast_readers(
    cluster: &Cluster,
    random: &mut ChaCha8Rng,
) -> Result<FastReaders, Box<dyn Error>> {
    use futures::StreamExt;
    let requests = (0..FAST_ANSWERS).map(|index| {
        let caller = cluster.caller(index % cluster.entries.len());
        read_fast(caller, random.random())
    });
    let requests: Vec<_> = requests.collect();
    let read: Vec<Option<Duration>> = futures::stream::iter(requests)
        .buffer_unordered(FAST_CALLERS)
        .collect()
        .await;
    let mut fast = FastReaders {
        ttft: Histogram::new(3)?,
        wrong: 0,
    };
    for first in read {
        match first {
            Some(first) => fast.ttft.record(u64::try_from(first.as_micros())?)?,
            None => fast.wrong += 1,
        }
    }
    Ok(fast)
}

/// Reads an answer without pauses; returns the time to the first token if the answer equals the
/// oracle's.
async fn read_fast(caller: Caller, seed: u64) -> Option<Duration> {
    let prompt = format!("fast {seed:x}");
    let started = Instant::now();
    let mut stream = caller
        .stream(&completion(&prompt, MAX_TOKENS[2]))
        .await
        .ok()?;
    let chunk = stream.next().await.ok()??;
    let first = started.elapsed();
    let (rest, _) = stream.text().await.ok()?;
    let text = chunk_text(&chunk) + &rest;
    (text == oracle::answer("v1", &prompt, MAX_TOKENS[2])).then_some(first)
}

/// Returns the text of a chunk.
fn chunk_text(chunk: &Chunk) -> String {
    chunk
        .choices
        .iter()
        .map(|choice| choice.text.as_str())
        .collect()
}

/// Waits until no engine runs a generation, while the stopped readers stay connected; returns
/// whether this happened in time.
async fn engines_freed(cluster: &Cluster) -> bool {
    let free = || {
        let mut engines = cluster.engines.iter();
        engines.all(|engine| engine.engine.stats().live == 0)
    };
    wait_until("the engines run no generation", free)
        .await
        .is_ok()
}

/// Waits until the entries buffer no bytes; returns whether this happened in time.
async fn entries_freed(cluster: &Cluster) -> bool {
    let free = || {
        let mut entries = cluster.entries.iter();
        entries.all(|entry| entry.context.buffer_limiter.buffered_bytes() == 0)
    };
    wait_until("the entries buffer nothing", free).await.is_ok()
}

/// Returns the ratio of a quantile of two histograms, rounded to three decimals.
fn quantile_ratio(numerator: &Histogram<u64>, denominator: &Histogram<u64>, quantile: f64) -> f64 {
    let value = |histogram: &Histogram<u64>| {
        let value = histogram.value_at_quantile(quantile).max(1);
        u32::try_from(value).map_or(f64::MAX, f64::from)
    };
    (value(numerator) / value(denominator) * 1_000.0).round() / 1_000.0
}

/// Returns the peak resident set size of this process, in bytes.
fn resident_peak() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next());
    Ok(kibibytes
        .ok_or("/proc/self/status has no line `VmHWM`")?
        .parse::<u64>()?
        * 1_024)
}
