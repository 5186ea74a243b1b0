//! Requests that wait at an entry: by priority, then fair among accounts.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::fair_queue::{FairQueue, Item};

use super::shares::Key;

/// Most requests that wait for one service at one entry.
const MOST: usize = 512;

/// Units of the fair queue's cost in a usual request.
const COST_UNIT: f64 = 64.0;

/// Units of the fair queue's weight in a request a second.
const WEIGHT_UNIT: f64 = 16.0;

/// Names a request that waits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) key: Key,
    pub(super) cost: f64,
    /// Requests a second of its account that are let through here.
    pub(super) weight: f64,
    /// Whether its response will be late: it waits behind those that can be on time.
    pub(super) late: bool,
}

/// The requests that wait.
#[derive(Debug, Default)]
pub(super) struct Turns {
    queues: BTreeMap<(bool, u8), FairQueue<(Ticket, Waiting)>>,
    last: u64,
    length: usize,
}

fn units(value: f64, unit: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "out of range values become the nearest one"
    )]
    let units = (value * unit) as u64;
    units.max(1)
}

impl Turns {
    pub(super) fn len(&self) -> usize {
        self.length
    }

    pub(super) fn is_full(&self) -> bool {
        self.length >= MOST
    }

    /// Adds a request.
    pub(super) fn push(&mut self, waiting: Waiting) -> Ticket {
        self.last += 1;
        self.length += 1;
        let ticket = Ticket(self.last);
        let queue = self.queues.entry((waiting.late, waiting.key.priority));
        queue.or_default().push(Item {
            account: Arc::from(waiting.key.account.to_string()),
            weight: units(waiting.weight, WEIGHT_UNIT),
            priority: 0,
            cost: units(waiting.cost, COST_UNIT),
            value: (ticket, waiting),
        });
        ticket
    }

    fn on_time(&self) -> impl Iterator<Item = &Waiting> {
        let queues = self.queues.iter().filter(|((late, _), _)| !late);
        let queues = queues.flat_map(|(_, queue)| queue.iter());
        queues.map(|item| &item.value.1)
    }

    /// Returns whether a request waits that goes before a new one with `key`.
    pub(super) fn is_before(&self, key: Key) -> bool {
        self.length > 0 && self.on_time().any(|waiting| waiting.key.precedes(key))
    }

    /// Returns the cost of the requests of the same key that wait.
    pub(super) fn cost_before(&self, key: Key) -> f64 {
        let same = self.on_time().filter(|waiting| waiting.key == key);
        same.map(|waiting| waiting.cost).sum()
    }

    /// Returns the cost of the late requests that wait.
    pub(super) fn late_cost(&self) -> f64 {
        let queues = self.queues.iter().filter(|((late, _), _)| *late);
        let queues = queues.flat_map(|(_, queue)| queue.iter());
        queues.map(|item| item.value.1.cost).sum()
    }

    /// Removes and returns the requests for which `fits` returns true, in order.
    pub(super) fn pop(&mut self, mut fits: impl FnMut(&Waiting) -> bool) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        for queue in self.queues.values_mut() {
            while let Some(item) = queue.pop(|item| fits(&item.value.1)) {
                tickets.push(item.value.0);
            }
        }
        self.length -= tickets.len();
        tickets
    }

    /// Removes and returns all requests, in order.
    pub(super) fn drain(&mut self) -> Vec<Ticket> {
        self.pop(|_| true)
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, ticket: Ticket) {
        for queue in self.queues.values_mut() {
            self.length -= queue.remove(|item| item.value.0 != ticket).len();
        }
    }
}

impl Key {
    /// Returns whether a waiting request goes before a new one with the key `other`.
    fn precedes(self, other: Self) -> bool {
        self.priority < other.priority || self == other
    }
}
