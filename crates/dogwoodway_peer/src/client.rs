//! Client side of [`AgentApi`].

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

/// Time for a grant; an entry asks while a caller waits.
const GRANT_TIMEOUT_MS: u64 = 200;

/// Calls that one connection carries at the same time.
const MAX_CALLS_IN_FLIGHT: usize = 4_096;

/// An agent at an address; connects on the first call and after each loss.
#[derive(Debug)]
pub struct TarpcAgent {
    address: SocketAddr,
    client: Mutex<Option<AgentRpcClient>>,
}

impl TarpcAgent {
    /// Builds a client without connecting.
    ///
    /// ```
    /// let _agent = dogwoodway_peer::TarpcAgent::new("127.0.0.1:7100".parse().unwrap());
    /// ```
    pub fn new(address: SocketAddr) -> TarpcAgent {
        TarpcAgent { address, client: Mutex::new(None) }
    }

    async fn client(&self) -> PeerResult<AgentRpcClient> {
        let mut slot = self.client.lock().await;
        if let Some(client) = slot.as_ref() {
            return Ok(client.clone());
        }
        let mut connect = tcp::connect(self.address, Bincode::default);
        connect.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let transport = match tokio::time::timeout(limit, connect).await {
            Ok(Ok(transport)) => transport,
            Ok(Err(e)) => return Err(PeerError::Unreachable(e.to_string())),
            Err(_) => return Err(PeerError::Unreachable("no connection in time".to_owned())),
        };
        let _ = transport.get_ref().set_nodelay(true);
        let mut cfg = tarpc::client::Config::default();
        cfg.max_in_flight_requests = MAX_CALLS_IN_FLIGHT;
        cfg.pending_request_buffer = MAX_CALLS_IN_FLIGHT;
        let client = AgentRpcClient::new(cfg, transport).spawn();
        *slot = Some(client.clone());
        Ok(client)
    }

    async fn checked<T>(&self, answer: Result<T, RpcError>) -> PeerResult<T> {
        match answer {
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
            let answer = self.client().await?.describe(call_context(CALL_TIMEOUT_MS)).await;
            self.checked(answer).await?.map_err(PeerError::NotReady)
        }
        .boxed()
    }

    fn probe(&self, req: ProbeRequest) -> BoxFuture<'_, PeerResult<ProbeReply>> {
        async move {
            let answer = self.client().await?.probe(call_context(CALL_TIMEOUT_MS), req).await;
            self.checked(answer).await?.map_err(PeerError::NotReady)
        }
        .boxed()
    }

    fn start(&self, req: StartRequest) -> BoxFuture<'_, PeerResult<StartReply>> {
        async move {
            let answer = self.client().await?.start(call_context(CALL_TIMEOUT_MS), req).await;
            self.checked(answer).await
        }
        .boxed()
    }

    fn frames(&self, attempt: AttemptId, from: u64) -> BoxFuture<'_, PeerResult<FramesReply>> {
        async move {
            let cx = call_context(FRAMES_WAIT_MS + CALL_TIMEOUT_MS);
            let answer = self.client().await?.frames(cx, attempt, from).await;
            self.checked(answer).await
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
            let answer = self.client().await?.settle(cx, attempt, agent, start_before).await;
            self.checked(answer).await
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
            let answer = self.client().await?.grant(cx, team, role, req).await;
            self.checked(answer).await
        }
        .boxed()
    }

    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, PeerResult<()>> {
        async move {
            let answer = self.client().await?.cancel(call_context(CALL_TIMEOUT_MS), attempt).await;
            self.checked(answer).await
        }
        .boxed()
    }

    fn notify_leaving(&self) -> BoxFuture<'_, PeerResult<()>> {
        async move {
            let answer = self.client().await?.notify_leaving(call_context(CALL_TIMEOUT_MS)).await;
            self.checked(answer).await
        }
        .boxed()
    }

    fn config(&self, newer_than: LogOffset) -> BoxFuture<'_, PeerResult<Option<Snapshot>>> {
        async move {
            let cx = call_context(CALL_TIMEOUT_MS);
            let answer = self.client().await?.config(cx, newer_than).await;
            self.checked(answer).await
        }
        .boxed()
    }
}

fn call_context(limit_ms: u64) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + Duration::from_millis(limit_ms);
    cx
}
