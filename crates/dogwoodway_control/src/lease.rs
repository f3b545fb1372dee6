//! The lease under which one agent orders its engine.
//!
//! A claim is a record on the log; its offset is the fencing number of the orders given under it.
//! The log has no clock, so each process measures with its own: a holder counts from before it
//! sent the claim, and a successor from when it read its own claim back, which is later. Claims
//! are appended only while an order is needed.

use std::time::Duration;

use dogwoodway_types::{AgentIncarnation, BackendServerName, LogOffset, Timestamp};
use serde::{Deserialize, Serialize};

use crate::loading::SlotClaim;

/// Length of a lease, from before its claim was sent.
pub const LEASE_DURATION_MS: u64 = 5_000;

/// Time from reading back the own first claim until all earlier leases of others have ended, with a
/// margin for clocks that run at different speeds.
pub const TAKEOVER_WAIT_MS: u64 = 5_500;

/// A claim to be the only one that orders the engine of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerClaim {
    /// Identifies the append, so that its record can be found after a lost answer.
    pub id: u64,
    /// The backend server.
    pub server: BackendServerName,
    /// The agent that claims it.
    pub incarnation: AgentIncarnation,
}

/// A record of the stream of leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseRecord {
    /// Claims a backend server.
    Server(ServerClaim),
    /// Claims a loading slot, or renews it.
    Slot(SlotClaim),
    /// Gives a loading slot back.
    Release(SlotClaim),
}

/// Whether an engine refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFencing {
    /// It refuses them; nobody has to wait for an older lease to end.
    Enforced,
    /// It executes any order.
    Ignored,
}

/// The reason why an agent must not order its engine now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseError {
    /// It holds no lease, or its lease has ended: a claim is needed.
    NotHeld,
    /// An earlier holder's lease may last until then.
    Waiting {
        /// When it has ended.
        until: Timestamp,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    offset: LogOffset,
    ends_at: Timestamp,
    quiet_at: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pending {
    id: u64,
    ends_at: Timestamp,
}

/// What one agent knows of the lease on its backend server.
///
/// ```
/// use dogwoodway_control::lease::{EngineFencing, ServerLease};
/// use dogwoodway_types::{AgentIncarnation, BackendServerName, LogOffset, Timestamp};
///
/// let server = BackendServerName::try_from("worker-1").unwrap();
/// let mut lease = ServerLease::new(server, AgentIncarnation(1));
/// let claim = lease.new_claim(Timestamp::from_millis(1), 77);
/// lease.apply_claim(Timestamp::from_millis(3), LogOffset(9), &claim);
/// let number = lease.fencing_token(Timestamp::from_millis(4), EngineFencing::Enforced);
/// assert_eq!(number, Ok(LogOffset(9)));
/// ```
#[derive(Clone, Debug)]
pub struct ServerLease {
    server: BackendServerName,
    incarnation: AgentIncarnation,
    pending: Vec<Pending>,
    held: Option<Held>,
    yield_until: Timestamp,
}

impl ServerLease {
    /// Builds the state of an agent that has claimed nothing.
    pub fn new(server: BackendServerName, incarnation: AgentIncarnation) -> ServerLease {
        let (pending, held) = (Vec::new(), None);
        ServerLease { server, incarnation, pending, held, yield_until: Timestamp::default() }
    }

    /// Returns a claim to be appended; to be called before it is sent. `id` must be new.
    pub fn new_claim(&mut self, now: Timestamp, id: u64) -> ServerClaim {
        self.pending.retain(|pending| pending.ends_at > now);
        self.pending.push(Pending { id, ends_at: now + Duration::from_millis(LEASE_DURATION_MS) });
        ServerClaim { id, server: self.server.clone(), incarnation: self.incarnation }
    }

    /// Tells whether a claim was sent and not read back yet.
    pub fn has_pending_claim(&self, now: Timestamp) -> bool {
        self.pending.iter().any(|pending| pending.ends_at > now)
    }

    /// Takes in a claim read from the log; to be called for all claims in the log's order.
    pub fn apply_claim(&mut self, now: Timestamp, offset: LogOffset, claim: &ServerClaim) {
        if claim.server != self.server {
            return;
        }
        let own = self.pending.iter().position(|pending| pending.id == claim.id);
        let Some(own) = own.filter(|_| claim.incarnation == self.incarnation) else {
            if claim.incarnation != self.incarnation {
                self.see_other(now);
            }
            return;
        };
        let ends_at = self.pending.swap_remove(own).ends_at;
        let quiet_at = match self.held {
            Some(held) => held.quiet_at,
            None => now + Duration::from_millis(TAKEOVER_WAIT_MS),
        };
        self.held = Some(Held { offset, ends_at, quiet_at });
    }

    /// Loses the lease, and yields to the other for long enough to take over and to order: if both
    /// claimed again at once, neither would ever have an unbroken run of claims.
    fn see_other(&mut self, now: Timestamp) {
        if self.held.is_some() || !self.pending.is_empty() {
            self.yield_until = now + Duration::from_millis(TAKEOVER_WAIT_MS + LEASE_DURATION_MS);
        }
        self.held = None;
    }

    /// Gives up the lease: records were lost before they were read, or the engine has seen a
    /// higher fencing number.
    pub fn invalidate(&mut self) {
        self.held = None;
    }

    /// Returns the fencing number to order with. To be asked immediately before each order.
    ///
    /// # Errors
    ///
    /// Fails if the agent must not order now.
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
        if fencing == EngineFencing::Ignored && now < held.quiet_at {
            return Err(LeaseError::Waiting { until: held.quiet_at });
        }
        match now < held.ends_at {
            true => Ok(held.offset),
            false => Err(LeaseError::NotHeld),
        }
    }
}
