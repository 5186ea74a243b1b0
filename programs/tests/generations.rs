//! Generations while no server is available, with a single server that fails repeatedly, and across
//! versions.

use std::time::Duration;

use medlarfall::caller::{Answer, Completion, Error};
use medlarfall::cluster::{BRIEFS, CALLER_KEY, Cluster, Plan, briefs, wait_until};
use medlarfall_serving::configs::Settings;
use medlarfall_standin::engine::{Config, Faults};
use medlarfall_standin::oracle;

/// Most tokens of each answer; it has at least half of them.
const MAX_TOKENS: u64 = 120;

/// Tokens that are received before the fault is injected.
const TOKENS_BEFORE_FAULT: usize = 10;

/// Starts one entry and one engine.
async fn cluster(adjust: fn(usize, &mut Settings)) -> Cluster {
    let plan = Plan {
        failure_domains: 1,
        entries: 1,
        engines: 1,
        services: 1,
        adjust_settings: adjust,
        ..Plan::default()
    };
    Cluster::start(plan).await.expect("the cluster is up")
}

/// Sets a short time limit for every answer.
fn short_answer_timeout(_: usize, settings: &mut Settings) {
    settings.callers.answer_timeout = Duration::from_secs(2);
}

fn start_generation(cluster: &Cluster, prompt: &str) -> Answer {
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: MAX_TOKENS,
        stream: true,
    };
    let entry = cluster.entries[0].addresses.callers;
    Answer::new(&[entry], CALLER_KEY, completion)
}

/// Reads tokens until `count` have been received.
async fn read_tokens(answer: &mut Answer, count: usize) {
    while answer.tokens().len() < count {
        let chunk = answer.next().await.expect("a chunk");
        assert!(chunk.is_some(), "the answer ended early");
    }
}

#[tokio::test]
async fn the_only_server_is_used_again_after_lost_attempts() {
    let cluster = cluster(|_, _| {}).await;
    let mut answer = start_generation(&cluster, "again");
    read_tokens(&mut answer, TOKENS_BEFORE_FAULT).await;
    let engine = &cluster.engines[0].engine;
    for cut in [25, 45] {
        engine.set_faults(Faults {
            cut_token: Some(cut),
            ..Faults::default()
        });
        let requests = engine.stats().requests;
        wait_until("the engine receives another attempt", || {
            engine.stats().requests > requests
        })
        .await
        .expect("another attempt");
    }
    engine.set_faults(Faults::default());
    let text = answer.finish().await.expect("the whole answer");
    assert_eq!(text, oracle::answer("v1", "again", MAX_TOKENS));
    assert_eq!(answer.failovers(), 0);
}

#[tokio::test]
async fn without_a_server_the_answer_ends_in_an_error_that_states_the_delivered_tokens() {
    let cluster = cluster(short_answer_timeout).await;
    let mut answer = start_generation(&cluster, "none");
    read_tokens(&mut answer, TOKENS_BEFORE_FAULT).await;
    cluster.engines[0].engine.lifecycle().crash();
    let error = answer.finish().await.expect_err("an error");
    let Error::Refused { body, .. } = error else {
        panic!("expected a typed error, got: {error}");
    };
    let delivered = answer.tokens().len();
    assert!(body.contains("\"kind\":\"timeout\""), "{body}");
    let count = format!("{delivered} tokens were delivered");
    assert!(body.contains(&count), "{body}");
}

#[tokio::test]
async fn a_generation_waits_for_a_new_server() {
    let mut cluster = cluster(|_, _| {}).await;
    let mut answer = start_generation(&cluster, "waits");
    read_tokens(&mut answer, TOKENS_BEFORE_FAULT).await;
    cluster.engines[0].engine.lifecycle().crash();
    let added = cluster.add_engine(Config::default()).await;
    added.expect("another engine");
    let text = answer.finish().await.expect("the whole answer");
    assert_eq!(text, oracle::answer("v1", "waits", MAX_TOKENS));
}

#[tokio::test]
async fn a_paused_engine_ends_its_abandoned_generation_after_it_resumes() {
    let plan = Plan {
        failure_domains: 1,
        entries: 1,
        engine: Config {
            // Without a reader, the engine continues a generation for this period, which exceeds
            // the test's wait: only an explicit end from the entry frees the engine in time.
            orphan_grace: Duration::from_hours(1),
            ..Config::default()
        },
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await.expect("the cluster is up");
    let mut answer = start_generation(&cluster, "paused");
    read_tokens(&mut answer, TOKENS_BEFORE_FAULT).await;
    let serving = cluster
        .engines
        .iter()
        .find(|candidate| candidate.engine.stats().live > 0);
    let engine = &serving.expect("an engine that serves").engine;
    engine.lifecycle().pause(Duration::from_secs(3));
    let text = answer.finish().await.expect("the whole answer");
    assert_eq!(text, oracle::answer("v1", "paused", MAX_TOKENS));
    wait_until("the paused engine is free", || engine.stats().live == 0)
        .await
        .expect("the paused engine is free");
}

/// Kills the only engine of `v1`, starts one of `v2` and declares `v2`.
async fn change_version(cluster: &mut Cluster) {
    cluster.engines[0].engine.lifecycle().crash();
    let v2 = Config {
        version: "v2".to_owned(),
        ..Config::default()
    };
    cluster.add_engine(v2).await.expect("an engine of v2");
    let mut operator = cluster.operator(0).expect("an operator client");
    let mut declared = briefs("v2");
    let services = operator.list().await.expect("the declarations");
    let current = services.iter().find(|service| service.name == BRIEFS);
    declared.revision = current.map_or(0, |service| service.revision);
    operator.apply(declared).await.expect("v2 is declared");
}

#[tokio::test]
async fn a_version_never_changes_within_an_answer() {
    let mut cluster = cluster(short_answer_timeout).await;
    let mut answer = start_generation(&cluster, "version");
    read_tokens(&mut answer, TOKENS_BEFORE_FAULT).await;
    change_version(&mut cluster).await;
    answer
        .finish()
        .await
        .expect_err("no other version continues the answer");
    let expected = oracle::answer("v1", "version", MAX_TOKENS);
    assert!(expected.starts_with(&answer.text()));
}

#[tokio::test]
async fn a_generation_without_tokens_switches_to_the_new_version() {
    let mut cluster = cluster(|_, _| {}).await;
    cluster.engines[0].engine.lifecycle().crash();
    let mut answer = start_generation(&cluster, "new version");
    let generation = tokio::spawn(async move {
        let text = answer.finish().await;
        text.expect("the whole answer")
    });
    let metrics = &cluster.entries[0].context.metrics;
    wait_until("an attempt is lost", || metrics.attempts_lost.get() > 0)
        .await
        .expect("a lost attempt");
    change_version(&mut cluster).await;
    let text = generation.await.expect("the caller task ends");
    assert_eq!(text, oracle::answer("v2", "new version", MAX_TOKENS));
}
