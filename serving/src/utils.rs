//! Utilities used by several modules.

pub mod cas;
pub mod mac;

pub use medlarfall_runtime::{budget, http};
