//! Load that routers put on one backend server.

use std::{
    net::SocketAddr,
    ops::{Add, Sub},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Requests in flight at one backend server, of one router or the sum over several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens that the server has to compute before all these requests have their first
    /// output.
    #[serde(rename = "unread_tokens")]
    pub pending_prefill_tokens: u64,
    /// Tokens of KV cache that the requests take.
    #[serde(rename = "held_tokens")]
    pub kv_tokens: u64,
}

impl Add for Load {
    type Output = Load;

    fn add(self, rhs: Load) -> Load {
        Load {
            running: self.running + rhs.running,
            pending_prefill_tokens: self.pending_prefill_tokens + rhs.pending_prefill_tokens,
            kv_tokens: self.kv_tokens + rhs.kv_tokens,
        }
    }
}

/// Subtracts field by field and saturates at zero.
impl Sub for Load {
    type Output = Load;

    fn sub(self, rhs: Load) -> Load {
        Load {
            running: self.running.saturating_sub(rhs.running),
            pending_prefill_tokens: self
                .pending_prefill_tokens
                .saturating_sub(rhs.pending_prefill_tokens),
            kv_tokens: self.kv_tokens.saturating_sub(rhs.kv_tokens),
        }
    }
}

/// Returns the identifier of the router at an address, under which other routers keep its load.
///
/// ```
/// use dogwoodway_routing::direct::load::router_id;
///
/// assert_ne!(router_id("10.0.0.1:7340".parse().unwrap()), router_id("10.0.0.2:7340".parse().unwrap()));
/// ```
pub fn router_id(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
