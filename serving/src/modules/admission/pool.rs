//! The backend servers of one service and version, and which of them takes a request.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::ejection::Ejector;
use medlarfall_coordination::memory::{Ledger, ServerKey};
use medlarfall_coordination::placement::{Candidate, Proximity, choose};

use super::Need;
use crate::backend::Server;

/// A backend server of the pool.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// The server.
    pub(super) server: Arc<Server>,
    /// The server in the ledger.
    pub(super) key: ServerKey,
    /// Hash of the server's name.
    pub(super) hash: u64,
    /// How near the server is.
    pub(super) proximity: Proximity,
    /// Tokens that all entries together may hold on the server.
    pub(super) limit: u64,
    /// Until when this entry's share is taken not to grow, since the store refused.
    pub(super) denied_until: Duration,
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
    /// Names of the servers.
    pub(super) names: Vec<Arc<str>>,
    /// Servers that fail.
    pub(super) ejector: Ejector,
}

impl Pool {
    /// Returns the server that takes a request, if any can.
    pub(super) fn choose<'a>(
        &self,
        members: &[&'a Member],
        need: &Need,
        ledger: &Ledger,
        now: Duration,
    ) -> Option<Choice<'a>> {
        let candidates: Vec<Candidate> = members
            .iter()
            .map(|member| self.candidate(member, need, ledger, now))
            .collect();
        let member = members[choose(&candidates, need.prefix)?];
        let ready = ledger.free(member.key) >= need.tokens;
        Some(Choice { member, ready })
    }

    /// Returns a server as a candidate for a request.
    fn candidate(&self, member: &Member, need: &Need, ledger: &Ledger, now: Duration) -> Candidate {
        let name = &member.server.name;
        let used = ledger.reserved(member.key);
        let grows = now >= member.denied_until && used + need.tokens <= member.limit;
        let open = !member.server.leaving
            && !need.excluded.contains(name)
            && !self.ejector.ejected(name, self.names.len(), now);
        Candidate {
            hash: member.hash,
            proximity: member.proximity,
            used,
            capacity: member.limit.max(1),
            fits: open && (grows || ledger.free(member.key) >= need.tokens),
        }
    }
}
