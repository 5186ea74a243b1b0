//! Calls that wait for a server when the version that they were assigned to is taken back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::Method;
use medlarfall::cluster::{self, TRACKER};
use medlarfall_serving::configs::Settings;
use medlarfall_serving::modules::moves::Message;
use medlarfall_standin::service;
use tokio::task::JoinSet;

#[allow(dead_code, reason = "other tests use the rest")]
#[path = "support/two_versions.rs"]
mod two_versions;

use two_versions::{move_to_last_stage, start};

/// Calls that fill the queue of the entry, most of them for the new version.
const CALLS: usize = 100;

/// Lowest status of a refusal.
const CLIENT_ERROR: u16 = 400;

/// One call at a time for each server, and a short queue. Makes each stage outlast the test.
fn adjust(_: usize, settings: &mut Settings) {
    settings.moves.plan.requests = u64::MAX;
    settings.admission.service_calls = 1;
    settings.admission.waiting = 16;
}

#[tokio::test]
async fn calls_that_wait_are_not_sent_to_a_version_that_was_taken_back_meanwhile() {
    let cluster = start(adjust).await;
    let new = cluster.services.last().expect("the new version");
    new.service.set_faults(service::Faults {
        slow_ms: 500,
        ..service::Faults::default()
    });
    let record = move_to_last_stage(&cluster).await;
    let moves = &cluster.entries[0].context.moves;
    cluster::wait_until("the last stage is known", || {
        let last = moves.last(TRACKER);
        last.is_some_and(|last| last.phase == record.phase)
    })
    .await
    .expect("the last stage is known");

    let full = Arc::new(AtomicBool::new(false));
    let mut calls = JoinSet::new();
    for number in 0..CALLS {
        let (caller, full) = (cluster.caller(0), Arc::clone(&full));
        calls.spawn(async move {
            let path = format!("/s/tracker/records/{number}");
            let reply = caller.call(Method::GET, &path, "").await.expect("a reply");
            full.fetch_or(reply.status >= CLIENT_ERROR, Ordering::Relaxed);
        });
    }
    cluster::wait_until("the queue is full", || full.load(Ordering::Relaxed))
        .await
        .expect("the queue is full");
    let before = new.service.stats().requests;
    moves.send(Message::Received(record.brake("fails"))).await;
    cluster::wait_until("the brake is known", || {
        moves.last(TRACKER).is_some_and(|last| last.share() == 0)
    })
    .await
    .expect("the brake is known");
    calls.join_all().await;
    assert!(new.service.stats().requests <= before + 1);
}
