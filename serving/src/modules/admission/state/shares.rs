//! This entry's shares of engines' memory: a share grows in steps ahead of demand, and its unused
//! part is returned to the store after an idle period.

use std::sync::Arc;
use std::time::Duration;

use super::super::grants::GrantRequest;
use super::{State, pool_name};

/// Time after a failed grant request in which the share is not expected to grow.
const DENIAL_BACKOFF: Duration = Duration::from_millis(500);

/// This entry's share of one engine's memory.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    /// Tokens that the store has granted and that may be used.
    granted: u64,
    /// Whether a grant request is in flight.
    pending: bool,
    /// Time since which the grant has been unused or has exceeded its used part by more than one
    /// step.
    idle_since: Option<Duration>,
}

impl Share {
    /// Returns whether memory is granted or a grant request is in flight.
    pub(super) fn in_use(&self) -> bool {
        self.granted > 0 || self.pending
    }

    /// Returns the tokens that the store has granted and that may be used.
    pub(super) fn granted(&self) -> u64 {
        self.granted
    }
}

impl State {
    /// Requests a larger grant of a server's memory for a request that needs `tokens`.
    pub(super) fn request_grant(&mut self, server: &Arc<str>, tokens: u64) {
        let Some(member) = self.members.get(server) else {
            return;
        };
        let share = self.shares.entry(Arc::clone(server)).or_default();
        if share.pending {
            return;
        }
        let step = self.settings.grant_step(member.grant_limit);
        let used = self.ledger.reserved(member.key) + tokens;
        let wanted = used.saturating_sub(member.base);
        let tokens = (wanted.div_ceil(step) * step + step)
            .min(member.grant_limit)
            .max(wanted);
        if tokens <= share.granted {
            return;
        }
        share.pending = true;
        self.send_grant_request(server, tokens, wanted);
    }

    /// Records the result of a grant request; `None` means that the store refused it or is
    /// unavailable.
    pub(in super::super) fn record_grant(
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
        let until = now + DENIAL_BACKOFF;
        member.denied_until = until;
        let name = pool_name(&member.server.service, &member.server.version);
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.record_denial(server, until);
        }
    }

    /// Returns memory that has been idle for the idle timeout: the share shrinks here before the
    /// request is sent to the store.
    pub(in super::super) fn return_idle(&mut self, now: Duration) {
        let mut returned = Vec::new();
        for (server, share) in &mut self.shares {
            let Some(member) = self.members.get(server) else {
                continue;
            };
            let step = self.settings.grant_step(member.grant_limit);
            let reserved = self.ledger.reserved(member.key);
            let used = reserved.saturating_sub(member.base);
            let kept = if used == 0 { 0 } else { used + step };
            if share.pending || share.granted <= kept {
                share.idle_since = None;
                continue;
            }
            let since = *share.idle_since.get_or_insert(now);
            if now.saturating_sub(since) < self.settings.idle_timeout {
                continue;
            }
            self.ledger.set_share(member.key, member.base + kept);
            share.granted = kept;
            share.pending = true;
            returned.push((Arc::clone(server), kept));
        }
        for (server, kept) in returned {
            self.send_grant_request(&server, kept, kept);
        }
    }

    /// Sends a request to the task that updates grants.
    fn send_grant_request(&self, server: &Arc<str>, tokens: u64, minimum: u64) {
        let Some(member) = self.members.get(server) else {
            return;
        };
        let _ = self.channels.grant_requests.send(GrantRequest {
            server: Arc::clone(server),
            tokens,
            minimum,
            limit: member.grant_limit,
        });
    }
}
