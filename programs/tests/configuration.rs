//! Declarations on a whole cluster: racing operators, outages, cuts and restarts.

use medlarfall::cluster::{self, Cluster, Plan, TRACKER};
use medlarfall_schema::declaration::Service;
use medlarfall_schema::operator::{ApplyReply, ApplyRequest};
use medlarfall_standin::platform::Faults;
use tonic::{Code, Status};

async fn start(entries: usize) -> Cluster {
    let plan = Plan {
        entries,
        engines: 1,
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await.expect("the cluster is up");
    cluster::wait_until("the entries know each other", || {
        cluster.entries.iter().all(|entry| {
            let membership = entry.context.membership.view().borrow().clone();
            membership.neighbours.len() + 1 >= entries / 2 && !membership.contacts.is_empty()
        })
    })
    .await
    .expect("the entries know each other");
    cluster
}

fn declared(version: &str, revision: u64) -> Service {
    Service {
        revision,
        ..cluster::tracker(version)
    }
}

async fn apply(
    cluster: &Cluster,
    entry: usize,
    service: Service,
    wait: bool,
) -> Result<ApplyReply, Status> {
    let request = ApplyRequest {
        change_id: format!("{}-{}", service.version, service.revision),
        service: Some(service),
        wait,
        ..ApplyRequest::default()
    };
    let mut operator = cluster.operator(entry).expect("an operator");
    operator.apply_request(request).await
}

fn revision(cluster: &Cluster, entry: usize) -> u64 {
    let declarations = cluster.entries[entry].context.declarations.borrow().clone();
    declarations.revision(TRACKER).unwrap_or_default()
}

async fn in_force(cluster: &Cluster, expected: u64) {
    cluster::wait_until("the revision is in force everywhere", || {
        (0..cluster.entries.len()).all(|entry| revision(cluster, entry) >= expected)
    })
    .await
    .expect("the revision is in force");
}

async fn readiness(cluster: &Cluster, entry: usize) -> (u16, String) {
    let address = cluster.entries[entry].addresses.metrics;
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("a connection");
    let request = b"GET /readyz HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, request)
        .await
        .expect("a request");
    let mut answer = String::new();
    tokio::io::AsyncReadExt::read_to_string(&mut stream, &mut answer)
        .await
        .expect("an answer");
    let status = answer.split(' ').nth(1).and_then(|code| code.parse().ok());
    (status.expect("a status"), answer)
}

#[tokio::test]
async fn a_change_is_in_force_everywhere_when_its_wait_ends() {
    let cluster = start(6).await;
    let reply = apply(&cluster, 3, declared("v2", 1), true)
        .await
        .expect("accepted");
    assert_eq!((reply.confirmed, reply.missing), (6, Vec::new()));
    for entry in 0..6 {
        assert_eq!(revision(&cluster, entry), 2);
    }
}

#[tokio::test]
async fn of_racing_operators_one_is_accepted_and_the_others_see_its_revision() {
    let cluster = start(4).await;
    let racers =
        (0..4).map(|entry| apply(&cluster, entry, declared(&format!("v{entry}"), 1), false));
    let outcomes = futures::future::join_all(racers).await;
    let accepted = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    assert_eq!(accepted, 1);
    for refused in outcomes.into_iter().filter_map(Result::err) {
        assert_eq!(refused.code(), Code::Aborted);
        let message = refused.message();
        assert!(message.contains("at revision 2, not 1"), "{message}");
    }
    in_force(&cluster, 2).await;
}

#[tokio::test]
async fn a_lost_answer_and_old_reads_make_no_second_change() {
    let cluster = start(4).await;
    cluster.platform.set_faults(Faults {
        drop_answers: 1,
        stale_reads: 2,
        ..Faults::default()
    });
    let reply = apply(&cluster, 0, declared("v2", 1), false)
        .await
        .expect("accepted");
    assert_eq!(reply.service.map(|service| service.revision), Some(2));
    in_force(&cluster, 2).await;
    let again = apply(&cluster, 1, declared("v2", 1), false)
        .await
        .expect("the same change");
    assert_eq!(again.service.map(|service| service.revision), Some(2));
}

#[tokio::test]
async fn an_entry_cut_off_from_the_platform_learns_from_its_peers() {
    let cluster = start(6).await;
    cluster.platform.set_faults(Faults {
        cut_off: vec!["entry-0".to_owned(), "entry-2".to_owned()],
        ..Faults::default()
    });
    let reply = apply(&cluster, 1, declared("v2", 1), true)
        .await
        .expect("accepted");
    assert_eq!(reply.confirmed, 6);
    let refused = apply(&cluster, 0, declared("v3", 2), false).await;
    let refused = refused.expect_err("a change needs the store");
    assert_eq!(refused.code(), Code::Unavailable, "{}", refused.message());
}

#[tokio::test]
async fn an_entry_that_starts_in_an_outage_takes_the_newest_from_its_peers() {
    let mut cluster = start(4).await;
    apply(&cluster, 0, declared("v2", 1), true)
        .await
        .expect("accepted");
    cluster.platform.set_faults(Faults {
        down: true,
        instances_down: true,
        ..Faults::default()
    });
    cluster.add_entry().await.expect("an entry starts");
    in_force(&cluster, 2).await;
    let added = &cluster.entries[4].context;
    cluster::wait_until("the entry is ready and knows the backend servers", || {
        added.declarations.borrow().loaded && added.directory.borrow().iter().count() > 1
    })
    .await
    .expect("the peers are asked");
    assert_eq!(readiness(&cluster, 4).await.0, 200);
}

#[tokio::test]
async fn an_entry_alone_in_an_outage_is_not_ready_and_says_why() {
    let mut cluster = start(2).await;
    cluster.platform.set_faults(Faults {
        down: true,
        instances_down: true,
        ..Faults::default()
    });
    cluster.entries.drain(..).for_each(|entry| entry.kill());
    cluster.add_entry().await.expect("an entry starts");
    let (status, answer) = readiness(&cluster, 0).await;
    assert_eq!(status, 503);
    assert!(answer.contains("peers.seeds"), "{answer}");
    cluster.platform.set_faults(Faults::default());
    in_force_after_outage(&cluster).await;
}

async fn in_force_after_outage(cluster: &Cluster) {
    cluster::wait_until("the entry has read the store", || revision(cluster, 0) == 1)
        .await
        .expect("the store is read");
    assert_eq!(readiness(cluster, 0).await.0, 200);
}

#[tokio::test]
async fn the_entries_that_read_the_store_are_replaced_when_they_die() {
    let cluster = start(6).await;
    for entry in [0, 2, 1, 3] {
        cluster.entries[entry].kill();
    }
    let reply = apply(&cluster, 4, declared("v2", 1), true)
        .await
        .expect("accepted");
    assert!(reply.missing.is_empty(), "{:?}", reply.missing);
    assert_eq!((revision(&cluster, 4), revision(&cluster, 5)), (2, 2));
}

#[tokio::test]
async fn a_deleted_service_stays_deleted() {
    let cluster = start(4).await;
    let deletion = Service {
        deleted: true,
        ..declared("v1", 1)
    };
    apply(&cluster, 0, deletion, true).await.expect("accepted");
    for entry in &cluster.entries {
        assert!(
            entry
                .context
                .declarations
                .borrow()
                .service(TRACKER)
                .is_none()
        );
    }
    let refused = apply(&cluster, 1, declared("v2", 0), false).await;
    let refused = refused.expect_err("revision 0 is long gone");
    assert!(
        refused.message().contains("at revision 2"),
        "{}",
        refused.message()
    );
    apply(&cluster, 1, declared("v2", 2), true)
        .await
        .expect("it is declared again");
    in_force(&cluster, 3).await;
}
