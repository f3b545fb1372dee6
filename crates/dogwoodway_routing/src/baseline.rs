//! Simple placement policies that the real one is compared with in measurements.
//!
//! They are compiled only with the feature `baselines` and are not meant for production.

use dogwoodway_types::PieceHash;

use crate::rendezvous::{self, Server, mix};

/// A placement policy to compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// A server chosen at random.
    Random,
    /// The servers in turn.
    RoundRobin,
    /// The server with the fewest requests.
    LeastLoaded,
    /// The first server in rendezvous order for the deepest shared prefix of the prompt.
    Rendezvous,
    /// The server that caches the longest prefix of the prompt according to its cache events; the
    /// least loaded one among equals.
    Index,
}

impl Baseline {
    /// Returns the baseline with the given name, as in the environment variable
    /// `DOGWOODWAY_PLACEMENT`.
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

    /// Returns the servers to probe, as indices into `servers`.
    ///
    /// `request_count` is the number of requests placed so far and drives the round robin.
    pub fn probe_targets(
        self,
        key: PieceHash,
        servers: &[Server],
        seed: u64,
        request_count: usize,
    ) -> Vec<usize> {
        if servers.is_empty() {
            return Vec::new();
        }
        match self {
            Baseline::Random => vec![(mix(seed) % servers.len() as u64) as usize],
            Baseline::RoundRobin => vec![request_count % servers.len()],
            Baseline::Rendezvous => rendezvous::top_servers(key, servers, 1),
            Baseline::LeastLoaded | Baseline::Index => (0..servers.len()).collect(),
        }
    }

    /// Returns the index of the chosen server among the probed ones, given their loads in requests
    /// and the numbers of prompt pieces that they have cached.
    pub fn choose(self, loads: &[u32], matched: &[u32]) -> Option<usize> {
        (0..loads.len()).min_by_key(|&i| match self {
            Baseline::Index => (std::cmp::Reverse(matched[i]), loads[i]),
            _ => (std::cmp::Reverse(0), loads[i]),
        })
    }
}
