//! Routing by a router that reaches the backend servers itself.
//!
//! Where no agent runs next to a backend server, a router decides from what it knows itself: its
//! own requests in flight, the load that other routers report, and the platform's list of servers.
//! [`fleet::Fleet`] holds this knowledge and chooses where each request runs; the other modules are
//! its parts and the related decisions. As elsewhere in this crate, nothing does I/O and the
//! current time is an argument.

pub mod admission;
pub mod aggregation;
pub mod attribution;
pub mod arrival;
pub mod cost;
pub mod distance;
pub mod engine_memory;
pub mod fair_admission;
pub mod feed;
pub mod fleet;
pub mod health;
pub mod kv_stores;
pub mod leadership;
pub mod link_slowdown;
pub mod load;
pub mod own_records;
pub mod peers;
pub mod process_end;
pub mod prompt;
pub mod retry;
pub mod rollout;
pub mod sampling;
pub mod server_limit;
pub mod server_notice;
pub mod software;
pub mod software_survey;
pub mod store_era;
pub mod stream_origin;
pub mod table;
pub mod team_quota;
pub mod token_lru;
