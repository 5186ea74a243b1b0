//! Events that entries pass on, such as lost servers.
//!
//! An event is sent at once and repeated while it is new. It keeps its age on the way, so that it is
//! new for the same time everywhere.

use std::time::Duration;

use super::Scope;

/// Time for which an event is new.
pub const FRESH: Duration = Duration::from_millis(1_500);

/// Time between two messages with the same events: half of the time for which the report of a lost
/// server ranks it behind the others.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Periodic messages within which all events that are no longer new are repeated.
const ROTATION: usize = 5;

/// Most events that are kept, unless the events are large.
const CAPACITY: usize = 4_096;

/// Where an entry has an event from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Origin {
    /// Observed by the entry itself.
    Own,
    /// Reported by an entry of its failure domain.
    Domain,
    /// Received from a hub of another failure domain.
    Remote,
}

impl Origin {
    /// Returns whether something of this origin goes into the messages of a scope.
    #[must_use]
    pub fn in_scope(self, scope: Scope) -> bool {
        match scope {
            Scope::Report => self == Self::Own,
            Scope::Hubs => self != Self::Remote,
            Scope::Members => true,
        }
    }
}

#[derive(Clone, Debug)]
struct Item<T> {
    event: T,
    observed_at: Duration,
    origin: Origin,
}

/// Sending state of one scope.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    unsent: bool,
    sent_at: Duration,
    next_repeated: usize,
}

/// The events that one entry passes on.
#[derive(Clone, Debug)]
pub struct News<T> {
    items: Vec<Item<T>>,
    cursors: [Cursor; Scope::COUNT],
    capacity: usize,
}

impl<T> Default for News<T> {
    fn default() -> Self {
        Self::with_capacity(CAPACITY)
    }
}

impl<T> News<T> {
    /// Returns a list that keeps at most `capacity` events, so that all of them fit into a message.
    #[must_use]
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            items: Vec::new(),
            capacity,
            cursors: [Cursor::default(); Scope::COUNT],
        }
    }
}

impl<T: Clone + PartialEq> News<T> {
    /// Adds an event that was observed `age` ago.
    pub fn insert(&mut self, event: T, age: Duration, origin: Origin, now: Duration) {
        let observed_at = now.saturating_sub(age);
        let known = self.items.iter_mut().find(|item| item.event == event);
        if let Some(item) = known {
            let recent =
                observed_at.saturating_sub(item.observed_at) < FRESH && origin >= item.origin;
            item.observed_at = item.observed_at.max(observed_at);
            item.origin = item.origin.min(origin);
            if recent {
                return;
            }
        } else {
            if self.items.len() >= self.capacity {
                self.items.remove(0);
            }
            self.items.push(Item {
                event,
                observed_at,
                origin,
            });
        }
        for scope in Scope::ALL {
            self.cursors[scope.index()].unsent |= origin.in_scope(scope);
        }
    }

    /// Returns whether an event has not been sent in a scope.
    #[must_use]
    pub fn has_unsent(&self, scope: Scope) -> bool {
        self.cursors[scope.index()].unsent
    }

    /// Returns the events for the next message of a scope, with their ages: the new ones, if any is
    /// unsent or due again. If `periodic`, some of the others as well.
    pub fn batch(&mut self, scope: Scope, periodic: bool, now: Duration) -> Vec<(T, Duration)> {
        let cursor = &mut self.cursors[scope.index()];
        let due = cursor.unsent || now.saturating_sub(cursor.sent_at) >= REPEAT_INTERVAL;
        if !due && !periodic {
            return Vec::new();
        }
        cursor.unsent = false;
        cursor.sent_at = now;
        let number = self.items.len().div_ceil(ROTATION);
        let start = cursor.next_repeated;
        let repeated = |index: usize| {
            let distance = (index + self.items.len() - start % self.items.len()) % self.items.len();
            periodic && distance < number
        };
        if periodic && !self.items.is_empty() {
            cursor.next_repeated = (start + number) % self.items.len();
        }
        let items = self.items.iter().enumerate();
        let items = items.filter(|(_, item)| item.origin.in_scope(scope));
        let items = items.map(|(index, item)| (index, item, now.saturating_sub(item.observed_at)));
        let sent = items.filter(|(index, _, age)| *age < FRESH || repeated(*index));
        sent.map(|(_, item, age)| (item.event.clone(), age))
            .collect()
    }

    /// Removes the events that are no longer new.
    pub fn expire(&mut self, now: Duration) {
        let fresh = |item: &Item<T>| now.saturating_sub(item.observed_at) < FRESH;
        self.items.retain(fresh);
    }

    /// Removes all events.
    pub fn clear(&mut self) {
        *self = Self::with_capacity(self.capacity);
    }
}
