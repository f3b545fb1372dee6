//! Work that routers have given to one backend server.

use std::{
    net::SocketAddr,
    ops::{Add, Sub},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Requests in flight at one backend server, as one router or several see them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens that the server has to compute before it has answered all with a first event.
    pub unread_tokens: u64,
    /// Tokens of KV cache that the requests take.
    pub held_tokens: u64,
}

impl Add for Load {
    type Output = Load;

    fn add(self, rhs: Load) -> Load {
        Load {
            running: self.running + rhs.running,
            unread_tokens: self.unread_tokens + rhs.unread_tokens,
            held_tokens: self.held_tokens + rhs.held_tokens,
        }
    }
}

/// The load without `rhs`, at least nothing.
impl Sub for Load {
    type Output = Load;

    fn sub(self, rhs: Load) -> Load {
        Load {
            running: self.running.saturating_sub(rhs.running),
            unread_tokens: self.unread_tokens.saturating_sub(rhs.unread_tokens),
            held_tokens: self.held_tokens.saturating_sub(rhs.held_tokens),
        }
    }
}

/// Returns the number by which the load of the router at an address is told apart from others'.
///
/// ```
/// use dogwoodway_routing::direct::load::router_id;
///
/// assert_ne!(router_id("10.0.0.1:7340".parse().unwrap()), router_id("10.0.0.2:7340".parse().unwrap()));
/// ```
pub fn router_id(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
