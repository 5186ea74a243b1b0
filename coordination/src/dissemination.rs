//! Shares the state of entries across the fleet. The cost of an entry does not grow with the number of
//! entries; that of a hub grows with its failure domain.
//!
//! Each entry reports its own state to the two hubs of its failure domain: the entries with the
//! fastest links that respond. A hub sums the reports of its failure domain and sends the sums to the
//! hubs of the other failure domains, and the state of all failure domains to the entries that report
//! to it. No agreement is needed: whoever receives reports answers them with digests, and an entry
//! passes over hubs that do not answer. Contacts that are registered in the store, and those that
//! digests name, make the entries known to one another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::autoscaling::Demand;
use crate::history::Revision;
use crate::placement::name_hash;
use crate::quarantine::{Loss, Part};
use crate::retry_budget::Usage;
use crate::server_limit::Named;
use crate::usage;

pub mod codec;
mod counts;
mod crash_news;
pub mod demands;
mod hub_words;
pub mod ledger;
mod members;
pub mod moves;
pub mod news;
mod node;
pub mod roster;

pub use demands::AccountDemand;
pub use ledger::{Count, Summary};
pub use moves::MoveReport;
pub use node::{Identity, Node, Own};
pub use roster::Contact;

/// A 32-bit hash of a server's name, which names it in messages. If two servers share one, their
/// streams are added up.
pub type Tag = u32;

/// Returns the hash of a server's name.
#[must_use]
pub fn tag(name: &str) -> Tag {
    u32::try_from(name_hash(name) >> u32::BITS).unwrap_or_default()
}

/// The recipients of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// The hubs of the sender's failure domain: a report.
    Report,
    /// The entries that report to the sender: a digest of all failure domains.
    Members,
    /// The hubs of the other failure domains: a digest of the sender's failure domain.
    Hubs,
}

impl Scope {
    /// Number of scopes.
    pub const COUNT: usize = 3;

    /// All scopes.
    pub const ALL: [Self; Self::COUNT] = [Self::Report, Self::Members, Self::Hubs];

    /// Returns the position of the scope in [`Self::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// A server that was found at the address of a lost one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Successor {
    /// Name of the lost server.
    pub predecessor: Arc<str>,
    /// Name of the server that is there now.
    pub id: Arc<str>,
    /// Its start time, in Unix milliseconds.
    pub started_ms: Option<u64>,
}

/// Losses and answers of requests that may crash servers, and how long ago.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Crashes {
    /// Runs that were lost before their answer began.
    pub losses: Vec<(Loss, Duration)>,
    /// Parts of answered requests that were suspect.
    pub answers: Vec<(Arc<[Part]>, Duration)>,
}

/// What a server said of the requests that it takes from all entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimit {
    /// The server.
    pub server: Tag,
    /// Its limit.
    pub named: Named,
}

/// The entry that sent a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sender {
    /// Unique name of the entry.
    pub entry: Arc<str>,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
    /// Capacity of its machine's link, in Mbit/s.
    pub link_mbps: u32,
    /// Revision of the store up to which it knows all changes.
    pub revision: Revision,
    /// Whether it reads the store and its last call succeeded.
    pub reads_store: bool,
    /// Whether the store is available to any entry that it knows.
    pub store_available: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Time of its wall clock, in Unix milliseconds; only in periodic messages of entries that do duties.
    pub wall_ms: Option<u64>,
}

/// State of one entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Its streams at each server.
    pub streams: Vec<(Tag, Count)>,
    /// Servers that it could not reach, and how long ago.
    pub lost: Vec<(Tag, Duration)>,
    /// Successors of lost servers that it found.
    pub successors: Vec<Successor>,
    /// Its requests and retries, by service.
    pub usage: Vec<(Arc<str>, Usage)>,
    /// Its reports on moves.
    pub moves: Vec<MoveReport>,
    /// What it saw of prompts that may crash servers.
    pub prompts: Crashes,
    /// What it saw of calls that may crash servers.
    pub calls: Crashes,
    /// What servers said of their limits, and how long ago.
    pub limits: Vec<(ServerLimit, Duration)>,
    /// Its demand, by service whose servers are scaled; empty in reports between the periodic ones.
    pub demands: Vec<(Arc<str>, Demand)>,
    /// Requests that it has counted.
    pub counts: Option<usage::Report>,
    /// What its callers ask for, of services whose capacity is nearly used up.
    pub account_demand: AccountDemand,
}

/// State of failure domains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Changed state of failure domains.
    pub summaries: Vec<Summary>,
    /// Servers that could not be reached, and how long ago.
    pub lost: Vec<(Tag, Duration)>,
    /// Successors of lost servers.
    pub successors: Vec<Successor>,
    /// Reports on moves.
    pub moves: Vec<MoveReport>,
    /// What was seen of prompts that may crash servers.
    pub prompts: Crashes,
    /// What was seen of calls that may crash servers.
    pub calls: Crashes,
    /// What servers said of their limits, and how long ago.
    pub limits: Vec<(ServerLimit, Duration)>,
    /// What callers ask for, of services whose capacity is nearly used up: in the sender's failure domain, or
    /// for its members in all.
    pub account_demand: AccountDemand,
    /// Entries of the sender's failure domain that can be its hubs.
    pub contacts: Vec<Contact>,
    /// Requests that the entries of the sender's failure domain have counted.
    pub counts: Option<usage::Report>,
    /// Newest usage window that needs no more counts.
    pub usage_settled: Option<u64>,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// State of one entry, for the hubs of its failure domain.
    Report(Report),
    /// State of failure domains, from a hub.
    Digest(Digest),
}

/// A message between entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The entry that sent it.
    pub sender: Sender,
    /// Its content.
    pub content: Content,
}

/// A message to send.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Kind of the recipients.
    pub scope: Scope,
    /// Addresses of the recipients.
    pub recipients: Vec<SocketAddr>,
    /// The message.
    pub message: Message,
    /// Whether it goes to one entry only, apart from the messages of its scope. It says nothing of what the
    /// others were sent.
    pub direct: bool,
}

/// What a received message says that the entry acts on itself.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Servers that another entry could not reach recently, and how long ago.
    pub lost: Vec<(Tag, Duration)>,
    /// Successors of lost servers.
    pub successors: Vec<Successor>,
    /// Reports on moves.
    pub moves: Vec<MoveReport>,
    /// What was seen of prompts that may crash servers.
    pub prompts: Crashes,
    /// What was seen of calls that may crash servers.
    pub calls: Crashes,
    /// What servers said of their limits, and how long ago.
    pub limits: Vec<(ServerLimit, Duration)>,
}
