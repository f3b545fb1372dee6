//! Routing by processes that reach the backend servers themselves.
//!
//! Where no agent stands beside a backend server, a router decides from what it sees itself: its
//! own requests in flight, the load that other routers tell, and the platform's list of servers.
//! [`fleet::Fleet`] holds that knowledge and answers where a request runs; the other modules are
//! its parts. The same rules hold as elsewhere in this crate: no I/O, and `now` is an argument.

pub mod admission;
pub mod cost;
pub mod distance;
pub mod feed;
pub mod fleet;
pub mod health;
pub mod kv_stores;
pub mod leadership;
pub mod link_pace;
pub mod load;
pub mod peers;
pub mod prompt;
pub mod retry;
pub mod rollout;
pub mod table;
pub mod token_lru;
