//! Admits requests within the limits of their teams and meters what they use.

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
        dispatch::{ANSWER_EVENTS, Core},
        limits::{Receive, Reservation, SettleUsage, Spent, Take},
        router::ListAgents,
    },
    metrics_server,
};

/// Time after which a refused caller may come back when no agent told one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which an agent that does not answer is passed over.
const GRANT_TIMEOUT_MS: u64 = 200;

/// Grants that are asked for on behalf of one request.
const MAX_GRANTS: u32 = 16;

impl Core {
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
        let (metered, usage) = meter(tx);
        let outcome = self.serve(req, metered).await;
        let usage = usage.await.unwrap_or_default();
        let spent = match (&outcome, usage) {
            (_, Some(usage)) => Spent::Counted(usage),
            (Outcome::NotRun { .. }, None) => Spent::Nothing,
            (_, None) => Spent::Unknown,
        };
        if let Some(usage) = usage {
            count(&team, usage);
        }
        let _ = self.limits.tell(SettleUsage { team, reservation, spent }).await;
        outcome
    }

    /// Takes a reservation, or tells when to come back.
    async fn admit(&self, req: &CallerRequest) -> Result<Reservation, Timestamp> {
        let (prompt_tokens, max_tokens) = match &req.work {
            CallerWork::Service(_) => (0, 0),
            CallerWork::Chat { messages, max_tokens, .. } => {
                let tokens = messages.iter().map(|msg| estimate_tokens(msg.content.len()));
                (tokens.sum(), *max_tokens)
            }
        };
        let take = || Take { team: req.team.clone(), prompt_tokens, max_tokens };
        let mut retry_at = Timestamp::now() + RETRY_AFTER;
        for _ in 0..MAX_GRANTS {
            let ask = match self.limits.ask(take()).await {
                Ok(reservation) => return Ok(reservation),
                Err(SendError::HandlerError(ask)) => ask,
                Err(_) => return Err(retry_at),
            };
            let Some(grant) = self.ask_for_grant(&req.team, ask).await else { break };
            retry_at = grant.retry_at;
            if grant.tokens < ask.need || grant.in_flight < ask.in_flight {
                break;
            }
            // What was granted may have gone to requests that arrived at the same time.
        }
        match self.limits.ask(take()).await {
            Ok(reservation) => Ok(reservation),
            Err(SendError::HandlerError(ask)) => {
                let (team, asked_at) = (req.team.clone(), Timestamp::now());
                let _ = self.limits.tell(Receive { team, asked_at, req: ask, grant: None }).await;
                Err(retry_at)
            }
            Err(_) => Err(retry_at),
        }
    }

    /// Asks the owner of a team's budget for a grant, and the fallback if it does not answer.
    async fn ask_for_grant(&self, name: &TeamName, req: GrantRequest) -> Option<Grant> {
        let asked_at = Timestamp::now();
        let agents = self.router.ask(ListAgents).await.unwrap_or_default();
        let servers: Vec<_> =
            agents.iter().map(|(key, _)| Server { key: *key, weight: 1 }).collect();
        let order = rendezvous::top_servers(key_of(name), &servers, 2);
        let roles = [GrantRole::Owner, GrantRole::Fallback];
        let mut grant = None;
        for (i, role) in order.into_iter().zip(roles) {
            let link: &Arc<dyn AgentApi> = &agents[i].1;
            let limit = Duration::from_millis(GRANT_TIMEOUT_MS);
            let given = tokio::time::timeout(limit, link.grant(name.clone(), role, req)).await;
            if let Ok(Ok(Some(given))) = given {
                grant = Some(given);
                break;
            }
        }
        let _ = self.limits.tell(Receive { team: name.clone(), asked_at, req, grant }).await;
        grant
    }
}

fn key_of(team: &TeamName) -> PieceHash {
    let hash = blake3::hash(team.as_str().as_bytes());
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.as_bytes()[..16]);
    PieceHash(u128::from_le_bytes(bytes))
}

/// Relays events to a caller; the task returns the usage that the engine counted.
fn meter(tx: mpsc::Sender<AnswerEvent>) -> (mpsc::Sender<AnswerEvent>, JoinHandle<Option<Usage>>) {
    let (metered, mut events) = mpsc::channel(ANSWER_EVENTS);
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
    (metered, relay)
}

fn count(team: &TeamName, usage: Usage) {
    let computed = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
    let kinds = [
        ("computed", computed),
        ("cached", usage.cached_tokens),
        ("generated", usage.completion_tokens),
    ];
    for (kind, tokens) in kinds {
        let labels = [("team", team.to_string()), ("kind", kind.to_owned())];
        metrics::counter!(metrics_server::TEAM_TOKENS, &labels).increment(u64::from(tokens));
    }
}
