//! The kinds of good and bad versions.

use medlarfall_standin::{engine, service};

use crate::cluster::{BRIEFS, Cluster, TRACKER};

/// Faults of the old and of the new version.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// Of engines.
    Engine {
        /// Changes the faults of the old version.
        old: fn(&mut engine::Faults),
        /// Changes the faults of the new version.
        new: fn(&mut engine::Faults),
    },
    /// Of instances of the plain service.
    Service {
        /// Changes the faults of the old version.
        old: fn(&mut service::Faults),
        /// Changes the faults of the new version.
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

    /// Sets the faults at the backend servers of a cluster.
    pub(super) fn set(self, cluster: &Cluster) {
        match self {
            Self::Engine { old, new } => {
                for engine in &cluster.engines {
                    let mut faults = engine::Faults::default();
                    let is_new = engine.instance.version == "v2";
                    let set = if is_new { new } else { old };
                    set(&mut faults);
                    engine.engine.set_faults(faults);
                }
            }
            Self::Service { old, new } => {
                for plain in &cluster.services {
                    let mut faults = service::Faults::default();
                    let is_new = plain.instance.version == "v2";
                    let set = if is_new { new } else { old };
                    set(&mut faults);
                    plain.service.set_faults(faults);
                }
            }
        }
    }
}

/// A kind of version to move to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Case {
    /// Name, for what is printed.
    pub(super) name: &'static str,
    /// Whether the new version must be taken back.
    pub(super) bad: bool,
    /// Whether a backend server of the new version dies during the move.
    pub(super) dies: bool,
    /// The faults.
    pub(super) fault: Fault,
}

/// Returns a good engine version.
fn good_engine(name: &'static str, both: fn(&mut engine::Faults)) -> Case {
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

/// Returns a bad engine version.
fn bad_engine(name: &'static str, new: fn(&mut engine::Faults)) -> Case {
    let fault = Fault::Engine { old: |_| {}, new };
    Case {
        name,
        bad: true,
        dies: false,
        fault,
    }
}

/// Returns a version of the plain service.
fn plain(
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

/// Returns every kind.
pub(super) fn all() -> Vec<Case> {
    let noisy = |faults: &mut service::Faults| {
        (faults.slow_ms, faults.slow_every) = (40, 14);
    };
    vec![
        good_engine("a good model", |_| {}),
        good_engine(
            "a model that fails now and then, as the old one does",
            |faults| {
                faults.fail_every = 9;
            },
        ),
        plain("a good service", false, |_| {}, |_| {}),
        plain(
            "a service with slow answers now and then",
            false,
            |_| {},
            noisy,
        ),
        Case {
            dies: true,
            ..plain(
                "a good service with an instance that dies",
                false,
                |_| {},
                |_| {},
            )
        },
        plain(
            "a service that fails now and then, as the old one does",
            false,
            |faults| faults.fail_every = 10,
            |faults| faults.fail_every = 10,
        ),
        plain(
            "a service as slow as the old one",
            false,
            |faults| faults.slow_ms = 10,
            |faults| {
                faults.slow_ms = 10;
            },
        ),
        bad_engine("a model that fails", |faults| faults.fail_every = 1),
        bad_engine("a model that fails each third time", |faults| {
            faults.fail_every = 3;
        }),
        bad_engine("a model that fails later", |faults| {
            (faults.fail_every, faults.after_requests) = (2, 40);
        }),
        bad_engine("a model that is slow", |faults| faults.slow_factor = 4.0),
        bad_engine("a model that fails under load", |faults| {
            (faults.fail_every, faults.above_running) = (2, 3);
        }),
        plain(
            "a service that fails on one route",
            true,
            |_| {},
            |faults| {
                "/plots".clone_into(&mut faults.fail_path);
            },
        ),
        plain(
            "a service that is slow",
            true,
            |_| {},
            |faults| faults.slow_ms = 40,
        ),
        plain(
            "a service that is slow later",
            true,
            |_| {},
            |faults| {
                (faults.slow_ms, faults.after_requests) = (40, 150);
            },
        ),
        plain(
            "a service that fails later",
            true,
            |_| {},
            |faults| {
                (faults.fail_every, faults.after_requests) = (4, 150);
            },
        ),
    ]
}
