//! The backend servers of one service and version, and the choice of one for a request.

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
    /// Key of the server in the ledger.
    pub(super) key: ServerKey,
    /// Whether the server is leaving; copied from [`Server`] so that a choice does not dereference
    /// it.
    pub(super) leaving: bool,
    /// Hash of the server's name.
    pub(super) hash: u64,
    /// Proximity of the server to this entry.
    pub(super) proximity: Proximity,
    /// Tokens that this entry may reserve on the server without a grant.
    pub(super) base: u64,
    /// Tokens that all entries together may be granted on the server.
    pub(super) grant_limit: u64,
    /// Time until which this entry's share is not expected to grow, after the store refused a
    /// grant.
    pub(super) denied_until: Duration,
}

impl Member {
    /// Returns the most tokens that this entry may reserve on the server.
    pub(super) fn limit(&self) -> u64 {
        self.base + self.grant_limit
    }
}

/// The server chosen for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice<'a> {
    /// The server.
    pub(super) member: &'a Member,
    /// Whether the request fits into this entry's share now; otherwise the share must grow first.
    pub(super) ready: bool,
}

/// The backend servers of one service and version.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    /// The servers.
    pub(super) members: Vec<Member>,
    /// Record of failing servers.
    pub(super) ejector: Ejector,
}

impl Pool {
    /// Chooses a server for a request, if any can take it.
    pub(super) fn choose(
        &self,
        requirements: &Requirements,
        ledger: &Ledger,
        now: Duration,
    ) -> Option<Choice<'_>> {
        let candidates: Vec<Candidate> = self
            .members
            .iter()
            .map(|member| self.candidate(member, requirements, ledger, now))
            .collect();
        let member = &self.members[choose(&candidates, requirements.prefix)?];
        let ready = ledger.free(member.key) >= requirements.tokens;
        Some(Choice { member, ready })
    }

    /// Records until when the store is not expected to grant more of a server's memory.
    pub(super) fn record_denial(&mut self, server: &str, until: Duration) {
        let member = self
            .members
            .iter_mut()
            .find(|member| *member.server.name == *server);
        if let Some(member) = member {
            member.denied_until = until;
        }
    }

    /// Returns the properties of a server that decide the choice.
    fn candidate(
        &self,
        member: &Member,
        requirements: &Requirements,
        ledger: &Ledger,
        now: Duration,
    ) -> Candidate {
        let (used, free) = ledger.usage(member.key);
        let can_grow = now >= member.denied_until && used + requirements.tokens <= member.limit();
        let fits = can_grow || free >= requirements.tokens;
        Candidate {
            hash: member.hash,
            proximity: member.proximity,
            used,
            capacity: member.limit().max(1),
            fits: fits && self.accepts(member, requirements, now),
        }
    }

    /// Returns whether a server accepts a new request.
    fn accepts(&self, member: &Member, requirements: &Requirements, now: Duration) -> bool {
        if member.leaving {
            return false;
        }
        let no_restrictions = requirements.excluded.is_empty() && self.ejector.is_empty();
        if no_restrictions {
            return true;
        }
        let name = &member.server.name;
        !requirements.excluded.contains(name)
            && !self.ejector.ejected(name, self.members.len(), now)
    }
}
