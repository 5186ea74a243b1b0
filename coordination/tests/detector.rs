//! The bounds that the adaptive failure detector derives from observed gaps.

use std::time::Duration;

use bolero::check;
use medlarfall_coordination::detector::{Bounds, Detector, Phase, Subject};

const BOUNDS: Bounds = Bounds {
    floor: Duration::from_millis(100),
    ceiling: Duration::from_secs(2),
};

fn subject(server: &str) -> Subject {
    Subject {
        service: "briefs".into(),
        version: "v1".into(),
        server: server.into(),
    }
}

fn observe_gaps(detector: &mut Detector, server: &str, phase: Phase, milliseconds: u64) {
    for _ in 0..200 {
        detector.observe(&subject(server), phase, Duration::from_millis(milliseconds));
    }
}

#[test]
fn the_bound_stays_between_floor_and_ceiling_and_above_every_recent_gap() {
    check!().with_type::<Vec<u16>>().for_each(|gaps| {
        let mut detector = Detector::new(BOUNDS);
        for gap in gaps {
            let gap = Duration::from_millis(u64::from(*gap));
            detector.observe(&subject("engine-0"), Phase::InterToken, gap);
            let bound = detector.bound(&subject("engine-0"), Phase::InterToken);
            assert!(bound >= BOUNDS.floor && bound <= BOUNDS.ceiling);
            assert!(bound >= gap.min(BOUNDS.ceiling));
        }
    });
}

#[test]
fn a_new_server_is_judged_by_its_version_and_a_new_version_by_the_ceiling() {
    let mut detector = Detector::new(BOUNDS);
    observe_gaps(&mut detector, "engine-0", Phase::InterToken, 10);
    assert_eq!(
        detector.bound(&subject("engine-1"), Phase::InterToken),
        BOUNDS.floor
    );
    assert_eq!(
        detector.bound(&subject("engine-1"), Phase::FirstToken),
        BOUNDS.ceiling
    );
    let other = Subject {
        version: "v2".into(),
        ..subject("engine-0")
    };
    assert_eq!(detector.bound(&other, Phase::InterToken), BOUNDS.ceiling);
}

#[test]
fn a_slow_server_has_a_higher_bound_than_a_quick_one() {
    let mut detector = Detector::new(BOUNDS);
    observe_gaps(&mut detector, "slow", Phase::InterToken, 300);
    observe_gaps(&mut detector, "quick", Phase::InterToken, 10);
    assert!(detector.bound(&subject("slow"), Phase::InterToken) >= Duration::from_millis(600));
    assert_eq!(
        detector.bound(&subject("quick"), Phase::InterToken),
        BOUNDS.floor
    );
}

#[test]
fn a_silence_widens_the_bound_of_its_server_only() {
    let mut detector = Detector::new(BOUNDS);
    observe_gaps(&mut detector, "engine-0", Phase::InterToken, 10);
    observe_gaps(&mut detector, "engine-1", Phase::InterToken, 10);
    detector.record_timeout(&subject("engine-0"), Phase::InterToken, BOUNDS.floor);
    let widened = detector.bound(&subject("engine-0"), Phase::InterToken);
    assert!(widened > BOUNDS.floor);
    assert_eq!(
        detector.bound(&subject("engine-1"), Phase::InterToken),
        BOUNDS.floor
    );
    observe_gaps(&mut detector, "engine-0", Phase::InterToken, 10);
    assert!(detector.bound(&subject("engine-0"), Phase::InterToken) < widened);
}

#[test]
fn servers_that_have_gone_are_forgotten() {
    let mut detector = Detector::new(BOUNDS);
    observe_gaps(&mut detector, "engine-0", Phase::InterToken, 10);
    detector.retain(|_| false);
    assert_eq!(detector.servers(), 0);
    assert_eq!(
        detector.bound(&subject("engine-0"), Phase::InterToken),
        BOUNDS.ceiling
    );
}
