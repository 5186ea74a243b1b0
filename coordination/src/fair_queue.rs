//! A weighted fair queue over client accounts, with priorities within an account.
//!
//! Start-time fair queueing: each account has a tag, the virtual time at which its next item
//! starts, and the account with the lowest tag is served first. An account with many items delays
//! another by at most one item. Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing",
//! 1996.
//!
//! ```
//! use medlarfall_coordination::fair_queue::{FairQueue, Item};
//!
//! let mut queue = FairQueue::new();
//! for number in 0..3 {
//!     queue.push(Item { account: "large".into(), weight: 1, priority: 0, cost: 10, value: number });
//! }
//! queue.push(Item { account: "small".into(), weight: 1, priority: 0, cost: 10, value: 9 });
//! let order = std::iter::from_fn(|| queue.pop(|_| true)).map(|item| item.value);
//! assert_eq!(order.collect::<Vec<i32>>(), [0, 9, 1, 2]);
//! ```

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Highest number of items of one account that are tried until one fits.
const LOOKAHEAD_ITEMS: usize = 16;

/// Number of later items of the same account that may be taken before an item that does not fit.
const PASSED_OVER_LIMIT: u32 = 256;

/// Virtual time of one unit of cost at weight 1.
const VIRTUAL_TIME_PER_COST: u64 = 1 << 10;

/// A queued item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<T> {
    /// Client account of the item.
    pub account: Arc<str>,
    /// Weight of the account; 0 counts as 1.
    pub weight: u64,
    /// Priority within the account; the highest is served first.
    pub priority: i32,
    /// Cost of the item, in a unit that all items share.
    pub cost: u64,
    /// Content of the item.
    pub value: T,
}

/// Sort key of an account's items: higher priority first, then order of arrival.
type Rank = (Reverse<i32>, u64);

/// An item and the number of later items of its account that were taken before it.
#[derive(Debug)]
struct Queued<T> {
    item: Item<T>,
    passed_over: u32,
}

/// The queued items of one account and its tag.
#[derive(Debug)]
struct Account<T> {
    items: BTreeMap<Rank, Queued<T>>,
    tag: u64,
}

/// A weighted fair queue.
#[derive(Debug)]
pub struct FairQueue<T> {
    accounts: HashMap<Arc<str>, Account<T>>,
    order: BTreeSet<(u64, Arc<str>)>,
    finished: HashMap<Arc<str>, u64>,
    virtual_time: u64,
    arrivals: u64,
}

impl<T> Account<T> {
    /// Returns the rank of the first item that fits, within [`LOOKAHEAD_ITEMS`] and
    /// [`PASSED_OVER_LIMIT`].
    fn first_fit(&self, fits: &mut impl FnMut(&Item<T>) -> bool) -> Option<Rank> {
        for (rank, queued) in self.items.iter().take(LOOKAHEAD_ITEMS) {
            if fits(&queued.item) {
                return Some(*rank);
            }
            if queued.passed_over >= PASSED_OVER_LIMIT {
                return None;
            }
        }
        None
    }
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> FairQueue<T> {
    /// Returns an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self {
            accounts: HashMap::new(),
            order: BTreeSet::new(),
            finished: HashMap::new(),
            virtual_time: 0,
            arrivals: 0,
        }
    }

    /// Returns the number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts
            .values()
            .map(|account| account.items.len())
            .sum()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the queued items, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Item<T>> {
        self.accounts
            .values()
            .flat_map(|account| account.items.values())
            .map(|queued| &queued.item)
    }

    /// Adds an item.
    pub fn push(&mut self, item: Item<T>) {
        self.arrivals += 1;
        let rank = (Reverse(item.priority), self.arrivals);
        let name = Arc::clone(&item.account);
        let queued = Queued {
            item,
            passed_over: 0,
        };
        if let Some(account) = self.accounts.get_mut(&name) {
            account.items.insert(rank, queued);
            return;
        }
        let finished = self.finished.remove(&name).unwrap_or(0);
        let tag = finished.max(self.virtual_time);
        self.order.insert((tag, Arc::clone(&name)));
        let items = BTreeMap::from([(rank, queued)]);
        self.accounts.insert(name, Account { items, tag });
    }

    /// Removes and returns the next item, in fair order, for which `fits` returns true.
    ///
    /// If the first item of an account does not fit, a bounded number of later ones is tried; an
    /// item that has been passed over too often blocks the later items of its account. An account
    /// without a fitting item keeps its position.
    pub fn pop(&mut self, mut fits: impl FnMut(&Item<T>) -> bool) -> Option<Item<T>> {
        let found = self.order.iter().find_map(|(_, name)| {
            let rank = self.accounts.get(name)?.first_fit(&mut fits)?;
            Some((Arc::clone(name), rank))
        });
        let (name, rank) = found?;
        self.take(&name, rank)
    }

    /// Removes and returns the items for which `keep` returns false.
    pub fn remove(&mut self, mut keep: impl FnMut(&Item<T>) -> bool) -> Vec<Item<T>> {
        let mut removed = Vec::new();
        for account in self.accounts.values_mut() {
            let ranks: Vec<Rank> = account
                .items
                .iter()
                .filter(|(_, queued)| !keep(&queued.item))
                .map(|(rank, _)| *rank)
                .collect();
            let taken = ranks.iter().filter_map(|rank| account.items.remove(rank));
            removed.extend(taken.map(|queued| queued.item));
        }
        let empty: Vec<Arc<str>> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.items.is_empty())
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in &empty {
            self.retire(name);
        }
        removed
    }

    /// Removes an item of an account and advances the account's tag by the item's cost.
    fn take(&mut self, name: &Arc<str>, rank: Rank) -> Option<Item<T>> {
        let account = self.accounts.get_mut(name)?;
        let item = account.items.remove(&rank)?.item;
        for (_, queued) in account.items.range_mut(..rank) {
            queued.passed_over += 1;
        }
        self.order.remove(&(account.tag, Arc::clone(name)));
        self.virtual_time = self.virtual_time.max(account.tag);
        account.tag += item.cost.saturating_mul(VIRTUAL_TIME_PER_COST) / item.weight.max(1);
        self.order.insert((account.tag, Arc::clone(name)));
        if account.items.is_empty() {
            self.retire(name);
        }
        Some(item)
    }

    /// Removes an account without queued items; its tag is kept while it is ahead of the virtual
    /// time, so that an account gains nothing by leaving and returning.
    fn retire(&mut self, name: &Arc<str>) {
        let Some(account) = self.accounts.remove(name) else {
            return;
        };
        self.order.remove(&(account.tag, Arc::clone(name)));
        let virtual_time = self.virtual_time;
        self.finished.retain(|_, tag| *tag > virtual_time);
        if account.tag > virtual_time {
            self.finished.insert(Arc::clone(name), account.tag);
        }
    }
}
