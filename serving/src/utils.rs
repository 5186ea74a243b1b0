//! Helpers that several modules share.

pub mod budget;
pub mod http;
pub mod mac;
pub mod settle;
