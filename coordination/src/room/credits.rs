//! Credits of an entry's keys: the requests of each that it may let through.

use std::collections::HashMap;
use std::time::Duration;

use super::shares::{Demand, Key, Shares};

/// Span over which requests are counted. Each request earns its key the served part of a request, spread
/// over this span.
const SPAN: Duration = Duration::from_secs(2);

/// Most credit that a key saves, in requests. With two, accounts with few requests lost some of their share
/// to chance, and the one with the most got 1.13 times its own.
const MOST: f64 = 3.0;

/// Time without requests after which a key is forgotten.
const REMEMBERED: Duration = Duration::from_secs(20);

/// Number of keys from which forgotten ones are removed.
const SWEEP: usize = 64;

/// Longest time that is returned for a turn.
const NEVER: Duration = Duration::from_mins(1);

/// Least cost of a request, in usual requests.
const LEAST_COST: f64 = 1e-3;

#[derive(Clone, Copy, Debug)]
struct Account {
    /// Recent requests; each counts less the older it is.
    recent: f64,
    credit: f64,
    updated_at: Duration,
    asked_at: Duration,
}

/// Credits by key.
#[derive(Debug, Default)]
pub(super) struct Credits {
    accounts: HashMap<Key, Account>,
    /// Credit that no key asks for, for late requests.
    pool: f64,
    /// Requests a second of this entry that the capacity has left for late requests.
    spare: f64,
    accrued_at: Duration,
    swept: usize,
}

impl Credits {
    /// Counts a request.
    pub(super) fn record(&mut self, key: Key, cost: f64, shares: &Shares, now: Duration) {
        if self.accounts.len() >= self.swept.max(SWEEP) {
            self.accounts
                .retain(|_, account| now.saturating_sub(account.asked_at) < REMEMBERED);
            self.swept = self.accounts.len() * 2;
        }
        // With different first credits, the entries do not let their first request through at the same time.
        let start = f64::from(key.account % 1_024) / 1_024.0;
        let account = self.accounts.entry(key).or_insert(Account {
            recent: 0.0,
            credit: start,
            updated_at: now,
            asked_at: now,
        });
        account.accrue(shares.part(key), now);
        account.recent += cost.max(LEAST_COST);
        account.asked_at = now;
    }

    /// Adds the credit of all keys up to `now`.
    pub(super) fn accrue(&mut self, shares: &Shares, now: Duration) {
        for (key, account) in &mut self.accounts {
            account.accrue(shares.part(*key), now);
        }
        let passed = now.saturating_sub(self.accrued_at).min(SPAN).as_secs_f64();
        self.accrued_at = now;
        self.pool = (self.pool + self.spare * passed).min(MOST);
    }

    /// Sets the requests a second that no key asks for.
    pub(super) fn set_spare(&mut self, spare: f64) {
        self.spare = spare;
    }

    /// Takes the credit for a request: that of its key, or that of a key with less urgent requests. Returns
    /// whether there was enough.
    pub(super) fn take(&mut self, key: Key, cost: f64) -> bool {
        // A request that costs more than can be saved needs all of it, and leaves a debt.
        let needed = cost.min(MOST);
        if let Some(account) = self.accounts.get_mut(&key)
            && account.credit >= needed
        {
            account.credit -= cost;
            return true;
        }
        let lenders = self.accounts.iter_mut();
        let lenders = lenders
            .filter(|(other, account)| other.priority > key.priority && account.credit >= needed);
        let lender = lenders.max_by_key(|(other, _)| **other);
        lender.is_some_and(|(_, account)| {
            account.credit -= cost;
            true
        })
    }

    /// Takes credit that no key asks for; returns whether there was enough.
    pub(super) fn take_unused(&mut self, cost: f64) -> bool {
        let enough = self.pool >= cost.min(MOST);
        if enough {
            self.pool -= cost;
        }
        enough
    }

    /// Returns the time until a key has the credit for `cost`.
    pub(super) fn turn(&self, key: Key, cost: f64, part: f64) -> Duration {
        let Some(account) = self.accounts.get(&key) else {
            return NEVER;
        };
        let missing = (cost - account.credit).max(0.0);
        let pace = account.recent * part / SPAN.as_secs_f64();
        Duration::try_from_secs_f64(missing / pace.max(1e-9)).map_or(NEVER, |time| time.min(NEVER))
    }

    /// Returns the time until there is credit for `cost` that no key asks for.
    pub(super) fn spare_turn(&self, cost: f64) -> Duration {
        let missing = (cost - self.pool).max(0.0);
        Duration::try_from_secs_f64(missing / self.spare.max(1e-9))
            .map_or(NEVER, |time| time.min(NEVER))
    }

    /// Returns a key's requests a second.
    pub(super) fn rate(&self, key: Key) -> f64 {
        let account = self.accounts.get(&key);
        account.map_or(0.0, |account| account.recent / SPAN.as_secs_f64())
    }

    /// Returns the requests a second of a priority that are let through.
    pub(super) fn pace(&self, priority: u8, shares: &Shares) -> f64 {
        let keys = self.accounts.iter();
        let keys = keys.filter(|(key, _)| key.priority == priority);
        let paces = keys.map(|(key, account)| account.recent * shares.part(*key));
        paces.sum::<f64>() / SPAN.as_secs_f64()
    }

    /// Returns what is asked for.
    pub(super) fn demand(&self, now: Duration) -> Vec<Demand> {
        let accounts = self.accounts.iter();
        let demands = accounts.map(|(key, account)| {
            let recent = account.recent * decay(now.saturating_sub(account.updated_at));
            Demand::per_second(*key, recent / SPAN.as_secs_f64())
        });
        demands.filter(|demand| demand.rate > 0).collect()
    }
}

fn decay(time: Duration) -> f64 {
    (-time.as_secs_f64() / SPAN.as_secs_f64()).exp()
}

impl Account {
    /// Adds the credit up to `now`. What exceeds [`MOST`] is lost: if it went to others, an account with
    /// many requests would get more than its share. The correction of the rate makes up for it.
    fn accrue(&mut self, part: f64, now: Duration) {
        let left = self.recent * decay(now.saturating_sub(self.updated_at));
        let earned = (self.recent - left) * part;
        self.recent = left;
        self.updated_at = now;
        self.credit = (self.credit + earned).min(MOST);
    }
}
