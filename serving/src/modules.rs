//! The functions of an entry, one module each.

pub mod admission;
pub mod callers;
pub mod calls;
pub mod claims;
pub mod declarations;
pub mod directory;
pub mod generation;
pub mod membership;
pub mod metrics;
pub mod moves;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod replication;
pub mod stops;
