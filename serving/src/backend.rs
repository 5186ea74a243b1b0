//! Backend servers: model engines and plain services.
//!
//! The rest of the system uses only the traits [`Engine`] and [`Service`]. [`http`] implements them
//! for the stand-ins' HTTP protocol; another kind of engine needs one further implementation.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::utils::budget::{Budget, Reservation};
use crate::utils::http::Failure;

pub mod http;

/// Kind of a backend server.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Runs generations of a model.
    Engine,
    /// Answers plain HTTP calls.
    Service,
}

/// A backend server on the instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Unique name of the instance.
    pub name: Arc<str>,
    /// Kind of the server.
    pub role: Role,
    /// Service that it belongs to.
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
    /// Whether it is leaving and receives no new work.
    pub leaving: bool,
}

/// Returns the number of tokens of a prompt as engines count them: one for each word, at least one.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count().max(1) as u64
}

/// A request to an engine to start or resume a generation.
#[derive(Clone, Debug, Serialize)]
pub struct Generate {
    /// Identifier of the request, echoed on each frame.
    pub request_id: Arc<str>,
    /// Number of the attempt, echoed on each frame.
    pub attempt: u64,
    /// Version that must run the request.
    pub version: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Tokens already delivered, after which the engine resumes.
    pub resume: Vec<Arc<str>>,
    /// Most tokens of the answer, including the resumed ones.
    pub max_tokens: u64,
    /// Priority; higher runs first.
    pub priority: i32,
}

/// Identifies a generation on an engine.
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
    /// Index of the token, or in an end frame the number of tokens of the answer.
    pub index: u64,
    /// The token; absent on an end frame.
    pub token: Option<Arc<str>>,
    /// Reason for the end of the generation; absent on a token frame.
    pub end: Option<Arc<str>>,
}

/// A load report of an engine, which may be out of date.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Load {
    /// Memory in use by all requests, in tokens.
    pub held_tokens: u64,
    /// Memory of the engine, in tokens.
    pub memory_tokens: u64,
    /// Number of running generations.
    pub running: u64,
    /// Number of waiting generations.
    pub waiting: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct CacheEvent {
    /// Sequence number of the event; a skipped number is a gap.
    pub sequence: u64,
    /// Hash of the prompt up to and including the block.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// An order to an engine: the state that it must reach.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number; a server that enforces fencing refuses a number lower than the highest seen.
    pub fencing: u64,
    /// Versions to load; unchanged if absent.
    pub versions: Option<BTreeSet<String>>,
    /// Role of the engine; unchanged if absent.
    pub role: Option<String>,
    /// Whether the engine must refuse new work; unchanged if absent.
    pub drain: Option<bool>,
}

/// State of an engine that orders can change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct OrderState {
    /// Highest fencing number seen.
    pub fencing: u64,
    /// Versions that are loaded.
    pub versions: BTreeSet<String>,
    /// Role of the engine.
    pub role: String,
    /// Whether the engine refuses new work.
    pub draining: bool,
}

/// An engine's response to an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderResponse {
    /// It executed the order and is in this state.
    Done(OrderState),
    /// It refused the fencing number, since it has seen a higher one.
    Fenced,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier of the request, echoed on the response.
    pub request_id: Arc<str>,
    /// Number of the attempt, echoed on the response.
    pub attempt: u64,
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query relative to the service.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// Body.
    pub body: Bytes,
    /// W3C trace context to propagate.
    pub traceparent: Option<Arc<str>>,
    /// Time that remains for the call, sent to the service.
    pub timeout: Duration,
    /// Largest response body that is read, in bytes.
    pub answer_limit: usize,
    /// Memory budget in which the response body is reserved.
    pub budget: Budget,
}

/// A plain service's complete response to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// Body; empty if it exceeded the limit or the budget.
    pub body: Bytes,
    /// Whether the body exceeded the limit or the budget.
    pub oversized: bool,
    /// Reservation of the body's bytes in the budget.
    pub reservation: Option<Reservation>,
    /// Whether the service declared that it did not run the call.
    pub not_run: bool,
}

/// Reason why a backend server gave no usable response.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The request was not run: it was not sent, or was refused before it ran.
    #[snafu(display("the request was not run: {reason}"))]
    NotRun {
        /// Cause of the failure.
        reason: String,
    },
    /// The request may have run: its response was lost or belongs to another request.
    #[snafu(display("the answer was lost: {reason}"))]
    Lost {
        /// Cause of the failure.
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
    /// Stream of frames with which the engine responds.
    type Frames: Frames;

    /// Starts or resumes a generation.
    fn generate(
        &self,
        server: &Server,
        generate: &Generate,
    ) -> impl Future<Output = Result<Self::Frames, Error>> + Send;

    /// Attaches to a running generation and reads its further frames.
    fn attach(
        &self,
        server: &Server,
        reference: &Reference,
    ) -> impl Future<Output = Result<Self::Frames, Error>> + Send;

    /// Cancels a generation.
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

    /// Sends an order.
    fn order(
        &self,
        server: &Server,
        order: &Order,
    ) -> impl Future<Output = Result<OrderResponse, Error>> + Send;

    /// Reads the state that orders can change.
    fn order_state(
        &self,
        server: &Server,
    ) -> impl Future<Output = Result<OrderState, Error>> + Send;
}

/// Plain services.
pub trait Service: Clone + Send + Sync + 'static {
    /// Sends a call once, without retries.
    fn call(
        &self,
        server: &Server,
        call: &Call,
    ) -> impl Future<Output = Result<Reply, Error>> + Send;
}
