//! Division of a service's capacity among priorities and accounts, and the demand that it is divided by.

use std::collections::{BTreeMap, HashMap};

/// Most keys of a service that a digest names. The demand of the other accounts of a priority is summed up:
/// only accounts that want more than their share change what the others get. With 32, and four services
/// instead of one, the messages of an entry took 27 KB/s.
pub const NAMED: usize = 10;

/// Most keys of a service that an entry's report names.
pub const REPORTED: usize = 6;

/// Account of the sum over the accounts that are not named.
pub const OTHERS: u32 = 0;

/// The requests that share capacity alike: those of one account with one priority.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Hash of the account's name, or [`OTHERS`].
    pub account: u32,
}

/// What is asked for with one key, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// The key.
    pub key: Key,
    /// Thousandths of a request a second.
    pub rate: u32,
}

impl Demand {
    /// Returns a demand of `rate` requests a second.
    #[must_use]
    pub fn per_second(key: Key, rate: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "out of range values become the nearest one"
        )]
        let rate = (rate * 1_000.0) as u32;
        Self { key, rate }
    }

    /// Returns the requests a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        f64::from(self.rate) / 1_000.0
    }
}

/// Returns the sum of demands, by key.
#[must_use]
pub fn sum(demands: impl IntoIterator<Item = Demand>) -> Vec<Demand> {
    let mut sums: BTreeMap<Key, u32> = BTreeMap::new();
    for demand in demands {
        let sum = sums.entry(demand.key).or_default();
        *sum = sum.saturating_add(demand.rate);
    }
    let sums = sums.into_iter();
    sums.map(|(key, rate)| Demand { key, rate }).collect()
}

/// Returns demands of which only the `named` highest are named; the others are summed up by priority.
#[must_use]
pub fn condense(mut demands: Vec<Demand>, named: usize) -> Vec<Demand> {
    demands.sort_unstable_by_key(|demand| (std::cmp::Reverse(demand.rate), demand.key));
    let summed = demands.split_off(demands.len().min(named));
    let summed = summed.into_iter().map(|demand| Demand {
        key: Key {
            account: OTHERS,
            ..demand.key
        },
        ..demand
    });
    demands.extend(summed);
    sum(demands)
}

/// Returns demands less the part of them that is one's own, as it was reported.
#[must_use]
pub fn without(all: &[Demand], own: &[Demand]) -> Vec<Demand> {
    let own: HashMap<Key, u32> = own.iter().map(|demand| (demand.key, demand.rate)).collect();
    let mut left = all.to_vec();
    for demand in &mut left {
        let own = own.get(&demand.key).copied().unwrap_or(0);
        demand.rate = demand.rate.saturating_sub(own);
    }
    left.retain(|demand| demand.rate > 0);
    left
}

/// The part of each key's demand that the capacity serves.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    named: HashMap<Key, f64>,
    /// Part of the demand of a priority's other accounts.
    others: BTreeMap<u8, f64>,
    /// Most urgent priority that is asked for.
    most_urgent: Option<u8>,
    /// Priority from which on nothing is left, if there is one.
    exhausted: Option<u8>,
}

impl Shares {
    /// Divides `rate` requests a second: priorities in turn, and within a priority the same highest rate
    /// for each account (max-min fairness).
    #[must_use]
    pub fn divide(mut rate: f64, demands: &[Demand]) -> Self {
        let mut shares = Self::default();
        let mut priorities: BTreeMap<u8, Vec<Demand>> = BTreeMap::new();
        for demand in demands.iter().filter(|demand| demand.rate > 0) {
            let priority = priorities.entry(demand.key.priority).or_default();
            priority.push(*demand);
        }
        shares.most_urgent = priorities.keys().next().copied();
        for (priority, demands) in priorities {
            let wanted: f64 = demands.iter().map(Demand::rate).sum();
            let level = if wanted <= rate {
                f64::INFINITY
            } else {
                shares.exhausted = shares.exhausted.or(Some(priority));
                level(rate, &demands)
            };
            for demand in &demands {
                let each = average(demand, &demands);
                let part = (level / each).min(1.0);
                if demand.key.account == OTHERS {
                    shares.others.insert(priority, part);
                } else {
                    shares.named.insert(demand.key, part);
                }
            }
            rate = (rate - wanted).max(0.0);
        }
        shares
    }

    /// Returns whether anything more urgent than a priority is asked for.
    #[must_use]
    pub fn has_more_urgent(&self, priority: u8) -> bool {
        self.most_urgent.is_some_and(|urgent| urgent < priority)
    }

    /// Returns the part of a key's demand that is served, from 0 to 1.
    #[must_use]
    pub fn part(&self, key: Key) -> f64 {
        let others = || self.others.get(&key.priority).copied();
        let unknown = || match self.exhausted {
            Some(exhausted) if key.priority > exhausted => 0.0,
            _ => 1.0,
        };
        let named = self.named.get(&key).copied();
        named.or_else(others).unwrap_or_else(unknown)
    }
}

/// Returns the demand of one account: of those that are summed up, none asks for more than the smallest of
/// the named ones.
fn average(demand: &Demand, demands: &[Demand]) -> f64 {
    if demand.key.account != OTHERS {
        return demand.rate();
    }
    demand.rate() / accounts(demand, demands)
}

/// Returns the least number of accounts behind a demand.
fn accounts(demand: &Demand, demands: &[Demand]) -> f64 {
    let named = demands.iter().filter(|named| named.key.account != OTHERS);
    let smallest = named.map(Demand::rate).fold(f64::INFINITY, f64::min);
    match demand.key.account {
        OTHERS if smallest.is_finite() => (demand.rate() / smallest).ceil().max(1.0),
        _ => 1.0,
    }
}

/// Returns the highest rate of an account, so that all accounts together get `rate`.
fn level(rate: f64, demands: &[Demand]) -> f64 {
    let mut accounts: Vec<(f64, f64)> = demands
        .iter()
        .map(|demand| (average(demand, demands), accounts(demand, demands)))
        .collect();
    accounts.sort_unstable_by(|left, right| left.0.total_cmp(&right.0));
    let mut left = rate;
    let mut number: f64 = accounts.iter().map(|(_, number)| number).sum();
    for (each, same) in accounts {
        let level = left / number;
        if each > level {
            return level;
        }
        left -= each * same;
        number -= same;
    }
    f64::INFINITY
}
