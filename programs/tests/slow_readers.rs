//! Readers that stop, and read on later: engine and entry are free of them, and no token is missing.

use medlarfall::caller::{Caller, Completion, Stream};
use medlarfall::cluster::{BRIEFS, CALLER_KEY, Cluster, Plan, wait};
use medlarfall_serving::configs::Settings;
use medlarfall_standin::{engine, oracle};

/// Most tokens of each answer: more than the two systems' buffers hold.
const MAX_TOKENS: u64 = 2_400;

/// Bytes that the system holds for a reader of ours that does not read.
const RECEIVE_BUFFER: usize = 4 << 10;

/// Bytes that an entry holds for one reader.
const READER_BYTES: usize = 4 << 10;

/// Readers of the test of the entry's bound.
const READERS: usize = 6;

/// Bytes that the entry holds for all readers of that test: fewer than they may hold one by one.
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
        adjust,
        ..Plan::default()
    };
    Cluster::start(plan).await.expect("the cluster is up")
}

fn one_by_one(_: usize, settings: &mut Settings) {
    settings.generation.buffered_bytes = READER_BYTES;
}

fn all_together(_: usize, settings: &mut Settings) {
    settings.generation.buffered_bytes = READER_BYTES;
    settings.generation.held_limit = ENTRY_BYTES;
}

fn prompt(index: usize) -> String {
    format!("stopped {index}")
}

/// Asks for an answer and reads nothing of it.
async fn ask(cluster: &Cluster, index: usize) -> Stream {
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
async fn read(mut stream: Stream, index: usize) {
    let (text, whole) = stream.text().await.expect("the whole stream");
    assert!(whole);
    assert!(text == oracle::answer("v1", &prompt(index), MAX_TOKENS));
}

/// Waits until no engine holds a generation and `parked` generations were parked.
async fn parked(cluster: &Cluster, parked: u64) {
    let metrics = &cluster.entries[0].context.metrics;
    wait("the engines are free", || {
        let mut engines = cluster.engines.iter();
        let free = engines.all(|held| held.engine.stats().live == 0);
        free && metrics.generations_parked.get() >= parked
    })
    .await
    .expect("the engines are free");
}

#[tokio::test]
async fn a_stopped_reader_frees_its_engine_and_reads_on() {
    let cluster = cluster(one_by_one).await;
    let stream = ask(&cluster, 0).await;
    parked(&cluster, 1).await;
    let held = &cluster.entries[0].context.buffer_limiter;
    assert!(held.peak_bytes() < 2 * READER_BYTES);
    read(stream, 0).await;
    wait("nothing is held", || held.buffered_bytes() == 0)
        .await
        .expect("nothing is held");
}

#[tokio::test]
async fn stopped_readers_stay_under_the_bound_of_the_entry_and_read_on() {
    let cluster = cluster(all_together).await;
    let mut streams = Vec::new();
    for index in 0..READERS {
        streams.push(ask(&cluster, index).await);
    }
    parked(&cluster, READERS as u64).await;
    let context = &cluster.entries[0].context;
    assert!(context.buffer_limiter.peak_bytes() <= ENTRY_BYTES);
    assert!(context.metrics.held_given_up.get() > 0);
    let reads = streams.into_iter().enumerate();
    futures::future::join_all(reads.map(|(index, stream)| read(stream, index))).await;
    assert!(context.buffer_limiter.peak_bytes() <= ENTRY_BYTES);
}
