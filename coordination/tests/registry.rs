//! The known servers when their list lags, lapses or contains an address twice.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::history::Revision;
use medlarfall_coordination::registry::{COPY_GRACE, Effect, LAPSE_GRACE, Registry, Server};

const NOW: Duration = Duration::from_secs(100);

fn at(number: u64) -> Revision {
    Revision { era: 1, number }
}

fn register(registry: &mut Registry, server: Server, revision: Revision) -> Effect {
    registry.register(server, revision.number, revision)
}

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

fn ready(registry: &Registry) -> Vec<String> {
    let mut ids: Vec<String> = registry
        .ready("briefs")
        .map(|server| server.id.to_string())
        .collect();
    ids.sort();
    ids
}

#[test]
fn an_older_revision_changes_nothing() {
    let mut registry = Registry::new();
    assert_eq!(
        register(&mut registry, leaving("a", 1), at(9)),
        Effect::Leaving
    );
    assert_eq!(
        register(&mut registry, server("a", 1), at(8)),
        Effect::Stale
    );
    assert!(
        ready(&registry).is_empty(),
        "a server that leaves came back"
    );
}

#[test]
fn a_server_removed_while_the_store_responds_is_gone_immediately_and_stays_gone() {
    let mut registry = Registry::new();
    register(&mut registry, server("a", 1), at(5));
    assert_eq!(registry.remove("a", at(7), NOW), Effect::Gone);
    assert_eq!(
        register(&mut registry, server("a", 1), at(6)),
        Effect::Stale
    );
    assert!(ready(&registry).is_empty());
}

#[test]
fn a_registration_that_lapsed_in_an_outage_is_kept_for_the_grace_period() {
    let mut registry = Registry::new();
    register(&mut registry, server("a", 1), at(5));
    register(&mut registry, server("b", 2), at(6));
    registry.store_lost(NOW);
    assert_eq!(registry.remove("a", at(7), NOW), Effect::Lapsed);
    registry.store_responded(NOW);
    assert_eq!(registry.remove("b", at(8), NOW), Effect::Lapsed);
    assert_eq!(ready(&registry), ["a", "b"]);
    register(&mut registry, server("b", 2), at(9));
    assert!(registry.expire(NOW + LAPSE_GRACE / 2).is_empty());
    assert_eq!(registry.expire(NOW + LAPSE_GRACE), [Arc::from("a")]);
    assert_eq!(ready(&registry), ["b"]);
}

#[test]
fn a_server_that_was_leaving_is_not_kept_in_an_outage() {
    let mut registry = Registry::new();
    register(&mut registry, leaving("a", 1), at(5));
    registry.store_lost(NOW);
    assert_eq!(registry.remove("a", at(7), NOW), Effect::Gone);
}

#[test]
fn a_later_start_at_an_address_replaces_the_earlier_one() {
    let mut registry = Registry::new();
    register(&mut registry, server("a", 1), at(5));
    register(&mut registry, server("b", 1), at(6));
    assert_eq!(ready(&registry), ["b"]);
    assert_eq!(
        register(&mut registry, server("a", 1), at(5)),
        Effect::Stale
    );
    assert_eq!(
        ready(&registry),
        ["b"],
        "the dead server's registration came back"
    );
}

#[test]
fn the_latest_start_time_at_an_address_wins() {
    let started = |id: &str, started_ms| Server {
        started_ms: Some(started_ms),
        ..server(id, 1)
    };
    let mut registry = Registry::new();
    register(&mut registry, started("new", 2_000), at(5));
    assert_eq!(
        register(&mut registry, started("old", 1_000), at(6)),
        Effect::Unused
    );
    assert_eq!(ready(&registry), ["new"]);
}

#[test]
fn a_list_removes_the_servers_that_it_does_not_contain() {
    let mut registry = Registry::new();
    register(&mut registry, server("a", 1), at(5));
    register(&mut registry, server("b", 2), at(6));
    register(&mut registry, server("c", 3), at(9));
    registry.retain(&HashSet::from([Arc::from("a")]), at(8), NOW);
    assert_eq!(ready(&registry), ["a", "c"], "c is newer than the list");
}

#[test]
fn a_server_found_in_an_outage_is_used_and_dropped_unless_it_registers() {
    let mut registry = Registry::new();
    register(&mut registry, server("a", 1), at(5));
    registry.store_lost(NOW);
    assert_eq!(registry.adopt(server("b", 1)), Effect::Joined);
    assert_eq!(registry.adopt(server("b", 1)), Effect::Stale);
    assert_eq!(ready(&registry), ["b"]);
    registry.store_responded(NOW);
    registry.expire(NOW + LAPSE_GRACE);
    assert!(ready(&registry).is_empty());
}

/// A revision after a restore of the store.
fn restored(number: u64) -> Revision {
    Revision { era: 2, number }
}

#[test]
fn a_server_that_leaves_is_not_ready_again_after_a_restore() {
    let mut registry = Registry::new();
    registry.register(leaving("a", 1), 8, at(9));
    registry.store_restored(NOW);
    assert_eq!(
        registry.register(server("a", 1), 5, restored(6)),
        Effect::Stale
    );
    assert!(ready(&registry).is_empty());
    assert_eq!(registry.remove("a", restored(7), NOW), Effect::Gone);
}

#[test]
fn a_server_that_was_removed_returns_after_a_restore_only_with_a_later_registration() {
    let mut registry = Registry::new();
    registry.register(server("a", 1), 8, at(9));
    assert_eq!(registry.remove("a", at(10), NOW), Effect::Gone);
    registry.retain(&HashSet::new(), at(11), NOW);
    registry.store_restored(NOW);
    assert_eq!(
        registry.register(server("a", 1), 8, restored(6)),
        Effect::Stale
    );
    assert_eq!(
        registry.register(server("a", 1), 9, restored(7)),
        Effect::Joined
    );
}

#[test]
fn a_removed_server_that_a_copy_lists_returns_if_it_stays_listed() {
    let mut registry = Registry::new();
    for (id, port) in [("a", 1), ("b", 2), ("c", 3)] {
        registry.register(server(id, port), 3, at(5));
        assert_eq!(registry.remove(id, at(9), NOW), Effect::Gone);
    }
    registry.register(leaving("d", 4), 4, at(10));
    assert_eq!(registry.remove("d", at(11), NOW), Effect::Gone);
    registry.store_restored(NOW);
    for (id, port) in [("a", 1), ("b", 2), ("c", 3), ("d", 4)] {
        registry.register(server(id, port), 3, restored(5));
    }
    let listed = ["a", "c", "d"].map(Arc::from);
    registry.retain(&HashSet::from(listed), restored(7), NOW);
    registry.remove("c", restored(8), NOW);
    let returns_at = NOW + LAPSE_GRACE + COPY_GRACE;
    let just_before = returns_at.saturating_sub(Duration::from_millis(1));
    assert!(registry.accept_listed(just_before).is_empty());
    registry.store_lost(NOW);
    assert!(registry.accept_listed(returns_at).is_empty(), "store down");
    registry.store_responded(NOW);
    assert_eq!(registry.accept_listed(returns_at), [Arc::from("a")]);
    assert_eq!(ready(&registry), ["a"]);
    assert!(registry.accept_listed(returns_at).is_empty());
    assert_eq!(
        registry.remove("a", restored(9), returns_at),
        Effect::Gone,
        "its revision is that of the copy"
    );
}

#[test]
fn a_live_server_that_a_copy_lacks_or_shows_as_it_was_is_kept() {
    let mut registry = Registry::new();
    registry.register(server("a", 1), 8, at(9));
    registry.register(server("b", 2), 3, at(10));
    registry.store_restored(NOW);
    registry.register(server("a", 1), 5, restored(6));
    registry.retain(&HashSet::from([Arc::from("a")]), restored(6), NOW);
    assert_eq!(ready(&registry), ["a", "b"]);
    registry.register(server("b", 2), 4, restored(7));
    registry.expire(NOW + LAPSE_GRACE);
    assert_eq!(ready(&registry), ["a", "b"]);
}

/// Returns a server's start.
fn started(id: &str, port: u16, started_ms: u64) -> Server {
    Server {
        started_ms: Some(started_ms),
        ..server(id, port)
    }
}

#[test]
fn a_server_that_said_it_leaves_is_not_ready_again_whatever_the_store_has() {
    let id = Arc::from("a");
    let mut registry = Registry::new();
    registry.register(started("a", 1, 1_000), 3, at(5));
    let said = |registry: &mut Registry| registry.record_departure(&id, Some(1_000), NOW);
    assert_eq!(said(&mut registry), Effect::Leaving);
    assert_eq!(said(&mut registry), Effect::Stale, "known");
    registry.register(started("a", 1, 1_000), 4, at(6));
    assert!(ready(&registry).is_empty(), "registered again");
    registry.store_restored(NOW);
    registry.register(started("a", 1, 1_000), 4, restored(3));
    assert!(ready(&registry).is_empty(), "ready in a copy");
    assert_eq!(registry.remove("a", restored(4), NOW), Effect::Gone);
    registry.register(started("a", 1, 1_000), 5, restored(5));
    assert!(ready(&registry).is_empty(), "registered after its removal");
    registry.remove("a", restored(6), NOW);
    assert_eq!(registry.adopt(started("a", 1, 1_000)), Effect::Stale);
}

#[test]
fn a_new_start_of_a_server_that_said_it_leaves_is_ready() {
    let id = Arc::from("a");
    let mut registry = Registry::new();
    registry.register(started("a", 1, 1_000), 3, at(5));
    registry.record_departure(&id, Some(1_000), NOW);
    registry.register(started("b", 1, 2_000), 1, at(6));
    assert_eq!(ready(&registry), ["b"], "at its address");
    registry.register(started("a", 2, 2_000), 1, at(7));
    assert_eq!(ready(&registry), ["a", "b"], "under its name");
    assert_eq!(
        registry.record_departure(&id, Some(1_000), NOW),
        Effect::Stale,
        "an answer of the earlier start"
    );
    assert_eq!(ready(&registry), ["a", "b"]);
}

#[test]
fn no_order_of_changes_makes_a_start_ready_that_said_it_leaves() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .for_each(|changes| {
            let mut registry = Registry::new();
            let mut left: HashMap<String, u64> = HashMap::new();
            let mut now = NOW;
            let (mut era, mut number) = (1, 1);
            for (operation, server, age) in changes {
                let id: Arc<str> = Arc::from(format!("s{}", server % 3));
                let start = u64::from(age % 3) + 1;
                let start = started(&id, u16::from(server % 4), start);
                number += 1;
                let revision = Revision { era, number };
                match operation % 8 {
                    0 | 1 => {
                        registry.register(start, u64::from(*age), revision);
                    }
                    2 => {
                        registry.adopt(start);
                    }
                    3 => {
                        registry.remove(&id, revision, now);
                    }
                    4 => {
                        registry.record_departure(&id, start.started_ms, now);
                        let latest = left.entry(id.to_string()).or_default();
                        *latest = start.started_ms.expect("known").max(*latest);
                    }
                    5 => {
                        registry.store_restored(now);
                        (era, number) = (era + 1, 1);
                    }
                    6 => registry.retain(&HashSet::from([id]), revision, now),
                    _ => {
                        now += Duration::from_millis(50);
                        registry.expire(now);
                        registry.accept_listed(now + Duration::from_secs(u64::from(*age)));
                    }
                }
                for ready in registry.ready("briefs") {
                    let left = left.get(&*ready.id).copied();
                    assert!(ready.started_ms > left, "{} is ready again", ready.id);
                }
            }
        });
}

/// A change with an older revision must never bring a server back, in whatever order changes arrive.
#[test]
fn revisions_never_go_back() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|changes| {
            let mut registry = Registry::new();
            let mut newest = [(0_u64, false); 4];
            for (id, revision, removed) in changes {
                let index = usize::from(*id % 4);
                let name = format!("s{index}");
                let revision = u64::from(*revision) + 1;
                let port = u16::try_from(index).expect("small") + 1;
                if *removed {
                    registry.remove(&name, at(revision), NOW);
                } else {
                    register(&mut registry, server(&name, port), at(revision));
                }
                let (newest_revision, gone) = &mut newest[index];
                if revision > *newest_revision {
                    (*newest_revision, *gone) = (revision, *removed);
                }
            }
            for (index, (newest_revision, gone)) in newest.iter().enumerate() {
                let known = registry.get(&format!("s{index}")).is_some();
                assert!(
                    !(known && *gone),
                    "s{index} is listed after its removal at {newest_revision}"
                );
            }
        });
}
