//! Interface to the protocol of callers, servers and the store.
//!
//! The relay works on the types of this module. An implementation of [`Codec`] decodes heads,
//! reports and store values into them, and encodes the requests that the relay sends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use medlarfall_coordination::duty::Subject;
use medlarfall_coordination::kept_prompts::Part;
use medlarfall_coordination::registry::Server;
use medlarfall_coordination::routing::Table;
use medlarfall_coordination::server_limit::Named;
use medlarfall_coordination::server_load;
use snafu::Snafu;

use medlarfall_runtime::store::Change;

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// API key of the caller.
    pub key: Option<Arc<str>>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Hash of the prompt's shared parts; equal for prompts with the same prefix.
    pub prompt_hash: Option<u64>,
    /// Identifiers of the prompt's parts, in order; requests share all but the last.
    pub prompt_parts: Arc<[u64]>,
    /// Parts of the prompt but the last one, in order, with their lengths; at most 64. Empty if they are not
    /// stated or malformed.
    pub shared_parts: Arc<[Part]>,
    /// Identifier of the last part of the prompt, which no other request shares.
    pub last_part: Option<Arc<str>>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: Option<u64>,
}

/// A backup of a run's KV cache on a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backup {
    /// Identifies the backup together with `handle`: address of the server that holds it, or of the
    /// server that copied it and returned the handle.
    pub address: SocketAddr,
    /// Identifier of the run, or the handle that the copying server returned.
    pub handle: Arc<str>,
}

/// What one attempt adds to the caller's request.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The server that the request is addressed to.
    pub server: Arc<Server>,
    /// Client account of the request.
    pub account: Option<Arc<str>>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time remaining until the deadline.
    pub remaining: Duration,
    /// Server that is to hold a backup of the run's KV cache.
    pub backup_target: Option<SocketAddr>,
    /// Backup that the run resumes from.
    pub resume_from: Option<Backup>,
    /// Id of the last event that was forwarded to the caller.
    pub last_event: Option<u64>,
}

/// Decoded head of a server's response.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Whether the response carries the identifier of the request that was sent.
    pub matches: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the response carries a server's signature.
    pub signed: bool,
    /// Load of the server.
    pub load: Option<server_load::Report>,
    /// Pause before a retry, if the server states one.
    pub retry_after: Option<Duration>,
    /// Requests that the server takes from all entries.
    pub limit: Named,
}

/// Status report of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Requests at the server, running and queued.
    pub requests: u32,
    /// Start time, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// Models that are loaded.
    pub models: Vec<Arc<str>>,
    /// Whether the server says that it leaves.
    pub leaving: bool,
}

/// Decoded response of a server to a health check.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Health {
    /// Name of the server.
    pub id: Arc<str>,
    /// Whether the server says that it leaves.
    pub leaving: bool,
    /// Whether the server takes requests.
    pub accepting: bool,
    /// Pause that the server asks for, if it takes none.
    pub pause: Option<Duration>,
}

/// A control request to a server or to another entry, apart from callers' requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Command {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// A decoded change of the store.
#[derive(Debug)]
pub enum Record {
    /// A configuration.
    Configuration(Table),
    /// Registration of a server.
    Server {
        /// The server.
        server: Server,
        /// Remaining warm-up time, in which the server is slower than usual.
        warmup: Duration,
        /// Number of the registration since the server's start, which increases.
        sequence: u64,
    },
    /// A server's registration was removed, or can't be decoded.
    ServerRemoved {
        /// Name of the server.
        id: Arc<str>,
        /// What is wrong with the registration; `None` if it was removed.
        problem: Option<String>,
    },
    /// The registration of an entry.
    Entry {
        /// Name of the entry.
        name: Arc<str>,
        /// The registration, in the form of [`crate::registration`]; `None` if its lease expired.
        value: Option<String>,
    },
    /// The operators' order to roll out another version of a service.
    Move {
        /// The service.
        service: Arc<str>,
        /// The version and the duration of the move; `None` if the order was withdrawn.
        order: Option<(Arc<str>, Duration)>,
    },
    /// The recorded end of a move.
    MoveEnd {
        /// The service.
        service: Arc<str>,
        /// The version that the service was moved to.
        version: Arc<str>,
        /// Whether the version was accepted.
        good: bool,
    },
    /// The record of a combination of prompt parts that is blocked.
    BlockedPrompt {
        /// Key of the record.
        key: Arc<str>,
        /// The record, in the form of [`crate::quarantine`]; `None` if it was removed.
        value: Option<String>,
    },
    /// The lock of a duty's subject.
    Lock {
        /// The subject.
        subject: Subject,
        /// The lock, in the form of [`crate::duty`]; `None` if it was removed.
        value: Option<String>,
    },
    /// A key that the relay does not use.
    Other,
}

/// Error of decoding the head of a request or a value of the store.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{problem}"))]
pub struct Invalid {
    /// What is wrong and how to correct it.
    pub problem: String,
}

/// Translates between the relay's types and the protocol of callers, servers and the store.
pub trait Codec: Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a required header is missing or malformed.
    fn decode_request(&self, headers: &HeaderMap) -> Result<Head, Invalid>;

    /// Returns the headers of a forwarded request: the caller's without hop-by-hop headers and
    /// headers that only this system may set, and those of the attempt.
    fn request_headers(&self, caller: &HeaderMap, dispatch: &Dispatch) -> HeaderMap;

    /// Decodes the head of a server's response to the request `request_id`.
    fn decode_reply(&self, request_id: &str, parts: &Parts) -> Reply;

    /// Returns the headers of a server's response that are passed to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the headers of a response that this entry itself makes, such as a refusal.
    fn refusal_headers(&self, request_id: Option<&str>, retry_after: Option<Duration>)
    -> HeaderMap;

    /// Returns the path of a server's status report.
    fn report_path(&self) -> &'static str;

    /// Decodes a server's status report.
    fn decode_report(&self, parts: &Parts, body: &[u8]) -> Option<Report>;

    /// Returns the path of a server's health check, whose response carries the server's name.
    fn health_path(&self) -> &'static str;

    /// Decodes the response to a health check; `None` if the server is neither healthy nor leaving.
    fn decode_health(&self, parts: &Parts) -> Option<Health>;

    /// Returns whether the headers of any response of a server say that it leaves.
    fn decode_leaving(&self, headers: &HeaderMap) -> bool;

    /// Returns the command to copy the KV cache of the run `request_id` to the server at `target`.
    fn copy_command(&self, request_id: &str, target: SocketAddr) -> Command;

    /// Decodes the handle of the backup that a copy command made.
    fn decode_copy(&self, status: StatusCode, body: &[u8]) -> Option<Arc<str>>;

    /// Returns the command to free a backup.
    fn free_command(&self, handle: &str) -> Command;

    /// Returns the command that lists the parts of prompts in a server's cache.
    fn cache_command(&self) -> Command;

    /// Decodes how many tokens of `part` a server has in its cache.
    fn decode_cached_tokens(&self, status: StatusCode, body: &[u8], part: &str) -> u64;

    /// Decodes a change of the store.
    ///
    /// # Errors
    ///
    /// Returns an error if a configuration or an order to move a service is invalid.
    fn decode_record(&self, change: &Change) -> Result<Record, Invalid>;

    /// Returns the key and value that record the end of a move to `version` for the operators.
    fn move_status(&self, service: &str, version: &str, good: bool) -> (String, String);

    /// Returns the key under which an entry registers; with an empty name, the prefix of all of them.
    fn entry_key(&self, entry: &str) -> String;

    /// Returns the key under which a blocked combination of prompt parts is recorded.
    fn blocked_prompt_key(&self, name: &str) -> String;

    /// Returns the key of the lock of a duty's subject.
    fn duty_key(&self, subject: &Subject) -> String;

    /// Returns the key under which the counts of usage windows are recorded, one for each `slot`; with
    /// `None`, the prefix of all of them.
    fn usage_key(&self, slot: Option<usize>) -> String;

    /// Returns the server's name if `key` is the key of a server's registration.
    fn server_id<'key>(&self, key: &'key str) -> Option<&'key str>;
}
