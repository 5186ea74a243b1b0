//! Properties of planned stops: the times of moves, the end of a stop, targets and prepared
//! attempts.

use std::time::Duration;

use bolero::check;
use medlarfall_coordination::journal::{Journal, Verdict};
use medlarfall_coordination::planned_stop::{
    Completion, Decision, Policy, Snapshot, Target, share,
};

const POLICY: Policy = Policy {
    lead: Duration::from_secs(5),
    margin_percent: 50,
};

fn snapshot(accepted: u16, notice: u16, share: u8, tokens: u16, interval: u8) -> Snapshot {
    Snapshot {
        accepted: Duration::from_millis(accepted.into()),
        date: Duration::from_millis(u64::from(accepted) + u64::from(notice)),
        share: f64::from(share) / 255.0,
        remaining_tokens: tokens.into(),
        token_interval: Some(Duration::from_millis(interval.into())),
    }
}

#[test]
fn a_generation_moves_by_the_latest_time_and_only_if_it_would_not_end_in_time() {
    check!()
        .with_type::<((u16, u16, u8, u16, u8), u32)>()
        .for_each(|((accepted, notice, share, tokens, interval), now)| {
            let snapshot = snapshot(*accepted, *notice, *share, *tokens, *interval);
            let now = snapshot.accepted + Duration::from_millis((*now % 100_000).into());
            let latest = POLICY.latest(snapshot.date);
            let work = Duration::from_millis(u64::from(*tokens) * u64::from(*interval) * 3 / 2);
            let in_time = now + work <= latest;
            match POLICY.decide(&snapshot, now) {
                Decision::Stay => assert!(in_time && now < latest),
                Decision::MoveAt(moment) => assert!(now < moment && moment <= latest && !in_time),
                Decision::MoveNow => assert!(now >= latest || !in_time),
            }
        });
}

#[test]
fn a_generation_moves_at_the_time_that_was_decided() {
    check!()
        .with_type::<(u16, u16, u8)>()
        .for_each(|(accepted, notice, share)| {
            let snapshot = snapshot(*accepted, *notice, *share, u16::MAX, u8::MAX);
            if let Decision::MoveAt(moment) = POLICY.decide(&snapshot, snapshot.accepted) {
                assert_eq!(POLICY.decide(&snapshot, moment), Decision::MoveNow);
            }
        });
}

#[test]
fn a_generation_of_unknown_speed_moves_at_the_latest_time() {
    let snapshot = Snapshot {
        token_interval: None,
        ..snapshot(0, 60_000, 0, 10, 0)
    };
    let latest = Duration::from_secs(55);
    assert_eq!(
        POLICY.decide(&snapshot, Duration::ZERO),
        Decision::MoveAt(latest)
    );
    assert_eq!(POLICY.decide(&snapshot, latest), Decision::MoveNow);
}

#[test]
fn shares_lie_between_0_and_1_and_spread() {
    let shares: Vec<f64> = (0..1_000)
        .map(|index| share(&format!("request-{index}")))
        .collect();
    assert!(shares.iter().all(|share| (0.0..=1.0).contains(share)));
    let low = shares.iter().filter(|share| **share < 0.5).count();
    assert!((400..600).contains(&low), "{low}");
}

#[test]
fn a_stop_finishes_only_after_an_uninterrupted_idle_period() {
    const SETTLE: u64 = 2_000;
    check!()
        .with_type::<Vec<(u16, Option<u8>)>>()
        .for_each(|observations| {
            let mut completion = Completion::new(Duration::from_millis(SETTLE));
            let mut now = 0;
            let mut idle_since = None;
            for (pause, requests) in observations {
                now += u64::from(*pause);
                let requests = requests.map(|requests| u64::from(requests % 2));
                idle_since = match requests {
                    Some(0) => Some(idle_since.unwrap_or(now)),
                    _ => None,
                };
                let expected = idle_since.is_some_and(|since| now - since >= SETTLE);
                let finished = completion.observe(Duration::from_millis(now), requests);
                assert_eq!(finished, expected);
            }
        });
}

#[test]
fn targets_are_formatted_as_they_are_parsed() {
    for text in ["server/engine-0", "failure-domain/domain.1", "entry/e_9"] {
        let target: Target = text.parse().expect("a target");
        assert_eq!(target.to_string(), text);
    }
    for text in [
        "",
        "engine-0",
        "server/",
        "zone/a",
        "server/a/b",
        "entry/a b",
    ] {
        let error = text.parse::<Target>().expect_err("no target").to_string();
        assert!(error.contains("write `server/NAME`"), "{error}");
    }
}

#[test]
fn a_failure_domain_covers_its_servers_and_entries() {
    let domain: Target = "failure-domain/a".parse().expect("a target");
    assert!(domain.covers_server("engine-0", "a") && domain.covers_entry("entry-0", "a"));
    assert!(!domain.covers_server("engine-0", "b") && !domain.covers_entry("entry-0", "b"));
    let server: Target = "server/engine-0".parse().expect("a target");
    assert!(server.covers_server("engine-0", "b") && !server.covers_server("engine-1", "b"));
    assert!(!server.covers_entry("engine-0", "b"));
}

/// In any order in which attempts are prepared and adopted, tokens are delivered once, in order and
/// only from the newest adopted attempt.
#[test]
fn prepared_attempts_never_disturb_the_order_of_tokens() {
    check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|events| {
            let mut journal = Journal::new();
            let mut attempts = vec![journal.begin_attempt()];
            let mut current = attempts[0];
            for (kind, pick, index) in events {
                let attempt = attempts[usize::from(*pick) % attempts.len()];
                match kind % 4 {
                    0 => {
                        let prepared = journal.prepared_attempt(u64::from(*pick));
                        assert!(!attempts.contains(&prepared), "a number was assigned twice");
                        journal.record_prepared(prepared);
                        attempts.push(prepared);
                    }
                    1 => {
                        journal.adopt(attempt);
                        current = current.max(attempt);
                    }
                    _ => {
                        let next = journal.next_index();
                        let index = next.saturating_sub(2) + u64::from(index % 4);
                        let verdict = journal.accept(attempt, index, format!("{index}").into());
                        let expected = match index {
                            _ if attempt != current => Verdict::Stale,
                            _ if index < next => Verdict::Duplicate,
                            _ if index > next => Verdict::Gap,
                            _ => Verdict::Deliver,
                        };
                        assert_eq!(verdict, expected);
                    }
                }
            }
            let expected: String = (0..journal.next_index())
                .map(|index| index.to_string())
                .collect();
            assert_eq!(journal.text(), expected);
        });
}
