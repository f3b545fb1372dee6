//! Messages with which an entry obtains a share of a team's budget from an agent.
//!
//! Grants are small and expire soon, so an entry that stops cannot hold back much of the budget.

use serde::{Deserialize, Serialize};

use crate::{EntryIncarnation, Timestamp};

/// Role of an agent that grants from a team's budget, by its position in the team's rendezvous
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantRole {
    /// The first agent, which owns the budget.
    Owner,
    /// The second agent, which grants a small share to entries that cannot reach the owner.
    Fallback,
}

/// A request for a grant, which also reports on earlier grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Entry that requests the grant.
    pub entry: EntryIncarnation,
    /// Tokens that the waiting request needs beyond what the entry has left.
    pub need: u64,
    /// Unused tokens of expired grants.
    pub returned: u64,
    /// Tokens used beyond the earlier grants.
    pub overdrawn: u64,
    /// Requests in flight at the entry, including the waiting one.
    pub in_flight: u32,
}

/// A share of a team's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Tokens that the entry may use; 0 if the need could not be met.
    pub tokens: u64,
    /// Requests that the entry may have in flight.
    pub in_flight: u32,
    /// Earliest time for the next request if the need was not met.
    pub retry_at: Timestamp,
}
