//! The changes of the store that an entry sends to a peer.

use medlarfall_coordination::history::Revision;
use medlarfall_relay::changelog::Changelog;
use medlarfall_runtime::store::Change;

const ERA: u64 = 1;

fn at(number: u64) -> Revision {
    Revision { era: ERA, number }
}

fn change(key: &str, value: Option<&str>, revision: u64) -> Change {
    Change {
        key: key.to_owned(),
        value: value.map(str::to_owned),
        revision,
    }
}

#[test]
fn the_newest_change_of_each_key_is_returned_oldest_first() {
    let mut changelog = Changelog::default();
    changelog.insert(ERA, &change("a", Some("1"), 5));
    changelog.insert(ERA, &change("b", Some("1"), 7));
    changelog.insert(ERA, &change("a", None, 9));
    changelog.insert(ERA, &change("a", Some("old"), 6));
    changelog.mark_complete(at(9));
    let sent = changelog.changes_since(at(0));
    assert_eq!(sent.revision, 9);
    assert_eq!(
        sent.changes,
        [change("b", Some("1"), 7), change("a", None, 9)]
    );
    assert_eq!(
        changelog.changes_since(at(7)).changes,
        [change("a", None, 9)]
    );
}

#[test]
fn the_complete_revision_never_decreases() {
    let mut changelog = Changelog::default();
    changelog.mark_complete(at(9));
    changelog.mark_complete(at(4));
    assert_eq!(changelog.revision(), at(9));
}

#[test]
fn removed_keys_are_bounded() {
    let mut changelog = Changelog::default();
    for revision in 1..=20_000_u64 {
        changelog.insert(ERA, &change(&format!("k{revision}"), None, revision));
        changelog.mark_complete(at(revision));
    }
    assert!(changelog.changes_since(at(0)).changes.len() <= 4_096);
}

/// Entries that lack different changes made their peer encode a large one for each of them.
#[test]
fn entries_that_lack_a_large_change_and_others_share_a_response() {
    let mut changelog = Changelog::default();
    for revision in 1..=100 {
        changelog.insert(
            ERA,
            &change(&format!("k{revision}"), Some("small"), revision),
        );
    }
    let large = "large".repeat(100_000);
    changelog.insert(ERA, &change("configuration", Some(&large), 101));
    changelog.mark_complete(at(101));
    let mut encoded = |after| changelog.encoded_since(at(after)).expect("encoded");
    let first = encoded(90);
    assert_eq!(encoded(95).as_ptr(), first.as_ptr());
    assert_eq!(encoded(100).as_ptr(), first.as_ptr());
    // It lacks more than the response has.
    assert_ne!(encoded(50).as_ptr(), first.as_ptr());
    // Only little is missing: the large change would be sent in vain.
    changelog.insert(ERA, &change("k1", Some("smaller"), 102));
    changelog.mark_complete(at(102));
    let all = changelog.encoded_since(at(50)).expect("encoded");
    let little = changelog.encoded_since(at(101)).expect("encoded");
    assert!(little.len() < 200 && all.len() > little.len());
}
