//! What the programs of medlarfall share: the embedded cluster, the demo and the client side of
//! the callers' and operators' ports.

pub mod bench;
pub mod caller;
pub mod cluster;
pub mod commands;
pub mod demo;
pub mod operator;
