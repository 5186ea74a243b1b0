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
        listen.distinct()
    }
}

impl Listen {
    /// Refuses two uses of one address.
    fn distinct(self) -> Result<Self, Problem> {
        let uses = [self.callers, self.operators, self.peers, self.metrics];
        let keys = [
            "listen.callers",
            "listen.operators",
            "listen.peers",
            "listen.metrics",
        ];
        for (index, address) in uses.iter().enumerate() {
            let twice = address.port() != 0 && uses[..index].contains(address);
            if twice {
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
