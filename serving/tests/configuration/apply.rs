//! Storing declarations while responses are lost, reads are outdated and operators race.

use std::collections::BTreeSet;
use std::time::Duration;

use bolero::check;
use medlarfall_schema::declaration::{Kind, Service};
use medlarfall_schema::operator::ApplyRequest;
use medlarfall_serving::modules::operators::apply::{self, Change, Error};
use tokio::time::sleep;

use crate::memory::{Fault, Memory};

/// An edit that makes a declaration invalid.
type Breakage = fn(&mut Service);

fn request(seen: u64, change_id: &str) -> ApplyRequest {
    ApplyRequest {
        service: Some(Service {
            name: "briefs".to_owned(),
            kind: Kind::Generation.into(),
            version: change_id.to_owned(),
            revision: seen,
            ..Service::default()
        }),
        change_id: change_id.to_owned(),
        ..ApplyRequest::default()
    }
}

fn change(seen: u64, change_id: &str) -> Change {
    request(seen, change_id).try_into().expect("a valid change")
}

async fn store(memory: &Memory, seen: u64, change_id: &str) -> Result<Service, Error> {
    apply::store(memory, None, change(seen, change_id)).await
}

/// Returns the identifiers of the stored changes, oldest first.
fn stored(memory: &Memory) -> Vec<String> {
    let values = memory.written();
    let services = values
        .iter()
        .map(|value| serde_json::from_str::<Service>(value).expect("a declaration was stored"));
    services.map(|service| service.change_id).collect()
}

#[tokio::test(start_paused = true)]
async fn a_lost_response_is_resolved_by_reading_back() {
    for fault in [Fault::LostBefore, Fault::LostAfter, Fault::LostLate] {
        let memory = Memory::new();
        let service = store(&memory.with(&[Fault::Pass, fault]), 0, "a").await;
        assert_eq!(service.map(|service| service.revision), Ok(1), "{fault:?}");
        sleep(Duration::from_secs(1)).await;
        assert_eq!(stored(&memory), ["a"], "{fault:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_response_followed_by_another_change_is_not_a_conflict() {
    let memory = Memory::new();
    let faulty = memory.with(&[Fault::Pass, Fault::LostAfter]);
    let first = tokio::spawn(async move { store(&faulty, 0, "a").await });
    sleep(Duration::from_millis(50)).await;
    store(&memory, 1, "b").await.expect("the rival is accepted");
    let first = first.await.expect("the task ends");
    let first = first.map(|service| (service.revision, service.version));
    assert_eq!(first, Ok((1, "a".to_owned())));
    assert_eq!(stored(&memory), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn outdated_reads_do_not_hide_stored_changes() {
    let memory = Memory::new();
    store(&memory, 0, "a").await.expect("accepted");
    store(&memory, 1, "b").await.expect("accepted");
    let stale = memory.with(&[Fault::Stale; 8]);
    let refused = store(&stale, 1, "c").await;
    let newer = Error::Conflict {
        name: "briefs".to_owned(),
        seen: 1,
        newer: 2,
    };
    assert_eq!(
        refused,
        Err(newer),
        "the refused write returns the current revision"
    );
    let stale = memory.with(&[Fault::Stale; 8]);
    let refused = store(&stale, 2, "d").await;
    assert!(matches!(refused, Err(Error::Older { .. })), "{refused:?}");
    let lost = [Fault::Pass, Fault::LostAfter, Fault::Stale, Fault::Pass];
    let accepted = store(&memory.with(&lost), 2, "e").await;
    assert_eq!(accepted.map(|service| service.revision), Ok(3));
    assert_eq!(stored(&memory), ["a", "b", "e"]);
}

#[tokio::test(start_paused = true)]
async fn a_store_older_than_the_revision_in_force_is_not_trusted() {
    let memory = Memory::new();
    store(&memory, 0, "a").await.expect("accepted");
    let in_force = store(&memory, 1, "b").await.expect("accepted");
    let stale = memory.with(&[Fault::Stale; 8]);
    let refused = apply::store(&stale, Some(&in_force), change(1, "c")).await;
    assert!(
        matches!(refused, Err(Error::Conflict { newer: 2, .. })),
        "{refused:?}"
    );
    let again = apply::store(&stale, Some(&in_force), change(1, "b")).await;
    assert_eq!(again.map(|service| service.revision), Ok(2));
    assert_eq!(stored(&memory), ["a", "b"]);
}

#[tokio::test(start_paused = true)]
async fn an_unavailable_store_is_distinguished_from_a_lost_response() {
    let memory = Memory::new();
    let refused = store(&memory.with(&[Fault::Down]), 0, "a").await;
    assert!(
        matches!(refused, Err(Error::NotStored { .. })),
        "{refused:?}"
    );
    let refused = store(&memory.with(&[Fault::Pass, Fault::Down]), 0, "a").await;
    assert!(
        matches!(refused, Err(Error::NotStored { .. })),
        "{refused:?}"
    );
    let mut script = vec![Fault::Down; 100];
    script[..2].copy_from_slice(&[Fault::Pass, Fault::LostAfter]);
    let refused = store(&memory.with(&script), 0, "a").await;
    assert!(matches!(refused, Err(Error::Unknown { .. })), "{refused:?}");
    let again = store(&memory, 0, "a").await;
    assert_eq!(again.map(|service| service.revision), Ok(1));
    assert_eq!(stored(&memory), ["a"]);
}

#[tokio::test(start_paused = true)]
async fn a_change_older_than_the_history_is_not_reported_as_a_conflict() {
    let memory = Memory::new();
    for seen in 0..40 {
        let id = format!("change-{seen}");
        store(&memory, seen, &id).await.expect("accepted");
    }
    let late = store(&memory, 0, "change-0").await;
    assert!(
        matches!(late, Err(Error::Forgotten { newer: 40, .. })),
        "{late:?}"
    );
    let recent = store(&memory, 38, "change-38").await;
    assert_eq!(recent.map(|service| service.revision), Ok(39));
    let rival = store(&memory, 38, "rival").await;
    assert!(
        matches!(rival, Err(Error::Conflict { newer: 40, .. })),
        "{rival:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_deleted_service_keeps_its_revision() {
    let memory = Memory::new();
    store(&memory, 0, "a").await.expect("accepted");
    let mut deletion = request(1, "b");
    if let Some(service) = deletion.service.as_mut() {
        service.deleted = true;
    }
    let deletion = Change::try_from(deletion).expect("a valid change");
    let deleted = apply::store(&memory, None, deletion).await;
    assert_eq!(deleted.map(|service| service.revision), Ok(2));
    let refused = store(&memory, 0, "c").await;
    assert!(
        matches!(refused, Err(Error::Conflict { newer: 2, .. })),
        "{refused:?}"
    );
    let revived = store(&memory, 2, "d").await;
    assert_eq!(revived.map(|service| service.revision), Ok(3));
}

#[test]
fn a_refusal_names_the_value_and_the_remedy() {
    let broken = |change: Breakage| {
        let mut request = request(0, "a");
        change(request.service.as_mut().expect("a service"));
        Change::try_from(request).expect_err("refused").to_string()
    };
    let cases: [(Breakage, &str); 5] = [
        (
            |service| service.name = "a/b".to_owned(),
            "service.name = a/b",
        ),
        (
            |service| service.name = "n".repeat(101),
            "at most 100 bytes",
        ),
        (|service| service.kind = 0, "write generation or plain"),
        (|service| service.version.clear(), "name the version"),
        (
            |service| service.revision = u64::MAX,
            "the revision that `list` shows",
        ),
    ];
    for (change, expected) in cases {
        let message = broken(change);
        assert!(message.contains(expected), "{message}");
    }
}

/// One operator of the race: the delay of its start and the faults of its calls.
#[derive(Clone, Debug, bolero::TypeGenerator)]
struct Racer {
    delay: u8,
    faults: [u8; 8],
}

fn fault(number: u8) -> Fault {
    match number % 10 {
        0 => Fault::Down,
        1 => Fault::LostBefore,
        2 | 3 => Fault::LostAfter,
        4 => Fault::LostLate,
        5 | 6 => Fault::Stale,
        _ => Fault::Pass,
    }
}

#[test]
fn results_reported_to_operators_are_true_in_any_race() {
    check!().with_type::<[Racer; 4]>().for_each(|racers| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(race(racers));
    });
}

async fn race(racers: &[Racer; 4]) {
    let memory = Memory::new();
    let tasks = racers.iter().cloned().enumerate().map(|(index, racer)| {
        let store_without_faults = memory.clone();
        let store_of_racer = memory.with(&racer.faults.map(fault));
        tokio::spawn(async move {
            sleep(Duration::from_millis(u64::from(racer.delay))).await;
            let seen = store_without_faults.written().len() as u64;
            let id = format!("change-{index}");
            (id.clone(), store(&store_of_racer, seen, &id).await)
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.expect("the task ends"));
    }
    sleep(Duration::from_secs(1)).await;
    let chain = stored(&memory);
    let once: BTreeSet<&String> = chain.iter().collect();
    assert_eq!(once.len(), chain.len(), "stored twice: {chain:?}");
    for (id, outcome) in outcomes {
        let revision = (1..)
            .zip(&chain)
            .find(|(_, stored)| **stored == id)
            .map(|(revision, _)| revision);
        match outcome {
            Ok(service) => assert_eq!(revision, Some(service.revision), "{id}"),
            Err(Error::Unknown { .. }) => {}
            Err(error) => assert_eq!(
                revision, None,
                "{id} was stored, but the operator got: {error}"
            ),
        }
    }
}
