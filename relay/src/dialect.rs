//! What a protocol of callers, servers and the store has to tell the relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use medlarfall_coordination::registry::Server;
use medlarfall_coordination::routing::Table;
use snafu::Snafu;

use medlarfall_runtime::store::Change;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The key it presents.
    pub key: Option<Arc<str>>,
    /// Last event that it has of a stream that broke off.
    pub last_event: Option<u64>,
    /// Hash of the prompt's parts, the same for prompts that share their beginning.
    pub prompt_hash: Option<u64>,
    /// Identifier of the prompt's last part, which is the request's own.
    pub last_part: Option<Arc<str>>,
    /// Tokens that the prompt has.
    pub prompt_tokens: Option<u64>,
}

/// A copy of a run's memory on a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// The server that holds it.
    pub holder: SocketAddr,
    /// Identifier of the run, or handle of the copy.
    pub handle: Arc<str>,
}

/// What one send to a server adds to the caller's request.
#[derive(Clone, Debug)]
pub struct Send {
    /// The server that is meant.
    pub server: Arc<Server>,
    /// Client account of the request.
    pub account: Option<Arc<str>>,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Time that is left.
    pub remains: Duration,
    /// Server that is to keep a backup copy of the run's memory.
    pub backup: Option<SocketAddr>,
    /// Copy that the run goes on from.
    pub copy: Option<Copy>,
    /// Last event that was handed on.
    pub last_event: Option<u64>,
}

/// What the head of a server's answer says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Whether the answer is to the request that was sent.
    pub matches: bool,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Whether a server signed the answer.
    pub signed: bool,
    /// Requests at the server, running and waiting.
    pub requests: Option<u32>,
    /// When the request may come back, if the server says so.
    pub retry_after: Option<Duration>,
}

/// What a server says of itself when it is asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Requests at the server, running and waiting.
    pub requests: u32,
    /// When it started, in Unix milliseconds.
    pub born_ms: Option<u64>,
    /// Models that it holds.
    pub models: Vec<Arc<str>>,
}

/// A call to a server about a copy of a run's memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// What a change in the store means.
#[derive(Debug)]
pub enum Entry {
    /// A configuration.
    Configuration(Table),
    /// What a server announces.
    Server {
        /// The server.
        server: Server,
        /// How much longer it is slow after its start.
        cold: Duration,
    },
    /// A server's entry was removed, or names no server.
    NoServer {
        /// Name of the server.
        id: Arc<str>,
        /// What is wrong with the entry; nothing if it was removed.
        problem: Option<String>,
    },
    /// The address of another entry.
    Peer {
        /// Name of the entry.
        name: Arc<str>,
        /// Where it takes messages; nothing if its lease ended.
        address: Option<SocketAddr>,
    },
    /// The operators' order to move a service to another version.
    Move {
        /// The service.
        service: Arc<str>,
        /// The version, and the time that the move may take; nothing if the order is withdrawn.
        order: Option<(Arc<str>, Duration)>,
    },
    /// The end of a move, as an entry recorded it.
    MoveEnd {
        /// The service.
        service: Arc<str>,
        /// The version that it was to be moved to.
        version: Arc<str>,
        /// Whether that version serves.
        good: bool,
    },
    /// Nothing that the relay uses.
    Other,
}

/// Why the head of a request, or a value in the store, can't be used.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{problem}"))]
pub struct Invalid {
    /// What is wrong, and what would be right.
    pub problem: String,
}

/// A protocol of callers, servers and the store.
pub trait Dialect: std::marker::Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn caller(&self, headers: &HeaderMap) -> Result<Caller, Invalid>;

    /// Returns the headers of a send: the caller's, but for those that concern one connection or
    /// that only this system may set, and what the send adds.
    fn headers(&self, caller: &HeaderMap, send: &Send) -> HeaderMap;

    /// Decodes the head of a server's answer to the request `request_id`.
    fn reply(&self, request_id: &str, parts: &Parts) -> Reply;

    /// Returns the headers of a server's answer that the caller gets.
    fn answer_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the headers of an answer of this system's own.
    fn own_headers(&self, request_id: Option<&str>, retry_after: Option<Duration>) -> HeaderMap;

    /// Returns the path at which a server reports on itself.
    fn report_path(&self) -> &'static str;

    /// Decodes a server's report on itself.
    fn report(&self, status: StatusCode, body: &[u8]) -> Option<Report>;

    /// Returns the path at which a server tells its health and its name.
    fn health_path(&self) -> &'static str;

    /// Decodes the name of a server that says that it is well.
    fn healthy(&self, parts: &Parts) -> Option<Arc<str>>;

    /// Returns the order to copy the memory of the run `request_id` to the server at `target`.
    fn copy_order(&self, request_id: &str, target: SocketAddr) -> Order;

    /// Decodes the handle of a copy that was made.
    fn copy_made(&self, status: StatusCode, body: &[u8]) -> Option<Arc<str>>;

    /// Returns the order to free a copy.
    fn copy_drop(&self, handle: &str) -> Order;

    /// Returns the question for the parts of prompts that a server keeps.
    fn cache_order(&self) -> Order;

    /// Decodes how many tokens of `part` a server keeps.
    fn cached(&self, status: StatusCode, body: &[u8], part: &str) -> u64;

    /// Decodes a change in the store.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a configuration.
    fn entry(&self, change: &Change) -> Result<Entry, Invalid>;

    /// Returns the key and value that tell the operators how a move to `version` has ended.
    fn move_status(&self, service: &str, version: &str, good: bool) -> (String, String);

    /// Returns the key under which an entry makes its address known.
    fn entry_key(&self, entry: &str) -> String;

    /// Returns whether `key` is that of a server, and the server's name.
    fn server_id<'key>(&self, key: &'key str) -> Option<&'key str>;
}
