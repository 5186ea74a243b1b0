//! The use of a caller's connection: when the limits in force end it, and when they must not.

use std::time::Duration;

use medlarfall_coordination::routing::Limits;
use medlarfall_relay::listener::activity::{Activity, Excess};

/// Limits of 100 ms for a head and 1,000 ms without a request.
fn limits() -> Limits {
    Limits {
        header_time: at(100),
        idle_time: at(1_000),
        ..Limits::default()
    }
}

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn an_idle_connection_ends_at_twice_the_idle_time() {
    let activity = Activity::new(at(50));
    assert_eq!(
        activity.deadline(&limits()),
        Some((at(2_050), Excess::Idle))
    );
}

#[test]
fn no_limit_ends_a_request_that_is_being_handled() {
    let mut activity = Activity::new(at(0));
    activity.receive(at(10));
    activity.begin();
    activity.receive(at(20));
    activity.send(at(30));
    assert_eq!(activity.deadline(&limits()), None);
    activity.begin();
    activity.end(at(40));
    assert_eq!(activity.deadline(&limits()), None, "one of two has ended");
    activity.end(at(50));
    assert_eq!(
        activity.deadline(&limits()),
        Some((at(2_050), Excess::Idle))
    );
}

#[test]
fn more_bytes_of_a_head_give_it_no_more_time() {
    let mut activity = Activity::new(at(0));
    activity.receive(at(1_900));
    let due = Some((at(2_100), Excess::Head));
    assert_eq!(activity.deadline(&limits()), due);
    activity.receive(at(2_050));
    assert_eq!(activity.deadline(&limits()), due);
}

/// A caller sends the next request before it has read the response.
#[test]
fn a_head_that_waits_for_a_response_to_be_sent_is_not_late() {
    let mut activity = Activity::new(at(0));
    activity.begin();
    activity.end(at(100));
    activity.receive(at(150));
    activity.send(at(340));
    assert_eq!(activity.deadline(&limits()), Some((at(540), Excess::Head)));
}

#[test]
fn a_change_of_the_limits_ends_no_connection_at_once() {
    let shorter = Limits {
        idle_time: at(10),
        ..limits()
    };
    let mut activity = Activity::new(at(0));
    activity.change_limits(at(1_500));
    assert_eq!(activity.deadline(&shorter), Some((at(1_520), Excess::Idle)));
}

#[test]
fn a_head_is_arriving_until_its_request_begins() {
    let mut activity = Activity::new(at(0));
    assert!(!activity.is_receiving_head());
    activity.receive(at(10));
    assert!(activity.is_receiving_head());
    activity.begin();
    activity.receive(at(20));
    assert!(!activity.is_receiving_head(), "the bytes are the body's");
    activity.end(at(30));
    assert!(!activity.is_receiving_head());
    activity.receive(at(40));
    assert!(activity.is_receiving_head());
}
