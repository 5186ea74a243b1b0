//! Orders to load versions, change role and drain, with or without fencing.

use std::collections::BTreeSet;

use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::Engine;
use crate::http::{self, Body};

/// An order: the state in which the engine shall end, `POST /orders`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Order {
    /// Fencing number; where fencing is enforced, a lower one than the highest seen is refused.
    pub fencing: u64,
    /// Versions that shall be loaded; absent leaves them as they are.
    pub versions: Option<BTreeSet<String>>,
    /// Role that the engine shall have; absent leaves it as it is.
    pub role: Option<String>,
    /// Whether the engine shall take no new work; absent leaves it as it is.
    pub drain: Option<bool>,
}

/// What orders have made of the engine, `GET /state`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct OrderState {
    /// Highest fencing number seen.
    pub fencing: u64,
    /// Versions that are loaded.
    pub versions: BTreeSet<String>,
    /// Role of the engine.
    pub role: String,
    /// Whether the engine takes no new work.
    pub draining: bool,
    /// Orders that were carried out.
    pub carried_out: u64,
    /// Orders refused for their fencing number.
    pub fenced_off: u64,
}

impl OrderState {
    /// Returns the state of an engine that has had no order.
    #[must_use]
    pub fn new(version: &str) -> Self {
        Self {
            versions: BTreeSet::from([version.to_owned()]),
            role: "generate".to_owned(),
            ..Self::default()
        }
    }

    /// Returns whether the engine takes new work for `version`.
    #[must_use]
    pub fn serves(&self, version: &str) -> bool {
        !self.draining && self.versions.contains(version)
    }
}

impl Engine {
    /// Carries out an order.
    pub(super) async fn order(&self, order: Order) -> Response<Body> {
        if self.fenced_off(&order) {
            return http::problem(StatusCode::PRECONDITION_FAILED, "the fencing number is old");
        }
        let loads = {
            let state = self.lock();
            order
                .versions
                .as_ref()
                .is_some_and(|versions| !versions.is_subset(&state.orders.versions))
        };
        if loads {
            tokio::time::sleep(self.config.load_time).await;
            self.lifecycle.running().await;
        }
        if self.fenced_off(&order) {
            return http::problem(
                StatusCode::PRECONDITION_FAILED,
                "the fencing number became old",
            );
        }
        let mut state = self.lock();
        let orders = &mut state.orders;
        if let Some(versions) = order.versions {
            orders.versions = versions;
        }
        if let Some(role) = order.role {
            orders.role = role;
        }
        if let Some(drain) = order.drain {
            orders.draining = drain;
        }
        orders.carried_out += 1;
        http::json(StatusCode::OK, orders)
    }

    /// Returns whether an order comes too late to be obeyed; otherwise notes its fencing number.
    fn fenced_off(&self, order: &Order) -> bool {
        let mut state = self.lock();
        let orders = &mut state.orders;
        let old = order.fencing < orders.fencing;
        orders.fencing = orders.fencing.max(order.fencing);
        if old && self.config.fencing {
            orders.fenced_off += 1;
            return true;
        }
        false
    }
}
