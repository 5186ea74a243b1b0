//! Distribution of declarations in an embedded cluster: concurrent operators, platform outages,
//! entries cut off from the platform, and entries that start or die.

use medlarfall::cluster::{self, Cluster, Plan, TRACKER};
use medlarfall_schema::declaration::Service;
use medlarfall_schema::operator::{ApplyReply, ApplyRequest};
use medlarfall_standin::platform::Faults;
use tonic::{Code, Status};

/// Starts a cluster with one engine and waits until its entries know each other.
async fn start_cluster(entries: usize) -> Cluster {
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

/// Returns a declaration of the plain service with a version and a revision.
fn tracker_at(version: &str, revision: u64) -> Service {
    Service {
        revision,
        ..cluster::tracker(version)
    }
}

/// Applies a declaration at an entry; with `wait`, until every entry has confirmed it.
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
    let mut operator = cluster.operator(entry).expect("an operator client");
    operator.apply_request(request).await
}

/// Returns the revision of the plain service that is in force at an entry, or 0.
fn declared_revision(cluster: &Cluster, entry: usize) -> u64 {
    let declarations = cluster.entries[entry].context.declarations.borrow().clone();
    declarations.revision(TRACKER).unwrap_or_default()
}

/// Waits until a revision of the plain service, or a later one, is in force at every entry.
async fn wait_for_revision(cluster: &Cluster, expected: u64) {
    cluster::wait_until("the revision is in force everywhere", || {
        (0..cluster.entries.len()).all(|entry| declared_revision(cluster, entry) >= expected)
    })
    .await
    .expect("the revision is in force");
}

/// Returns the status code and the whole response of `/readyz` at an entry.
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
    let cluster = start_cluster(6).await;
    let reply = apply(&cluster, 3, tracker_at("v2", 1), true)
        .await
        .expect("accepted");
    assert_eq!((reply.confirmed, reply.missing), (6, Vec::new()));
    for entry in 0..6 {
        assert_eq!(declared_revision(&cluster, entry), 2);
    }
}

#[tokio::test]
async fn of_concurrent_changes_one_is_accepted_and_the_others_see_its_revision() {
    let cluster = start_cluster(4).await;
    let changes =
        (0..4).map(|entry| apply(&cluster, entry, tracker_at(&format!("v{entry}"), 1), false));
    let outcomes = futures::future::join_all(changes).await;
    let accepted = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    assert_eq!(accepted, 1);
    for refused in outcomes.into_iter().filter_map(Result::err) {
        assert_eq!(refused.code(), Code::Aborted);
        let message = refused.message();
        assert!(message.contains("at revision 2, not 1"), "{message}");
    }
    wait_for_revision(&cluster, 2).await;
}

#[tokio::test]
async fn a_lost_answer_and_stale_reads_cause_no_second_change() {
    let cluster = start_cluster(4).await;
    cluster.platform.set_faults(Faults {
        drop_answers: 1,
        stale_reads: 2,
        ..Faults::default()
    });
    let reply = apply(&cluster, 0, tracker_at("v2", 1), false)
        .await
        .expect("accepted");
    assert_eq!(reply.service.map(|service| service.revision), Some(2));
    wait_for_revision(&cluster, 2).await;
    let again = apply(&cluster, 1, tracker_at("v2", 1), false)
        .await
        .expect("the same change");
    assert_eq!(again.service.map(|service| service.revision), Some(2));
}

#[tokio::test]
async fn an_entry_cut_off_from_the_platform_receives_changes_from_its_peers() {
    let cluster = start_cluster(6).await;
    cluster.platform.set_faults(Faults {
        cut_off: vec!["entry-0".to_owned(), "entry-2".to_owned()],
        ..Faults::default()
    });
    let reply = apply(&cluster, 1, tracker_at("v2", 1), true)
        .await
        .expect("accepted");
    assert_eq!(reply.confirmed, 6);
    let refused = apply(&cluster, 0, tracker_at("v3", 2), false).await;
    let refused = refused.expect_err("a change needs the store");
    assert_eq!(refused.code(), Code::Unavailable, "{}", refused.message());
}

#[tokio::test]
async fn an_entry_that_starts_in_an_outage_receives_the_newest_declarations_from_its_peers() {
    let mut cluster = start_cluster(4).await;
    apply(&cluster, 0, tracker_at("v2", 1), true)
        .await
        .expect("accepted");
    cluster.platform.set_faults(Faults {
        down: true,
        instances_down: true,
        ..Faults::default()
    });
    cluster.add_entry().await.expect("an entry starts");
    wait_for_revision(&cluster, 2).await;
    let added = &cluster.entries[4].context;
    cluster::wait_until("the entry is ready and knows the backend servers", || {
        added.declarations.borrow().loaded && added.directory.borrow().iter().count() > 1
    })
    .await
    .expect("the entry has received the state of its peers");
    assert_eq!(readiness(&cluster, 4).await.0, 200);
}

#[tokio::test]
async fn an_entry_alone_in_an_outage_is_not_ready_and_reports_the_reason() {
    let mut cluster = start_cluster(2).await;
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
    wait_for_recovery(&cluster).await;
}

/// Waits until the only entry has read the store, and checks that it is ready.
async fn wait_for_recovery(cluster: &Cluster) {
    cluster::wait_until("the entry has read the store", || {
        declared_revision(cluster, 0) == 1
    })
    .await
    .expect("the store is read");
    assert_eq!(readiness(cluster, 0).await.0, 200);
}

#[tokio::test]
async fn entries_that_read_the_store_are_replaced_when_they_die() {
    let cluster = start_cluster(6).await;
    for entry in [0, 2, 1, 3] {
        cluster.entries[entry].kill();
    }
    let reply = apply(&cluster, 4, tracker_at("v2", 1), true)
        .await
        .expect("accepted");
    assert!(reply.missing.is_empty(), "{:?}", reply.missing);
    assert_eq!(
        (
            declared_revision(&cluster, 4),
            declared_revision(&cluster, 5)
        ),
        (2, 2)
    );
}

#[tokio::test]
async fn a_deleted_service_stays_deleted() {
    let cluster = start_cluster(4).await;
    let deletion = Service {
        deleted: true,
        ..tracker_at("v1", 1)
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
    let refused = apply(&cluster, 1, tracker_at("v2", 0), false).await;
    let refused = refused.expect_err("revision 0 is outdated");
    assert!(
        refused.message().contains("at revision 2"),
        "{}",
        refused.message()
    );
    apply(&cluster, 1, tracker_at("v2", 2), true)
        .await
        .expect("it is declared again");
    wait_for_revision(&cluster, 3).await;
}
