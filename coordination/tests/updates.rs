//! The updates that entries send to one another, and the share of their links that these use.

use std::time::Duration;

use medlarfall_coordination::updates::{FRESH, Updates, pause};

/// Entries of a failure domain in a large fleet.
const PEERS: usize = 20;

/// Time between two changes of an entry's streams.
const CHANGE: Duration = Duration::from_millis(10);

/// Time at which servers were lost.
const START: Duration = Duration::from_secs(20);

#[test]
fn a_new_update_is_sent_immediately_and_repeated_while_it_is_new() {
    let mut updates = Updates::default();
    updates.insert("a", START);
    assert_eq!(updates.next_batch(false, START), ["a"]);
    assert!(updates.next_batch(false, START + CHANGE).is_empty());
    updates.insert("b", START + CHANGE);
    assert_eq!(updates.next_batch(false, START + CHANGE), ["a", "b"]);
    let later = START + Duration::from_millis(300);
    assert_eq!(updates.next_batch(false, later), ["a", "b"]);
    let old = START + FRESH + CHANGE;
    assert!(updates.next_batch(false, old).is_empty());
    assert_eq!(updates.next_batch(true, old), ["a", "b"]);
}

#[test]
fn received_updates_are_forwarded_only_in_messages_to_everyone() {
    let mut updates = Updates::default();
    updates.insert_received("a");
    assert!(!updates.has_unsent());
    assert!(updates.next_batch(false, START).is_empty());
    assert_eq!(updates.next_batch(true, START), ["a"]);
}

#[test]
fn an_update_that_recurs_is_sent_again() {
    let mut updates = Updates::default();
    updates.insert("a", START);
    assert_eq!(updates.next_batch(false, START), ["a"]);
    let again = START + FRESH * 2;
    updates.insert("a", again);
    assert!(updates.has_unsent());
    assert_eq!(updates.next_batch(false, again), ["a"]);
}

/// During an outage of the store an entry rediscovers 60 servers while its streams change a hundred
/// times a second. Its messages must use at most a quarter of its link.
#[test]
fn an_outage_leaves_most_of_a_narrow_link_to_requests() {
    const UPDATE_BYTES: usize = 70;
    const LINK_MBPS: u32 = 10;
    let mut updates = Updates::default();
    for server in 0..60 {
        updates.insert(server, START);
    }
    let (mut now, mut bytes) = (START, 0);
    while now < START + Duration::from_secs(4) {
        let message = 300 + UPDATE_BYTES * updates.next_batch(false, now).len();
        bytes += message * PEERS;
        now += CHANGE.max(pause(message, PEERS, LINK_MBPS));
    }
    let link = 4 * LINK_MBPS as usize * 1_000_000 / 8;
    assert!(bytes * 4 <= link, "{bytes} bytes of {link}");
}

#[test]
fn messages_on_a_wide_link_are_not_delayed() {
    assert!(pause(300, 5, 1_000) < CHANGE);
}
