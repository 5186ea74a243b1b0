//! A weighted fair queue over client accounts, with priorities within an account.
//!
//! Start-time fair queueing: each item is tagged with the virtual time at which its account would
//! start it, and the lowest tag goes first. An account that sends most cannot delay another by more
//! than one item of its own. Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", 1996.
//!
//! ```
//! use medlarfall_coordination::fair_queue::{FairQueue, Item};
//!
//! let mut queue = FairQueue::new();
//! for number in 0..3 {
//!     queue.push(Item { account: "large".into(), weight: 1, priority: 0, cost: 10, value: number });
//! }
//! queue.push(Item { account: "small".into(), weight: 1, priority: 0, cost: 10, value: 9 });
//! let order: Vec<i32> = std::iter::from_fn(|| queue.pop(|_| true)).map(|item| item.value).collect();
//! assert_eq!(order, [0, 9, 1, 2]);
//! ```

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Items of one account that are tried where the first does not fit.
const LOOKAHEAD: usize = 16;

/// How often an item may be passed over by others of its account.
const PASSED_OVER_LIMIT: u32 = 256;

/// Virtual time that one unit of cost takes at weight 1.
const SCALE: u64 = 1 << 10;

/// An item that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<T> {
    /// Client account that the item belongs to.
    pub account: Arc<str>,
    /// Weight of the account; 0 counts as 1.
    pub weight: u64,
    /// Priority within the account; higher goes first.
    pub priority: i32,
    /// Cost of the item, in any unit that is the same for all.
    pub cost: u64,
    /// What waits.
    pub value: T,
}

/// Order of an account's items: higher priority first, then first come, first served.
type Rank = (Reverse<i32>, u64);

/// An item and how often others of its account were taken before it.
#[derive(Debug)]
struct Queued<T> {
    item: Item<T>,
    passed_over: u32,
}

/// Items of one account.
#[derive(Debug)]
struct Account<T> {
    items: BTreeMap<Rank, Queued<T>>,
    tag: u64,
}

/// The queue.
#[derive(Debug)]
pub struct FairQueue<T> {
    accounts: HashMap<Arc<str>, Account<T>>,
    order: BTreeSet<(u64, Arc<str>)>,
    finished: HashMap<Arc<str>, u64>,
    virtual_time: u64,
    arrivals: u64,
}

impl<T> Account<T> {
    /// Returns the rank of the first item that fits, within the bounds on passing over.
    fn first_fit(&self, fits: &mut impl FnMut(&Item<T>) -> bool) -> Option<Rank> {
        for (rank, queued) in self.items.iter().take(LOOKAHEAD) {
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

    /// Returns the number of items that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts
            .values()
            .map(|account| account.items.len())
            .sum()
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the items that wait, in no particular order.
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

    /// Takes the next item, in fair order, that `fits`.
    ///
    /// Where an account's first item does not fit, a few behind it are tried, but none is passed
    /// over for ever; an account of which nothing fits keeps its turn.
    pub fn pop(&mut self, mut fits: impl FnMut(&Item<T>) -> bool) -> Option<Item<T>> {
        let found = self.order.iter().find_map(|(_, name)| {
            let rank = self.accounts.get(name)?.first_fit(&mut fits)?;
            Some((Arc::clone(name), rank))
        });
        let (name, rank) = found?;
        self.take(&name, rank)
    }

    /// Removes the items that `keep` does not keep, and returns them.
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

    /// Takes an item of an account and moves the account on by the item's cost.
    fn take(&mut self, name: &Arc<str>, rank: Rank) -> Option<Item<T>> {
        let account = self.accounts.get_mut(name)?;
        let item = account.items.remove(&rank)?.item;
        for (_, queued) in account.items.range_mut(..rank) {
            queued.passed_over += 1;
        }
        self.order.remove(&(account.tag, Arc::clone(name)));
        self.virtual_time = self.virtual_time.max(account.tag);
        account.tag += item.cost.saturating_mul(SCALE) / item.weight.max(1);
        self.order.insert((account.tag, Arc::clone(name)));
        if account.items.is_empty() {
            self.retire(name);
        }
        Some(item)
    }

    /// Forgets an account that has nothing waiting, but for what it has used ahead of the others.
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
