//! Non-idempotent calls run at most once when services, entries or the store fail, whichever entry
//! they are retried through. Entries and stand-ins are separate processes, and the service counts
//! its runs.

#[path = "at_most_once/fleet.rs"]
mod fleet;

use fleet::{CHALERM, Fleet, identifier, run_action};
use hyper::Method;
use medlarfall_serving::configs::services::Services;
use serde_json::json;
use tokio::time::Instant;
use uuid::{NoContext, Timestamp, Uuid};

/// Delay of the service's answer, in milliseconds: long enough to inject a fault into a running
/// call, shorter than a call's default timeout.
const ANSWER_DELAY_MS: u64 = 1_500;

#[tokio::test]
async fn a_call_without_an_identifier_is_not_retried_when_its_answer_is_lost() {
    let fleet = Fleet::start("no-id").await;
    for faults in [json!({ "drop_answers": 1 }), json!({ "cross_answers": 1 })] {
        let action = faults.to_string();
        fleet.set_service_faults(faults).await;
        let reply = fleet.run_action(0, &action, None).await;
        assert_eq!((reply.status, reply.run.as_str()), (502, "unknown"));
        assert_eq!(fleet.run_count(&action).await, 1);
    }
}

#[tokio::test]
async fn a_call_with_an_identifier_stays_unknown_at_every_entry_when_its_answer_is_lost() {
    let fleet = Fleet::start("lost").await;
    for faults in [json!({ "drop_answers": 1 }), json!({ "cross_answers": 1 })] {
        let (action, id) = (faults.to_string(), identifier());
        fleet.set_service_faults(faults).await;
        for entry in [0, 1, 0, 1] {
            let reply = fleet.run_action(entry, &action, Some(&id)).await;
            assert_eq!(reply.run, "unknown", "{}", reply.body);
        }
        assert_eq!(fleet.run_count(&action).await, 1);
    }
}

#[tokio::test]
async fn a_retry_through_another_entry_gets_the_same_answer() {
    let mut fleet = Fleet::start("same").await;
    let id = identifier();
    let first = fleet.run_action(0, "assign", Some(&id)).await;
    assert_eq!((first.status, first.run.as_str()), (200, "ran"));
    let again = fleet.run_action(1, "assign", Some(&id)).await;
    assert_eq!(
        (again.status, again.run, again.body),
        (200, first.run, first.body.clone())
    );
    // The claimer has written the call's status to the store, so the answer survives its death.
    fleet.wait_for_claim("\\\"status\\\":200").await;
    fleet.entries[0].kill();
    let later = fleet.run_action(1, "assign", Some(&id)).await;
    assert_eq!((later.status, later.body), (200, first.body));
    assert_eq!(fleet.run_count("assign").await, 1);
}

#[tokio::test]
async fn concurrent_calls_with_one_identifier_run_once() {
    let fleet = Fleet::start("race").await;
    fleet.set_service_faults(json!({ "slow_ms": 100 })).await;
    let id = identifier();
    let calls = (0..20).map(|index| {
        let caller = fleet.caller(index % 2);
        let id = id.clone();
        async move { run_action(&caller, "race", Some(&id)).await }
    });
    let replies = futures::future::join_all(calls).await;
    assert!(replies.iter().all(|reply| reply.run == "ran"));
    assert!(replies.iter().all(|reply| reply.body == replies[0].body));
    assert_eq!(fleet.run_count("race").await, 1);
}

#[tokio::test]
async fn accounts_do_not_share_identifiers() {
    let fleet = Fleet::start("accounts").await;
    let id = identifier();
    let first = fleet.run_action(0, "share", Some(&id)).await;
    let other = run_action(&fleet.caller_with_key(0, CHALERM), "share", Some(&id)).await;
    assert_eq!((first.run.as_str(), other.run.as_str()), ("ran", "ran"));
    assert_eq!(fleet.run_count("share").await, 2);
}

#[tokio::test]
async fn invalid_identifiers_are_refused_with_the_remedy() {
    let fleet = Fleet::start("refused").await;
    let id = identifier();
    fleet.run_action(0, "first", Some(&id)).await;
    let reused = fleet.run_action(1, "second", Some(&id)).await;
    assert_eq!((reused.status, reused.run.as_str()), (422, "not-run"));
    assert!(reused.body.contains("send a new one"), "{}", reused.body);
    let malformed = fleet.run_action(0, "second", Some("7")).await;
    assert_eq!((malformed.status, malformed.run.as_str()), (422, "not-run"));
    let made = Timestamp::from_unix(NoContext, 1_700_000_000, 0);
    let old = Uuid::new_v7(made).to_string();
    let old = fleet.run_action(0, "second", Some(&old)).await;
    assert_eq!((old.status, old.run.as_str()), (422, "unknown"));
    assert_eq!(fleet.run_count("second").await, 0);
}

#[tokio::test]
async fn a_call_runs_once_when_the_answer_to_its_claim_is_lost() {
    let fleet = Fleet::start("claim-lost").await;
    let id = identifier();
    fleet
        .set_platform_faults(json!({ "drop_answers": 1 }))
        .await;
    let reply = fleet.run_action(0, "settle", Some(&id)).await;
    assert_eq!((reply.status, reply.run.as_str()), (200, "ran"));
    let again = fleet.run_action(1, "settle", Some(&id)).await;
    assert_eq!(again.body, reply.body);
    assert_eq!(fleet.run_count("settle").await, 1);
}

#[tokio::test]
async fn a_claim_that_is_written_late_is_handed_over_and_runs_once() {
    let fleet = Fleet::start("claim-late").await;
    let id = identifier();
    fleet
        .set_platform_faults(json!({ "late_writes": 100 }))
        .await;
    let refused = fleet.run_action(0, "late", Some(&id)).await;
    assert_eq!((refused.status, refused.run.as_str()), (503, "not-run"));
    fleet.set_platform_faults(json!({})).await;
    // The late claim is written now, and the retry through the other entry finds it.
    fleet.wait_for_claim("entry-0").await;
    let reply = fleet.run_action(1, "late", Some(&id)).await;
    assert_eq!(
        (reply.status, reply.run.as_str()),
        (200, "ran"),
        "{}",
        reply.body
    );
    let again = fleet.run_action(0, "late", Some(&id)).await;
    assert_eq!(again.body, reply.body);
    assert_eq!(fleet.run_count("late").await, 1);
}

#[tokio::test]
async fn during_a_store_outage_only_calls_with_an_identifier_are_refused() {
    let fleet = Fleet::start("outage").await;
    for faults in [json!({ "down": true }), json!({ "hang": true })] {
        let (action, id) = (faults.to_string(), identifier());
        fleet.set_platform_faults(faults).await;
        let refused = fleet.run_action(0, &action, Some(&id)).await;
        assert_eq!((refused.status, refused.run.as_str()), (503, "not-run"));
        assert!(refused.body.contains("store"), "{}", refused.body);
        assert_eq!(fleet.run_count(&action).await, 0);
        let without = fleet.run_action(0, "without", None).await;
        assert_eq!(without.run, "ran");
        let headers = [("idempotency-key", id.as_str())];
        let idempotent = fleet
            .caller(0)
            .call_with_headers(Method::PUT, "/s/tracker/records/1", "put", &headers)
            .await
            .expect("a reply");
        assert_eq!(idempotent.run, "ran");
        fleet.set_platform_faults(json!({})).await;
        let later = fleet.run_action(1, &action, Some(&id)).await;
        assert_eq!(
            (later.status, later.run.as_str()),
            (200, "ran"),
            "{}",
            later.body
        );
        assert_eq!(fleet.run_count(&action).await, 1);
    }
}

#[tokio::test]
async fn a_service_killed_during_a_call_leaves_it_unknown() {
    let mut fleet = Fleet::start("service-dies").await;
    let id = identifier();
    fleet
        .set_service_faults(json!({ "answer_after_ms": ANSWER_DELAY_MS }))
        .await;
    let caller = fleet.caller(0);
    let call = tokio::spawn({
        let id = id.clone();
        async move { run_action(&caller, "dies", Some(&id)).await }
    });
    fleet.wait_for_run("dies").await;
    fleet.service.kill();
    let reply = call.await.expect("the call ends");
    assert_eq!(reply.run, "unknown", "{}", reply.body);
    fleet.replace_service().await;
    let again = fleet.run_action(1, "dies", Some(&id)).await;
    assert_eq!(again.run, "unknown", "{}", again.body);
    assert_eq!(
        fleet.run_count("dies").await,
        0,
        "the new service must not be called"
    );
}

#[tokio::test]
async fn a_call_to_an_unreachable_service_is_not_run_and_may_be_retried() {
    let mut fleet = Fleet::start("unreached").await;
    let id = identifier();
    fleet.service.kill();
    let refused = fleet.run_action(0, "free", Some(&id)).await;
    assert_eq!((refused.status, refused.run.as_str()), (503, "not-run"));
    fleet.replace_service().await;
    let reply = fleet.run_action(1, "free", Some(&id)).await;
    assert_eq!(
        (reply.status, reply.run.as_str()),
        (200, "ran"),
        "{}",
        reply.body
    );
    assert_eq!(fleet.run_count("free").await, 1);
}

#[tokio::test]
async fn a_claimer_killed_during_a_call_leaves_it_unknown() {
    let mut fleet = Fleet::start("claimer-dies").await;
    let id = identifier();
    fleet
        .set_service_faults(json!({ "answer_after_ms": ANSWER_DELAY_MS }))
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
    fleet.wait_for_run("orphan").await;
    fleet.entries[0].kill();
    assert!(call.await.expect("the call ends").is_err());
    let again = fleet.run_action(1, "orphan", Some(&id)).await;
    assert_eq!(again.run, "unknown", "{}", again.body);
    assert_eq!(fleet.run_count("orphan").await, 1);
}

#[tokio::test]
async fn a_claimer_paused_during_a_call_answers_after_it_resumes() {
    let fleet = Fleet::start("claimer-pauses").await;
    let id = identifier();
    fleet
        .set_service_faults(json!({ "answer_after_ms": ANSWER_DELAY_MS }))
        .await;
    let caller = fleet.caller(0);
    let call = tokio::spawn({
        let id = id.clone();
        async move { run_action(&caller, "pause", Some(&id)).await }
    });
    fleet.wait_for_run("pause").await;
    fleet.entries[0].signal("-STOP");
    let while_paused = fleet.run_action(1, "pause", Some(&id)).await;
    assert_eq!(while_paused.run, "unknown", "{}", while_paused.body);
    fleet.entries[0].signal("-CONT");
    let reply = call.await.expect("the call ends");
    assert_eq!(
        (reply.status, reply.run.as_str()),
        (200, "ran"),
        "{}",
        reply.body
    );
    let again = fleet.run_action(1, "pause", Some(&id)).await;
    assert_eq!((again.run.as_str(), again.body), ("ran", reply.body));
    assert_eq!(fleet.run_count("pause").await, 1);
}

#[tokio::test]
async fn a_claimer_paused_between_claiming_and_sending_reads_its_claim_again() {
    let fleet = Fleet::start("paused-early").await;
    let id = identifier();
    fleet
        .set_platform_faults(json!({ "answer_after_ms": 500 }))
        .await;
    let caller = fleet.caller(0);
    let call = tokio::spawn({
        let id = id.clone();
        async move { run_action(&caller, "early", Some(&id)).await }
    });
    fleet.wait_for_claim("entry-0").await;
    fleet.entries[0].signal("-STOP");
    let confirmation_expiry = Instant::now() + Services::default().claim_trust;
    fleet.set_platform_faults(json!({})).await;
    let while_paused = fleet.run_action(1, "early", Some(&id)).await;
    assert_eq!(while_paused.run, "unknown", "{}", while_paused.body);
    tokio::time::sleep_until(confirmation_expiry).await;
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
        "the claim must be read again"
    );
    let again = fleet.run_action(1, "early", Some(&id)).await;
    assert_eq!(again.body, reply.body);
    assert_eq!(fleet.run_count("early").await, 1);
}

#[tokio::test]
async fn an_answer_too_large_to_be_kept_is_still_known_to_have_run() {
    let fleet = Fleet::start("too-large").await;
    let id = identifier();
    fleet
        .set_service_faults(json!({ "answer_bytes": 20_000 }))
        .await;
    let reply = fleet.run_action(0, "large", Some(&id)).await;
    assert_eq!((reply.status, reply.run.as_str()), (200, "ran"));
    let again = fleet.run_action(1, "large", Some(&id)).await;
    assert_eq!((again.status, again.run.as_str()), (502, "ran"));
    assert!(again.body.contains("answer_not_kept"), "{}", again.body);
    fleet
        .set_service_faults(json!({ "answer_bytes": 5 << 20 }))
        .await;
    let oversized = fleet.run_action(0, "larger", Some(&identifier())).await;
    assert_eq!((oversized.status, oversized.run.as_str()), (502, "ran"));
    assert_eq!(fleet.run_count("large").await, 1);
    assert_eq!(fleet.run_count("larger").await, 1);
}

#[tokio::test]
async fn a_service_that_does_not_answer_in_time_gives_a_timeout_error() {
    let fleet = Fleet::start("timeout").await;
    fleet
        .set_service_faults(json!({ "answer_after_ms": ANSWER_DELAY_MS }))
        .await;
    let headers = [("medlarfall-timeout-ms", "300")];
    let reply = fleet
        .caller(0)
        .call_with_headers(Method::POST, "/s/tracker/plots/7", "slow", &headers)
        .await
        .expect("a reply");
    assert_eq!((reply.status, reply.run.as_str()), (504, "unknown"));
    assert!(reply.body.contains("timeout"), "{}", reply.body);
    assert_eq!(fleet.run_count("slow").await, 1);
}
