//! Serves an agent to clients over TCP.

use std::{future::Future, net::SocketAddr, sync::Arc};

use dogwoodway_control::Snapshot;
use dogwoodway_types::{
    AgentIncarnation, AttemptId, Grant, GrantRequest, GrantRole, LogOffset, TeamName, Timestamp,
};
use futures::StreamExt;
use tarpc::{
    ClientMessage, Response,
    context::Context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};

use crate::{
    AgentApi, AgentDescription, FramesReply, PeerError, ProbeReply, ProbeRequest, SettleReply,
    StartReply, StartRequest,
};

/// Maximum size of an encoded message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Time in milliseconds that [`AgentApi::frames`] waits for a new frame before it returns none.
pub(crate) const FRAMES_WAIT_MS: u64 = 1_000;

/// [`AgentApi`] as a tarpc service. The names of calls and arguments are part of the protocol.
#[tarpc::service]
pub(crate) trait AgentRpc {
    /// See [`AgentApi::describe`].
    async fn describe() -> Result<AgentDescription, String>;
    /// See [`AgentApi::probe`].
    async fn probe(req: ProbeRequest) -> Result<ProbeReply, String>;
    /// See [`AgentApi::start`].
    async fn start(req: StartRequest) -> StartReply;
    /// See [`AgentApi::frames`].
    async fn frames(attempt: AttemptId, from: u64) -> FramesReply;
    /// See [`AgentApi::settle`].
    async fn settle(
        attempt: AttemptId,
        agent: AgentIncarnation,
        start_before: Timestamp,
    ) -> SettleReply;
    /// See [`AgentApi::grant`].
    async fn grant(team: TeamName, role: GrantRole, req: GrantRequest) -> Option<Grant>;
    /// See [`AgentApi::cancel`].
    async fn cancel(attempt: AttemptId);
    /// See [`AgentApi::notify_leaving`].
    async fn notify_leaving();
    /// See [`AgentApi::config`].
    async fn config(newer_than: LogOffset) -> Option<Snapshot>;
}

/// A listening socket on which an agent can be served.
pub struct AgentListener {
    incoming: Incoming,
}

type Incoming = tcp::Incoming<
    ClientMessage<AgentRpcRequest>,
    Response<AgentRpcResponse>,
    BincodeCodec,
    fn() -> BincodeCodec,
>;

type BincodeCodec = Bincode<ClientMessage<AgentRpcRequest>, Response<AgentRpcResponse>>;

impl AgentListener {
    /// Binds an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<AgentListener> {
        let codec: fn() -> BincodeCodec = Bincode::default;
        let mut incoming = tcp::listen(address, codec).await?;
        incoming.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
        Ok(AgentListener { incoming })
    }

    /// Returns the bound address, with the selected port.
    pub fn address(&self) -> SocketAddr {
        self.incoming.local_addr()
    }

    /// Accepts connections and passes their calls to an agent, until `shutdown` resolves.
    pub async fn serve<F>(mut self, agent: Arc<dyn AgentApi>, shutdown: F)
    where
        F: Future<Output = ()> + Send,
    {
        let mut shutdown = std::pin::pin!(shutdown);
        loop {
            let transport = tokio::select! {
                transport = self.incoming.next() => transport,
                () = &mut shutdown => return,
            };
            let transport = match transport {
                Some(Ok(transport)) => transport,
                Some(Err(e)) => {
                    let address = self.address();
                    log::warn!("accepting a connection on {address} failed: {e}");
                    continue;
                }
                None => return,
            };
            let _ = transport.get_ref().set_nodelay(true);
            let server = AgentServer { agent: agent.clone() };
            let calls = BaseChannel::with_defaults(transport).execute(server.serve());
            tokio::spawn(calls.for_each(|call| async move {
                tokio::spawn(call);
            }));
        }
    }
}

#[derive(Clone)]
struct AgentServer {
    agent: Arc<dyn AgentApi>,
}

impl AgentRpc for AgentServer {
    async fn describe(self, _: Context) -> Result<AgentDescription, String> {
        ready_or_reason(self.agent.describe().await)
    }

    async fn probe(self, _: Context, req: ProbeRequest) -> Result<ProbeReply, String> {
        ready_or_reason(self.agent.probe(req).await)
    }

    async fn start(self, _: Context, req: StartRequest) -> StartReply {
        unwrap_local(self.agent.start(req).await)
    }

    async fn frames(self, _: Context, attempt: AttemptId, from: u64) -> FramesReply {
        let wait = std::time::Duration::from_millis(FRAMES_WAIT_MS);
        match tokio::time::timeout(wait, self.agent.frames(attempt, from)).await {
            Ok(reply) => unwrap_local(reply),
            Err(_) => FramesReply::Frames { attempt, frames: Vec::new() },
        }
    }

    async fn settle(
        self,
        _: Context,
        attempt: AttemptId,
        agent: AgentIncarnation,
        start_before: Timestamp,
    ) -> SettleReply {
        unwrap_local(self.agent.settle(attempt, agent, start_before).await)
    }

    async fn grant(
        self,
        _: Context,
        team: TeamName,
        role: GrantRole,
        req: GrantRequest,
    ) -> Option<Grant> {
        unwrap_local(self.agent.grant(team, role, req).await)
    }

    async fn cancel(self, _: Context, attempt: AttemptId) {
        unwrap_local(self.agent.cancel(attempt).await);
    }

    async fn notify_leaving(self, _: Context) {
        unwrap_local(self.agent.notify_leaving().await);
    }

    async fn config(self, _: Context, newer_than: LogOffset) -> Option<Snapshot> {
        unwrap_local(self.agent.config(newer_than).await)
    }
}

/// Converts a result for the wire, where only [`PeerError::NotReady`] is passed on to the client.
fn ready_or_reason<T>(result: Result<T, PeerError>) -> Result<T, String> {
    match result {
        Err(PeerError::NotReady(reason)) => Err(reason),
        result => Ok(unwrap_local(result)),
    }
}

/// Unwraps the result of a call to the agent in this process, which fails only if its actor has
/// stopped.
fn unwrap_local<T>(result: Result<T, PeerError>) -> T {
    match result {
        Ok(value) => value,
        Err(e) => panic!("the actor of the served agent has stopped: {e}"),
    }
}
