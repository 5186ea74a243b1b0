//! Cases of the scenario `moves`: good and bad versions, and the faults that make them so.

use medlarfall_standin::{engine, service};

use crate::cluster::{BRIEFS, Cluster, TRACKER};

/// Faults of the old and of the new version of a service.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// Faults of engines.
    Engine {
        /// Sets the faults of the old version.
        old: fn(&mut engine::Faults),
        /// Sets the faults of the new version.
        new: fn(&mut engine::Faults),
    },
    /// Faults of instances of the plain service.
    Service {
        /// Sets the faults of the old version.
        old: fn(&mut service::Faults),
        /// Sets the faults of the new version.
        new: fn(&mut service::Faults),
    },
}

impl Fault {
    /// Returns the service that is moved.
    pub(super) fn service(self) -> &'static str {
        match self {
            Self::Engine { .. } => BRIEFS,
            Self::Service { .. } => TRACKER,
        }
    }

    /// Applies the faults to the backend servers of a cluster.
    pub(super) fn apply(self, cluster: &Cluster) {
        match self {
            Self::Engine { old, new } => {
                for engine in &cluster.engines {
                    let mut faults = engine::Faults::default();
                    let is_new = engine.instance.version == "v2";
                    let set_faults = if is_new { new } else { old };
                    set_faults(&mut faults);
                    engine.engine.set_faults(faults);
                }
            }
            Self::Service { old, new } => {
                for instance in &cluster.services {
                    let mut faults = service::Faults::default();
                    let is_new = instance.instance.version == "v2";
                    let set_faults = if is_new { new } else { old };
                    set_faults(&mut faults);
                    instance.service.set_faults(faults);
                }
            }
        }
    }
}

/// A move to a version, and the end that it must have.
#[derive(Clone, Copy, Debug)]
pub(super) struct Case {
    /// Name printed if the move does not end as expected.
    pub(super) name: &'static str,
    /// Whether the new version must be taken back.
    pub(super) bad: bool,
    /// Whether a backend server of the new version dies during the move.
    pub(super) dies: bool,
    /// Faults of both versions.
    pub(super) fault: Fault,
}

/// Returns the case of a good engine version, with the same faults in both versions.
fn good_engine_case(name: &'static str, both: fn(&mut engine::Faults)) -> Case {
    let fault = Fault::Engine {
        old: both,
        new: both,
    };
    Case {
        name,
        bad: false,
        dies: false,
        fault,
    }
}

/// Returns the case of a bad engine version, with faults in the new version only.
fn bad_engine_case(name: &'static str, new: fn(&mut engine::Faults)) -> Case {
    let fault = Fault::Engine { old: |_| {}, new };
    Case {
        name,
        bad: true,
        dies: false,
        fault,
    }
}

/// Returns the case of a good or bad version of the plain service.
fn service_case(
    name: &'static str,
    bad: bool,
    old: fn(&mut service::Faults),
    new: fn(&mut service::Faults),
) -> Case {
    let fault = Fault::Service { old, new };
    Case {
        name,
        bad,
        dies: false,
        fault,
    }
}

/// Returns all cases.
pub(super) fn all() -> Vec<Case> {
    let occasionally_slow = |faults: &mut service::Faults| {
        (faults.slow_ms, faults.slow_every) = (40, 14);
    };
    vec![
        good_engine_case("a good model", |_| {}),
        good_engine_case(
            "a model that fails now and then, as the old one does",
            |faults| {
                faults.fail_every = 9;
            },
        ),
        service_case("a good service", false, |_| {}, |_| {}),
        service_case(
            "a service with slow answers now and then",
            false,
            |_| {},
            occasionally_slow,
        ),
        Case {
            dies: true,
            ..service_case(
                "a good service with an instance that dies",
                false,
                |_| {},
                |_| {},
            )
        },
        service_case(
            "a service that fails now and then, as the old one does",
            false,
            |faults| faults.fail_every = 10,
            |faults| faults.fail_every = 10,
        ),
        service_case(
            "a service as slow as the old one",
            false,
            |faults| faults.slow_ms = 10,
            |faults| {
                faults.slow_ms = 10;
            },
        ),
        bad_engine_case("a model that fails", |faults| faults.fail_every = 1),
        bad_engine_case("a model that fails each third time", |faults| {
            faults.fail_every = 3;
        }),
        bad_engine_case("a model that fails later", |faults| {
            (faults.fail_every, faults.after_requests) = (2, 40);
        }),
        bad_engine_case("a model that is slow", |faults| faults.slow_factor = 4.0),
        bad_engine_case("a model that fails under load", |faults| {
            (faults.fail_every, faults.above_running) = (2, 3);
        }),
        service_case(
            "a service that fails on one route",
            true,
            |_| {},
            |faults| {
                "/plots".clone_into(&mut faults.fail_path);
            },
        ),
        service_case(
            "a service that is slow",
            true,
            |_| {},
            |faults| faults.slow_ms = 40,
        ),
        service_case(
            "a service that is slow later",
            true,
            |_| {},
            |faults| {
                (faults.slow_ms, faults.after_requests) = (40, 150);
            },
        ),
        service_case(
            "a service that fails later",
            true,
            |_| {},
            |faults| {
                (faults.fail_every, faults.after_requests) = (4, 150);
            },
        ),
    ]
}
