//! Addresses that an entry listens on.

use std::net::SocketAddr;

use medlarfall_schema::settings as raw;

use super::value::{self, Problem};

/// Section `[listen]`; port 0 lets the operating system choose.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Callers' port (HTTP).
    pub callers: SocketAddr,
    /// Operators' port (gRPC).
    pub operators: SocketAddr,
    /// Peers' port (tarpc).
    pub peers: SocketAddr,
    /// Metrics and health port (HTTP).
    pub metrics: SocketAddr,
}

impl TryFrom<raw::Listen> for Listen {
    type Error = Problem;

    fn try_from(raw: raw::Listen) -> Result<Self, Problem> {
        let listen = Self {
            callers: value::address("listen.callers", raw.callers)?,
            operators: value::address("listen.operators", raw.operators)?,
            peers: value::address("listen.peers", raw.peers)?,
            metrics: value::address("listen.metrics", raw.metrics)?,
        };
        listen.check_distinct()
    }
}

impl Listen {
    /// Rejects an address that is used twice, unless its port is 0.
    fn check_distinct(self) -> Result<Self, Problem> {
        let addresses = [self.callers, self.operators, self.peers, self.metrics];
        let keys = [
            "listen.callers",
            "listen.operators",
            "listen.peers",
            "listen.metrics",
        ];
        for (index, address) in addresses.iter().enumerate() {
            let duplicate = address.port() != 0 && addresses[..index].contains(address);
            if duplicate {
                return Err(value::invalid(
                    keys[index],
                    &address,
                    "give each use a port of its own",
                ));
            }
        }
        Ok(self)
    }
}
