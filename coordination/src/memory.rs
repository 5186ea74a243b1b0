//! Reservations in shares of backend servers' memory, by which several entries together never
//! exceed the memory of a server.
//!
//! Each entry owns a share of every server's memory and reserves tokens in it before it sends a
//! request. It lends unused tokens to peers for a bounded time. A loan needs no consensus: the
//! lender counts it as used until it is returned or expires, even if its response is lost or the
//! borrower fails. The borrower counts the duration from before its request, so that the loan ends
//! earlier at the borrower than at the lender.
//!
//! ```
//! use std::time::Duration;
//! use medlarfall_coordination::memory::Ledger;
//!
//! let mut ledger = Ledger::new();
//! let engine = ledger.add(1_000);
//! let first = ledger.reserve(engine, 700).expect("it fits");
//! assert!(ledger.reserve(engine, 400).is_none());
//! ledger.release(first);
//! let now = Duration::ZERO;
//! let lent = ledger.lend(engine, 600, now, Duration::from_secs(10)).expect("it is free");
//! assert_eq!(ledger.free(engine), 400);
//! ledger.expire(Duration::from_secs(10));
//! assert_eq!(ledger.free(engine), 1_000);
//! ledger.end_loan(lent); // The loan has expired before: nothing changes.
//! ```

use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a backend server.
    pub struct ServerKey;
    /// Key of a reservation.
    pub struct ReservationKey;
    /// Key of a loan to a peer.
    pub struct LoanKey;
}

/// Memory of one server that this entry may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Account {
    /// Size of this entry's share, in tokens.
    share: u64,
    /// Tokens reserved in the share.
    reserved: u64,
    /// Tokens of the share lent to peers.
    lent: u64,
    /// Tokens reserved in memory borrowed from peers.
    borrowed: u64,
}

/// A reservation in the share, or in memory borrowed from a peer.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    server: ServerKey,
    tokens: u64,
    borrowed_until: Option<Duration>,
}

/// Memory lent to a peer.
#[derive(Clone, Copy, Debug)]
struct Loan {
    server: ServerKey,
    tokens: u64,
    until: Duration,
}

/// The memory that one entry has reserved, lent and borrowed.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: SlotMap<ServerKey, Account>,
    reservations: SlotMap<ReservationKey, Reservation>,
    loans: SlotMap<LoanKey, Loan>,
}

impl Ledger {
    /// Returns a ledger without servers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a server with a share of `share` tokens for this entry.
    pub fn add(&mut self, share: u64) -> ServerKey {
        self.accounts.insert(Account {
            share,
            ..Account::default()
        })
    }

    /// Changes this entry's share of a server's memory, in tokens.
    ///
    /// If the new share is smaller than the tokens in use, it takes effect as reservations end.
    pub fn set_share(&mut self, server: ServerKey, share: u64) {
        if let Some(account) = self.accounts.get_mut(server) {
            account.share = share;
        }
    }

    /// Removes a server; later ends of its reservations and loans are ignored.
    pub fn remove(&mut self, server: ServerKey) {
        self.accounts.remove(server);
    }

    /// Returns the tokens of a server's share that are neither reserved nor lent.
    #[must_use]
    pub fn free(&self, server: ServerKey) -> u64 {
        self.usage(server).1
    }

    /// Returns the tokens that this entry has reserved on a server, borrowed ones included.
    #[must_use]
    pub fn reserved(&self, server: ServerKey) -> u64 {
        self.usage(server).0
    }

    /// Returns both the reserved tokens ([`Self::reserved`]) and the free tokens ([`Self::free`])
    /// of a server.
    #[must_use]
    pub fn usage(&self, server: ServerKey) -> (u64, u64) {
        let account = self.accounts.get(server).copied().unwrap_or_default();
        let free = account
            .share
            .saturating_sub(account.reserved + account.lent);
        (account.reserved + account.borrowed, free)
    }

    /// Reserves `tokens` in the share of a server, or returns nothing if they do not fit.
    pub fn reserve(&mut self, server: ServerKey, tokens: u64) -> Option<ReservationKey> {
        if self.free(server) < tokens {
            return None;
        }
        self.accounts.get_mut(server)?.reserved += tokens;
        Some(self.reservations.insert(Reservation {
            server,
            tokens,
            borrowed_until: None,
        }))
    }

    /// Reserves `tokens` that a peer has lent until `until`.
    pub fn reserve_borrowed(
        &mut self,
        server: ServerKey,
        tokens: u64,
        until: Duration,
    ) -> Option<ReservationKey> {
        self.accounts.get_mut(server)?.borrowed += tokens;
        Some(self.reservations.insert(Reservation {
            server,
            tokens,
            borrowed_until: Some(until),
        }))
    }

    /// Returns the time by which a reservation in borrowed memory must end, or nothing for one in
    /// this entry's share.
    #[must_use]
    pub fn ends(&self, key: ReservationKey) -> Option<Duration> {
        self.reservations.get(key)?.borrowed_until
    }

    /// Ends a reservation; does nothing if it has already ended.
    pub fn release(&mut self, key: ReservationKey) {
        let Some(held) = self.reservations.remove(key) else {
            return;
        };
        match self.accounts.get_mut(held.server) {
            Some(account) if held.borrowed_until.is_none() => account.reserved -= held.tokens,
            Some(account) => account.borrowed -= held.tokens,
            None => {}
        }
    }

    /// Lends `tokens` of a server's share for `duration`, or returns nothing if they are not free.
    pub fn lend(
        &mut self,
        server: ServerKey,
        tokens: u64,
        now: Duration,
        duration: Duration,
    ) -> Option<LoanKey> {
        if self.free(server) < tokens {
            return None;
        }
        self.accounts.get_mut(server)?.lent += tokens;
        Some(self.loans.insert(Loan {
            server,
            tokens,
            until: now + duration,
        }))
    }

    /// Ends a loan that the borrower has returned; does nothing if it has already ended.
    pub fn end_loan(&mut self, key: LoanKey) {
        let Some(loan) = self.loans.remove(key) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(loan.server) {
            account.lent -= loan.tokens;
        }
    }

    /// Ends the loans that have expired at `now`.
    pub fn expire(&mut self, now: Duration) {
        let expired: Vec<LoanKey> = self
            .loans
            .iter()
            .filter(|(_, loan)| loan.until <= now)
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.end_loan(key);
        }
    }
}
