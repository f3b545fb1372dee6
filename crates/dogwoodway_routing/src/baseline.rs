//! Simpler placements to measure against; not part of the product.

use dogwoodway_types::PieceHash;

use crate::rendezvous::{self, Server, mix};

/// A placement to compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Any server.
    Random,
    /// One server after the other.
    RoundRobin,
    /// The server with the fewest requests.
    LeastLoaded,
    /// The first server in rendezvous order of the deepest shared level.
    Rendezvous,
    /// The server that holds most of the prompt by its cache events; the least loaded of equals.
    Index,
}

impl Baseline {
    /// Finds a baseline by its name.
    ///
    /// ```
    /// use dogwoodway_routing::baseline::Baseline;
    ///
    /// assert_eq!(Baseline::from_name("random"), Some(Baseline::Random));
    /// assert_eq!(Baseline::from_name("probe"), None);
    /// ```
    pub fn from_name(name: &str) -> Option<Baseline> {
        match name {
            "random" => Some(Baseline::Random),
            "round-robin" => Some(Baseline::RoundRobin),
            "least-loaded" => Some(Baseline::LeastLoaded),
            "rendezvous" => Some(Baseline::Rendezvous),
            "index" => Some(Baseline::Index),
            _ => None,
        }
    }

    /// Names the servers to ask, as indices into `servers`; `turn` counts the requests.
    pub fn probe_targets(
        self,
        key: PieceHash,
        servers: &[Server],
        seed: u64,
        turn: usize,
    ) -> Vec<usize> {
        if servers.is_empty() {
            return Vec::new();
        }
        match self {
            Baseline::Random => vec![(mix(seed) % servers.len() as u64) as usize],
            Baseline::RoundRobin => vec![turn % servers.len()],
            Baseline::Rendezvous => rendezvous::top_servers(key, servers, 1),
            Baseline::LeastLoaded | Baseline::Index => (0..servers.len()).collect(),
        }
    }

    /// Chooses by load and matched pieces.
    pub fn choose(self, loads: &[u32], matched: &[u32]) -> Option<usize> {
        (0..loads.len()).min_by_key(|&i| match self {
            Baseline::Index => (std::cmp::Reverse(matched[i]), loads[i]),
            _ => (std::cmp::Reverse(0), loads[i]),
        })
    }
}
