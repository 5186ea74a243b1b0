//! What an entry tells another of the store.

use medlarfall_relay::changelog::Changelog;
use medlarfall_runtime::store::Change;

fn change(key: &str, value: Option<&str>, revision: u64) -> Change {
    Change {
        key: key.to_owned(),
        value: value.map(str::to_owned),
        revision,
    }
}

#[test]
fn the_newest_change_of_each_key_is_told_oldest_first() {
    let mut mirror = Changelog::default();
    mirror.insert(&change("a", Some("1"), 5));
    mirror.insert(&change("b", Some("1"), 7));
    mirror.insert(&change("a", None, 9));
    mirror.insert(&change("a", Some("old"), 6));
    mirror.mark_complete(9);
    let told = mirror.changes_since(0);
    assert_eq!(told.revision, 9);
    assert_eq!(
        told.changes,
        [change("b", Some("1"), 7), change("a", None, 9)]
    );
    assert_eq!(mirror.changes_since(7).changes, [change("a", None, 9)]);
}

#[test]
fn what_is_complete_never_goes_back() {
    let mut mirror = Changelog::default();
    mirror.mark_complete(9);
    mirror.mark_complete(4);
    assert_eq!(mirror.revision(), 9);
}

#[test]
fn removed_keys_are_bounded() {
    let mut mirror = Changelog::default();
    for revision in 1..=20_000_u64 {
        mirror.insert(&change(&format!("k{revision}"), None, revision));
        mirror.mark_complete(revision);
    }
    assert!(mirror.changes_since(0).changes.len() <= 4_096);
}
