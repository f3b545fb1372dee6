//! The border trait of an agent.

use std::fmt;

use dogwoodway_control::Snapshot;
use dogwoodway_types::{
    AgentIncarnation, AttemptId, Grant, GrantRequest, GrantRole, LogOffset, TeamName, Timestamp,
};
use futures::{FutureExt, future::BoxFuture};

use crate::{
    AgentDescription, FramesReply, ProbeReply, ProbeRequest, SettleReply, StartReply, StartRequest,
};

/// The reason why a call to a peer has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The call never reached the peer.
    Unreachable(String),
    /// The call may have reached the peer.
    Lost(String),
    /// The peer answered that it cannot tell yet.
    NotReady(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::Unreachable(e) => write!(f, "the peer is unreachable: {e}"),
            PeerError::NotReady(e) => write!(f, "the peer is not ready: {e}"),
            PeerError::Lost(e) => write!(f, "the peer's answer was lost: {e}"),
        }
    }
}

impl std::error::Error for PeerError {}

/// Answer of a call to a peer.
pub type PeerResult<T> = Result<T, PeerError>;

/// What an agent does for entries.
pub trait AgentApi: Send + Sync {
    /// Asks the agent to describe itself.
    fn describe(&self) -> BoxFuture<'_, PeerResult<AgentDescription>>;

    /// Asks how the agent would serve a prompt.
    fn probe(&self, req: ProbeRequest) -> BoxFuture<'_, PeerResult<ProbeReply>>;

    /// Starts an attempt.
    fn start(&self, req: StartRequest) -> BoxFuture<'_, PeerResult<StartReply>>;

    /// Waits for frames with a sequence number of at least `from`.
    fn frames(&self, attempt: AttemptId, from: u64) -> BoxFuture<'_, PeerResult<FramesReply>>;

    /// Asks what became of an attempt; if it has not started, it never will. `start_before` is
    /// the one of the attempt's [`StartRequest`].
    fn settle(
        &self,
        attempt: AttemptId,
        agent: AgentIncarnation,
        start_before: Timestamp,
    ) -> BoxFuture<'_, PeerResult<SettleReply>>;

    /// Asks for a share of a team's budget; `None` if the agent does not know the team.
    fn grant(
        &self,
        team: TeamName,
        role: GrantRole,
        req: GrantRequest,
    ) -> BoxFuture<'_, PeerResult<Option<Grant>>>;

    /// Cancels an attempt.
    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, PeerResult<()>>;

    /// Tells the agent that the platform lists its VM as leaving.
    fn notify_leaving(&self) -> BoxFuture<'_, PeerResult<()>>;

    /// Asks for the configuration that the agent holds, if its state is newer than a position.
    fn config(&self, newer_than: LogOffset) -> BoxFuture<'_, PeerResult<Option<Snapshot>>> {
        let _ = newer_than;
        async { Ok(None) }.boxed()
    }
}
