//! Warm-ups by registrations that are read late, again or out of order.

use std::time::Duration;

use medlarfall_coordination::server_pause::Start;
use medlarfall_coordination::warmup::Warmups;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn start(started_ms: u64) -> Start<'static> {
    Start {
        id: "a",
        started_ms: Some(started_ms),
    }
}

#[test]
fn a_warmup_does_not_begin_anew_when_a_copy_of_its_registration_is_read() {
    let mut warmups = Warmups::default();
    warmups.record(start(1), at(4), at(10));
    warmups.record(start(1), at(4), at(12));
    assert!(warmups.lasts("a", at(13)));
    assert!(!warmups.lasts("a", at(14)), "from its first registration");
    warmups.record(start(1), at(4), at(60));
    assert!(!warmups.lasts("a", at(60)), "it is over");
}

#[test]
fn a_later_registration_ends_a_warmup_sooner() {
    let mut warmups = Warmups::default();
    warmups.record(start(1), at(4), at(10));
    warmups.record(start(1), at(0), at(11));
    assert!(!warmups.lasts("a", at(11)));
}

#[test]
fn each_start_has_its_own_warmup() {
    let mut warmups = Warmups::default();
    warmups.record(start(1), at(4), at(10));
    warmups.record(start(2), at(4), at(20));
    assert!(warmups.lasts("a", at(23)));
    warmups.record(start(1), at(0), at(21));
    assert!(warmups.lasts("a", at(23)), "a copy has the start before");
    let unknown = Start {
        started_ms: None,
        ..start(1)
    };
    let mut warmups = Warmups::default();
    warmups.record(unknown, at(4), at(10));
    warmups.record(unknown, at(4), at(20));
    assert!(warmups.lasts("a", at(23)), "it may be another start");
}
