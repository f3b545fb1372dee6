//! The lease that allows one agent at a time to send orders to the engine of a backend server.
//!
//! An agent claims the lease by appending a record to the log; the offset of the record is the
//! fencing token of the orders sent under the lease. The log has no clock, so each process measures
//! time by its own: the holder's lease runs from before it sent the claim, and a successor waits
//! from when it read its own claim back, which is later. Claims are appended only while an order is
//! needed.

use std::time::Duration;

use dogwoodway_types::{AgentIncarnation, BackendServerName, LogOffset, Timestamp};
use serde::{Deserialize, Serialize};

use crate::loading::SlotClaim;

/// Duration of a lease in milliseconds, measured from before its claim was sent.
pub const LEASE_DURATION_MS: u64 = 5_000;

/// Time in milliseconds that an agent waits after reading its own first claim back, until the
/// leases of all earlier holders have ended.
///
/// It exceeds [`LEASE_DURATION_MS`] by a margin for clocks that run at different speeds.
pub const TAKEOVER_WAIT_MS: u64 = 5_500;

/// Longest time from sending an order to its arrival, in milliseconds: the time limit of the call.
pub const ORDER_TRANSIT_MS: u64 = 1_000;

/// A claim of the lease on a backend server's engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerClaim {
    /// Identifies the append, so that the agent recognizes its record after a lost response.
    pub id: u64,
    /// Backend server whose engine is claimed.
    pub server: BackendServerName,
    /// Agent that makes the claim.
    pub incarnation: AgentIncarnation,
}

/// A record of the lease stream, in its serialized form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseRecord {
    /// Claims the lease on a backend server's engine.
    Server(ServerClaim),
    /// Claims or renews a loading slot.
    Slot(SlotClaim),
    /// Releases a loading slot.
    Release(SlotClaim),
}

/// Whether an engine rejects orders with an outdated fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFencing {
    /// The engine rejects them, so a new holder need not wait for earlier leases to end.
    Enforced,
    /// The engine executes any order, so a new holder waits for earlier leases to end.
    Ignored,
}

/// The reason why an agent must not send an order to its engine now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseError {
    /// The agent does not hold the lease, or the lease has ended; it has to append a claim.
    NotHeld,
    /// The lease of an earlier holder may still be valid, or the agent yields to another claimant.
    Waiting {
        /// Time at which the wait ends.
        until: Timestamp,
    },
}

/// The lease as confirmed by the latest own claim that was read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldLease {
    offset: LogOffset,
    ends_at: Timestamp,
    /// Time at which the leases of all earlier holders have ended.
    others_ended_at: Timestamp,
}

/// A claim that was sent and not read back yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingClaim {
    id: u64,
    /// End of the lease that the claim grants.
    ends_at: Timestamp,
}

/// One agent's view of the lease on its backend server's engine.
///
/// ```
/// use dogwoodway_control::lease::{EngineFencing, ServerLease};
/// use dogwoodway_types::{AgentIncarnation, BackendServerName, LogOffset, Timestamp};
///
/// let server = BackendServerName::try_from("worker-1").unwrap();
/// let mut lease = ServerLease::new(server, AgentIncarnation(1));
/// let claim = lease.new_claim(Timestamp::from_millis(1), 77);
/// lease.apply_claim(Timestamp::from_millis(3), LogOffset(9), &claim);
/// let token = lease.fencing_token(Timestamp::from_millis(4), EngineFencing::Enforced);
/// assert_eq!(token, Ok(LogOffset(9)));
/// ```
#[derive(Clone, Debug)]
pub struct ServerLease {
    server: BackendServerName,
    incarnation: AgentIncarnation,
    pending: Vec<PendingClaim>,
    held: Option<HeldLease>,
    /// Time until which the agent does not claim again, after another agent's claim interrupted its
    /// own.
    yield_until: Timestamp,
}

impl ServerLease {
    /// Creates the view of an agent that has not claimed the lease.
    pub fn new(server: BackendServerName, incarnation: AgentIncarnation) -> ServerLease {
        let (pending, held) = (Vec::new(), None);
        ServerLease { server, incarnation, pending, held, yield_until: Timestamp::default() }
    }

    /// Returns a claim to append to the log; must be called before the claim is sent. `id` must not
    /// have been used before.
    pub fn new_claim(&mut self, now: Timestamp, id: u64) -> ServerClaim {
        self.pending.retain(|pending| pending.ends_at > now);
        self.pending
            .push(PendingClaim { id, ends_at: now + Duration::from_millis(LEASE_DURATION_MS) });
        ServerClaim { id, server: self.server.clone(), incarnation: self.incarnation }
    }

    /// Returns whether a claim was sent that was not read back and whose lease has not ended.
    pub fn has_pending_claim(&self, now: Timestamp) -> bool {
        self.pending.iter().any(|pending| pending.ends_at > now)
    }

    /// Applies a claim read from the log; must be called for all claims in log order.
    pub fn apply_claim(&mut self, now: Timestamp, offset: LogOffset, claim: &ServerClaim) {
        if claim.server != self.server {
            return;
        }
        let own = self.pending.iter().position(|pending| pending.id == claim.id);
        let Some(own) = own.filter(|_| claim.incarnation == self.incarnation) else {
            if claim.incarnation != self.incarnation {
                self.yield_to_other(now);
            }
            return;
        };
        let ends_at = self.pending.swap_remove(own).ends_at;
        let others_ended_at = match self.held {
            Some(held) => held.others_ended_at,
            None => now + Duration::from_millis(TAKEOVER_WAIT_MS),
        };
        self.held = Some(HeldLease { offset, ends_at, others_ended_at });
    }

    /// Loses the lease and yields to the other claimant for long enough that it can take over and
    /// send an order. If both claimed again at once, neither would ever complete an uninterrupted
    /// run of claims.
    fn yield_to_other(&mut self, now: Timestamp) {
        if self.held.is_some() || !self.pending.is_empty() {
            self.yield_until = now + Duration::from_millis(TAKEOVER_WAIT_MS + LEASE_DURATION_MS);
        }
        self.held = None;
    }

    /// Drops the held lease, because records were lost before they were read or because the engine
    /// has seen a higher fencing token.
    pub fn invalidate(&mut self) {
        self.held = None;
    }

    /// Returns the fencing token for an order; must be called immediately before each order. The order
    /// must arrive within [`ORDER_TRANSIT_MS`].
    ///
    /// # Errors
    ///
    /// Fails if the agent must not send an order now.
    pub fn fencing_token(
        &self,
        now: Timestamp,
        fencing: EngineFencing,
    ) -> Result<LogOffset, LeaseError> {
        let Some(held) = self.held else {
            return match now < self.yield_until {
                true => Err(LeaseError::Waiting { until: self.yield_until }),
                false => Err(LeaseError::NotHeld),
            };
        };
        if fencing == EngineFencing::Ignored && now < held.others_ended_at {
            return Err(LeaseError::Waiting { until: held.others_ended_at });
        }
        // An engine that ignores fencing executes an order that arrives after the lease has ended.
        let arrives_by = match fencing {
            EngineFencing::Enforced => now,
            EngineFencing::Ignored => now + Duration::from_millis(ORDER_TRANSIT_MS),
        };
        match arrives_by < held.ends_at {
            true => Ok(held.offset),
            false => Err(LeaseError::NotHeld),
        }
    }
}
