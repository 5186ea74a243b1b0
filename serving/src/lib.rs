//! The front tier of medlarfall: entries accept requests from callers and forward them to backend
//! servers.
//!
//! This crate holds the tasks that own sockets and shared state; the protocol decisions are made by
//! the state machines of `medlarfall-coordination`. [`entry::start`] runs a complete entry; the
//! daemon is a thin wrapper around it.

pub mod backend;
pub mod configs;
pub mod context;
pub mod entry;
pub mod modules;
pub mod platform;
pub mod telemetry;
pub mod utils;

pub use medlarfall_runtime::clock;
