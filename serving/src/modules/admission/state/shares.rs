//! This entry's shares of engines' memory: they grow before memory is short and shrink when it
//! has lain idle.

use std::sync::Arc;
use std::time::Duration;

use super::super::grants::Demand;
use super::{State, pool_name};

/// How long a share is taken not to grow after the store refused.
const DENIED_PAUSE: Duration = Duration::from_millis(500);

/// This entry's share of one engine's memory.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    /// Tokens that the store has granted and that may be used.
    granted: u64,
    /// Whether a demand is on its way.
    pending: bool,
    /// Since when a step or more has been idle.
    idle_since: Option<Duration>,
}

impl Share {
    /// Returns whether anything is granted, or a demand is on its way.
    pub(super) fn held(&self) -> bool {
        self.granted > 0 || self.pending
    }

    /// Returns the tokens that the store has granted and that may be used.
    pub(super) fn granted(&self) -> u64 {
        self.granted
    }
}

impl State {
    /// Demands for memory of a server for a request of `tokens`.
    pub(super) fn lacks(&mut self, server: &Arc<str>, tokens: u64) {
        let Some(member) = self.members.get(server) else {
            return;
        };
        let share = self.shares.entry(Arc::clone(server)).or_default();
        if share.pending {
            return;
        }
        let step = self.bounds.grant_step(member.grant_limit);
        let used = self.ledger.reserved(member.key) + tokens;
        let wanted = used.saturating_sub(member.base);
        let tokens = (wanted.div_ceil(step) * step + step)
            .min(member.grant_limit)
            .max(wanted);
        if tokens <= share.granted {
            return;
        }
        share.pending = true;
        self.demand(server, tokens, wanted);
    }

    /// Takes the store's answer to a demand; nothing granted means that it refused or is down.
    pub(in super::super) fn granted(
        &mut self,
        server: &Arc<str>,
        tokens: Option<u64>,
        now: Duration,
    ) {
        let Some(member) = self.members.get_mut(server) else {
            return;
        };
        let share = self.shares.entry(Arc::clone(server)).or_default();
        share.pending = false;
        if let Some(tokens) = tokens {
            share.granted = tokens;
            share.idle_since = None;
            self.ledger.set_share(member.key, member.base + tokens);
            return;
        }
        let until = now + DENIED_PAUSE;
        member.denied_until = until;
        let name = pool_name(&member.server.service, &member.server.version);
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.deny(server, until);
        }
    }

    /// Returns the memory that has lain idle for long: it is given up here before the store is told.
    pub(in super::super) fn return_idle(&mut self, now: Duration) {
        let mut returned = Vec::new();
        for (server, share) in &mut self.shares {
            let Some(member) = self.members.get(server) else {
                continue;
            };
            let step = self.bounds.grant_step(member.grant_limit);
            let reserved = self.ledger.reserved(member.key);
            let used = reserved.saturating_sub(member.base);
            let kept = if used == 0 { 0 } else { used + step };
            if share.pending || share.granted <= kept {
                share.idle_since = None;
                continue;
            }
            let since = *share.idle_since.get_or_insert(now);
            if now.saturating_sub(since) < self.bounds.idle_timeout {
                continue;
            }
            self.ledger.set_share(member.key, member.base + kept);
            share.granted = kept;
            share.pending = true;
            returned.push((Arc::clone(server), kept));
        }
        for (server, kept) in returned {
            self.demand(&server, kept, kept);
        }
    }

    /// Sends a demand to the task that asks the store.
    fn demand(&self, server: &Arc<str>, tokens: u64, least: u64) {
        let Some(member) = self.members.get(server) else {
            return;
        };
        let _ = self.channels.demands.send(Demand {
            server: Arc::clone(server),
            tokens,
            least,
            limit: member.grant_limit,
        });
    }
}
