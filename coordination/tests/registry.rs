//! What is known of servers when their list lags, lapses or names one address twice.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::registry::{Effect, LAPSE_GRACE, Registry, Server};

const NOW: Duration = Duration::from_secs(100);

fn server(id: &str, port: u16) -> Server {
    Server {
        id: Arc::from(id),
        service: Arc::from("briefs"),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: Arc::from("cage-a"),
        version: Arc::from("v1"),
        slots: 4,
        leaving: false,
        started_ms: None,
    }
}

fn leaving(id: &str, port: u16) -> Server {
    Server {
        leaving: true,
        ..server(id, port)
    }
}

fn ready(roster: &Registry) -> Vec<String> {
    let mut ids: Vec<String> = roster
        .ready("briefs")
        .map(|server| server.id.to_string())
        .collect();
    ids.sort();
    ids
}

#[test]
fn an_older_revision_changes_nothing() {
    let mut roster = Registry::new();
    assert_eq!(roster.register(leaving("a", 1), 9), Effect::Leaving);
    assert_eq!(roster.register(server("a", 1), 8), Effect::Stale);
    assert!(ready(&roster).is_empty(), "a server that leaves came back");
}

#[test]
fn a_server_removed_in_order_is_gone_at_once_and_stays_gone() {
    let mut roster = Registry::new();
    roster.register(server("a", 1), 5);
    assert_eq!(roster.remove("a", 7, NOW), Effect::Gone);
    assert_eq!(roster.register(server("a", 1), 6), Effect::Stale);
    assert!(ready(&roster).is_empty());
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_kept_until_the_grace_after_it() {
    let mut roster = Registry::new();
    roster.register(server("a", 1), 5);
    roster.register(server("b", 2), 6);
    roster.store_lost();
    assert_eq!(roster.remove("a", 7, NOW), Effect::Lapsed);
    roster.store_responded(NOW);
    assert_eq!(roster.remove("b", 8, NOW), Effect::Lapsed);
    assert_eq!(ready(&roster), ["a", "b"]);
    roster.register(server("b", 2), 9);
    assert!(roster.expire(NOW + LAPSE_GRACE / 2).is_empty());
    assert_eq!(roster.expire(NOW + LAPSE_GRACE), [Arc::from("a")]);
    assert_eq!(ready(&roster), ["b"]);
}

#[test]
fn a_server_that_was_leaving_is_not_kept_in_an_outage() {
    let mut roster = Registry::new();
    roster.register(leaving("a", 1), 5);
    roster.store_lost();
    assert_eq!(roster.remove("a", 7, NOW), Effect::Gone);
}

#[test]
fn the_next_start_at_an_address_ends_the_one_before() {
    let mut roster = Registry::new();
    roster.register(server("a", 1), 5);
    roster.register(server("b", 1), 6);
    assert_eq!(ready(&roster), ["b"]);
    assert_eq!(roster.register(server("a", 1), 5), Effect::Stale);
    assert_eq!(ready(&roster), ["b"], "the dead server's entry came back");
}

#[test]
fn of_two_starts_at_an_address_the_later_birth_holds() {
    let born = |id: &str, born_ms| Server {
        started_ms: Some(born_ms),
        ..server(id, 1)
    };
    let mut roster = Registry::new();
    roster.register(born("new", 2_000), 5);
    assert_eq!(roster.register(born("old", 1_000), 6), Effect::Stale);
    assert_eq!(ready(&roster), ["new"]);
}

#[test]
fn a_list_removes_what_it_no_longer_names() {
    let mut roster = Registry::new();
    roster.register(server("a", 1), 5);
    roster.register(server("b", 2), 6);
    roster.register(server("c", 3), 9);
    roster.retain(&HashSet::from([Arc::from("a")]), 8, NOW);
    assert_eq!(ready(&roster), ["a", "c"], "c is newer than the list");
}

#[test]
fn a_server_found_in_an_outage_is_used_and_dropped_unless_it_announces_itself() {
    let mut roster = Registry::new();
    roster.register(server("a", 1), 5);
    roster.store_lost();
    assert_eq!(roster.adopt(server("b", 1)), Effect::Joined);
    assert_eq!(roster.adopt(server("b", 1)), Effect::Stale);
    assert_eq!(ready(&roster), ["b"]);
    roster.store_responded(NOW);
    roster.expire(NOW + LAPSE_GRACE);
    assert!(ready(&roster).is_empty());
}

/// Whatever comes in whatever order, a server never comes back from an older revision.
#[test]
fn revisions_never_go_back() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|changes| {
            let mut roster = Registry::new();
            let mut newest = [(0_u64, false); 4];
            for (id, revision, removed) in changes {
                let index = usize::from(*id % 4);
                let name = format!("s{index}");
                let revision = u64::from(*revision) + 1;
                let port = u16::try_from(index).expect("small") + 1;
                if *removed {
                    roster.remove(&name, revision, NOW);
                } else {
                    roster.register(server(&name, port), revision);
                }
                let (seen, gone) = &mut newest[index];
                if revision > *seen {
                    (*seen, *gone) = (revision, *removed);
                }
            }
            for (index, (seen, gone)) in newest.iter().enumerate() {
                let listed = roster.get(&format!("s{index}")).is_some();
                assert!(
                    !(listed && *gone),
                    "s{index} is listed after its removal at {seen}"
                );
            }
        });
}
