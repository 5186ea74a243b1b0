//! Detection of unreachable groups of servers, and failure detection of single servers.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::group_outage::Groups;
use medlarfall_coordination::liveness::{Bounds, Detector, Step};

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(name: &str) -> Arc<str> {
    Arc::from(name)
}

#[test]
fn failures_of_one_server_do_not_make_its_group_suspect() {
    let mut groups = Groups::default();
    for step in 0..5 {
        assert!(!groups.record_failure("cage-a", &name("s1"), at(100 * step)));
    }
    assert!(!groups.suspect(&"cage-a", at(450)));
}

#[test]
fn two_servers_that_fail_within_the_window_make_the_group_suspect() {
    let mut groups = Groups::default();
    groups.record_failure("cage-a", &name("s1"), at(0));
    assert!(groups.record_failure("cage-a", &name("s2"), at(150)));
    assert!(groups.suspect(&"cage-a", at(200)));
    assert!(!groups.suspect(&"cage-b", at(200)));
    assert!(
        !groups.suspect(&"cage-a", at(1_200)),
        "the suspicion never ends"
    );
}

#[test]
fn a_further_failure_renews_the_suspicion_and_a_response_ends_it() {
    let mut groups = Groups::default();
    groups.record_failure("cage-a", &name("s1"), at(0));
    groups.record_failure("cage-a", &name("s2"), at(150));
    assert!(groups.record_failure("cage-a", &name("s2"), at(1_300)));
    assert!(groups.suspect(&"cage-a", at(1_400)));
    groups.record_response(&"cage-a");
    assert!(!groups.suspect(&"cage-a", at(1_400)));
    assert!(!groups.record_failure("cage-a", &name("s2"), at(1_500)));
}

#[test]
fn failures_far_apart_do_not_make_the_group_suspect() {
    let mut groups = Groups::default();
    groups.record_failure("cage-a", &name("s1"), at(0));
    assert!(!groups.record_failure("cage-a", &name("s2"), at(2_000)));
}

#[test]
fn a_server_is_lost_only_after_failed_probes() {
    let bounds = Bounds::default();
    let mut detector = Detector::new(bounds, at(0));
    assert_eq!(
        detector.next_step(at(50), false),
        Step::Wait(bounds.silence_limit)
    );
    assert_eq!(detector.next_step(bounds.silence_limit, false), Step::Probe);
    detector.record_failed_probe(bounds.silence_limit);
    assert_eq!(detector.next_step(at(180), false), Step::Probe);
    detector.record_failed_probe(at(180));
    assert_eq!(detector.next_step(at(260), false), Step::Lost);
}

#[test]
fn a_response_or_an_event_after_a_failed_probe_keeps_a_server() {
    let bounds = Bounds::default();
    let mut detector = Detector::new(bounds, at(0));
    detector.record_failed_probe(at(100));
    detector.record_activity(at(150));
    detector.record_failed_probe(at(140));
    assert_eq!(
        detector.next_step(at(200), false),
        Step::Wait(at(150) + bounds.silence_limit),
        "a probe sent before the last event counts"
    );
}

/// A loss must be detected in less than half of the pause that makes a stream late.
#[test]
fn a_silent_server_is_detected_in_time_to_resume_its_streams() {
    let bounds = Bounds::default();
    let found = bounds.silence_limit + bounds.probe_timeout * bounds.probe_limit;
    assert!(found * 2 <= at(700), "{found:?}");
}
