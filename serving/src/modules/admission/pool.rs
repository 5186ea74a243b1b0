//! The backend servers of one service and version, and which of them takes a request.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::ejection::Ejector;
use medlarfall_coordination::memory::{Ledger, ServerKey};
use medlarfall_coordination::placement::{Candidate, Proximity, choose};

use super::Requirements;
use crate::backend::Server;

/// A backend server of the pool.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// The server.
    pub(super) server: Arc<Server>,
    /// The server in the ledger.
    pub(super) key: ServerKey,
    /// Whether the server is leaving; kept here so that a choice reads no memory of the server.
    pub(super) leaving: bool,
    /// Hash of the server's name.
    pub(super) hash: u64,
    /// How near the server is.
    pub(super) proximity: Proximity,
    /// Tokens that this entry may hold on the server without a grant.
    pub(super) base: u64,
    /// Tokens that all entries together may be granted on the server.
    pub(super) grant_limit: u64,
    /// Until when this entry's share is taken not to grow, since the store refused.
    pub(super) denied_until: Duration,
}

impl Member {
    /// Returns the tokens that this entry may hold on the server at most.
    pub(super) fn limit(&self) -> u64 {
        self.base + self.grant_limit
    }
}

/// The server that takes a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice<'a> {
    /// The server.
    pub(super) member: &'a Member,
    /// Whether the request fits into what this entry holds there; otherwise its share must grow.
    pub(super) ready: bool,
}

/// The backend servers of one service and version.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    /// The servers.
    pub(super) members: Vec<Member>,
    /// Servers that fail.
    pub(super) ejector: Ejector,
}

impl Pool {
    /// Returns the server that takes a request, if any can.
    pub(super) fn choose(
        &self,
        need: &Requirements,
        ledger: &Ledger,
        now: Duration,
    ) -> Option<Choice<'_>> {
        let candidates: Vec<Candidate> = self
            .members
            .iter()
            .map(|member| self.candidate(member, need, ledger, now))
            .collect();
        let member = &self.members[choose(&candidates, need.prefix)?];
        let ready = ledger.free(member.key) >= need.tokens;
        Some(Choice { member, ready })
    }

    /// Notes until when the store is taken not to grant more of a server.
    pub(super) fn deny(&mut self, server: &str, until: Duration) {
        let denied = self
            .members
            .iter_mut()
            .find(|member| *member.server.name == *server);
        if let Some(member) = denied {
            member.denied_until = until;
        }
    }

    /// Returns a server as a candidate for a request.
    fn candidate(
        &self,
        member: &Member,
        need: &Requirements,
        ledger: &Ledger,
        now: Duration,
    ) -> Candidate {
        let (used, free) = ledger.usage(member.key);
        let grows = now >= member.denied_until && used + need.tokens <= member.limit();
        let fits = grows || free >= need.tokens;
        Candidate {
            hash: member.hash,
            proximity: member.proximity,
            used,
            capacity: member.limit().max(1),
            fits: fits && self.open(member, need, now),
        }
    }

    /// Returns whether a server takes new requests.
    fn open(&self, member: &Member, need: &Requirements, now: Duration) -> bool {
        if member.leaving {
            return false;
        }
        let calm = need.excluded.is_empty() && self.ejector.is_empty();
        if calm {
            return true;
        }
        let name = &member.server.name;
        !need.excluded.contains(name) && !self.ejector.ejected(name, self.members.len(), now)
    }
}
