//! Moves of services to another version, on an embedded cluster under load.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::Method;
use medlarfall::caller::Completion;
use medlarfall::cluster::{self, BRIEFS, Cluster, Plan, TRACKER};
use medlarfall::commands::moves::{deadline_ms, ended};
use medlarfall_coordination::schedule;
use medlarfall_schema::operator::{MovePhase, MoveState};
use medlarfall_serving::configs::Settings;
use medlarfall_serving::modules::moves::{PREFIX, store};
use medlarfall_serving::platform::Store as _;
use medlarfall_standin::{engine, oracle, platform, service};
use tokio::task::JoinSet;

/// Deadline of a move, from its start.
const MOVE_DEADLINE: Duration = Duration::from_secs(20);

/// Concurrent callers at each entry.
const CALLERS_PER_ENTRY: usize = 6;

/// Sets stages that are short enough for a test.
fn adjust(_: usize, settings: &mut Settings) {
    settings.moves.plan = schedule::Plan {
        shares: vec![50, 250, 1_000],
        dwell_floor_ms: 200,
        dwell_ceiling_ms: 300,
        requests: 10,
    };
}

/// Starts a cluster with two versions of each service and waits until every entry knows all
/// servers.
async fn start_cluster() -> Arc<Cluster> {
    let plan = Plan {
        engine: engine::Config {
            token_interval: Duration::from_millis(4),
            ..engine::Config::default()
        },
        adjust_settings: adjust,
        ..Plan::default()
    };
    let mut cluster = Cluster::start(plan.clone()).await.expect("a cluster");
    for _ in 0..2 {
        let engine = engine::Config {
            version: "v2".to_owned(),
            ..plan.engine.clone()
        };
        cluster.add_engine(engine).await.expect("an engine");
        let service = service::Config {
            version: "v2".to_owned(),
            ..service::Config::default()
        };
        cluster.add_service(service).await.expect("a service");
    }
    cluster::wait_until("every entry knows the new version", || {
        let known = |entry: &medlarfall_serving::entry::Entry| {
            entry.context.directory.borrow().iter().count() == 7
        };
        cluster.entries.iter().all(known)
    })
    .await
    .expect("the new version is known");
    Arc::new(cluster)
}

/// Calls the plain service at every entry until the returned tasks are dropped.
fn call_service(cluster: &Arc<Cluster>) -> JoinSet<()> {
    call_service_at(cluster, cluster.entries.len())
}

/// Calls the plain service at the first `entries` entries until the returned tasks are dropped.
fn call_service_at(cluster: &Arc<Cluster>, entries: usize) -> JoinSet<()> {
    let mut load = JoinSet::new();
    let count = Arc::new(AtomicU64::new(0));
    for index in 0..CALLERS_PER_ENTRY * entries {
        let caller = cluster.caller(index % entries);
        let count = Arc::clone(&count);
        load.spawn(async move {
            loop {
                let number = count.fetch_add(1, Ordering::Relaxed);
                let route = if number.is_multiple_of(4) {
                    "plots"
                } else {
                    "records"
                };
                let path = format!("/s/tracker/{route}/{number}");
                let _ = caller.call(Method::GET, &path, "").await;
            }
        });
    }
    load
}

/// Runs generations at every entry until the returned tasks are dropped, and counts wrong answers.
fn run_generations(cluster: &Arc<Cluster>, wrong: &Arc<AtomicU64>) -> JoinSet<()> {
    let mut load = JoinSet::new();
    for index in 0..CALLERS_PER_ENTRY * cluster.entries.len() {
        let caller = cluster.caller(index % cluster.entries.len());
        let wrong = Arc::clone(wrong);
        load.spawn(async move {
            for number in 0.. {
                let prompt = format!("manifest {index} {number}");
                let completion = Completion {
                    model: BRIEFS.to_owned(),
                    prompt: prompt.clone(),
                    max_tokens: 24,
                    stream: false,
                };
                let answer = caller.generate(&completion).await;
                let expected = ["v1", "v2"].map(|version| oracle::answer(version, &prompt, 24));
                if !answer.is_ok_and(|answer| expected.contains(&answer)) {
                    wrong.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    load
}

/// Starts a move at entry 0, watches it at entry 1 to its end, and returns the states that the
/// operator received.
async fn run_move(cluster: &Cluster, service: &str) -> Vec<MoveState> {
    let mut operator = cluster.operator(0).expect("an operator client");
    let started = operator
        .start_move(service, "v2", deadline_ms(MOVE_DEADLINE))
        .await
        .expect("the move is accepted");
    watch_move(cluster, service, &started.move_id).await
}

/// Watches a move at entry 1 to its end, which must be reported once, and returns the states
/// received.
async fn watch_move(cluster: &Cluster, service: &str, id: &str) -> Vec<MoveState> {
    let mut watcher = cluster.operator(1).expect("an operator client");
    let mut stream = watcher.watch_move(service, id).await.expect("a watch");
    let mut states = Vec::new();
    while let Some(state) = stream.message().await.expect("a state") {
        states.push(state);
    }
    let ends = states.iter().filter(|state| ended(state)).count();
    assert_eq!(ends, 1, "the end must be reported once: {states:?}");
    states
}

fn final_state(states: &[MoveState]) -> &MoveState {
    states.last().expect("at least the final state")
}

/// Waits until the declaration in force at every entry names a version.
async fn wait_for_version(cluster: &Cluster, service: &str, version: &str) {
    cluster::wait_until("every entry has the version declared", || {
        cluster.entries.iter().all(|entry| {
            let declarations = entry.context.declarations.borrow().clone();
            declarations
                .service(service)
                .is_some_and(|service| service.version == version)
        })
    })
    .await
    .expect("the version is declared");
}

#[tokio::test]
async fn a_good_version_is_done_by_the_deadline_and_declared() {
    let cluster = start_cluster().await;
    let load = call_service(&cluster);
    let states = run_move(&cluster, TRACKER).await;
    assert_eq!(final_state(&states).phase(), MovePhase::Done, "{states:?}");
    wait_for_version(&cluster, TRACKER, "v2").await;
    drop(load);
    let reply = cluster
        .caller(0)
        .call(Method::GET, "/s/tracker/records/1", "")
        .await
        .expect("a reply");
    assert!(reply.body.contains("\"version\":\"v2\""), "{}", reply.body);
}

#[tokio::test]
async fn a_good_model_is_done_without_a_wrong_answer() {
    let cluster = start_cluster().await;
    let wrong = Arc::new(AtomicU64::new(0));
    let load = run_generations(&cluster, &wrong);
    let states = run_move(&cluster, BRIEFS).await;
    assert_eq!(final_state(&states).phase(), MovePhase::Done, "{states:?}");
    wait_for_version(&cluster, BRIEFS, "v2").await;
    drop(load);
    assert_eq!(wrong.load(Ordering::Relaxed), 0);
}

/// Injects faults into the engines of the new version and expects their move to be taken back.
async fn expect_engine_taken_back(faults: engine::Faults) {
    let cluster = start_cluster().await;
    for engine in &cluster.engines[2..] {
        engine.engine.set_faults(faults.clone());
    }
    let wrong = Arc::new(AtomicU64::new(0));
    let load = run_generations(&cluster, &wrong);
    let states = run_move(&cluster, BRIEFS).await;
    assert_eq!(
        final_state(&states).phase(),
        MovePhase::TakenBack,
        "{states:?}"
    );
    assert!(
        final_state(&states).reason.contains("than the old version"),
        "{states:?}"
    );
    drop(load);
    wait_for_version(&cluster, BRIEFS, "v1").await;
}

#[tokio::test]
async fn a_model_that_fails_immediately_is_taken_back() {
    expect_engine_taken_back(engine::Faults {
        fail_every: 1,
        ..engine::Faults::default()
    })
    .await;
}

#[tokio::test]
async fn a_model_that_fails_later_is_taken_back() {
    expect_engine_taken_back(engine::Faults {
        fail_every: 2,
        after_requests: 10,
        ..engine::Faults::default()
    })
    .await;
}

#[tokio::test]
async fn a_model_that_is_slow_is_taken_back() {
    expect_engine_taken_back(engine::Faults {
        slow_factor: 5.0,
        ..engine::Faults::default()
    })
    .await;
}

/// Injects faults into the servers of the new version of the plain service, expects their move to
/// be taken back, and returns its states.
async fn expect_service_taken_back(faults: service::Faults) -> Vec<MoveState> {
    let cluster = start_cluster().await;
    for plain in &cluster.services[1..] {
        plain.service.set_faults(faults.clone());
    }
    let load = call_service(&cluster);
    let states = run_move(&cluster, TRACKER).await;
    drop(load);
    assert_eq!(
        final_state(&states).phase(),
        MovePhase::TakenBack,
        "{states:?}"
    );
    wait_for_version(&cluster, TRACKER, "v1").await;
    states
}

#[tokio::test]
async fn a_service_that_fails_on_one_route_is_taken_back() {
    let states = expect_service_taken_back(service::Faults {
        fail_path: "/plots".to_owned(),
        ..service::Faults::default()
    })
    .await;
    assert!(
        final_state(&states).reason.contains("than the old version"),
        "{states:?}"
    );
}

#[tokio::test]
async fn a_service_that_is_slow_is_taken_back() {
    let states = expect_service_taken_back(service::Faults {
        slow_ms: 60,
        ..service::Faults::default()
    })
    .await;
    assert!(
        final_state(&states).reason.contains("calls take longer"),
        "{states:?}"
    );
}

/// A version that can't be told from the old one is not proved sound.
#[tokio::test]
async fn a_version_is_not_done_while_both_versions_fail_every_request() {
    let cluster = start_cluster().await;
    for plain in &cluster.services {
        plain.service.set_faults(service::Faults {
            fail_path: "/".to_owned(),
            ..service::Faults::default()
        });
    }
    let load = call_service(&cluster);
    let mut operator = cluster.operator(0).expect("an operator client");
    let started = operator
        .start_move(TRACKER, "v2", deadline_ms(Duration::from_secs(3)))
        .await
        .expect("the move is accepted");
    let states = watch_move(&cluster, TRACKER, &started.move_id).await;
    drop(load);
    assert_eq!(final_state(&states).phase(), MovePhase::TakenBack);
    let reason = &final_state(&states).reason;
    assert!(reason.contains("it can't be excluded"), "{reason}");
}

#[tokio::test]
async fn a_version_without_requests_is_taken_back_at_the_deadline() {
    let cluster = start_cluster().await;
    let mut operator = cluster.operator(0).expect("an operator client");
    let started = operator
        .start_move(TRACKER, "v2", deadline_ms(Duration::from_secs(1)))
        .await
        .expect("the move is accepted");
    let states = watch_move(&cluster, TRACKER, &started.move_id).await;
    assert_eq!(final_state(&states).phase(), MovePhase::TakenBack);
    assert!(
        final_state(&states).reason.contains("deadline"),
        "{states:?}"
    );
}

#[tokio::test]
async fn a_cancelled_move_is_taken_back_and_another_may_follow() {
    let cluster = start_cluster().await;
    let load = call_service(&cluster);
    let mut operator = cluster.operator(0).expect("an operator client");
    let first = operator
        .start_move(TRACKER, "v2", deadline_ms(MOVE_DEADLINE))
        .await
        .expect("the move is accepted");
    let second = operator
        .start_move(TRACKER, "v3", deadline_ms(MOVE_DEADLINE))
        .await;
    let refused = second.expect_err("a second move is refused");
    assert!(refused.message().contains("cancel it first"), "{refused}");
    let cancelled = operator
        .cancel_move(TRACKER, &first.move_id)
        .await
        .expect("the move is cancelled");
    assert_eq!(cancelled.phase(), MovePhase::TakenBack);
    let states = watch_move(&cluster, TRACKER, &first.move_id).await;
    assert_eq!(final_state(&states).reason, store::CANCELLED);
    let again = run_move(&cluster, TRACKER).await;
    assert_eq!(
        (final_state(&again).phase(), final_state(&again).number),
        (MovePhase::Done, 2)
    );
    drop(load);
}

#[tokio::test]
async fn a_bad_version_gets_no_requests_while_the_platform_is_down() {
    let cluster = start_cluster().await;
    let load = call_service(&cluster);
    let mut operator = cluster.operator(0).expect("an operator client");
    let started = operator
        .start_move(TRACKER, "v2", deadline_ms(MOVE_DEADLINE))
        .await
        .expect("the move is accepted");
    let known = |wanted: fn(&MovePhase) -> bool| {
        let cluster = Arc::clone(&cluster);
        move || cluster.entries.iter().all(|entry| in_phase(entry, wanted))
    };
    let moving = known(|phase| *phase == MovePhase::Stage);
    cluster::wait_until("every entry knows the stage of the move", moving)
        .await
        .expect("every entry knows the stage of the move");
    cluster.platform.set_faults(platform::Faults {
        down: true,
        ..platform::Faults::default()
    });
    for plain in &cluster.services[1..] {
        plain.service.set_faults(service::Faults {
            fail_path: "/".to_owned(),
            ..service::Faults::default()
        });
    }
    let braked = known(|phase| *phase == MovePhase::Braked);
    cluster::wait_until("every entry has braked", braked)
        .await
        .expect("the move is braked");
    for entry in &cluster.entries {
        let record = entry.context.moves.last(TRACKER).expect("a move");
        let reason = format!("{:?}", record.phase);
        assert!(reason.contains("than the old version"), "{reason}");
    }
    let recorded = cluster.platform.peek(&format!("{PREFIX}{TRACKER}"));
    let recorded = recorded.expect("a record").value;
    assert!(
        recorded.contains("stage"),
        "the record in the store is no longer in a stage: {recorded}"
    );
    cluster.platform.set_faults(platform::Faults::default());
    let states = watch_move(&cluster, TRACKER, &started.move_id).await;
    assert_eq!(
        final_state(&states).phase(),
        MovePhase::TakenBack,
        "{states:?}"
    );
    drop(load);
}

#[tokio::test]
async fn a_brake_reaches_an_entry_without_requests_while_the_platform_is_down() {
    let cluster = start_cluster().await;
    cluster::wait_until("the entries know each other", || {
        let knows = |entry: &medlarfall_serving::entry::Entry| {
            entry.context.membership.view().borrow().up().count() == 1
        };
        cluster.entries.iter().all(knows)
    })
    .await
    .expect("the entries know each other");
    let mut operator = cluster.operator(0).expect("an operator client");
    operator
        .start_move(TRACKER, "v2", deadline_ms(Duration::from_mins(2)))
        .await
        .expect("the move is accepted");
    cluster::wait_until("every entry knows the stage of the move", || {
        let moving = |phase: &MovePhase| *phase == MovePhase::Stage;
        cluster.entries.iter().all(|entry| in_phase(entry, moving))
    })
    .await
    .expect("every entry knows the stage of the move");
    cluster.platform.set_faults(platform::Faults {
        down: true,
        ..platform::Faults::default()
    });
    for plain in &cluster.services[1..] {
        plain.service.set_faults(service::Faults {
            fail_path: "/".to_owned(),
            ..service::Faults::default()
        });
    }
    let load = call_service_at(&cluster, 1);
    cluster::wait_until("the entry without requests has braked", || {
        in_phase(&cluster.entries[1], |phase| *phase == MovePhase::Braked)
    })
    .await
    .expect("the move is braked");
    drop(load);
}

/// Returns whether an entry sees the last move of the plain service in a wanted phase.
fn in_phase(entry: &medlarfall_serving::entry::Entry, wanted: fn(&MovePhase) -> bool) -> bool {
    use medlarfall_coordination::rollout::Phase;
    let Some(record) = entry.context.moves.last(TRACKER) else {
        return false;
    };
    wanted(&match record.phase {
        Phase::Stage(_) => MovePhase::Stage,
        Phase::Braked { .. } => MovePhase::Braked,
        Phase::Done => MovePhase::Done,
        Phase::TakenBack { .. } => MovePhase::TakenBack,
    })
}

#[tokio::test]
async fn a_good_version_is_not_taken_back_when_one_of_its_servers_dies() {
    let cluster = start_cluster().await;
    let load = call_service(&cluster);
    let mut operator = cluster.operator(0).expect("an operator client");
    let started = operator
        .start_move(TRACKER, "v2", deadline_ms(MOVE_DEADLINE))
        .await
        .expect("the move is accepted");
    cluster.services[1].service.lifecycle().crash();
    let states = watch_move(&cluster, TRACKER, &started.move_id).await;
    assert_eq!(final_state(&states).phase(), MovePhase::Done, "{states:?}");
    drop(load);
}

#[tokio::test]
async fn concurrent_entries_record_one_end_when_store_answers_are_lost() {
    let cluster = start_cluster().await;
    let mut operator = cluster.operator(0).expect("an operator client");
    let started = operator
        .start_move(TRACKER, "v2", deadline_ms(MOVE_DEADLINE))
        .await
        .expect("the move is accepted");
    let key = format!("{PREFIX}{TRACKER}");
    let store = |entry: usize| cluster.entries[entry].context.platform.clone();
    let item = store(0)
        .get(&key)
        .await
        .expect("an answer")
        .expect("a record");
    let record: medlarfall_coordination::rollout::Record =
        serde_json::from_str(&item.value).expect("a record");
    cluster.platform.set_faults(platform::Faults {
        drop_answers: 2,
        ..platform::Faults::default()
    });
    let ahead = record.clone().advance().advance().advance();
    let braked = record.brake("it fails more often than the old version");
    let (store_0, store_1) = (store(0), store(1));
    let (first, second) = tokio::join!(
        store::write(&store_0, &ahead),
        store::write(&store_1, &braked)
    );
    let (first, second) = (
        first.expect("the write is settled"),
        second.expect("the write is settled"),
    );
    assert_eq!(first, second);
    assert!(first.phase.ended());
    let states = watch_move(&cluster, TRACKER, &started.move_id).await;
    let expected = match first.phase {
        medlarfall_coordination::rollout::Phase::Done => MovePhase::Done,
        _ => MovePhase::TakenBack,
    };
    assert_eq!(final_state(&states).phase(), expected);
}
