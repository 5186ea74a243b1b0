//! Library of the medlarfall programs: the embedded cluster, the demo, the benchmarks, the
//! subcommands and the clients of the callers' and operators' ports.

pub mod bench;
pub mod caller;
pub mod cluster;
pub mod commands;
pub mod demo;
pub mod operator;
