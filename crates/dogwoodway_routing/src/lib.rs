//! Pure routing decisions: membership, placement, attempts, queueing, limits.
//!
//! Nothing here does I/O or reads a clock; the current time is an argument.

pub mod answer_stream;
pub mod attempt;
pub mod kv_transfer;
#[cfg(feature = "baselines")]
pub mod baseline;
pub mod budget;
pub mod direct;
pub mod prefix_traffic;
pub mod membership;
pub mod outlier;
pub mod placement;
pub mod prefix_index;
pub mod quarantine;
pub mod queue;
pub mod prefill_rate;
pub mod rendezvous;
pub mod retry_budget;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::{
        attempt::AttemptTable, prefill_rate::PrefillRate, prefix_index::PrefixIndex,
        prefix_traffic::PrefixTraffic, queue::WorkQueue,
    };
}
