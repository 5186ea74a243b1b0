//! Relays opaque HTTP requests to the servers of services, under a configuration and a list of
//! servers that a store holds.
//!
//! A request goes through [`intake`] (route, account, body), is placed by
//! [`medlarfall_coordination::balance`], and is sent by [`attempt`]. [`call`] answers with a whole
//! response; [`stream`] hands on events as they come and goes on at another server when one is
//! lost, which [`monitor`] finds out. [`follow`] keeps [`state`] up to date from the store. What
//! the outside protocol calls things is decoded by a [`dialect::Dialect`].

pub mod answer;
pub mod attempt;
pub mod call;
pub mod copy;
pub mod daemon;
pub mod dialect;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod inner;
pub mod intake;
pub mod listener;
pub mod metrics;
pub mod mirror;
pub mod monitor;
pub mod moves;
pub mod packing;
pub mod prompt_cache;
pub mod rediscover;
pub mod state;
pub mod stream;
