//! Helpers that several modules share.

pub mod http;
