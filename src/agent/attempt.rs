//! Runs one attempt on the backend server.

use std::sync::Arc;

use dogwoodway_engine::{EngineError, EngineEvent, EngineRequest, ModelEngine};
use dogwoodway_http::HttpError;
use dogwoodway_peer::StartRequest;
use dogwoodway_service::PlainService;
use dogwoodway_types::{
    ChatWork, EngineIncarnation, FinishReason, FrameKind, NotRunReason, Outcome, ServiceWork,
    Timestamp, Usage, Work,
};
use kameo::actor::ActorRef;

use crate::agent::{
    actor::{AgentActor, EngineStatusRead, PushFrame},
    claims::{self, ClaimsActor},
};

/// Client of the agent's backend server.
#[derive(Clone)]
pub(crate) enum Backend {
    /// A model engine.
    Engine(Arc<dyn ModelEngine>),
    /// A plain service.
    Service(Arc<dyn PlainService>),
}

/// The frames that remain to be pushed when an attempt has ended.
pub(crate) struct FinalFrames {
    /// The response of a plain service; `None` for a chat, or if there is no response.
    pub(crate) response: Option<FrameKind>,
    /// The last frame, which carries the outcome.
    pub(crate) last: FrameKind,
}

/// Runs an attempt and pushes its frames up to the last one. If the attempt has an idempotency key
/// to claim, it runs only once the key is claimed.
pub(crate) async fn run_attempt(
    backend: Backend,
    req: StartRequest,
    actor: ActorRef<AgentActor>,
    claims: ActorRef<ClaimsActor>,
) {
    let id = req.attempt;
    let frames = match req.claim {
        None => execute(backend, req, &actor).await,
        Some(claim) => {
            let run = |req| execute(backend, req, &actor);
            claims::run_claimed(&claims, claim, req, run).await
        }
    };
    for kind in frames.response.into_iter().chain([frames.last]) {
        let _ = actor.tell(PushFrame { id, kind }).await;
    }
}

async fn execute(backend: Backend, req: StartRequest, actor: &ActorRef<AgentActor>) -> FinalFrames {
    let last = match (backend, req.work.clone()) {
        (Backend::Engine(engine), Work::Chat(chat)) => run_chat(&*engine, req, chat, actor).await,
        (Backend::Service(service), Work::Service(work)) => {
            return run_service(&*service, &req, work).await;
        }
        (Backend::Engine(_), Work::Service(_)) | (Backend::Service(_), Work::Chat(_)) => {
            not_run(NotRunReason::StaleBackendServer)
        }
    };
    FinalFrames { response: None, last }
}

async fn run_chat(
    engine: &dyn ModelEngine,
    req: StartRequest,
    chat: ChatWork,
    actor: &ActorRef<AgentActor>,
) -> FrameKind {
    let mut next_index = u32::try_from(chat.resume_after.len()).unwrap_or(u32::MAX);
    let engine_req = EngineRequest {
        request_id: req.attempt,
        model: chat.model,
        version: chat.version,
        messages: chat.messages,
        cache_keys: chat.prefix.hashes,
        piece_tokens: chat.prefix.tokens,
        max_tokens: chat.max_tokens,
        resume_after: chat.resume_after,
        priority: req.priority,
    };
    let mut stream = match engine.generate(engine_req).await {
        Ok(stream) => stream,
        Err(EngineError::Unreachable(_) | EngineError::Refused(_)) => {
            refresh_engine_status(engine, actor).await;
            return not_run(NotRunReason::StaleBackendServer);
        }
        Err(e @ EngineError::Lost(_)) => {
            return interrupted(engine, req.engine, actor, &e).await;
        }
    };
    let mut has_started = false;
    loop {
        let kind = match stream.next().await {
            Ok(EngineEvent::Started { engine: incarnation, version, cached_tokens }) => {
                if Some(incarnation) != req.engine || version != chat.version {
                    let _ = engine.cancel(req.attempt).await;
                    refresh_engine_status(engine, actor).await;
                    return failed("another engine answered than the request was routed to");
                }
                has_started = true;
                FrameKind::Started { engine: incarnation, version, cached_tokens }
            }
            Ok(EngineEvent::Token { .. } | EngineEvent::End { .. }) if !has_started => {
                let _ = engine.cancel(req.attempt).await;
                return failed("the engine did not say which weights it runs");
            }
            Ok(EngineEvent::Token { index, token, text }) => {
                if index != next_index {
                    let _ = engine.cancel(req.attempt).await;
                    return failed(&format!("the engine sent token {index} for {next_index}"));
                }
                next_index += 1;
                FrameKind::Token { token, text }
            }
            Ok(EngineEvent::End { finish, usage }) => return FrameKind::End { finish, usage },
            Err(e) => {
                return interrupted(engine, req.engine, actor, &e).await;
            }
        };
        if actor.tell(PushFrame { id: req.attempt, kind }).await.is_err() {
            return failed("the agent stops");
        }
    }
}

/// Reads the engine's status and returns its incarnation, `None` if the engine cannot be reached.
///
/// Also reports the status to the agent's actor, so that the next attempt is routed by the engine's
/// current state.
async fn refresh_engine_status(
    engine: &dyn ModelEngine,
    actor: &ActorRef<AgentActor>,
) -> Option<EngineIncarnation> {
    let status = engine.status().await.ok();
    let incarnation = status.as_ref().map(|status| status.incarnation);
    let _ = actor.tell(EngineStatusRead(status)).await;
    incarnation
}

/// Returns the last frame of an attempt whose answer was interrupted.
///
/// The engine counts as crashed if it cannot be reached or has another incarnation than the one
/// that ran the attempt. Otherwise only the answer was lost.
async fn interrupted(
    engine: &dyn ModelEngine,
    ran_on: Option<EngineIncarnation>,
    actor: &ActorRef<AgentActor>,
    error: &EngineError,
) -> FrameKind {
    let backend_lost = refresh_engine_status(engine, actor).await != ran_on;
    FrameKind::Error { outcome: Outcome::Failed { message: error.to_string() }, backend_lost }
}

async fn run_service(
    service: &dyn PlainService,
    req: &StartRequest,
    work: ServiceWork,
) -> FinalFrames {
    let timeout = req.deadline - Timestamp::now();
    let reply = match service.call(work, timeout).await {
        Ok(reply) => reply,
        Err(HttpError::Unreachable(_) | HttpError::InvalidRequest(_)) => {
            let last = not_run(NotRunReason::StaleBackendServer);
            return FinalFrames { response: None, last };
        }
        Err(e) => {
            let outcome = Outcome::Unknown { message: e.to_string() };
            let last = FrameKind::Error { outcome, backend_lost: true };
            return FinalFrames { response: None, last };
        }
    };
    let response = FrameKind::Response {
        status: reply.status.as_u16(),
        content_type: reply.content_type,
        body: reply.body.to_vec(),
    };
    let last = FrameKind::End { finish: FinishReason::Stop, usage: Usage::default() };
    FinalFrames { response: Some(response), last }
}

fn not_run(reason: NotRunReason) -> FrameKind {
    let outcome = Outcome::NotRun { reason, retry_at: None };
    FrameKind::Error { outcome, backend_lost: false }
}

fn failed(message: &str) -> FrameKind {
    let outcome = Outcome::Failed { message: message.to_owned() };
    FrameKind::Error { outcome, backend_lost: false }
}
