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
    /// This entry's share of the server's memory.
    pub(super) share: u64,
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
    /// Returns the server that takes a request now, if any can.
    pub(super) fn choose(&self, need: &Need, ledger: &Ledger, now: Duration) -> Option<&Member> {
        let candidates: Vec<Candidate> = self
            .members
            .iter()
            .map(|member| self.candidate(member, need, ledger, now))
            .collect();
        choose(&candidates, need.prefix).map(|index| &self.members[index])
    }

    /// Returns whether a server of the pool could hold the request if it were idle.
    pub(super) fn could_hold(&self, need: &Need) -> bool {
        self.members
            .iter()
            .any(|member| member.share >= need.tokens)
    }

    /// Returns a server as a candidate for a request.
    fn candidate(&self, member: &Member, need: &Need, ledger: &Ledger, now: Duration) -> Candidate {
        let name = &member.server.name;
        let free = ledger.free(member.key);
        let open = !member.server.leaving
            && !need.excluded.contains(name)
            && !self.ejector.ejected(name, self.members.len(), now);
        Candidate {
            hash: member.hash,
            proximity: member.proximity,
            used: ledger.reserved(member.key),
            capacity: member.share.max(1),
            fits: open && free >= need.tokens,
        }
    }
}
