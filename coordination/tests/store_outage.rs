//! When a server whose registration is removed around an outage of the store, or a call to it that gets no
//! response, stops being used.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::history::Revision;
use medlarfall_coordination::registry::{Registry, Server};
use medlarfall_coordination::store_outage::{Detector, Outcome, State};

use Outcome::{Answered, Lost, Refused};
use Reader::{Follower, Own, OwnAmongOthers};

/// Interval at which an entry that does not read takes over the state of its hub, in milliseconds.
const FOLLOW_MS: u64 = 100;

/// Step of the simulation and its length, in milliseconds.
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 60_000;

/// Who reads the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reader {
    /// This entry alone.
    Own,
    /// This entry, and others without disruption.
    OwnAmongOthers,
    /// A hub that this entry follows.
    Follower,
}

type Calls = Vec<(u64, Outcome)>;

/// Returns when a server that is removed at `removed_at` is no longer known, given the outcomes of the
/// calls to the store. All times are in milliseconds.
fn gone_at(reader: Reader, calls: &Calls, restored_at: Option<u64>, removed_at: u64) -> u64 {
    let server = Server {
        id: Arc::from("a"),
        service: Arc::from("briefs"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: Arc::from("cage-a"),
        version: Arc::from("v1"),
        slots: 4,
        leaving: false,
        started_ms: None,
    };
    let revision = |number| Revision { era: 1, number };
    let mut registry = Registry::new();
    registry.register(server, 1, revision(1));
    let mut detector = Detector::default();
    let mut calls = calls.iter().peekable();
    let steps = (0..LENGTH_MS / STEP_MS).map(|step| step * STEP_MS);
    for ms in steps {
        let now = Duration::from_millis(ms);
        let call = calls.next_if(|(at, _)| *at == ms);
        if let Some((_, outcome)) = call {
            detector.record(*outcome, now);
        }
        let known = match reader {
            Own | OwnAmongOthers => call.is_some(),
            Follower => ms % FOLLOW_MS == 0,
        };
        match detector.state() {
            _ if !known => {}
            State::Unconfirmed => {}
            State::Unavailable if reader != OwnAmongOthers => registry.store_lost(now),
            State::Available | State::Unavailable => registry.store_responded(now),
        }
        if restored_at == Some(ms) {
            registry.store_restored(now);
        }
        if removed_at == ms {
            registry.remove("a", revision(2), now);
        }
        if registry.next_expiry().is_some_and(|due| due <= now) {
            registry.expire(now);
        }
        if registry.get("a").is_none() {
            return ms;
        }
    }
    LENGTH_MS
}

/// Returns the calls of an entry that loses the store for `length` from 1 s on.
fn outage(length: u64) -> Calls {
    let ends = 1_000 + length;
    let refused = (1_000..ends).step_by(250).map(|at| (at, Refused));
    let before = [(0, Answered), (900, Answered)];
    let after = [(ends, Answered), (ends + 1_200, Answered)];
    before.into_iter().chain(refused).chain(after).collect()
}

/// Returns calls of which one is lost, or refused for 100 ms, at the begin of each second.
fn interrupted(outcome: Outcome) -> Calls {
    let second = |second: u64| {
        let at = second * 1_000;
        [(at, outcome), (at + 100, Answered)]
    };
    (1..50).flat_map(second).collect()
}

#[test]
fn calls_that_are_lost_without_an_outage_keep_no_removed_server() {
    let silent = vec![(0, Answered), (1_600, Lost), (1_620, Answered)];
    let cut = vec![(0, Answered), (300, Lost), (320, Answered)];
    let cases = [
        ("silent connection", silent),
        ("cut watch", cut),
        ("watches cut every second", interrupted(Lost)),
    ];
    for (name, calls) in cases {
        for reader in [Own, OwnAmongOthers, Follower] {
            for removed_at in [200, 310, 600, 1_610, 1_700, 5_500] {
                let gone_at = gone_at(reader, &calls, None, removed_at);
                assert_eq!(gone_at, removed_at, "{name}, {reader:?}");
            }
        }
    }
}

#[test]
fn a_server_removed_in_an_outage_is_kept_until_two_seconds_after_it() {
    for length in [300, 3_000, 30_000] {
        let calls = outage(length);
        let ends = 1_000 + length;
        for reader in [Own, Follower] {
            let gone_at = |removed_at| gone_at(reader, &calls, None, removed_at);
            assert_eq!(gone_at(500), 500, "before {length} ms, {reader:?}");
            for removed_at in [1_100, ends - 10, ends + 500, ends + 1_990] {
                assert_eq!(gone_at(removed_at), ends + 2_000, "{length} ms, {reader:?}");
            }
            let later = ends + 2_100;
            assert_eq!(gone_at(later), later, "after {length} ms, {reader:?}");
        }
        let known_to_others = gone_at(OwnAmongOthers, &calls, None, 1_100);
        assert_eq!(known_to_others, 1_100, "others read all through");
    }
}

/// Without a call that ends just then, the server was kept for up to another 1.2 s.
#[test]
fn the_grace_period_ends_without_a_call() {
    let calls = outage(3_000);
    assert_eq!(calls.last(), Some(&(5_200, Answered)));
    assert_eq!(gone_at(Own, &calls, None, 4_100), 6_000);
}

#[test]
fn two_lost_calls_in_a_row_or_a_long_silence_are_an_outage() {
    let twice = vec![
        (0, Answered),
        (1_000, Lost),
        (1_020, Lost),
        (1_100, Answered),
    ];
    assert_eq!(gone_at(Own, &twice, None, 1_200), 3_100);
    let long = vec![(0, Answered), (2_500, Lost), (2_520, Answered)];
    assert_eq!(gone_at(Own, &long, None, 2_600), 4_520);
}

#[test]
fn an_outage_that_begins_again_within_the_grace_period_prolongs_it_but_not_for_good() {
    let mut again = outage(3_000);
    again.truncate(again.len() - 1);
    again.extend([(4_500, Refused), (5_500, Answered)]);
    assert_eq!(gone_at(Own, &again, None, 4_100), 7_500);
    assert_eq!(gone_at(Own, &again, None, 5_600), 7_500);
    let mut long = again;
    long.extend([(7_000, Refused), (10_000, Answered)]);
    assert_eq!(gone_at(Own, &long, None, 7_100), 12_000);
    assert_eq!(gone_at(Own, &interrupted(Refused), None, 1_500), 7_100);
}

#[test]
fn a_server_that_a_restored_copy_lacks_is_kept_until_two_seconds_after_the_restore() {
    let calls = vec![(0, Answered), (1_000, Answered)];
    for (removed_at, expected) in [(900, 900), (1_000, 3_000), (2_900, 3_000), (3_100, 3_100)] {
        assert_eq!(gone_at(Own, &calls, Some(1_000), removed_at), expected);
    }
}
