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

/// Time that the operator gives a move.
const WITHIN: Duration = Duration::from_secs(20);

/// Callers at each entry.
const CALLERS: usize = 6;

fn adjust(_: usize, settings: &mut Settings) {
    settings.moves.plan = schedule::Plan {
        shares: vec![50, 250, 1_000],
        dwell_floor_ms: 200,
        dwell_ceiling_ms: 300,
        requests: 10,
    };
}

/// A cluster with two versions of each service.
async fn start() -> Arc<Cluster> {
    let plan = Plan {
        engine: engine::Config {
            token_interval: Duration::from_millis(4),
            ..engine::Config::default()
        },
        adjust,
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
    cluster::wait("every entry knows the new version", || {
        let known = |entry: &medlarfall_serving::entry::Entry| {
            entry.context.directory.borrow().iter().count() == 7
        };
        cluster.entries.iter().all(known)
    })
    .await
    .expect("the new version is known");
    Arc::new(cluster)
}

/// Calls the plain service at every entry until the load is dropped.
fn call(cluster: &Arc<Cluster>) -> JoinSet<()> {
    call_at(cluster, cluster.entries.len())
}

/// Calls the plain service at the first entries until the load is dropped.
fn call_at(cluster: &Arc<Cluster>, entries: usize) -> JoinSet<()> {
    let mut load = JoinSet::new();
    let count = Arc::new(AtomicU64::new(0));
    for index in 0..CALLERS * entries {
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

/// Generates at every entry until the load is dropped; counts wrong answers.
fn generate(cluster: &Arc<Cluster>, wrong: &Arc<AtomicU64>) -> JoinSet<()> {
    let mut load = JoinSet::new();
    for index in 0..CALLERS * cluster.entries.len() {
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
                let answer = caller.whole(&completion).await;
                let whole = ["v1", "v2"].map(|version| oracle::answer(version, &prompt, 24));
                if !answer.is_ok_and(|answer| whole.contains(&answer)) {
                    wrong.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    load
}

/// Starts a move at entry 0 and watches it at entry 1; returns the states that the operator saw.
async fn run(cluster: &Cluster, service: &str) -> Vec<MoveState> {
    let mut operator = cluster.operator(0).expect("an operator");
    let started = operator
        .start_move(service, "v2", deadline_ms(WITHIN))
        .await
        .expect("the move is accepted");
    watch(cluster, service, &started.move_id).await
}

/// Watches a move at entry 1 to its end.
async fn watch(cluster: &Cluster, service: &str, id: &str) -> Vec<MoveState> {
    let mut watcher = cluster.operator(1).expect("an operator");
    let mut states = watcher.watch_move(service, id).await.expect("a watch");
    let mut seen = Vec::new();
    while let Some(state) = states.message().await.expect("a state") {
        seen.push(state);
    }
    let ends = seen.iter().filter(|state| ended(state)).count();
    assert_eq!(ends, 1, "the end is told once: {seen:?}");
    seen
}

fn last(seen: &[MoveState]) -> &MoveState {
    seen.last().expect("at least the end")
}

/// Waits until the declaration in force at every entry names a version.
async fn declared(cluster: &Cluster, service: &str, version: &str) {
    cluster::wait("every entry has the version declared", || {
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
    let cluster = start().await;
    let load = call(&cluster);
    let seen = run(&cluster, TRACKER).await;
    assert_eq!(last(&seen).phase(), MovePhase::Done, "{seen:?}");
    declared(&cluster, TRACKER, "v2").await;
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
    let cluster = start().await;
    let wrong = Arc::new(AtomicU64::new(0));
    let load = generate(&cluster, &wrong);
    let seen = run(&cluster, BRIEFS).await;
    assert_eq!(last(&seen).phase(), MovePhase::Done, "{seen:?}");
    declared(&cluster, BRIEFS, "v2").await;
    drop(load);
    assert_eq!(wrong.load(Ordering::Relaxed), 0);
}

async fn taken_back_engine(faults: engine::Faults) {
    let cluster = start().await;
    for engine in &cluster.engines[2..] {
        engine.engine.set_faults(faults.clone());
    }
    let wrong = Arc::new(AtomicU64::new(0));
    let load = generate(&cluster, &wrong);
    let seen = run(&cluster, BRIEFS).await;
    assert_eq!(last(&seen).phase(), MovePhase::TakenBack, "{seen:?}");
    assert!(
        last(&seen).reason.contains("than the old version"),
        "{seen:?}"
    );
    drop(load);
    declared(&cluster, BRIEFS, "v1").await;
}

#[tokio::test]
async fn a_model_that_fails_at_once_is_taken_back() {
    taken_back_engine(engine::Faults {
        fail_every: 1,
        ..engine::Faults::default()
    })
    .await;
}

#[tokio::test]
async fn a_model_that_fails_later_is_taken_back() {
    taken_back_engine(engine::Faults {
        fail_every: 2,
        after_requests: 10,
        ..engine::Faults::default()
    })
    .await;
}

#[tokio::test]
async fn a_model_that_is_slow_is_taken_back() {
    taken_back_engine(engine::Faults {
        slow_factor: 5.0,
        ..engine::Faults::default()
    })
    .await;
}

async fn taken_back_service(faults: service::Faults) -> Vec<MoveState> {
    let cluster = start().await;
    for plain in &cluster.services[1..] {
        plain.service.set_faults(faults.clone());
    }
    let load = call(&cluster);
    let seen = run(&cluster, TRACKER).await;
    drop(load);
    assert_eq!(last(&seen).phase(), MovePhase::TakenBack, "{seen:?}");
    declared(&cluster, TRACKER, "v1").await;
    seen
}

#[tokio::test]
async fn a_service_that_fails_on_one_route_is_taken_back() {
    let seen = taken_back_service(service::Faults {
        fail_path: "/plots".to_owned(),
        ..service::Faults::default()
    })
    .await;
    assert!(
        last(&seen).reason.contains("than the old version"),
        "{seen:?}"
    );
}

#[tokio::test]
async fn a_service_that_is_slow_is_taken_back() {
    let seen = taken_back_service(service::Faults {
        slow_ms: 60,
        ..service::Faults::default()
    })
    .await;
    assert!(last(&seen).reason.contains("calls take longer"), "{seen:?}");
}

#[tokio::test]
async fn a_version_without_requests_returns_at_the_deadline() {
    let cluster = start().await;
    let mut operator = cluster.operator(0).expect("an operator");
    let started = operator
        .start_move(TRACKER, "v2", deadline_ms(Duration::from_secs(1)))
        .await
        .expect("the move is accepted");
    let seen = watch(&cluster, TRACKER, &started.move_id).await;
    assert_eq!(last(&seen).phase(), MovePhase::TakenBack);
    assert!(last(&seen).reason.contains("deadline"), "{seen:?}");
}

#[tokio::test]
async fn a_cancelled_move_is_taken_back_and_another_may_follow() {
    let cluster = start().await;
    let load = call(&cluster);
    let mut operator = cluster.operator(0).expect("an operator");
    let first = operator
        .start_move(TRACKER, "v2", deadline_ms(WITHIN))
        .await
        .expect("the move is accepted");
    let second = operator
        .start_move(TRACKER, "v3", deadline_ms(WITHIN))
        .await;
    let refused = second.expect_err("a second move is refused");
    assert!(refused.message().contains("cancel it first"), "{refused}");
    let cancelled = operator
        .cancel_move(TRACKER, &first.move_id)
        .await
        .expect("the move is cancelled");
    assert_eq!(cancelled.phase(), MovePhase::TakenBack);
    let seen = watch(&cluster, TRACKER, &first.move_id).await;
    assert_eq!(last(&seen).reason, store::CANCELLED);
    let again = run(&cluster, TRACKER).await;
    assert_eq!(
        (last(&again).phase(), last(&again).number),
        (MovePhase::Done, 2)
    );
    drop(load);
}

#[tokio::test]
async fn a_bad_version_gets_no_requests_while_the_platform_is_down() {
    let cluster = start().await;
    let load = call(&cluster);
    let mut operator = cluster.operator(0).expect("an operator");
    let started = operator
        .start_move(TRACKER, "v2", deadline_ms(WITHIN))
        .await
        .expect("the move is accepted");
    let known = |wanted: fn(&MovePhase) -> bool| {
        let cluster = Arc::clone(&cluster);
        move || cluster.entries.iter().all(|entry| phase(entry, wanted))
    };
    let moving = known(|phase| *phase == MovePhase::Stage);
    cluster::wait("every entry moves", moving)
        .await
        .expect("moving");
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
    cluster::wait("every entry has braked", braked)
        .await
        .expect("braked");
    for entry in &cluster.entries {
        let record = entry.context.moves.last(TRACKER).expect("a move");
        let reason = format!("{:?}", record.phase);
        assert!(reason.contains("than the old version"), "{reason}");
    }
    let recorded = cluster.platform.peek(&format!("{PREFIX}{TRACKER}"));
    let recorded = recorded.expect("a record").value;
    assert!(
        recorded.contains("stage"),
        "nothing is recorded yet: {recorded}"
    );
    cluster.platform.set_faults(platform::Faults::default());
    let seen = watch(&cluster, TRACKER, &started.move_id).await;
    assert_eq!(last(&seen).phase(), MovePhase::TakenBack, "{seen:?}");
    drop(load);
}

#[tokio::test]
async fn a_brake_reaches_an_entry_without_requests_while_the_platform_is_down() {
    let cluster = start().await;
    cluster::wait("the entries know each other", || {
        let knows = |entry: &medlarfall_serving::entry::Entry| {
            entry.context.membership.view().borrow().up().count() == 1
        };
        cluster.entries.iter().all(knows)
    })
    .await
    .expect("the entries know each other");
    let mut operator = cluster.operator(0).expect("an operator");
    operator
        .start_move(TRACKER, "v2", deadline_ms(Duration::from_mins(2)))
        .await
        .expect("the move is accepted");
    cluster::wait("every entry moves", || {
        let moving = |phase: &MovePhase| *phase == MovePhase::Stage;
        cluster.entries.iter().all(|entry| phase(entry, moving))
    })
    .await
    .expect("moving");
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
    let load = call_at(&cluster, 1);
    cluster::wait("the entry without requests has braked", || {
        phase(&cluster.entries[1], |phase| *phase == MovePhase::Braked)
    })
    .await
    .expect("braked");
    drop(load);
}

/// Returns whether the last move of the plain service is in a phase at an entry.
fn phase(entry: &medlarfall_serving::entry::Entry, wanted: fn(&MovePhase) -> bool) -> bool {
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
async fn a_dead_server_of_a_good_version_does_not_take_it_back() {
    let cluster = start().await;
    let load = call(&cluster);
    let mut operator = cluster.operator(0).expect("an operator");
    let started = operator
        .start_move(TRACKER, "v2", deadline_ms(WITHIN))
        .await
        .expect("the move is accepted");
    cluster.services[1].service.lifecycle().crash();
    let seen = watch(&cluster, TRACKER, &started.move_id).await;
    assert_eq!(last(&seen).phase(), MovePhase::Done, "{seen:?}");
    drop(load);
}

#[tokio::test]
async fn racing_entries_record_one_end_also_when_answers_are_lost() {
    let cluster = start().await;
    let mut operator = cluster.operator(0).expect("an operator");
    let started = operator
        .start_move(TRACKER, "v2", deadline_ms(WITHIN))
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
    let (first, second) = (store(0), store(1));
    let (done, back) = tokio::join!(store::write(&first, &ahead), store::write(&second, &braked));
    let (done, back) = (done.expect("settled"), back.expect("settled"));
    assert_eq!(done, back);
    assert!(done.phase.ended());
    let seen = watch(&cluster, TRACKER, &started.move_id).await;
    let expected = match done.phase {
        medlarfall_coordination::rollout::Phase::Done => MovePhase::Done,
        _ => MovePhase::TakenBack,
    };
    assert_eq!(last(&seen).phase(), expected);
}
