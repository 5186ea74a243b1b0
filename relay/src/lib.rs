//! Relays opaque HTTP requests to the servers of services, according to a configuration and a list
//! of servers in a store.
//!
//! [`ingress`] receives a request, finds its route and account and reads its body.
//! [`state::Relay::choose`] places it with [`medlarfall_coordination::balance`], and [`attempt`]
//! sends it. [`call`] returns a whole response; [`stream`] forwards events as they arrive and
//! resumes at another server when [`monitor`] reports one lost. [`store_watch`] keeps [`state`] up
//! to date from the store, and [`broadcast`] shares it with the other entries as
//! [`medlarfall_coordination::dissemination`] decides. [`quarantine`] records the prompts that crash
//! servers in the store. A [`codec::Codec`] translates the outside protocol.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod autoscaling;
pub mod backup;
pub mod broadcast;
pub mod call;
pub mod catch_up;
pub mod changelog;
pub mod codec;
pub mod daemon;
pub mod datagram;
pub mod duty;
pub mod encoding;
pub mod events;
pub mod ingress;
pub mod internal_http;
pub mod lapses;
pub mod listener;
pub mod metrics;
pub mod monitor;
pub mod moves;
pub mod peer_updates;
pub mod prompt_cache;
pub mod quarantine;
pub mod rediscover;
pub mod registration;
pub mod state;
pub mod store_watch;
pub mod stream;
pub mod supervisor;
pub mod usage;
