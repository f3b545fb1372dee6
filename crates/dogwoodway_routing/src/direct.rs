//! Routing without agents, by routers that reach the backend servers themselves.
//!
//! Without an agent beside each backend server, a router decides from what it knows itself: its own
//! requests in flight, the load that other routers report, and the platform's list of servers.
//! [`fleet::Fleet`] combines this state and chooses the server for each request; the other modules
//! are its parts. As in the rest of this crate, nothing does I/O and `now` is an argument.

pub mod admission;
pub mod cost;
pub mod distance;
pub mod feed;
pub mod fleet;
pub mod health;
pub mod kv_stores;
pub mod leadership;
pub mod link_slowdown;
pub mod load;
pub mod peers;
pub mod prompt;
pub mod retry;
pub mod rollout;
pub mod table;
pub mod token_lru;
