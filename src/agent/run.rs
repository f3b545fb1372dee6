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
    actor::{AgentActor, Push, SeeEngine},
    claims::{self, Claims},
};

/// The backend server beside an agent.
#[derive(Clone)]
pub(crate) enum Backend {
    /// A model engine.
    Engine(Arc<dyn ModelEngine>),
    /// A plain service.
    Service(Arc<dyn PlainService>),
}

/// The frames that are left to push when an attempt has ended.
pub(crate) struct Ended {
    /// Whole answer of a plain service.
    pub(crate) response: Option<FrameKind>,
    /// Last frame.
    pub(crate) last: FrameKind,
}

/// Runs an attempt, once its key is claimed if it has one, and pushes its frames, the last one
/// included.
pub(crate) async fn run(
    backend: Backend,
    req: StartRequest,
    actor: ActorRef<AgentActor>,
    claims: ActorRef<Claims>,
) {
    let id = req.attempt;
    let ended = match req.claim {
        None => execute(backend, req, &actor).await,
        Some(claim) => {
            let run = |req| execute(backend, req, &actor);
            claims::run_claimed(&claims, claim, req, run).await
        }
    };
    for kind in ended.response.into_iter().chain([ended.last]) {
        let _ = actor.tell(Push { id, kind }).await;
    }
}

async fn execute(backend: Backend, req: StartRequest, actor: &ActorRef<AgentActor>) -> Ended {
    let last = match (backend, req.work.clone()) {
        (Backend::Engine(engine), Work::Chat(chat)) => run_chat(&*engine, req, chat, actor).await,
        (Backend::Service(service), Work::Service(work)) => {
            return run_service(&*service, &req, work).await;
        }
        (Backend::Engine(_), Work::Service(_)) | (Backend::Service(_), Work::Chat(_)) => {
            not_run(NotRunReason::StaleBackendServer)
        }
    };
    Ended { response: None, last }
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
            check_engine(engine, actor).await;
            return not_run(NotRunReason::StaleBackendServer);
        }
        Err(e @ EngineError::Lost(_)) => {
            return broken_off(engine, req.engine, actor, &e).await;
        }
    };
    let mut started = false;
    loop {
        let kind = match stream.next().await {
            Ok(EngineEvent::Started { engine: incarnation, version, cached_tokens }) => {
                if Some(incarnation) != req.engine || version != chat.version {
                    let _ = engine.cancel(req.attempt).await;
                    check_engine(engine, actor).await;
                    return lost("another engine answered than the request was routed to");
                }
                started = true;
                FrameKind::Started { engine: incarnation, version, cached_tokens }
            }
            Ok(EngineEvent::Token { .. } | EngineEvent::End { .. }) if !started => {
                let _ = engine.cancel(req.attempt).await;
                return lost("the engine did not say which weights it runs");
            }
            Ok(EngineEvent::Token { index, token, text }) => {
                if index != next_index {
                    let _ = engine.cancel(req.attempt).await;
                    return lost(&format!("the engine sent token {index} for {next_index}"));
                }
                next_index += 1;
                FrameKind::Token { token, text }
            }
            Ok(EngineEvent::End { finish, usage }) => return FrameKind::End { finish, usage },
            Err(e) => {
                return broken_off(engine, req.engine, actor, &e).await;
            }
        };
        if actor.tell(Push { id: req.attempt, kind }).await.is_err() {
            return lost("the agent stops");
        }
    }
}

/// Reads the engine's status, so that the next attempt is routed by what the engine is now, and
/// returns its incarnation.
async fn check_engine(
    engine: &dyn ModelEngine,
    actor: &ActorRef<AgentActor>,
) -> Option<EngineIncarnation> {
    let status = engine.status().await.ok();
    let incarnation = status.as_ref().map(|status| status.incarnation);
    let _ = actor.tell(SeeEngine(status)).await;
    incarnation
}

/// Ends an attempt whose answer broke off: the engine `ran` has crashed, or only its answer is lost.
async fn broken_off(
    engine: &dyn ModelEngine,
    ran: Option<EngineIncarnation>,
    actor: &ActorRef<AgentActor>,
    error: &EngineError,
) -> FrameKind {
    let backend_lost = check_engine(engine, actor).await != ran;
    FrameKind::Error { outcome: Outcome::Failed { message: error.to_string() }, backend_lost }
}

async fn run_service(service: &dyn PlainService, req: &StartRequest, work: ServiceWork) -> Ended {
    let limit = req.deadline - Timestamp::now();
    let reply = match service.call(work, limit).await {
        Ok(reply) => reply,
        Err(HttpError::Unreachable(_) | HttpError::BadRequest(_)) => {
            let last = not_run(NotRunReason::StaleBackendServer);
            return Ended { response: None, last };
        }
        Err(e) => {
            let outcome = Outcome::Unknown { message: e.to_string() };
            let last = FrameKind::Error { outcome, backend_lost: true };
            return Ended { response: None, last };
        }
    };
    let response = FrameKind::Response {
        status: reply.status.as_u16(),
        content_type: reply.content_type,
        body: reply.body.to_vec(),
    };
    let last = FrameKind::End { finish: FinishReason::Stop, usage: Usage::default() };
    Ended { response: Some(response), last }
}

fn not_run(reason: NotRunReason) -> FrameKind {
    let outcome = Outcome::NotRun { reason, retry_at: None };
    FrameKind::Error { outcome, backend_lost: false }
}

fn lost(message: &str) -> FrameKind {
    let outcome = Outcome::Failed { message: message.to_owned() };
    FrameKind::Error { outcome, backend_lost: false }
}
