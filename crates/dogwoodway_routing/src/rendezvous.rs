//! Weighted rendezvous hashing: all processes map a key to the same servers without coordination.

use dogwoodway_types::{BackendServerName, PieceHash};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a backend server's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// Hashes the name of a backend server.
    ///
    /// ```
    /// use dogwoodway_routing::rendezvous::ServerKey;
    /// use dogwoodway_types::BackendServerName;
    ///
    /// let name = BackendServerName::try_from("engine-1").unwrap();
    /// assert_eq!(ServerKey::new(&name), ServerKey::new(&name));
    /// ```
    pub fn new(name: &BackendServerName) -> ServerKey {
        ServerKey(xxh3_64(name.as_str().as_bytes()))
    }
}

/// A backend server as an input of the hashing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server {
    /// Hash of its name.
    pub key: ServerKey,
    /// Capacity relative to other servers, at least 1.
    pub weight: u32,
}

/// Returns the first `n` servers in the rendezvous order of a key, as indices into `servers`.
///
/// Each server is first for a share of the keys in proportion to its weight. When a server is
/// removed, only the keys for which it was first move.
///
/// ```
/// use dogwoodway_routing::rendezvous::{Server, ServerKey, top_servers};
/// use dogwoodway_types::PieceHash;
///
/// let servers = [1, 2, 3].map(|n| Server { key: ServerKey(n), weight: 1 });
/// let first = top_servers(PieceHash(7), &servers, 2);
/// assert_eq!(first.len(), 2);
/// assert_eq!(first, top_servers(PieceHash(7), &servers, 2));
/// ```
pub fn top_servers(key: PieceHash, servers: &[Server], n: usize) -> Vec<usize> {
    let mut best: Vec<(f64, usize)> = Vec::with_capacity(n + 1);
    for (i, server) in servers.iter().enumerate() {
        let cost = cost(key, *server);
        if best.len() == n && best.last().is_none_or(|(worst, _)| cost >= *worst) {
            continue;
        }
        let position = best.partition_point(|(other, _)| *other <= cost);
        best.insert(position, (cost, i));
        best.truncate(n);
    }
    best.into_iter().map(|(_, i)| i).collect()
}

/// Returns the cost of a server for a key; the rendezvous order of the key is by ascending cost.
///
/// Over all keys, the cost is exponentially distributed with the server's weight as the rate, which
/// makes each server the cheapest for its share of the keys.
pub fn cost(key: PieceHash, server: Server) -> f64 {
    let folded = key.0 as u64 ^ (key.0 >> 64) as u64;
    let mixed = mix(folded ^ mix(server.key.0));
    let uniform = ((mixed >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(server.weight.max(1))
}

/// Mixes 64 bits bijectively, so that each input bit affects about half of the output bits.
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
