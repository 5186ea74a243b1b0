//! Orders to engine stand-ins, with and without fencing: locks, lost answers of the store and
//! paused engines.

use std::sync::Arc;
use std::time::Duration;

use medlarfall::cluster::{BRIEFS, Cluster, Plan, briefs};
use medlarfall_coordination::fencing::Policy;
use medlarfall_schema::operator::OrderRequest;
use medlarfall_serving::backend::http::Client;
use medlarfall_serving::backend::{Engine as _, Order, OrderResponse, Server};
use medlarfall_serving::modules::orders::{self, Dependencies, Desired};
use medlarfall_serving::platform;
use medlarfall_serving::platform::Store as _;
use medlarfall_standin::engine::Config;
use medlarfall_standin::platform::Faults;

/// Timeout of one order to an engine.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the lock of a server.
const LOCK_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts one entry and one engine, which enforces fencing or not.
async fn cluster(fencing: bool) -> Cluster {
    let engine = Config {
        fencing,
        load_time: Duration::from_millis(50),
        ..Config::default()
    };
    Cluster::start(Plan {
        engines: 1,
        entries: 1,
        engine,
        adjust_settings: |_, settings| settings.orders.policy.order_timeout = ORDER_TIMEOUT,
        ..Plan::default()
    })
    .await
    .expect("a cluster")
}

/// Returns the only engine as a backend server.
fn server(cluster: &Cluster) -> Server {
    let instance = serde_json::to_value(&cluster.engines[0].instance).expect("JSON");
    let instance: platform::Instance = serde_json::from_value(instance).expect("an instance");
    Server::try_from(instance).expect("a server")
}

/// Returns what the entry needs to give orders, with at most three attempts per order.
fn dependencies(cluster: &Cluster) -> Dependencies<platform::http::Client, Client> {
    let context = &cluster.entries[0].context;
    let mut settings = context.settings.orders;
    settings.policy = Policy {
        order_timeout: ORDER_TIMEOUT,
        attempts: 3,
    };
    Dependencies {
        settings,
        ..context.orders()
    }
}

fn drain(drain: bool) -> Desired {
    Desired {
        drain: Some(drain),
        ..Desired::default()
    }
}

#[tokio::test]
async fn an_operator_orders_an_engine_to_load_and_to_drain() {
    let cluster = cluster(true).await;
    let mut operator = cluster.operator(0).expect("an operator client");
    let order = OrderRequest {
        server: "engine-0".to_owned(),
        versions: vec!["v1".to_owned(), "v2".to_owned()],
        drain: Some(true),
        ..OrderRequest::default()
    };
    let state = operator
        .order(order.clone())
        .await
        .expect("the order is carried out");
    assert_eq!(state.versions, ["v1", "v2"]);
    assert!(state.draining && state.fencing > 0);
    // A repeated order has no further effect.
    let again = operator
        .order(order)
        .await
        .expect("the order is carried out");
    assert_eq!((again.versions, again.draining), (state.versions, true));
    for (server, remedy) in [
        ("engine-9", "check the name"),
        ("engine-0", "name versions"),
    ] {
        let order = OrderRequest {
            server: server.to_owned(),
            ..OrderRequest::default()
        };
        let refused = operator.order(order).await.expect_err("a refusal");
        assert!(refused.message().contains(remedy), "{refused}");
    }
}

#[tokio::test]
async fn an_order_of_an_old_holder_is_refused_by_a_server_that_enforces_fencing() {
    let cluster = cluster(true).await;
    let server = server(&cluster);
    let dependencies = dependencies(&cluster);
    let first = orders::execute(&dependencies, &server, &drain(true), true, LOCK_TIMEOUT).await;
    let old = first.expect("the order is carried out").fencing;
    let second = orders::execute(&dependencies, &server, &drain(false), true, LOCK_TIMEOUT).await;
    let newer = second.expect("the order is carried out").fencing;
    assert!(newer > old, "{newer} > {old}");
    let late = Order {
        fencing: old,
        drain: Some(true),
        ..Order::default()
    };
    let late = dependencies.engine.order(&server, &late).await;
    assert_eq!(late, Ok(OrderResponse::Fenced));
    let state = dependencies
        .engine
        .order_state(&server)
        .await
        .expect("the state of the engine");
    assert!(!state.draining, "the newer order must stay in force");
}

#[tokio::test]
async fn a_holder_waits_until_the_lease_of_the_previous_holder_has_ended() {
    for fencing in [true, false] {
        let cluster = cluster(fencing).await;
        let server = server(&cluster);
        let dependencies = dependencies(&cluster);
        let lease = dependencies
            .store
            .grant(ORDER_TIMEOUT * 2)
            .await
            .expect("a lease");
        let held = dependencies
            .store
            .put("orders/engine-0", "another".to_owned(), 0, Some(lease))
            .await
            .expect("the lock");
        let given =
            orders::execute(&dependencies, &server, &drain(true), fencing, LOCK_TIMEOUT).await;
        let state = given.expect("the order is carried out");
        assert!(state.draining);
        assert!(state.fencing > held, "{} > {held}", state.fencing);
    }
}

#[tokio::test]
async fn no_order_is_sent_under_the_lock_of_another_holder_and_the_remedy_is_named() {
    let cluster = cluster(false).await;
    let server = server(&cluster);
    let dependencies = dependencies(&cluster);
    let lease = dependencies.store.grant(Duration::from_mins(1)).await;
    let lease = lease.expect("a lease");
    dependencies
        .store
        .put("orders/engine-0", "another".to_owned(), 0, Some(lease))
        .await
        .expect("the lock");
    let given = orders::execute(&dependencies, &server, &drain(true), false, Duration::ZERO).await;
    let message = given.expect_err("another holder has the lock").to_string();
    assert!(message.contains("the other holder is done"), "{message}");
    let state = dependencies
        .engine
        .order_state(&server)
        .await
        .expect("the state of the engine");
    assert!(!state.draining, "an order was sent without the lock");
}

#[tokio::test]
async fn an_order_is_carried_out_when_answers_of_the_store_are_lost() {
    for lost in 1..5 {
        let cluster = cluster(false).await;
        let server = server(&cluster);
        let dependencies = dependencies(&cluster);
        cluster.platform.set_faults(Faults {
            drop_answers: lost,
            ..Faults::default()
        });
        let given =
            orders::execute(&dependencies, &server, &drain(true), false, LOCK_TIMEOUT).await;
        assert!(given.expect("the order is carried out").draining);
    }
}

#[tokio::test]
async fn concurrent_holders_with_contrary_orders_each_see_their_own_order_carried_out() {
    for fencing in [true, false] {
        let cluster = cluster(fencing).await;
        let server = Arc::new(server(&cluster));
        let dependencies = Arc::new(dependencies(&cluster));
        let holders: Vec<_> = (0..6)
            .map(|index| {
                let (dependencies, server) = (Arc::clone(&dependencies), Arc::clone(&server));
                tokio::spawn(async move {
                    let desired = drain(index % 2 == 0);
                    let lock_timeout = Duration::from_secs(20);
                    let given =
                        orders::execute(&dependencies, &server, &desired, fencing, lock_timeout)
                            .await;
                    given.map(|state| (state.fencing, state.draining, desired.drain))
                })
            })
            .collect();
        for holder in futures::future::join_all(holders).await {
            let (_, draining, desired) =
                holder.expect("no panic").expect("the order is carried out");
            // No other holder gave an order while this one had the lock.
            assert_eq!(Some(draining), desired);
        }
    }
}

#[tokio::test]
async fn an_order_to_a_paused_engine_is_reported_as_failed() {
    let cluster = cluster(true).await;
    let server = server(&cluster);
    let dependencies = dependencies(&cluster);
    cluster.engines[0]
        .engine
        .lifecycle()
        .pause(Duration::from_mins(1));
    let given = orders::execute(&dependencies, &server, &drain(true), true, LOCK_TIMEOUT).await;
    let message = given.expect_err("the engine does not answer").to_string();
    assert!(message.contains("order again"), "{message}");
}

#[tokio::test]
async fn a_declaration_states_whether_a_server_enforces_fencing() {
    let cluster = cluster(true).await;
    let context = &cluster.entries[0].context;
    let server = server(&cluster);
    assert!(!context.enforces_fencing(&server));
    let mut operator = cluster.operator(0).expect("an operator client");
    let mut services = operator.list().await.expect("the declarations");
    services.retain(|service| service.name == BRIEFS);
    let mut declared = services.pop().unwrap_or_else(|| briefs("v1"));
    declared.fencing = true;
    operator
        .apply(declared)
        .await
        .expect("the declaration is accepted");
    medlarfall::cluster::wait_until("the declaration is in force", || {
        context.enforces_fencing(&server)
    })
    .await
    .expect("the declaration is in force");
}
