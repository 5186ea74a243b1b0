//! What entries tell one another stays small beside their links.

use std::time::Duration;

use medlarfall_coordination::updates::{FRESH, Updates, pause};

/// Entries of a failure domain in a large fleet.
const PEERS: usize = 20;

/// Time between two changes of an entry's streams.
const CHANGE: Duration = Duration::from_millis(10);

/// Time at which servers were lost.
const START: Duration = Duration::from_secs(20);

#[test]
fn what_is_new_is_told_at_once_and_again_while_it_is_fresh() {
    let mut tidings = Updates::default();
    tidings.insert("a", START);
    assert_eq!(tidings.next_batch(false, START), ["a"]);
    assert!(tidings.next_batch(false, START + CHANGE).is_empty());
    tidings.insert("b", START + CHANGE);
    assert_eq!(tidings.next_batch(false, START + CHANGE), ["a", "b"]);
    let later = START + Duration::from_millis(300);
    assert_eq!(tidings.next_batch(false, later), ["a", "b"]);
    let old = START + FRESH + CHANGE;
    assert!(tidings.next_batch(false, old).is_empty());
    assert_eq!(tidings.next_batch(true, old), ["a", "b"]);
}

#[test]
fn what_others_told_is_passed_on_only_to_everyone() {
    let mut tidings = Updates::default();
    tidings.insert_received("a");
    assert!(!tidings.has_unsent());
    assert!(tidings.next_batch(false, START).is_empty());
    assert_eq!(tidings.next_batch(true, START), ["a"]);
}

#[test]
fn what_is_lost_again_is_told_again() {
    let mut tidings = Updates::default();
    tidings.insert("a", START);
    assert_eq!(tidings.next_batch(false, START), ["a"]);
    let again = START + FRESH * 2;
    tidings.insert("a", again);
    assert!(tidings.has_unsent());
    assert_eq!(tidings.next_batch(false, again), ["a"]);
}

/// Plays an outage of the store in which 60 servers are found anew by an entry whose streams
/// change a hundred times a second, and returns the bytes that it tells in a second.
#[test]
fn an_outage_leaves_most_of_a_narrow_link_to_requests() {
    const FIND_BYTES: usize = 70;
    const LINK_MBPS: u32 = 10;
    let mut tidings = Updates::default();
    for server in 0..60 {
        tidings.insert(server, START);
    }
    let (mut now, mut bytes) = (START, 0);
    while now < START + Duration::from_secs(4) {
        let message = 300 + FIND_BYTES * tidings.next_batch(false, now).len();
        bytes += message * PEERS;
        now += CHANGE.max(pause(message, PEERS, LINK_MBPS));
    }
    let link = 4 * LINK_MBPS as usize * 1_000_000 / 8;
    assert!(bytes * 4 <= link, "{bytes} bytes of {link}");
}

#[test]
fn a_wide_link_is_not_slowed() {
    assert!(pause(300, 5, 1_000) < CHANGE);
}
