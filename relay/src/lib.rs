//! Relays opaque HTTP requests to the servers of services, under a configuration and a list of
//! servers that a store holds.
//!
//! A request goes through [`intake`] (route, account, body), is placed by
//! [`medlarfall_coordination::balance`], and is sent by [`attempt`]. [`call`] answers with a whole
//! response; [`stream`] hands on events as they come and goes on at another server when one is
//! lost, which [`monitor`] finds out. [`follow`] keeps [`state`] up to date from the store. What
//! the outside protocol calls things is decoded by a [`codec::Dialect`].

pub mod answer;
pub mod attempt;
pub mod backup;
pub mod broadcast;
pub mod call;
pub mod changelog;
pub mod codec;
pub mod daemon;
pub mod encoding;
pub mod events;
pub mod ingress;
pub mod internal_http;
pub mod listener;
pub mod metrics;
pub mod monitor;
pub mod moves;
pub mod prompt_cache;
pub mod rediscover;
pub mod state;
pub mod store_watch;
pub mod stream;
