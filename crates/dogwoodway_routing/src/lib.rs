//! Routing decisions without I/O: membership, placement, attempts, queueing and limits.
//!
//! Two kinds of processes use this crate. An *entry* accepts callers' requests and chooses a
//! backend server for each. An *agent* runs beside one backend server, queues the work for it and
//! reports on its state. [`direct`] is for routers that reach backend servers without agents.
//!
//! No function reads a clock; the current time is always an argument, so that tests control it.

pub mod answer_stream;
pub mod attempt;
pub mod body_budget;
pub mod body_progress;
pub mod kv_transfer;
#[cfg(feature = "baselines")]
pub mod baseline;
pub mod budget;
pub mod crash_attribution;
pub mod direct;
pub mod drain;
pub mod membership;
pub mod outlier;
pub mod part_blame;
pub mod placement;
pub mod prefill_rate;
pub mod prefix_index;
pub mod prefix_traffic;
pub mod process_limits;
pub mod quarantine;
pub mod queue;
pub mod rendezvous;
pub mod response_budget;
pub mod retry_budget;

/// The types that most users of this crate import.
pub mod prelude {
    pub use crate::{
        attempt::AttemptTable, prefill_rate::PrefillRate, prefix_index::PrefixIndex,
        prefix_traffic::PrefixTraffic, queue::WorkQueue,
    };
}
