//! The other entries.

use std::net::SocketAddr;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Section `[peers]`.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Peers' ports at which other entries may be found.
    pub seeds: Vec<SocketAddr>,
    /// Address at which the others reach this entry, if it is not the one it listens on.
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
