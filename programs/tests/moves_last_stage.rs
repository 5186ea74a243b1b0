//! The last stage of a move needs no server of the old version.

use std::time::Duration;

use hyper::Method;
use medlarfall::cluster::{self, Cluster, Plan, TRACKER};
use medlarfall::commands::moves::deadline_ms;
use medlarfall_serving::configs::Settings;
use medlarfall_serving::entry::Entry;
use medlarfall_serving::modules::moves::Message;
use medlarfall_standin::platform::Instance;
use medlarfall_standin::service;

/// Makes each stage outlast the test.
fn adjust(_: usize, settings: &mut Settings) {
    settings.moves.plan.requests = u64::MAX;
}

/// Returns whether an entry knows a server of a version of the plain service.
fn knows(entry: &Entry, version: &str) -> bool {
    let directory = entry.context.directory.borrow();
    let mut servers = directory.servers(TRACKER).iter();
    servers.any(|server| *server.version == *version && !server.leaving)
}

#[tokio::test]
async fn the_requests_of_an_old_version_without_servers_go_to_the_new_one() {
    let plan = Plan {
        adjust_settings: adjust,
        ..Plan::default()
    };
    let mut cluster = Cluster::start(plan).await.expect("a cluster");
    let config = service::Config {
        version: "v2".to_owned(),
        ..service::Config::default()
    };
    cluster.add_service(config).await.expect("a service");
    cluster::wait_until("every entry knows the new version", || {
        cluster.entries.iter().all(|entry| knows(entry, "v2"))
    })
    .await
    .expect("the new version is known");
    let mut operator = cluster.operator(0).expect("an operator client");
    operator
        .start_move(TRACKER, "v2", deadline_ms(Duration::from_hours(1)))
        .await
        .expect("the move is accepted");
    cluster::wait_until("the move is known", || {
        cluster.entries[0].context.moves.last(TRACKER).is_some()
    })
    .await
    .expect("the move is known");
    let moves = &cluster.entries[0].context.moves;
    let mut record = (*moves.last(TRACKER).expect("a move")).clone();
    while !record.at_last_stage() {
        record = record.advance();
    }
    moves.send(Message::Received(record.clone())).await;
    cluster.platform.register(Instance {
        version: "v2".to_owned(),
        address: cluster.services[1].instance.address.clone(),
        ..cluster.services[0].instance.clone()
    });
    cluster::wait_until("the old version has no server at the last stage", || {
        let entry = &cluster.entries[0];
        let last = entry.context.moves.last(TRACKER).expect("a move");
        last.phase == record.phase && !knows(entry, "v1")
    })
    .await
    .expect("the old version has no server");
    let caller = cluster.caller(0);
    for number in 0..50 {
        let path = format!("/s/tracker/records/{number}");
        let reply = caller.call(Method::GET, &path, "").await.expect("a reply");
        assert!(reply.body.contains("\"version\":\"v2\""), "{reply:?}");
    }
    let last = cluster.entries[0].context.moves.last(TRACKER);
    assert_eq!(last.expect("a move").phase, record.phase);
}
