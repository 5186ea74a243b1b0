//! Orders to load versions, change the role or drain, optionally guarded by fencing numbers.

use std::collections::BTreeSet;

use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::Engine;
use crate::http::{self, Body};

/// An order with the target state of the engine, the body of `POST /orders`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Order {
    /// Fencing number; an engine that enforces fencing refuses a number below the highest one that
    /// it has received.
    pub fencing: u64,
    /// Versions to have loaded; if absent, they stay unchanged.
    pub versions: Option<BTreeSet<String>>,
    /// Role to take; if absent, it stays unchanged.
    pub role: Option<String>,
    /// Whether to refuse new requests; if absent, this stays unchanged.
    pub drain: Option<bool>,
}

/// State of the engine that orders change, `GET /state`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct OrderState {
    /// Highest fencing number received.
    pub fencing: u64,
    /// Loaded versions.
    pub versions: BTreeSet<String>,
    /// Role of the engine.
    pub role: String,
    /// Whether the engine refuses new requests.
    pub draining: bool,
    /// Number of orders that were carried out.
    pub carried_out: u64,
    /// Number of orders that were refused because of their fencing number.
    pub fenced_off: u64,
}

impl OrderState {
    /// Returns the initial state of an engine that serves `version`.
    #[must_use]
    pub fn new(version: &str) -> Self {
        Self {
            versions: BTreeSet::from([version.to_owned()]),
            role: "generate".to_owned(),
            ..Self::default()
        }
    }

    /// Returns whether the engine accepts new requests for `version`.
    #[must_use]
    pub fn serves(&self, version: &str) -> bool {
        !self.draining && self.versions.contains(version)
    }
}

impl Engine {
    /// Carries out an order.
    ///
    /// The fencing number is checked again after loading, since a newer order may have come
    /// meanwhile.
    pub(super) async fn order(&self, order: Order) -> Response<Body> {
        if self.refuse_outdated(&order) {
            return http::problem(StatusCode::PRECONDITION_FAILED, "the fencing number is old");
        }
        let needs_loading = {
            let state = self.lock();
            order
                .versions
                .as_ref()
                .is_some_and(|versions| !versions.is_subset(&state.orders.versions))
        };
        if needs_loading {
            tokio::time::sleep(self.config.load_time).await;
            self.lifecycle.wait_while_paused().await;
        }
        if self.refuse_outdated(&order) {
            return http::problem(
                StatusCode::PRECONDITION_FAILED,
                "the fencing number became old",
            );
        }
        let mut state = self.lock();
        let order_state = &mut state.orders;
        if let Some(versions) = order.versions {
            order_state.versions = versions;
        }
        if let Some(role) = order.role {
            order_state.role = role;
        }
        if let Some(drain) = order.drain {
            order_state.draining = drain;
        }
        order_state.carried_out += 1;
        http::json(StatusCode::OK, order_state)
    }

    /// Records the fencing number of an order; returns whether the order must be refused for it.
    fn refuse_outdated(&self, order: &Order) -> bool {
        let mut state = self.lock();
        let order_state = &mut state.orders;
        let outdated = order.fencing < order_state.fencing;
        order_state.fencing = order_state.fencing.max(order.fencing);
        if outdated && self.config.fencing {
            order_state.fenced_off += 1;
            return true;
        }
        false
    }
}
