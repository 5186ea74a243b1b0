//! Call identifiers: their validity window, their store keys and their binding to a request.

use std::time::Duration;

use bolero::check;
use medlarfall_coordination::claim::identifier::{
    self, Error, Identifier, Window, binding, decode_body, encode_body, sweepable,
};
use uuid::{NoContext, Timestamp, Uuid};

const WINDOW: Window = Window {
    retention: Duration::from_hours(24),
    skew: Duration::from_mins(5),
};
const NOW: Duration = Duration::from_hours(500_000);

fn ago(age: Duration) -> Duration {
    NOW.saturating_sub(age)
}

fn id(made: Duration) -> String {
    let made = Timestamp::from_unix(NoContext, made.as_secs(), made.subsec_nanos());
    Uuid::new_v7(made).to_string()
}

#[test]
fn identifiers_outside_the_window_are_refused_with_a_remedy() {
    let old = Identifier::check(&id(ago(Duration::from_hours(25))), NOW, WINDOW);
    let window = WINDOW.retention;
    assert_eq!(old, Err(Error::TooOld { window }));
    let future = Identifier::check(&id(NOW + Duration::from_hours(1)), NOW, WINDOW);
    let skew = WINDOW.skew;
    assert_eq!(future, Err(Error::FromFuture { skew }));
    assert!(Identifier::check(&id(NOW), NOW, WINDOW).is_ok());
}

#[test]
fn texts_other_than_version_7_uuids_are_refused() {
    let version_4 = "6f0e5bd4-3b8f-4a3b-9c0e-0d3b6a0f4c11";
    for text in ["", "7", version_4, "x".repeat(1000).as_str()] {
        let refused = Identifier::check(text, NOW, WINDOW).expect_err("it is refused");
        assert!(matches!(refused, Error::Malformed { .. }));
        assert!(refused.to_string().len() < 200);
    }
}

#[test]
fn keys_are_scoped_by_account_and_service() {
    let id = Identifier::check(&id(NOW), NOW, WINDOW).expect("it is in its window");
    let keys = [
        id.key("a", "bc"),
        id.key("ab", "c"),
        id.key("a/../b", "c"),
        id.key("", "abc"),
    ];
    for (index, key) in keys.iter().enumerate() {
        let allowed =
            |character: char| character.is_ascii_alphanumeric() || "/-".contains(character);
        assert!(key.chars().all(allowed), "{key}");
        assert!(!keys[..index].contains(key));
    }
}

#[test]
fn bindings_separate_method_path_and_body() {
    assert_ne!(binding("POST", "/ab", b"c"), binding("POST", "/a", b"bc"));
    assert_eq!(binding("POST", "/a", b"b"), binding("POST", "/a", b"b"));
}

#[test]
fn stored_bodies_are_decoded_unchanged() {
    check!().with_type::<Vec<u8>>().for_each(|body| {
        assert_eq!(decode_body(&encode_body(body)).as_ref(), Some(body));
    });
}

#[test]
fn only_buckets_that_every_entry_refuses_are_swept() {
    check!().with_type::<(u32, u32)>().for_each(|(age, lag)| {
        let made = ago(Duration::from_secs(u64::from(*age) % 400_000));
        let swept = sweepable(NOW, WINDOW).is_some_and(|last| identifier::bucket(made) <= last);
        let slow = ago(Duration::from_secs(u64::from(*lag) % 300));
        assert!(!swept || Identifier::check(&id(made), slow, WINDOW).is_err());
    });
}
