//! Helpers that several modules share.

pub mod mac;
pub mod settle;

pub use medlarfall_runtime::{budget, http};
