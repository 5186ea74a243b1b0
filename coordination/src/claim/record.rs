//! The stored form of a claim.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The holder of a claim: one call at one incarnation of one entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Claimer {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Incarnation of the entry; it changes with each start.
    pub incarnation: Arc<str>,
    /// Address at which other entries query the claimer.
    pub address: Arc<str>,
    /// Sequence number of the call within the incarnation.
    pub sequence: u64,
}

/// A claim as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Holder of the claim.
    pub claimer: Claimer,
    /// Hash of the method, path and body to which the identifier is bound.
    pub binding: Arc<str>,
    /// The answer, after the call has run.
    pub answer: Option<Answer>,
}

/// A record and the revision at which it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Held {
    /// The record.
    pub record: Record,
    /// Revision at which it was written.
    pub revision: u64,
}

/// The stored answer of a call that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// The body, or nothing if it was too large to store.
    pub body: Option<Body>,
}

/// The body of a stored answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A valid UTF-8 body.
    Text(Arc<str>),
    /// Any other body, in hexadecimal.
    Hex(Arc<str>),
}
