//! Routes, accounts and services of a configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::routing::{Account, Kind, Limits, Route, Service, Table, Target};

fn route(prefix: &str, targets: &[(&str, u32)]) -> Route {
    Route {
        name: Arc::from(prefix),
        host: Arc::from("plots.example"),
        prefix: Arc::from(prefix),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        longest_pause: None,
        attempts: 2,
        priority: 1,
        anonymous: false,
        targets: targets
            .iter()
            .map(|(service, weight)| Target {
                service: Arc::from(*service),
                weight: *weight,
            })
            .collect(),
    }
}

fn service(models: &[&str]) -> Service {
    Service {
        models: models.iter().map(|model| Arc::from(*model)).collect(),
        ..Service::default()
    }
}

fn table(routes: Vec<Route>) -> Table {
    let services = HashMap::from([
        (Arc::from("briefs"), service(&["m"])),
        (Arc::from("letters"), service(&["n", "shared"])),
        (Arc::from("drafts"), service(&["shared"])),
    ]);
    let account = Arc::new(Account {
        name: Arc::from("desk"),
        priority: Some(2),
    });
    let accounts = HashMap::from([(Arc::from("key"), account)]);
    Table::new(3, Limits::default(), routes, services, Some(accounts))
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![route("/a/", &[("x", 1)]), route("/a/b/", &[("y", 1)])]);
    let found =
        |host: &str, path: &str| table.route(host, path).map(|route| route.name.to_string());
    assert_eq!(found("plots.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(found("plots.example", "/a/bc").as_deref(), Some("/a/"));
    assert_eq!(found("plots.example", "/a"), None);
    assert_eq!(found("other.example", "/a/b/c"), None);
}

#[test]
fn targets_get_their_share() {
    let route = route("/a/", &[("x", 90), ("y", 10), ("z", 0)]);
    let of = |service: &str| {
        let targets = (0..1_000).filter_map(|request_hash| route.target(request_hash));
        targets.filter(|target| &***target == service).count()
    };
    assert_eq!((of("x"), of("y"), of("z")), (900, 100, 0));
}

#[test]
fn a_route_without_targets_has_none() {
    assert_eq!(route("/a/", &[]).target(7), None);
    assert_eq!(route("/a/", &[("x", 0)]).target(7), None);
}

#[test]
fn keys_are_required_except_on_anonymous_routes() {
    let open = Route {
        anonymous: true,
        ..route("/open/", &[("x", 1)])
    };
    let closed = route("/a/", &[("x", 1)]);
    let table = table(vec![]);
    assert!(table.needs_key(&closed));
    assert!(!table.needs_key(&open));
    assert!(table.account("key").is_some());
    assert!(table.account("other").is_none());
}

#[test]
fn a_model_identifies_a_service_only_if_no_other_service_has_it() {
    let table = table(vec![]);
    let service = |model: &str| table.service_of(&[Arc::from(model)]).map(|name| &**name);
    assert_eq!(service("m"), Some("briefs"));
    assert_eq!(service("shared"), None);
    assert_eq!(service("unknown"), None);
}
