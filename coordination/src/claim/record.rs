//! A claim as it is held in the store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Who holds a claim: one call at one incarnation of one entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Claimer {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Incarnation of the entry: another one after each start.
    pub incarnation: Arc<str>,
    /// Address at which other entries ask the claimer.
    pub address: Arc<str>,
    /// Number of the call at that incarnation.
    pub sequence: u64,
}

/// A claim as the store holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Who holds the claim.
    pub claimer: Claimer,
    /// Hash of method, path and body that the identifier is bound to.
    pub binding: Arc<str>,
    /// The answer, once the call has run.
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

/// A kept answer of a call that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// The body, or nothing if it was too large to be kept.
    pub body: Option<Body>,
}

/// The body of a kept answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A body in UTF-8.
    Text(Arc<str>),
    /// Any other body, in hexadecimal.
    Hex(Arc<str>),
}
