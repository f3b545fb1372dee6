//! Admits requests within the limits of their teams and charges the tokens that they use.

use std::{sync::Arc, time::Duration};

use dogwoodway_caller::{AnswerEvent, CallerRequest, CallerWork};
use dogwoodway_peer::AgentApi;
use dogwoodway_routing::rendezvous::{self, Server};
use dogwoodway_types::{
    Grant, GrantRequest, GrantRole, NotRunReason, Outcome, PieceHash, TeamName, Timestamp, Usage,
    estimate_tokens,
};
use kameo::error::SendError;
use tokio::{sync::mpsc, task::JoinHandle};

use crate::{
    entry::{
        agent_registry::ListAgents,
        dispatch::{ANSWER_CHANNEL_CAPACITY, Inner},
        team_limits::{FinishGrantRequest, RequestUsage, Reservation, Reserve, SettleUsage},
    },
    metrics_server,
};

/// Time after which a refused caller may retry, if no grant stated one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time limit in milliseconds for one call to an agent for a grant.
const GRANT_TIMEOUT_MS: u64 = 200;

/// Maximum number of grants that are requested to admit one request.
const MAX_GRANT_REQUESTS: u32 = 16;

impl Inner {
    /// Runs a request within the limits of its team and returns its outcome.
    pub(super) async fn serve_within_limits(
        &self,
        req: CallerRequest,
        tx: mpsc::Sender<AnswerEvent>,
    ) -> Outcome {
        let team = req.team.clone();
        let reservation = match self.admit(&req).await {
            Ok(reservation) => reservation,
            Err(retry_at) => {
                let reason = NotRunReason::TeamLimit;
                return Outcome::NotRun { reason, retry_at: Some(retry_at) };
            }
        };
        let (metered_tx, usage) = meter_usage(tx);
        let outcome = self.serve(req, metered_tx).await;
        let usage = usage.await.unwrap_or_default();
        let request_usage = match (&outcome, usage) {
            (_, Some(usage)) => RequestUsage::Counted(usage),
            (Outcome::NotRun { .. }, None) => RequestUsage::NotRun,
            (_, None) => RequestUsage::Unknown,
        };
        if let Some(usage) = usage {
            record_tokens(&team, usage);
        }
        let _ =
            self.team_limits.tell(SettleUsage { team, reservation, usage: request_usage }).await;
        outcome
    }

    /// Reserves what the request is expected to use; fails with the earliest time for a retry.
    async fn admit(&self, req: &CallerRequest) -> Result<Reservation, Timestamp> {
        let (prompt_tokens, max_tokens) = match &req.work {
            CallerWork::Service(_) => (0, 0),
            CallerWork::Chat { messages, max_tokens, .. } => {
                let tokens = messages.iter().map(|msg| estimate_tokens(msg.content.len()));
                (tokens.sum(), *max_tokens)
            }
        };
        let reserve = || Reserve { team: req.team.clone(), prompt_tokens, max_tokens };
        let mut retry_at = Timestamp::now() + DEFAULT_RETRY_AFTER;
        for _ in 0..MAX_GRANT_REQUESTS {
            let grant_req = match self.team_limits.ask(reserve()).await {
                Ok(reservation) => return Ok(reservation),
                Err(SendError::HandlerError(grant_req)) => grant_req,
                Err(_) => return Err(retry_at),
            };
            let Some(grant) = self.request_grant(&req.team, grant_req).await else { break };
            retry_at = grant.retry_at;
            if grant.tokens < grant_req.need || grant.in_flight < grant_req.in_flight {
                break;
            }
            // Try again: concurrent requests may already have used the grant.
        }
        match self.team_limits.ask(reserve()).await {
            Ok(reservation) => Ok(reservation),
            Err(SendError::HandlerError(grant_req)) => {
                // This grant request is not sent, so the tokens that it carries are restored.
                let (team, requested_at) = (req.team.clone(), Timestamp::now());
                let _ = self
                    .team_limits
                    .tell(FinishGrantRequest { team, requested_at, req: grant_req, grant: None })
                    .await;
                Err(retry_at)
            }
            Err(_) => Err(retry_at),
        }
    }

    /// Requests a grant from the owner of a team's budget, or from the fallback if the owner does
    /// not grant one in time.
    async fn request_grant(&self, name: &TeamName, req: GrantRequest) -> Option<Grant> {
        let requested_at = Timestamp::now();
        let agents = self.agents.ask(ListAgents).await.unwrap_or_default();
        let servers: Vec<_> =
            agents.iter().map(|(key, _)| Server { key: *key, weight: 1 }).collect();
        let order = rendezvous::top_servers(rendezvous_key(name), &servers, 2);
        let roles = [GrantRole::Owner, GrantRole::Fallback];
        let mut grant = None;
        for (i, role) in order.into_iter().zip(roles) {
            let client: &Arc<dyn AgentApi> = &agents[i].1;
            let limit = Duration::from_millis(GRANT_TIMEOUT_MS);
            let reply = tokio::time::timeout(limit, client.grant(name.clone(), role, req)).await;
            if let Ok(Ok(Some(granted))) = reply {
                grant = Some(granted);
                break;
            }
        }
        let _ = self
            .team_limits
            .tell(FinishGrantRequest { team: name.clone(), requested_at, req, grant })
            .await;
        grant
    }
}

fn rendezvous_key(team: &TeamName) -> PieceHash {
    let hash = blake3::hash(team.as_str().as_bytes());
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.as_bytes()[..16]);
    PieceHash(u128::from_le_bytes(bytes))
}

/// Returns a channel whose events are relayed to `tx`, and the task that relays them.
///
/// The task returns the usage that the engine counted, `None` if the answer did not complete.
fn meter_usage(
    tx: mpsc::Sender<AnswerEvent>,
) -> (mpsc::Sender<AnswerEvent>, JoinHandle<Option<Usage>>) {
    let (metered_tx, mut events) = mpsc::channel(ANSWER_CHANNEL_CAPACITY);
    let relay = tokio::spawn(async move {
        let mut counted = None;
        loop {
            let event = tokio::select! {
                event = events.recv() => event,
                () = tx.closed() => return counted,
            };
            let Some(event) = event else { return counted };
            if let AnswerEvent::End { usage, .. } = &event {
                counted = Some(*usage);
            }
            if tx.send(event).await.is_err() {
                return counted;
            }
        }
    });
    (metered_tx, relay)
}

/// Adds the tokens of a request to the metrics of its team.
fn record_tokens(team: &TeamName, usage: Usage) {
    let uncached = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
    let kinds = [
        ("computed", uncached),
        ("cached", usage.cached_tokens),
        ("generated", usage.completion_tokens),
    ];
    for (kind, tokens) in kinds {
        let labels = [("team", team.to_string()), ("kind", kind.to_owned())];
        metrics::counter!(metrics_server::TEAM_TOKENS, &labels).increment(u64::from(tokens));
    }
}
