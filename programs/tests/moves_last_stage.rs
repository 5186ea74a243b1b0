//! The last stage of a move needs no server of the old version.

use hyper::Method;
use medlarfall::cluster::{self, TRACKER};
use medlarfall_serving::configs::Settings;
use medlarfall_standin::platform::Instance;

#[path = "support/two_versions.rs"]
mod two_versions;

use two_versions::{knows, move_to_last_stage, start};

/// Makes each stage outlast the test.
fn adjust(_: usize, settings: &mut Settings) {
    settings.moves.plan.requests = u64::MAX;
}

#[tokio::test]
async fn the_requests_of_an_old_version_without_servers_go_to_the_new_one() {
    let cluster = start(adjust).await;
    let record = move_to_last_stage(&cluster).await;
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
