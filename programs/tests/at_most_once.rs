//! Non-idempotent calls run at most once, whatever fails and whichever entry they are retried
//! through; shown on processes, with the service's own count.

#[path = "at_most_once/fleet.rs"]
mod fleet;

use fleet::{CHALERM, Fleet, act, identifier};
use hyper::Method;
use medlarfall_serving::configs::services::Services;
use serde_json::json;
use tokio::time::Instant;
use uuid::{NoContext, Timestamp, Uuid};

/// Longer than the service takes with the faults of a test, shorter than a call's timeout.
const WORK_MS: u64 = 1_500;

#[tokio::test]
async fn without_an_identifier_a_call_whose_answer_was_lost_is_not_sent_again() {
    let fleet = Fleet::start("no-id").await;
    for faults in [json!({ "drop_answers": 1 }), json!({ "cross_answers": 1 })] {
        let action = faults.to_string();
        fleet.service_faults(faults).await;
        let reply = fleet.act(0, &action, None).await;
        assert_eq!((reply.status, reply.run.as_str()), (502, "unknown"));
        assert_eq!(fleet.runs(&action).await, 1);
    }
}

#[tokio::test]
async fn with_an_identifier_a_lost_answer_stays_unknown_through_every_entry() {
    let fleet = Fleet::start("lost").await;
    for faults in [json!({ "drop_answers": 1 }), json!({ "cross_answers": 1 })] {
        let (action, id) = (faults.to_string(), identifier());
        fleet.service_faults(faults).await;
        for entry in [0, 1, 0, 1] {
            let reply = fleet.act(entry, &action, Some(&id)).await;
            assert_eq!(reply.run, "unknown", "{}", reply.body);
        }
        assert_eq!(fleet.runs(&action).await, 1);
    }
}

#[tokio::test]
async fn a_retry_through_another_entry_gets_the_same_answer() {
    let mut fleet = Fleet::start("same").await;
    let id = identifier();
    let first = fleet.act(0, "assign", Some(&id)).await;
    assert_eq!((first.status, first.run.as_str()), (200, "ran"));
    let again = fleet.act(1, "assign", Some(&id)).await;
    assert_eq!(
        (again.status, again.run, again.body),
        (200, first.run, first.body.clone())
    );
    // The claimer keeps its word in the store, so it may die.
    fleet.until_claims("\\\"status\\\":200").await;
    fleet.entries[0].kill();
    let later = fleet.act(1, "assign", Some(&id)).await;
    assert_eq!((later.status, later.body), (200, first.body));
    assert_eq!(fleet.runs("assign").await, 1);
}

#[tokio::test]
async fn callers_that_race_with_one_identifier_run_it_once() {
    let fleet = Fleet::start("race").await;
    fleet.service_faults(json!({ "slow_ms": 100 })).await;
    let id = identifier();
    let calls = (0..20).map(|index| {
        let caller = fleet.caller(index % 2);
        let id = id.clone();
        async move { act(&caller, "race", Some(&id)).await }
    });
    let replies = futures::future::join_all(calls).await;
    assert!(replies.iter().all(|reply| reply.run == "ran"));
    assert!(replies.iter().all(|reply| reply.body == replies[0].body));
    assert_eq!(fleet.runs("race").await, 1);
}

#[tokio::test]
async fn accounts_do_not_share_identifiers() {
    let fleet = Fleet::start("accounts").await;
    let id = identifier();
    let first = fleet.act(0, "share", Some(&id)).await;
    let other = act(&fleet.caller_of(0, CHALERM), "share", Some(&id)).await;
    assert_eq!((first.run.as_str(), other.run.as_str()), ("ran", "ran"));
    assert_eq!(fleet.runs("share").await, 2);
}

#[tokio::test]
async fn identifiers_that_cannot_be_used_are_refused_with_the_remedy() {
    let fleet = Fleet::start("refused").await;
    let id = identifier();
    fleet.act(0, "first", Some(&id)).await;
    let reused = fleet.act(1, "second", Some(&id)).await;
    assert_eq!((reused.status, reused.run.as_str()), (422, "not-run"));
    assert!(reused.body.contains("send a new one"), "{}", reused.body);
    let malformed = fleet.act(0, "second", Some("7")).await;
    assert_eq!((malformed.status, malformed.run.as_str()), (422, "not-run"));
    let made = Timestamp::from_unix(NoContext, 1_700_000_000, 0);
    let old = Uuid::new_v7(made).to_string();
    let old = fleet.act(0, "second", Some(&old)).await;
    assert_eq!((old.status, old.run.as_str()), (422, "unknown"));
    assert_eq!(fleet.runs("second").await, 0);
}

#[tokio::test]
async fn a_lost_claim_answer_is_settled() {
    let fleet = Fleet::start("claim-lost").await;
    let id = identifier();
    fleet.platform_faults(json!({ "drop_answers": 1 })).await;
    let reply = fleet.act(0, "settle", Some(&id)).await;
    assert_eq!((reply.status, reply.run.as_str()), (200, "ran"));
    let again = fleet.act(1, "settle", Some(&id)).await;
    assert_eq!(again.body, reply.body);
    assert_eq!(fleet.runs("settle").await, 1);
}

#[tokio::test]
async fn a_claim_that_lands_late_is_handed_over_and_runs_once() {
    let fleet = Fleet::start("claim-late").await;
    let id = identifier();
    fleet.platform_faults(json!({ "late_writes": 100 })).await;
    let refused = fleet.act(0, "late", Some(&id)).await;
    assert_eq!((refused.status, refused.run.as_str()), (503, "not-run"));
    fleet.platform_faults(json!({})).await;
    // The late claim lands now; the retry through the other entry meets it.
    fleet.until_claims("entry-0").await;
    let reply = fleet.act(1, "late", Some(&id)).await;
    assert_eq!(
        (reply.status, reply.run.as_str()),
        (200, "ran"),
        "{}",
        reply.body
    );
    let again = fleet.act(0, "late", Some(&id)).await;
    assert_eq!(again.body, reply.body);
    assert_eq!(fleet.runs("late").await, 1);
}

#[tokio::test]
async fn cut_off_from_the_store_only_calls_with_an_identifier_are_refused() {
    let fleet = Fleet::start("outage").await;
    for faults in [json!({ "down": true }), json!({ "hang": true })] {
        let (action, id) = (faults.to_string(), identifier());
        fleet.platform_faults(faults).await;
        let refused = fleet.act(0, &action, Some(&id)).await;
        assert_eq!((refused.status, refused.run.as_str()), (503, "not-run"));
        assert!(refused.body.contains("store"), "{}", refused.body);
        assert_eq!(fleet.runs(&action).await, 0);
        let without = fleet.act(0, "without", None).await;
        assert_eq!(without.run, "ran");
        let headers = [("idempotency-key", id.as_str())];
        let idempotent = fleet
            .caller(0)
            .call_with_headers(Method::PUT, "/s/tracker/records/1", "put", &headers)
            .await
            .expect("a reply");
        assert_eq!(idempotent.run, "ran");
        fleet.platform_faults(json!({})).await;
        let later = fleet.act(1, &action, Some(&id)).await;
        assert_eq!(
            (later.status, later.run.as_str()),
            (200, "ran"),
            "{}",
            later.body
        );
        assert_eq!(fleet.runs(&action).await, 1);
    }
}

#[tokio::test]
async fn a_service_that_dies_under_a_call_leaves_it_unknown() {
    let mut fleet = Fleet::start("service-dies").await;
    let id = identifier();
    fleet
        .service_faults(json!({ "answer_after_ms": WORK_MS }))
        .await;
    let caller = fleet.caller(0);
    let call = tokio::spawn({
        let id = id.clone();
        async move { act(&caller, "dies", Some(&id)).await }
    });
    fleet.until_run("dies").await;
    fleet.service.kill();
    let reply = call.await.expect("the call ends");
    assert_eq!(reply.run, "unknown", "{}", reply.body);
    fleet.replace_service().await;
    let again = fleet.act(1, "dies", Some(&id)).await;
    assert_eq!(again.run, "unknown", "{}", again.body);
    assert_eq!(
        fleet.runs("dies").await,
        0,
        "the new service was not called"
    );
}

#[tokio::test]
async fn a_service_that_was_not_reached_leaves_the_call_not_run_and_free() {
    let mut fleet = Fleet::start("unreached").await;
    let id = identifier();
    fleet.service.kill();
    let refused = fleet.act(0, "free", Some(&id)).await;
    assert_eq!((refused.status, refused.run.as_str()), (503, "not-run"));
    fleet.replace_service().await;
    let reply = fleet.act(1, "free", Some(&id)).await;
    assert_eq!(
        (reply.status, reply.run.as_str()),
        (200, "ran"),
        "{}",
        reply.body
    );
    assert_eq!(fleet.runs("free").await, 1);
}

#[tokio::test]
async fn a_claimer_killed_under_a_call_leaves_it_unknown() {
    let mut fleet = Fleet::start("claimer-dies").await;
    let id = identifier();
    fleet
        .service_faults(json!({ "answer_after_ms": WORK_MS }))
        .await;
    let caller = fleet.caller(0);
    let call = tokio::spawn({
        let id = id.clone();
        async move {
            let headers = [("idempotency-key", id.as_str())];
            caller
                .call_with_headers(Method::POST, "/s/tracker/plots/7", "orphan", &headers)
                .await
        }
    });
    fleet.until_run("orphan").await;
    fleet.entries[0].kill();
    assert!(call.await.expect("the call ends").is_err());
    let again = fleet.act(1, "orphan", Some(&id)).await;
    assert_eq!(again.run, "unknown", "{}", again.body);
    assert_eq!(fleet.runs("orphan").await, 1);
}

#[tokio::test]
async fn a_claimer_paused_under_a_call_answers_once_it_is_back() {
    let fleet = Fleet::start("claimer-pauses").await;
    let id = identifier();
    fleet
        .service_faults(json!({ "answer_after_ms": WORK_MS }))
        .await;
    let caller = fleet.caller(0);
    let call = tokio::spawn({
        let id = id.clone();
        async move { act(&caller, "pause", Some(&id)).await }
    });
    fleet.until_run("pause").await;
    fleet.entries[0].signal("-STOP");
    let silent = fleet.act(1, "pause", Some(&id)).await;
    assert_eq!(silent.run, "unknown", "{}", silent.body);
    fleet.entries[0].signal("-CONT");
    let reply = call.await.expect("the call ends");
    assert_eq!(
        (reply.status, reply.run.as_str()),
        (200, "ran"),
        "{}",
        reply.body
    );
    let again = fleet.act(1, "pause", Some(&id)).await;
    assert_eq!((again.run.as_str(), again.body), ("ran", reply.body));
    assert_eq!(fleet.runs("pause").await, 1);
}

#[tokio::test]
async fn a_claimer_paused_between_claim_and_sending_reads_its_claim_again() {
    let fleet = Fleet::start("paused-early").await;
    let id = identifier();
    fleet
        .platform_faults(json!({ "answer_after_ms": 500 }))
        .await;
    let caller = fleet.caller(0);
    let call = tokio::spawn({
        let id = id.clone();
        async move { act(&caller, "early", Some(&id)).await }
    });
    fleet.until_claims("entry-0").await;
    fleet.entries[0].signal("-STOP");
    let trusted = Instant::now() + Services::default().claim_trust;
    fleet.platform_faults(json!({})).await;
    let silent = fleet.act(1, "early", Some(&id)).await;
    assert_eq!(silent.run, "unknown", "{}", silent.body);
    tokio::time::sleep_until(trusted).await;
    let (reads, _) = fleet.store_calls().await;
    fleet.entries[0].signal("-CONT");
    let reply = call.await.expect("the call ends");
    assert_eq!(
        (reply.status, reply.run.as_str()),
        (200, "ran"),
        "{}",
        reply.body
    );
    assert!(
        fleet.store_calls().await.0 > reads,
        "the claim was read again"
    );
    let again = fleet.act(1, "early", Some(&id)).await;
    assert_eq!(again.body, reply.body);
    assert_eq!(fleet.runs("early").await, 1);
}

#[tokio::test]
async fn an_answer_too_large_to_be_kept_is_still_known_to_have_run() {
    let fleet = Fleet::start("too-large").await;
    let id = identifier();
    fleet
        .service_faults(json!({ "answer_bytes": 20_000 }))
        .await;
    let reply = fleet.act(0, "large", Some(&id)).await;
    assert_eq!((reply.status, reply.run.as_str()), (200, "ran"));
    let again = fleet.act(1, "large", Some(&id)).await;
    assert_eq!((again.status, again.run.as_str()), (502, "ran"));
    assert!(again.body.contains("answer_not_kept"), "{}", again.body);
    fleet
        .service_faults(json!({ "answer_bytes": 5 << 20 }))
        .await;
    let oversized = fleet.act(0, "larger", Some(&identifier())).await;
    assert_eq!((oversized.status, oversized.run.as_str()), (502, "ran"));
    assert_eq!(fleet.runs("large").await, 1);
    assert_eq!(fleet.runs("larger").await, 1);
}

#[tokio::test]
async fn a_service_that_does_not_answer_in_time_is_a_problem_of_its_own() {
    let fleet = Fleet::start("timeout").await;
    fleet
        .service_faults(json!({ "answer_after_ms": WORK_MS }))
        .await;
    let headers = [("medlarfall-timeout-ms", "300")];
    let reply = fleet
        .caller(0)
        .call_with_headers(Method::POST, "/s/tracker/plots/7", "slow", &headers)
        .await
        .expect("a reply");
    assert_eq!((reply.status, reply.run.as_str()), (504, "unknown"));
    assert!(reply.body.contains("timeout"), "{}", reply.body);
    assert_eq!(fleet.runs("slow").await, 1);
}
