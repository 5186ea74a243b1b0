//! Readers that stop reading and continue later: meanwhile their engines are free and the buffers
//! of the entry stay bounded, and no token is lost.

use medlarfall::caller::{Caller, Completion, Stream};
use medlarfall::cluster::{BRIEFS, CALLER_KEY, Cluster, Plan, wait_until};
use medlarfall_serving::configs::Settings;
use medlarfall_standin::{engine, oracle};

/// Most tokens of each answer: more than the socket buffers of both ends hold.
const MAX_TOKENS: u64 = 2_400;

/// Receive buffer of the socket of a test's reader, in bytes.
const RECEIVE_BUFFER: usize = 4 << 10;

/// Bytes that an entry buffers for one reader.
const READER_BYTES: usize = 4 << 10;

/// Readers in the test of the entry's limit.
const READERS: usize = 6;

/// Bytes that the entry buffers for all readers in that test: less than the sum of their own
/// limits.
const ENTRY_BYTES: usize = 2 * READER_BYTES;

async fn cluster(adjust: fn(usize, &mut Settings)) -> Cluster {
    let plan = Plan {
        failure_domains: 1,
        entries: 1,
        engines: 2,
        engine: engine::Config {
            token_interval: std::time::Duration::from_millis(1),
            ..engine::Config::default()
        },
        adjust_settings: adjust,
        ..Plan::default()
    };
    Cluster::start(plan).await.expect("the cluster is up")
}

/// Limits the bytes that are buffered for one reader.
fn limit_per_reader(_: usize, settings: &mut Settings) {
    settings.generation.buffered_bytes = READER_BYTES;
}

/// Limits the bytes that are buffered for one reader and for all readers.
fn limit_for_all_readers(_: usize, settings: &mut Settings) {
    settings.generation.buffered_bytes = READER_BYTES;
    settings.generation.held_limit = ENTRY_BYTES;
}

fn prompt(index: usize) -> String {
    format!("stopped {index}")
}

/// Starts a generation and reads none of its answer.
async fn start_generation(cluster: &Cluster, index: usize) -> Stream {
    let entry = cluster.entries[0].addresses.callers;
    let caller = Caller::with_receive_buffer(entry, CALLER_KEY, Some(RECEIVE_BUFFER));
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt: prompt(index),
        max_tokens: MAX_TOKENS,
        stream: true,
    };
    caller.stream(&completion).await.expect("a stream")
}

/// Reads a whole answer and compares it with the oracle's.
async fn expect_oracle_answer(mut stream: Stream, index: usize) {
    let (text, whole) = stream.text().await.expect("the whole stream");
    assert!(whole);
    assert!(text == oracle::answer("v1", &prompt(index), MAX_TOKENS));
}

/// Waits until no engine runs a generation and at least `parked` generations have been parked.
async fn wait_until_parked(cluster: &Cluster, parked: u64) {
    let metrics = &cluster.entries[0].context.metrics;
    wait_until("the engines are free", || {
        let mut engines = cluster.engines.iter();
        let free = engines.all(|running| running.engine.stats().live == 0);
        free && metrics.generations_parked.get() >= parked
    })
    .await
    .expect("the engines are free");
}

#[tokio::test]
async fn a_stopped_reader_frees_its_engine_and_continues_later() {
    let cluster = cluster(limit_per_reader).await;
    let stream = start_generation(&cluster, 0).await;
    wait_until_parked(&cluster, 1).await;
    let limiter = &cluster.entries[0].context.buffer_limiter;
    assert!(limiter.peak_bytes() < 2 * READER_BYTES);
    expect_oracle_answer(stream, 0).await;
    wait_until("the entry buffers nothing", || {
        limiter.buffered_bytes() == 0
    })
    .await
    .expect("the entry buffers nothing");
}

#[tokio::test]
async fn stopped_readers_stay_within_the_limit_of_the_entry_and_continue_later() {
    let cluster = cluster(limit_for_all_readers).await;
    let mut streams = Vec::new();
    for index in 0..READERS {
        streams.push(start_generation(&cluster, index).await);
    }
    wait_until_parked(&cluster, READERS as u64).await;
    let context = &cluster.entries[0].context;
    assert!(context.buffer_limiter.peak_bytes() <= ENTRY_BYTES);
    assert!(context.metrics.buffers_discarded.get() > 0);
    let reads = streams.into_iter().enumerate();
    futures::future::join_all(reads.map(|(index, stream)| expect_oracle_answer(stream, index)))
        .await;
    assert!(context.buffer_limiter.peak_bytes() <= ENTRY_BYTES);
}
