//! Datagrams between entries: whole round trips, and bytes that are no valid datagram.

use std::sync::Arc;
use std::time::Duration;

use bolero::check;
use medlarfall_coordination::autoscaling::Demand;
use medlarfall_coordination::dissemination::{
    Contact, Content, Count, Crashes, Digest, Message, Report, Sender, ServerLimit, Successor,
    Summary,
};
use medlarfall_coordination::history::Revision;
use medlarfall_coordination::quarantine::Loss;
use medlarfall_coordination::retry_budget::Usage;
use medlarfall_coordination::server_limit::Named;
use medlarfall_coordination::usage;
use medlarfall_relay::datagram::{self, Error, Updates};
use medlarfall_runtime::store::{Change, Changes};

fn message(content: Content) -> Message {
    Message {
        sender: Sender {
            entry: Arc::from("entry-1"),
            failure_domain: Arc::from("cage-a"),
            link_mbps: 200,
            revision: Revision { era: 2, number: 77 },
            reads_store: true,
            store_available: true,
            leaving: false,
            wall_ms: Some(1_780_000_000_123),
        },
        content,
    }
}

fn digest(servers: u32) -> Digest {
    let count = |server| Count {
        streams: server % 7,
        prefilling: server % 2,
        backups: server % 3,
    };
    Digest {
        counts: Some(usage::Report {
            incarnation: u64::MAX,
            since_ms: 1_780_000_000_000,
            until_ms: 1_780_000_005_000,
            windows: vec![usage::Window {
                index: 356_000_000,
                total: 9,
                at_risk: 1,
                open: true,
                counts: vec![(Arc::from("desk"), 5), (Arc::from("field"), 4)],
            }],
        }),
        usage_settled: Some(355_999_999),
        account_demand: Vec::new(),
        summaries: vec![Summary {
            failure_domain: Arc::from("cage-b"),
            entries: 49,
            streams: (0..servers).map(|server| (server, count(server))).collect(),
            usage: vec![(
                Arc::from("briefs"),
                Usage {
                    requests: 9,
                    retries: 2,
                },
            )],
            demands: vec![(
                Arc::from("briefs"),
                Demand {
                    entries: 49,
                    requests: 120,
                    prompt_tokens: 624_000,
                    running: 105,
                    waiting: 60,
                    measured: 900,
                    prefill_ns: 180_000_000,
                },
            )],
        }],
        lost: vec![(7, Duration::from_millis(120))],
        successors: vec![Successor {
            predecessor: Arc::from("old"),
            id: Arc::from("new"),
            started_ms: Some(5),
        }],
        moves: Vec::new(),
        prompts: Crashes {
            losses: vec![(
                Loss {
                    server: 7,
                    parts: [1, 2, u64::MAX].into(),
                },
                Duration::from_millis(30),
            )],
            answers: vec![([1].into(), Duration::from_millis(20))],
        },
        calls: Crashes {
            losses: vec![(
                Loss {
                    server: 8,
                    parts: [3].into(),
                },
                Duration::from_millis(40),
            )],
            answers: vec![([4].into(), Duration::from_millis(10))],
        },
        limits: [Named::per_second(0.0), Named(None), Named(Some(2_700))]
            .map(|named| (ServerLimit { server: 9, named }, Duration::from_millis(5)))
            .to_vec(),
        contacts: vec![Contact {
            entry: Arc::from("entry-2"),
            address: "10.0.0.2:7200".parse().expect("an address"),
            link_mbps: 20,
        }],
    }
}

fn updates(value_bytes: usize) -> Updates {
    Updates {
        after: 70,
        changes: Changes {
            changes: vec![Change {
                key: "op/config".to_owned(),
                value: Some("x".repeat(value_bytes)),
                revision: 77,
            }],
            revision: 77,
            era: 2,
        },
    }
}

#[test]
fn a_message_arrives_as_it_was_sent_whether_or_not_it_is_deflated() {
    for servers in [3, 2_000] {
        let sent = message(Content::Digest(digest(servers)));
        let bytes = datagram::encode(sent.clone(), Some(updates(500))).expect("encoded");
        let (received, changes) = datagram::decode(&bytes).expect("decoded");
        assert_eq!(received, sent);
        assert_eq!(changes, Some(updates(500)));
    }
    let sent = message(Content::Report(Report::default()));
    let bytes = datagram::encode(sent.clone(), Some(updates(5))).expect("encoded");
    // Only digests carry updates.
    assert_eq!(datagram::decode(&bytes).expect("decoded"), (sent, None));
}

/// The messages of earlier versions are deflated JSON.
#[test]
fn bytes_of_another_format_are_refused() {
    for bytes in [&b""[..], b"\x8a\x56\x4a\xcd", b"{\"entry\":\"a\"}"] {
        assert!(matches!(datagram::decode(bytes), Err(Error::Format)));
    }
}

/// A deflated datagram of a few kilobytes may contain gigabytes.
#[test]
fn a_datagram_that_inflates_beyond_the_limit_is_refused() {
    let large = message(Content::Digest(digest(3)));
    let bytes =
        datagram::encode(large, Some(updates(2 << 20))).expect("repeated text deflates well");
    assert!(bytes.len() < 60_000, "{}", bytes.len());
    assert!(datagram::decode(&bytes).is_err());
}

#[test]
fn any_bytes_are_decoded_or_refused() {
    let valid = datagram::encode(message(Content::Digest(digest(40))), Some(updates(9)));
    let valid = valid.expect("encoded");
    check!()
        .with_type::<(Vec<u8>, Vec<(u16, u8)>)>()
        .for_each(|(random, changes)| {
            let _ = datagram::decode(random);
            let mut changed = valid.clone();
            for (position, value) in changes {
                let position = usize::from(*position) % changed.len();
                changed[position] = *value;
            }
            let _ = datagram::decode(&changed);
            for format in [0xC1, 0xC2] {
                let bytes: Vec<u8> = std::iter::once(format)
                    .chain(random.iter().copied())
                    .collect();
                let _ = datagram::decode(&bytes);
            }
        });
}
