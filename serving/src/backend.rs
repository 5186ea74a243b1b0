//! Backend servers: model engines and plain services.
//!
//! [`Engine`] and [`Service`] are the interfaces that the rest of the system uses; [`http`] is the
//! adapter to the stand-ins' protocol. Another kind of engine costs one adapter.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::utils::budget::{Budget, Hold};
use crate::utils::http::Failure;

pub mod http;

/// What a backend server does.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Generates with a model.
    Engine,
    /// Answers plain HTTP calls.
    Service,
}

/// A backend server on the instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Unique name of the instance.
    pub name: Arc<str>,
    /// What the server does.
    pub role: Role,
    /// Service that it stands behind.
    pub service: Arc<str>,
    /// Version that it serves.
    pub version: Arc<str>,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Arc<str>,
    /// Region that it runs in.
    pub region: Arc<str>,
    /// Memory of an engine, in tokens.
    pub memory_tokens: u64,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
}

/// Returns the number of tokens of a prompt, as engines count them: its words.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count().max(1) as u64
}

/// A request to generate.
#[derive(Clone, Debug, Serialize)]
pub struct Generate {
    /// Identifier of the request, echoed on each frame.
    pub request_id: Arc<str>,
    /// Number of the attempt, echoed on each frame.
    pub attempt: u64,
    /// Version that must answer.
    pub version: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Tokens already delivered, from which the engine resumes.
    pub resume: Vec<Arc<str>>,
    /// Most tokens of the whole answer.
    pub max_tokens: u64,
    /// Priority; higher runs first.
    pub priority: i32,
}

/// Names a generation that runs on an engine.
#[derive(Clone, Debug, Serialize)]
pub struct Reference {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Number of the attempt.
    pub attempt: u64,
    /// Index of the first token to read.
    pub from: u64,
}

/// A frame of a generation's stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Frame {
    /// Identifier of the request.
    pub request_id: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Index of the token; of an end frame, the number of tokens of the whole answer.
    pub index: u64,
    /// The token; absent on an end frame.
    pub token: Option<Arc<str>>,
    /// Why the generation ended; absent on a token frame.
    pub end: Option<Arc<str>>,
}

/// A load report, as it was some time ago.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Load {
    /// Tokens held by all requests.
    pub held_tokens: u64,
    /// Memory in tokens.
    pub memory_tokens: u64,
    /// Generations that run.
    pub running: u64,
    /// Generations that wait.
    pub waiting: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct CacheEvent {
    /// Number of the event; a missing number is a gap.
    pub sequence: u64,
    /// Hash of the prompt up to and including the block.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// An order to an engine: the state in which it shall end.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number; a server that enforces it refuses a lower one than the highest seen.
    pub fencing: u64,
    /// Versions that shall be loaded; absent leaves them as they are.
    pub versions: Option<BTreeSet<String>>,
    /// Role that the engine shall have; absent leaves it as it is.
    pub role: Option<String>,
    /// Whether the engine shall take no new work; absent leaves it as it is.
    pub drain: Option<bool>,
}

/// What orders have made of an engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct OrderState {
    /// Highest fencing number seen.
    pub fencing: u64,
    /// Versions that are loaded.
    pub versions: BTreeSet<String>,
    /// Role of the engine.
    pub role: String,
    /// Whether the engine takes no new work.
    pub draining: bool,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderResponse {
    /// It carried the order out.
    Done(OrderState),
    /// It refused the fencing number, since it has obeyed a higher one.
    Fenced,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier of the request, echoed on the answer.
    pub request_id: Arc<str>,
    /// Number of the attempt, echoed on the answer.
    pub attempt: u64,
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query below the service.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// Body.
    pub body: Bytes,
    /// W3C trace context to pass on.
    pub traceparent: Option<Arc<str>>,
    /// Time that remains for the call, passed on to the service.
    pub timeout: Duration,
    /// Largest answer that is read, in bytes.
    pub answer_limit: usize,
    /// Budget that the answer's bytes are taken from.
    pub budget: Budget,
}

/// A plain service's whole answer to the call that it was given.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// Body; empty if it was over the limit or the budget.
    pub body: Bytes,
    /// Whether the body was over the limit or the budget.
    pub oversized: bool,
    /// What the body takes from the budget.
    pub reservation: Option<Hold>,
    /// Whether the service says that it did not run the call.
    pub not_run: bool,
}

/// Why a backend server gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The request was not run: it was not sent, or was refused before it ran.
    #[snafu(display("the request was not run: {reason}"))]
    NotRun {
        /// What happened.
        reason: String,
    },
    /// The request may have run: its answer was lost or belongs to another request.
    #[snafu(display("the answer was lost: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotSent { reason } => Self::NotRun { reason },
            Failure::Lost { reason } => Self::Lost { reason },
        }
    }
}

/// The stream of frames of one attempt.
pub trait Frames: Send + 'static {
    /// Returns the next frame, or nothing when the stream has ended.
    fn next(&mut self) -> impl Future<Output = Result<Option<Frame>, Error>> + Send;
}

/// Model engines.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Stream of frames that the engine answers with.
    type Frames: Frames;

    /// Starts or resumes a generation.
    fn generate(
        &self,
        server: &Server,
        generate: &Generate,
    ) -> impl Future<Output = Result<Self::Frames, Error>> + Send;

    /// Reads on from a generation that runs.
    fn attach(
        &self,
        server: &Server,
        reference: &Reference,
    ) -> impl Future<Output = Result<Self::Frames, Error>> + Send;

    /// Ends a generation.
    fn cancel(
        &self,
        server: &Server,
        reference: &Reference,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the load report.
    fn load(&self, server: &Server) -> impl Future<Output = Result<Load, Error>> + Send;

    /// Reads the cache events after a sequence number.
    fn cache_events(
        &self,
        server: &Server,
        after: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, Error>> + Send;

    /// Gives an order.
    fn order(
        &self,
        server: &Server,
        order: &Order,
    ) -> impl Future<Output = Result<OrderResponse, Error>> + Send;

    /// Reads what orders have made of the engine.
    fn order_state(
        &self,
        server: &Server,
    ) -> impl Future<Output = Result<OrderState, Error>> + Send;
}

/// Plain services.
pub trait Service: Clone + Send + Sync + 'static {
    /// Makes a call once.
    fn call(
        &self,
        server: &Server,
        call: &Call,
    ) -> impl Future<Output = Result<Reply, Error>> + Send;
}
