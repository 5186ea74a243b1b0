//! Addresses of the other entries, and of this one for them.

use std::net::SocketAddr;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Section `[peers]`.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Addresses of other entries' peers' ports, which this entry contacts to join them.
    pub seeds: Vec<SocketAddr>,
    /// Address at which peers reach this entry, if it differs from the one it listens on.
    pub advertise: Option<SocketAddr>,
}

impl TryFrom<raw::Peers> for Peers {
    type Error = Problem;

    fn try_from(raw: raw::Peers) -> Result<Self, Problem> {
        let seeds = raw
            .seeds
            .into_iter()
            .map(|seed| value::address("peers.seeds", Some(seed)));
        let advertise = raw
            .advertise
            .map(|address| value::address("peers.advertise", Some(address)));
        Ok(Self {
            seeds: seeds.collect::<Result<_, _>>()?,
            advertise: advertise.transpose()?,
        })
    }
}
