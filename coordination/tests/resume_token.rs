//! Resume tokens: which are accepted, and which are refused with which error.

use bolero::check;
use medlarfall_coordination::resume_token::{Binding, Error, Key, Token, chain_all, digest};

const LIFETIME: u64 = 3_600;

fn binding() -> Binding {
    Binding {
        account: digest([b"cedarline"]),
        body: digest([b"a prompt"]),
    }
}

fn token() -> Token {
    Token {
        request_id: "r-1".into(),
        service: "briefs".into(),
        version: "v1".into(),
        server: "engine-0".into(),
        attempt: 2,
        index: 7,
        issued: 10_000,
        binding: binding(),
        delivered: chain_all([" a", " b"]),
    }
}

#[test]
fn any_token_opens_as_it_was_sealed() {
    check!().with_type::<(String, String, u64, u64)>().for_each(
        |(request, server, attempt, index)| {
            let token = Token {
                request_id: request.as_str().into(),
                server: server.as_str().into(),
                attempt: *attempt,
                index: *index,
                ..token()
            };
            let key = Key::new(b"key");
            let text = key.seal(&token);
            if text.len() <= 4096 {
                assert_eq!(key.open(&text, &binding(), 10_000, LIFETIME), Ok(token));
            }
        },
    );
}

#[test]
fn every_changed_character_is_detected() {
    let key = Key::new(b"key");
    let text = key.seal(&token());
    for position in 0..text.len() {
        let mut changed = text.clone().into_bytes();
        changed[position] = if changed[position] == b'A' {
            b'B'
        } else {
            b'A'
        };
        let changed = String::from_utf8(changed).expect("ASCII");
        let opened = key.open(&changed, &binding(), 10_000, LIFETIME);
        assert_eq!(opened, Err(Error::Forged), "position {position}");
    }
}

#[test]
fn any_text_is_refused_without_a_panic() {
    let key = Key::new(b"key");
    check!().with_type::<String>().for_each(|text| {
        let opened = key.open(text, &binding(), 10_000, LIFETIME);
        assert_eq!(opened, Err(Error::Forged));
    });
}

#[test]
fn a_token_is_refused_with_the_reason() {
    let key = Key::new(b"key");
    let text = key.seal(&token());
    let account = Binding {
        account: digest([b"siam"]),
        ..binding()
    };
    let body = Binding {
        body: digest([b"another prompt"]),
        ..binding()
    };
    let open = |key: &Key, binding: &Binding, now| key.open(&text, binding, now, LIFETIME);
    assert_eq!(open(&key, &account, 10_000), Err(Error::Account));
    assert_eq!(open(&key, &body, 10_000), Err(Error::Body));
    assert_eq!(open(&key, &binding(), 13_601), Err(Error::Expired));
    assert_eq!(open(&key, &binding(), 13_600), Ok(token()));
    let other = Key::new(b"another key");
    assert_eq!(open(&other, &binding(), 10_000), Err(Error::Forged));
}

#[test]
fn digests_depend_on_token_boundaries() {
    assert_ne!(chain_all([" a b"]), chain_all([" a", " b"]));
    assert_ne!(digest([b"ab", b"c"]), digest([b"a", b"bc"]));
}
