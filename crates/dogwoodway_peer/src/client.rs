//! Client of an agent over TCP.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use dogwoodway_control::Snapshot;
use dogwoodway_types::{
    AgentIncarnation, AttemptId, Grant, GrantRequest, GrantRole, LogOffset, TeamName, Timestamp,
};
use futures::{FutureExt, future::BoxFuture};
use tarpc::{client::RpcError, context, serde_transport::tcp, tokio_serde::formats::Bincode};
use tokio::sync::Mutex;

use crate::{
    AgentApi, AgentDescription, FramesReply, PeerError, ProbeReply, ProbeRequest, SettleReply,
    StartReply, StartRequest,
    agent::PeerResult,
    server::{AgentRpcClient, FRAMES_WAIT_MS, MAX_MESSAGE_BYTES},
};

const CONNECT_TIMEOUT_MS: u64 = 500;

const CALL_TIMEOUT_MS: u64 = 1_000;

/// Time limit of a grant request, short because a caller waits for it.
const GRANT_TIMEOUT_MS: u64 = 200;

/// Maximum number of concurrent calls on one connection.
const MAX_CALLS_IN_FLIGHT: usize = 4_096;

/// Client of the agent at an address. Connects on the first call and again after a failed one.
#[derive(Debug)]
pub struct TarpcAgent {
    address: SocketAddr,
    client: Mutex<Option<AgentRpcClient>>,
}

impl TarpcAgent {
    /// Creates a client without connecting.
    ///
    /// ```
    /// let _agent = dogwoodway_peer::TarpcAgent::new("127.0.0.1:7100".parse().unwrap());
    /// ```
    pub fn new(address: SocketAddr) -> TarpcAgent {
        TarpcAgent { address, client: Mutex::new(None) }
    }

    async fn client(&self) -> PeerResult<AgentRpcClient> {
        let mut connection = self.client.lock().await;
        if let Some(client) = connection.as_ref() {
            return Ok(client.clone());
        }
        let mut connect = tcp::connect(self.address, Bincode::default);
        connect.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let transport = match tokio::time::timeout(timeout, connect).await {
            Ok(Ok(transport)) => transport,
            Ok(Err(e)) => return Err(PeerError::Unreachable(e.to_string())),
            Err(_) => return Err(PeerError::Unreachable("no connection in time".to_owned())),
        };
        let _ = transport.get_ref().set_nodelay(true);
        let mut cfg = tarpc::client::Config::default();
        cfg.max_in_flight_requests = MAX_CALLS_IN_FLIGHT;
        cfg.pending_request_buffer = MAX_CALLS_IN_FLIGHT;
        let client = AgentRpcClient::new(cfg, transport).spawn();
        *connection = Some(client.clone());
        Ok(client)
    }

    /// Drops the connection if a call on it has failed, so that the next call reconnects.
    async fn reset_on_error<T>(&self, result: Result<T, RpcError>) -> PeerResult<T> {
        match result {
            Ok(value) => Ok(value),
            Err(e) => {
                *self.client.lock().await = None;
                Err(PeerError::Lost(e.to_string()))
            }
        }
    }
}

impl AgentApi for TarpcAgent {
    fn describe(&self) -> BoxFuture<'_, PeerResult<AgentDescription>> {
        async move {
            let result = self.client().await?.describe(call_context(CALL_TIMEOUT_MS)).await;
            self.reset_on_error(result).await?.map_err(PeerError::NotReady)
        }
        .boxed()
    }

    fn probe(&self, req: ProbeRequest) -> BoxFuture<'_, PeerResult<ProbeReply>> {
        async move {
            let result = self.client().await?.probe(call_context(CALL_TIMEOUT_MS), req).await;
            self.reset_on_error(result).await?.map_err(PeerError::NotReady)
        }
        .boxed()
    }

    fn start(&self, req: StartRequest) -> BoxFuture<'_, PeerResult<StartReply>> {
        async move {
            let result = self.client().await?.start(call_context(CALL_TIMEOUT_MS), req).await;
            self.reset_on_error(result).await
        }
        .boxed()
    }

    fn frames(&self, attempt: AttemptId, from: u64) -> BoxFuture<'_, PeerResult<FramesReply>> {
        async move {
            let cx = call_context(FRAMES_WAIT_MS + CALL_TIMEOUT_MS);
            let result = self.client().await?.frames(cx, attempt, from).await;
            self.reset_on_error(result).await
        }
        .boxed()
    }

    fn settle(
        &self,
        attempt: AttemptId,
        agent: AgentIncarnation,
        start_before: Timestamp,
    ) -> BoxFuture<'_, PeerResult<SettleReply>> {
        async move {
            let cx = call_context(CALL_TIMEOUT_MS);
            let result = self.client().await?.settle(cx, attempt, agent, start_before).await;
            self.reset_on_error(result).await
        }
        .boxed()
    }

    fn grant(
        &self,
        team: TeamName,
        role: GrantRole,
        req: GrantRequest,
    ) -> BoxFuture<'_, PeerResult<Option<Grant>>> {
        async move {
            let cx = call_context(GRANT_TIMEOUT_MS);
            let result = self.client().await?.grant(cx, team, role, req).await;
            self.reset_on_error(result).await
        }
        .boxed()
    }

    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, PeerResult<()>> {
        async move {
            let result = self.client().await?.cancel(call_context(CALL_TIMEOUT_MS), attempt).await;
            self.reset_on_error(result).await
        }
        .boxed()
    }

    fn notify_leaving(&self) -> BoxFuture<'_, PeerResult<()>> {
        async move {
            let result = self.client().await?.notify_leaving(call_context(CALL_TIMEOUT_MS)).await;
            self.reset_on_error(result).await
        }
        .boxed()
    }

    fn config(&self, newer_than: LogOffset) -> BoxFuture<'_, PeerResult<Option<Snapshot>>> {
        async move {
            let cx = call_context(CALL_TIMEOUT_MS);
            let result = self.client().await?.config(cx, newer_than).await;
            self.reset_on_error(result).await
        }
        .boxed()
    }
}

fn call_context(timeout_ms: u64) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    cx
}
