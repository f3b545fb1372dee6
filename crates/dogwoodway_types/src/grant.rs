//! Grants of a team's budget, from an agent to an entry.

use serde::{Deserialize, Serialize};

use crate::{EntryIncarnation, Timestamp};

/// Which agent of a team's rendezvous order grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantRole {
    /// The owner of the whole budget.
    Owner,
    /// The second one, which gives a trickle to entries that are cut off from the owner.
    Fallback,
}

/// What an entry asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Who asks.
    pub entry: EntryIncarnation,
    /// Tokens needed now.
    pub need: u64,
    /// Tokens of earlier grants that were not used.
    pub returned: u64,
    /// Tokens used beyond earlier grants.
    pub overdrawn: u64,
    /// Requests in flight, the one that asks included.
    pub in_flight: u32,
}

/// What an entry gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Tokens that it may use.
    pub tokens: u64,
    /// Requests that it may have in flight.
    pub in_flight: u32,
    /// When to ask again, if the need is not met.
    pub retry_at: Timestamp,
}
