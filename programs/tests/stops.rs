//! Planned stops on an embedded cluster: no request is cut off, and a leaving server receives no
//! new work.

use std::time::Duration;

use futures::future::join_all;
use medlarfall::caller::{Caller, Completion};
use medlarfall::cluster::{BRIEFS, Cluster, Plan, wait_until};
use medlarfall_schema::declaration::Stop;
use medlarfall_schema::operator::StopState;
use medlarfall_serving::backend::http::Client;
use medlarfall_serving::backend::{Engine as _, OrderState, Server};
use medlarfall_serving::modules::stops::unix_milliseconds;
use medlarfall_standin::{oracle, platform};

/// Tokens of a generation that outlasts the stops of these tests that are a few seconds away.
const LONG_TOKENS: u64 = 900;

/// Returns the plan of a cluster with a short lead before a stop and a long window for leaving
/// entries.
fn plan(engines: usize) -> Plan {
    Plan {
        engines,
        adjust_settings: |_, settings| {
            settings.stops.policy.lead = Duration::from_secs(1);
            settings.stops.entry_window = Duration::from_secs(20);
        },
        ..Plan::default()
    }
}

/// Returns a stop of a target whose date is `notice` from now.
fn stop(target: &str, notice: Duration) -> Stop {
    Stop {
        target: target.to_owned(),
        date_ms: unix_milliseconds() + u64::try_from(notice.as_millis()).expect("a short notice"),
        ..Stop::default()
    }
}

/// Runs a generation and returns whether its answer equals the oracle's.
async fn generate(caller: Caller, prompt: String, max_tokens: u64) -> bool {
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt: prompt.clone(),
        max_tokens,
        stream: true,
    };
    let mut stream = caller.stream(&completion).await.expect("a stream");
    let answer = stream.text().await.expect("the whole stream");
    answer == (oracle::answer("v1", &prompt, max_tokens), true)
}

/// Starts generations at every entry in turn.
fn start_generations(
    cluster: &Cluster,
    count: usize,
    max_tokens: u64,
) -> Vec<tokio::task::JoinHandle<bool>> {
    (0..count)
        .map(|index| {
            let caller = cluster.caller(index % cluster.entries.len());
            tokio::spawn(generate(caller, format!("ledger {index}"), max_tokens))
        })
        .collect()
}

/// Waits until every generation has ended and returns how many were wrong.
async fn count_wrong(generations: Vec<tokio::task::JoinHandle<bool>>) -> usize {
    let answers = join_all(generations).await;
    answers
        .into_iter()
        .filter(|answer| !matches!(answer, Ok(true)))
        .count()
}

/// Waits until the engines run this many generations.
async fn wait_until_running(cluster: &Cluster, count: u64) {
    wait_until("the generations run", || {
        let live = cluster
            .engines
            .iter()
            .map(|engine| engine.engine.stats().live);
        live.sum::<u64>() == count
    })
    .await
    .expect("the generations run");
}

/// Returns the state of an engine that results from its orders.
async fn order_state(cluster: &Cluster, engine: usize) -> OrderState {
    let instance = serde_json::to_value(&cluster.engines[engine].instance).expect("JSON");
    let instance: medlarfall_serving::platform::Instance =
        serde_json::from_value(instance).expect("an instance");
    let server = Server::try_from(instance).expect("a server");
    Client::new()
        .order_state(&server)
        .await
        .expect("the state of the engine")
}

/// Waits until an engine drains, or no longer drains if `drains` is false.
async fn wait_for_draining(cluster: &Cluster, engine: usize, drains: bool) {
    let reached = async {
        while order_state(cluster, engine).await.draining != drains {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), reached)
        .await
        .expect("the engine drains or stops draining within 5 s");
}

#[tokio::test]
async fn an_entry_cut_off_from_the_store_sends_a_leaving_engine_no_work() {
    let cluster = Cluster::start(plan(4)).await.expect("a cluster");
    cluster.platform.set_faults(platform::Faults {
        cut_off: vec!["entry-1".to_owned()],
        ..platform::Faults::default()
    });
    let mut operator = cluster.operator(0).expect("an operator client");
    operator
        .plan_stop(stop("server/engine-1", Duration::from_mins(10)))
        .await
        .expect("the stop is accepted");
    wait_for_draining(&cluster, 1, true).await;
    let before = cluster.engines[1].engine.stats().requests;
    let generations: Vec<_> = (0..8)
        .map(|index| {
            let prompt = format!("late {index}");
            tokio::spawn(generate(cluster.caller(1), prompt, 20))
        })
        .collect();
    let wrong = tokio::time::timeout(Duration::from_secs(15), count_wrong(generations)).await;
    assert_eq!(
        wrong,
        Ok(0),
        "the entry that is cut off must serve all generations on the remaining engines"
    );
    assert_eq!(cluster.engines[1].engine.stats().requests, before);
}

#[tokio::test]
async fn an_entry_cut_off_from_the_store_receives_a_stop_from_a_peer() {
    let cluster = Cluster::start(plan(4)).await.expect("a cluster");
    wait_until("the entries know each other", || {
        cluster.entries.iter().all(|entry| {
            let members = entry.context.membership.view();
            members.borrow().up().count() > 0
        })
    })
    .await
    .expect("the entries know each other");
    let generations: Vec<_> = (0..6)
        .map(|index| {
            let prompt = format!("cut off {index}");
            tokio::spawn(generate(cluster.caller(1), prompt, LONG_TOKENS))
        })
        .collect();
    wait_until_running(&cluster, 6).await;
    cluster.platform.set_faults(platform::Faults {
        cut_off: vec!["entry-1".to_owned()],
        ..platform::Faults::default()
    });
    let mut operator = cluster.operator(0).expect("an operator client");
    // The first change ends the watch that the entry had begun before it was cut off.
    for target in ["entry/entry-9", "server/engine-1"] {
        operator
            .plan_stop(stop(target, Duration::from_mins(10)))
            .await
            .expect("the stop is accepted");
    }
    wait_until("the entry that is cut off knows of the stop", || {
        let declared = cluster.entries[1].context.stops.declared();
        let known = declared.borrow().iter().count();
        known == 2
    })
    .await
    .expect("the entry has received the stop");
    assert_eq!(count_wrong(generations).await, 0);
}

#[tokio::test]
async fn an_engine_is_ordered_to_drain_after_the_entry_that_accepted_its_stop_has_died() {
    let cluster = Cluster::start(plan(4)).await.expect("a cluster");
    let mut operator = cluster.operator(0).expect("an operator client");
    operator
        .plan_stop(stop("server/engine-1", Duration::from_mins(10)))
        .await
        .expect("the stop is accepted");
    cluster.entries[0].kill();
    wait_for_draining(&cluster, 1, true).await;
    let mut operator = cluster.operator(1).expect("an operator client");
    operator
        .cancel_stop("server/engine-1")
        .await
        .expect("the stop is cancelled");
    wait_for_draining(&cluster, 1, false).await;
}

#[tokio::test]
async fn an_engine_stops_without_cutting_long_generations() {
    let cluster = Cluster::start(plan(4)).await.expect("a cluster");
    let generations = start_generations(&cluster, 12, LONG_TOKENS);
    wait_until_running(&cluster, 12).await;
    let leaving = &cluster.engines[0].engine;
    let mut operator = cluster.operator(0).expect("an operator client");
    operator
        .plan_stop(stop("server/engine-0", Duration::from_secs(4)))
        .await
        .expect("the stop is accepted");
    let mut watch = operator
        .watch_stop("server/engine-0")
        .await
        .expect("a watch");
    let mut finished = 0;
    let mut max_reported = 0;
    while let Some(progress) = watch.message().await.expect("progress") {
        finished += u64::from(progress.state() == StopState::Finished);
        max_reported = max_reported.max(progress.holders[0].reported);
        assert!(
            progress.state() != StopState::Finished || leaving.stats().live == 0,
            "the stop finished while the engine still runs a generation"
        );
    }
    assert_eq!(finished, 1);
    assert!(
        max_reported > 0,
        "the operator received no report of running generations"
    );
    leaving.lifecycle().crash();
    assert_eq!(count_wrong(generations).await, 0);
    let metrics = || cluster.entries.iter().map(|entry| &entry.context.metrics);
    let lost: u64 = metrics().map(|metrics| metrics.attempts_lost.get()).sum();
    let moved: u64 = metrics()
        .map(|metrics| metrics.generations_moved.get())
        .sum();
    assert_eq!(
        lost, 0,
        "attempts were lost; expected only moved generations"
    );
    assert!(moved > 0, "no generation was moved");
}

#[tokio::test]
async fn a_stopped_failure_domain_hands_its_generations_over() {
    let cluster = Cluster::start(Plan {
        entries: 3,
        ..plan(4)
    })
    .await
    .expect("a cluster");
    let generations = start_generations(&cluster, 9, 600);
    wait_until_running(&cluster, 9).await;
    let mut operator = cluster.operator(1).expect("an operator client");
    operator
        .plan_stop(stop("failure-domain/domain-0", Duration::from_secs(12)))
        .await
        .expect("the stop is accepted");
    wait_until("the entries of the domain leave", || {
        cluster.entries[0].context.stops.leaving() && cluster.entries[2].context.stops.leaving()
    })
    .await
    .expect("the entries leave");
    assert!(!cluster.entries[1].context.stops.leaving());
    assert_eq!(count_wrong(generations).await, 0);
    for index in [0, 2] {
        assert_eq!(cluster.engines[index].engine.stats().live, 0);
    }
}

#[tokio::test]
async fn a_leaving_entry_finishes_its_streams_and_refuses_new_requests() {
    let cluster = Cluster::start(plan(2)).await.expect("a cluster");
    let generations = start_generations(&cluster, 4, 300);
    wait_until_running(&cluster, 4).await;
    let entry = cluster.entries[0].clone();
    let leaving = tokio::spawn(async move { entry.leave().await });
    wait_until("the entry leaves", || {
        cluster.entries[0].context.stops.leaving()
    })
    .await
    .expect("the entry leaves");
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt: "too late".to_owned(),
        max_tokens: 5,
        stream: false,
    };
    let refused = cluster.caller(0).generate(&completion).await;
    let message = refused.expect_err("a refusal").to_string();
    assert!(message.contains("\"run\":\"not-run\""), "{message}");
    assert!(message.contains("another entry"), "{message}");
    assert_eq!(count_wrong(generations).await, 0);
    assert!(leaving.await.expect("the task of the leaving entry ends"));
}

#[tokio::test]
async fn callers_of_an_entry_whose_window_ends_are_referred_to_another_entry() {
    let cluster = Cluster::start(Plan {
        adjust_settings: |_, settings| settings.stops.entry_window = Duration::from_millis(500),
        ..plan(2)
    })
    .await
    .expect("a cluster");
    let completion = Completion {
        model: BRIEFS.to_owned(),
        prompt: "a long ledger".to_owned(),
        max_tokens: LONG_TOKENS,
        stream: true,
    };
    let mut stream = cluster
        .caller(0)
        .stream(&completion)
        .await
        .expect("a stream");
    stream
        .next()
        .await
        .expect("a chunk")
        .expect("another chunk");
    let entry = cluster.entries[0].clone();
    let leaving = tokio::spawn(async move { entry.leave().await });
    let error = stream.text().await.expect_err("the entry leaves");
    assert!(error.to_string().contains("go to another entry"), "{error}");
    assert!(!leaving.await.expect("the task of the leaving entry ends"));
}

#[tokio::test]
async fn an_accepted_stop_takes_effect_while_the_store_is_down() {
    let cluster = Cluster::start(plan(4)).await.expect("a cluster");
    let generations = start_generations(&cluster, 8, LONG_TOKENS);
    wait_until_running(&cluster, 8).await;
    let mut operator = cluster.operator(0).expect("an operator client");
    operator
        .plan_stop(stop("server/engine-0", Duration::from_secs(3)))
        .await
        .expect("the stop is accepted");
    cluster.platform.set_faults(platform::Faults {
        down: true,
        ..platform::Faults::default()
    });
    wait_until("the engine runs no generation", || {
        cluster.engines[0].engine.stats().live == 0
    })
    .await
    .expect("the engine runs no generation");
    cluster.engines[0].engine.lifecycle().crash();
    assert_eq!(count_wrong(generations).await, 0);
}

#[tokio::test]
async fn a_server_receives_work_again_after_its_stop_is_cancelled() {
    let cluster = Cluster::start(plan(1)).await.expect("a cluster");
    let mut operator = cluster.operator(0).expect("an operator client");
    let target = "server/engine-0";
    operator
        .plan_stop(stop(target, Duration::from_mins(10)))
        .await
        .expect("the stop is accepted");
    let mut watch = operator.watch_stop(target).await.expect("a watch");
    operator
        .cancel_stop(target)
        .await
        .expect("the stop is cancelled");
    let mut last = StopState::Unspecified;
    while let Some(progress) = watch.message().await.expect("progress") {
        last = progress.state();
    }
    assert_eq!(last, StopState::Cancelled);
    assert!(generate(cluster.caller(0), "again".to_owned(), 20).await);
}

#[tokio::test]
async fn an_invalid_stop_is_refused_with_the_remedy() {
    let cluster = Cluster::start(plan(1)).await.expect("a cluster");
    let mut operator = cluster.operator(0).expect("an operator client");
    let notice = Duration::from_mins(10);
    for (target, remedy) in [
        ("engine-0", "write `server/NAME`"),
        ("server/", "write `server/NAME`"),
        ("server/engine-77", "check the name"),
    ] {
        let refused = operator.plan_stop(stop(target, notice)).await;
        let message = refused.expect_err("a refusal").message().to_owned();
        assert!(message.contains(remedy), "{message}");
    }
    let accepted = stop("server/engine-0", notice);
    operator
        .plan_stop(accepted.clone())
        .await
        .expect("the stop is accepted");
    let refused = operator.plan_stop(accepted).await.expect_err("a conflict");
    assert!(refused.message().contains("revision 1"), "{refused}");
    operator
        .plan_stop(stop("entry/entry-1", notice))
        .await
        .expect("the stop is accepted");
    let elsewhere = operator.watch_stop("entry/entry-1").await;
    let elsewhere = elsewhere.expect_err("a refusal by an entry that is not the target");
    assert!(elsewhere.message().contains("at that entry"), "{elsewhere}");
    let absent = operator.cancel_stop("entry/entry-9").await;
    let absent = absent.expect_err("nothing to cancel");
    assert!(absent.message().contains("check the name"), "{absent}");
}
