//! Helpers that several modules share.

pub mod http;
pub mod mac;
pub mod settle;
