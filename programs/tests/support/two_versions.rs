//! A cluster with two versions of the plain service, and a move from one to the other at its last stage.

use std::time::Duration;

use medlarfall::cluster::{self, Cluster, Plan, TRACKER};
use medlarfall::commands::moves::deadline_ms;
use medlarfall_coordination::rollout::Record;
use medlarfall_serving::configs::Settings;
use medlarfall_serving::entry::Entry;
use medlarfall_serving::modules::moves::Message;
use medlarfall_standin::service;

/// Returns whether an entry knows a server of a version of the plain service.
pub fn knows(entry: &Entry, version: &str) -> bool {
    let directory = entry.context.directory.borrow();
    let mut servers = directory.servers(TRACKER).iter();
    servers.any(|server| *server.version == *version && !server.leaving)
}

/// Starts a cluster in which every entry knows a server of `v1` and one of `v2`.
pub async fn start(adjust_settings: fn(usize, &mut Settings)) -> Cluster {
    let plan = Plan {
        adjust_settings,
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
    cluster
}

/// Starts a move to `v2`, and tells the first entry that it is at its last stage, whose record is returned.
pub async fn move_to_last_stage(cluster: &Cluster) -> Record {
    let mut operator = cluster.operator(0).expect("an operator client");
    operator
        .start_move(TRACKER, "v2", deadline_ms(Duration::from_hours(1)))
        .await
        .expect("the move is accepted");
    let moves = &cluster.entries[0].context.moves;
    cluster::wait_until("the move is known", || moves.last(TRACKER).is_some())
        .await
        .expect("the move is known");
    let mut record = (*moves.last(TRACKER).expect("a move")).clone();
    while !record.at_last_stage() {
        record = record.advance();
    }
    moves.send(Message::Received(record.clone())).await;
    record
}
