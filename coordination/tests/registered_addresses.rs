//! Registrations of several servers at one address, of which one at most is in use.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::history::Revision;
use medlarfall_coordination::registry::{Effect, Registry, Server, Unused};

const NOW: Duration = Duration::from_secs(100);

fn at(number: u64) -> Revision {
    Revision { era: 1, number }
}

fn server(id: &str, service: &str, port: u16, started_ms: Option<u64>) -> Server {
    Server {
        id: Arc::from(id),
        service: Arc::from(service),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: Arc::from("cage-a"),
        version: Arc::from("v1"),
        slots: 4,
        leaving: false,
        started_ms,
    }
}

fn configure(registry: &mut Registry, services: &[&str]) -> bool {
    let names: Vec<Arc<str>> = services.iter().map(|name| Arc::from(*name)).collect();
    registry.set_services(names.iter())
}

fn used(registry: &Registry) -> Vec<String> {
    let mut ids: Vec<String> = registry
        .iter()
        .map(|server| server.id.to_string())
        .collect();
    ids.sort();
    ids
}

/// Registrations of a service that nobody configured ended the service whose servers' addresses they had.
#[test]
fn a_registration_of_an_unknown_service_takes_no_address() {
    for configured_first in [true, false] {
        for foreign_first in [true, false] {
            for started_ms in [None, Some(1), Some(9_000)] {
                let mut registry = Registry::new();
                if configured_first {
                    configure(&mut registry, &["app"]);
                }
                let own = (server("own", "app", 1, Some(5_000)), 5);
                let foreign = (server("foreign", "ledger-agent", 1, started_ms), 6);
                let mut both = [own, foreign];
                if foreign_first {
                    both.reverse();
                }
                for (server, number) in both {
                    registry.register(server, 1, at(number));
                }
                configure(&mut registry, &["app"]);
                assert_eq!(used(&registry), ["own"]);
                let unused = Unused {
                    service: 1,
                    address: 0,
                };
                assert_eq!(registry.unused(), unused);
            }
        }
    }
}

#[test]
fn a_service_that_is_configured_or_removed_later_changes_the_holder() {
    let mut registry = Registry::new();
    configure(&mut registry, &["app"]);
    registry.register(server("a", "app", 1, Some(1)), 1, at(5));
    let later = registry.register(server("b", "agent", 1, Some(2)), 1, at(6));
    assert_eq!(later, Effect::Unused);
    assert!(configure(&mut registry, &["app", "agent"]));
    assert_eq!(used(&registry), ["b"]);
    assert!(configure(&mut registry, &["app"]));
    assert_eq!(used(&registry), ["a"]);
    assert!(!configure(&mut registry, &["app"]));
}

/// The address of a lost server is given to one of another service, whose requests alone may reach it.
#[test]
fn the_later_server_of_two_configured_ones_holds_the_address_until_it_is_removed() {
    for (first, second) in [(Some(1), Some(2)), (None, None), (Some(1), None)] {
        let mut registry = Registry::new();
        configure(&mut registry, &["app", "briefs"]);
        registry.register(server("lost", "app", 1, first), 1, at(5));
        let effect = registry.register(server("new", "briefs", 1, second), 1, at(9));
        assert_eq!(effect, Effect::Joined);
        assert_eq!(used(&registry), ["new"]);
        assert_eq!(registry.ready("app").count(), 0);
        // The registration of the lost server ends later.
        assert_eq!(registry.remove("lost", at(10), NOW), Effect::Unused);
        assert_eq!(used(&registry), ["new"]);
    }
    let mut registry = Registry::new();
    registry.register(server("a", "app", 1, Some(1)), 1, at(5));
    registry.register(server("b", "app", 1, Some(2)), 1, at(6));
    assert_eq!(registry.remove("b", at(7), NOW), Effect::Gone);
    assert_eq!(used(&registry), ["a"], "its registration still stands");
}

#[test]
fn a_server_that_moves_leaves_its_address_to_the_other() {
    let mut registry = Registry::new();
    registry.register(server("a", "app", 1, None), 1, at(5));
    registry.register(server("b", "app", 1, None), 1, at(6));
    registry.register(server("b", "app", 2, None), 2, at(7));
    assert_eq!(used(&registry), ["a", "b"]);
}

/// A restored store names the registrations of ended servers by new revisions.
#[test]
fn a_restore_gives_no_address_back_to_an_earlier_server() {
    let restored = Revision { era: 2, number: 3 };
    let mut registry = Registry::new();
    registry.register(server("ended", "app", 1, None), 1, at(5));
    registry.register(server("new", "briefs", 1, None), 1, at(9));
    registry.store_restored(NOW);
    registry.register(server("ended", "app", 1, None), 1, restored);
    assert_eq!(used(&registry), ["new"]);
}

/// A change of a server's registration, and when it arrives.
#[derive(Clone, Debug)]
struct Change {
    order: u8,
    revision: u64,
    id: String,
    server: Option<Server>,
}

/// Returns the servers that the changes leave, which are given in the order of their revisions.
fn expected(changes: &[Change], services: &[&str]) -> Vec<String> {
    let mut last: BTreeMap<&str, (u64, Option<&Server>)> = BTreeMap::new();
    for change in changes {
        last.insert(&change.id, (change.revision, change.server.as_ref()));
    }
    let mut registered: Vec<(u64, &Server)> = last
        .values()
        .filter_map(|(revision, server)| Some((*revision, (*server)?)))
        .filter(|(_, server)| services.contains(&&*server.service))
        .collect();
    registered.sort_by_key(|(revision, _)| *revision);
    let mut holders: BTreeMap<u16, &Server> = BTreeMap::new();
    for (_, server) in registered {
        let holder = holders.entry(server.address.port()).or_insert(server);
        let starts = holder.started_ms.zip(server.started_ms);
        if starts.is_none_or(|(holds, claims)| holds <= claims) {
            *holder = server;
        }
    }
    let ids: HashSet<String> = holders.values().map(|it| it.id.to_string()).collect();
    let mut ids: Vec<String> = ids.into_iter().collect();
    ids.sort();
    ids
}

/// List, watch, peers and configuration come in any order.
#[test]
fn any_order_of_the_same_changes_ends_in_the_same_servers() {
    const SERVICES: [&str; 3] = ["app", "briefs", "agent"];
    const CONFIGURED: [&str; 2] = ["app", "briefs"];
    bolero::check!()
        .with_type::<(u8, Vec<(u8, u8, u8, u8)>)>()
        .for_each(|(configured_at, changes)| {
            let changes: Vec<Change> = (1_u64..)
                .zip(changes)
                .map(|(revision, (order, id, kind, start))| {
                    let id = format!("s{}", id % 4);
                    let service = SERVICES[usize::from(kind % 3)];
                    let port = u16::from(kind / 3 % 2) + 1;
                    let started_ms = (start % 4 > 0).then_some(u64::from(start % 4));
                    let registers = kind % 5 > 0;
                    let server = registers.then(|| server(&id, service, port, started_ms));
                    Change {
                        order: *order,
                        revision,
                        id,
                        server,
                    }
                })
                .collect();
            let mut arriving = changes.clone();
            arriving.sort_by_key(|change| change.order);
            let mut registry = Registry::new();
            for (index, change) in arriving.into_iter().enumerate() {
                let Change {
                    revision,
                    id,
                    server,
                    ..
                } = change;
                if index == usize::from(*configured_at % 8) {
                    configure(&mut registry, &CONFIGURED);
                }
                match server {
                    Some(server) => registry.register(server, revision, at(revision)),
                    None => registry.remove(&id, at(revision), NOW),
                };
            }
            configure(&mut registry, &CONFIGURED);
            assert_eq!(used(&registry), expected(&changes, &CONFIGURED));
        });
}
