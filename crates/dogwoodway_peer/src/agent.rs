//! The interface that agents offer to entries and other processes.

use std::fmt;

use dogwoodway_control::Snapshot;
use dogwoodway_types::{
    AgentIncarnation, AttemptId, Grant, GrantRequest, GrantRole, LogOffset, TeamName, Timestamp,
};
use futures::{FutureExt, future::BoxFuture};

use crate::{
    AgentDescription, FramesReply, ProbeReply, ProbeRequest, SettleReply, StartReply, StartRequest,
};

/// Why a call to a peer got no usable reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The peer could not be connected to, so the call has not reached it.
    Unreachable(String),
    /// The call failed after it may have reached the peer.
    Lost(String),
    /// The peer has just started and cannot answer the call yet.
    NotReady(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::Unreachable(e) => write!(f, "the peer is unreachable: {e}"),
            PeerError::NotReady(e) => write!(f, "the peer is not ready: {e}"),
            PeerError::Lost(e) => {
                write!(f, "the peer's answer was lost: {e}")
            }
        }
    }
}

impl std::error::Error for PeerError {}

/// Result of a call to a peer.
pub type PeerResult<T> = Result<T, PeerError>;

/// Calls to an agent, from entries, other agents and the operator's commands.
pub trait AgentApi: Send + Sync {
    /// Gets the identity and state of the agent and its backend server.
    fn describe(&self) -> BoxFuture<'_, PeerResult<AgentDescription>>;

    /// Gets the agent's cached prefix, load and predicted wait for a prompt.
    fn probe(&self, req: ProbeRequest) -> BoxFuture<'_, PeerResult<ProbeReply>>;

    /// Starts an attempt, unless it was started or refused before.
    fn start(&self, req: StartRequest) -> BoxFuture<'_, PeerResult<StartReply>>;

    /// Returns the frames with a sequence number of at least `from`, waiting for the first of them.
    fn frames(&self, attempt: AttemptId, from: u64) -> BoxFuture<'_, PeerResult<FramesReply>>;

    /// Returns whether an attempt has started, and prevents it from starting if it has not.
    ///
    /// `agent` and `start_before` must be those of the attempt's [`StartRequest`].
    fn settle(
        &self,
        attempt: AttemptId,
        agent: AgentIncarnation,
        start_before: Timestamp,
    ) -> BoxFuture<'_, PeerResult<SettleReply>>;

    /// Requests a share of a team's budget; `None` if the agent's configuration does not contain
    /// the team.
    fn grant(
        &self,
        team: TeamName,
        role: GrantRole,
        req: GrantRequest,
    ) -> BoxFuture<'_, PeerResult<Option<Grant>>>;

    /// Cancels an attempt on an engine. Calls to plain services and attempts that claim an
    /// idempotency key are not interrupted once they are running.
    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, PeerResult<()>>;

    /// Notifies the agent that the platform lists its VM as leaving.
    fn notify_leaving(&self) -> BoxFuture<'_, PeerResult<()>>;

    /// Returns a snapshot of the agent's configuration if its packed
    /// [`Position`](dogwoodway_control::Position) is greater than `newer_than`.
    fn config(&self, newer_than: LogOffset) -> BoxFuture<'_, PeerResult<Option<Snapshot>>> {
        let _ = newer_than;
        async { Ok(None) }.boxed()
    }
}
