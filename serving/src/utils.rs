//! Helpers that several modules share.

pub mod cas;
pub mod mac;

pub use medlarfall_runtime::{budget, http};
