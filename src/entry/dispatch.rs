//! Takes a caller's request through placement, run and retries to its final event.

use std::{sync::Arc, time::Duration};

use dogwoodway_caller::{Answer, AnswerEvent, CallerRequest, CallerWork, Dispatcher, Readiness};
use dogwoodway_peer::{
    AgentApi, BackendKind, FramesReply, PeerError, ProbeReply, ProbeRequest, RunRequest,
    SettleReply, StartReply,
};
use dogwoodway_routing::placement::{self, Candidate, rendezvous_order};
use dogwoodway_types::{
    AttemptId, ChatWork, ClassName, FrameKind, KeyHash, ModelName, NotRunReason, Outcome,
    PieceHash, PrefixChain, TeamName, Timestamp, Token, Work,
};
use futures::{FutureExt, future::BoxFuture};
use kameo::actor::ActorRef;
use tokio::sync::mpsc;

use crate::{
    config_follower::ConfigWatch,
    entry::router::{Eligible, EligibleAgent, FindEligible, Router},
    metrics_page,
    settings::EntrySettings,
};

/// Agents that are probed for one placement.
const PROBES: usize = 3;

/// Attempts that one request may have.
const MAX_ATTEMPTS: u32 = 4;

/// Time in which an attempt must start after it was sent.
const START_LIMIT_MS: u64 = 2_000;

/// Time for an answer when no traffic class states one.
const DEFAULT_ANSWER_MS: u64 = 60_000;

const ANSWER_EVENTS: usize = 64;

const DEFAULT_CLASS: &str = "default";

/// Runs callers' requests on the agents of the fleet.
pub(crate) struct EntryDispatcher {
    core: Arc<Core>,
}

struct Core {
    settings: EntrySettings,
    config: ConfigWatch,
    router: ActorRef<Router>,
}

impl EntryDispatcher {
    /// Builds a dispatcher.
    pub(crate) fn new(
        settings: EntrySettings,
        config: ConfigWatch,
        router: ActorRef<Router>,
    ) -> EntryDispatcher {
        EntryDispatcher { core: Arc::new(Core { settings, config, router }) }
    }
}

impl Dispatcher for EntryDispatcher {
    fn authenticate(&self, key: String) -> BoxFuture<'_, Option<TeamName>> {
        async move {
            let cfg = self.core.config.borrow().clone()?;
            let hash = KeyHash::new(&self.core.settings.key_pepper, &key);
            cfg.team_of_key(&hash).map(|team| team.name.clone())
        }
        .boxed()
    }

    fn models(&self, team: TeamName) -> BoxFuture<'_, Vec<ModelName>> {
        async move {
            let Some(cfg) = self.core.config.borrow().clone() else { return Vec::new() };
            let usable =
                cfg.selectors.values().filter(|s| s.teams.is_empty() || s.teams.contains(&team));
            let mut models: Vec<_> = usable.filter_map(|s| s.model.clone()).collect();
            models.sort();
            models.dedup();
            models
        }
        .boxed()
    }

    fn submit(&self, req: CallerRequest) -> Answer {
        let (tx, rx) = mpsc::channel(ANSWER_EVENTS);
        let core = self.core.clone();
        tokio::spawn(async move {
            let closed = tx.clone();
            let (id, team) = (req.id, req.team.clone());
            let outcome = core.serve(req, tx).await;
            metrics::counter!(metrics_page::REQUESTS, "outcome" => outcome_label(&outcome))
                .increment(1);
            log::info!(request:% = id, team:%, outcome:? ; "request ended");
            if outcome != Outcome::Answered {
                let _ = closed.send(AnswerEvent::Error(outcome)).await;
            }
        });
        rx
    }

    fn readiness(&self) -> BoxFuture<'_, Readiness> {
        async move {
            match self.core.config.borrow().is_some() {
                true => Readiness::Ready,
                false => Readiness::NotReady("no configuration has been read yet".to_owned()),
            }
        }
        .boxed()
    }
}

fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun { reason, .. } => reason.as_str(),
        Outcome::Unknown { .. } => "unknown",
        Outcome::Failed { .. } => "failed",
    }
}

/// Where a request stands between its attempts.
struct Progress {
    tx: mpsc::Sender<AnswerEvent>,
    deadline: Timestamp,
    repeatable: bool,
    started: bool,
    delivered: Vec<Token>,
}

/// How one attempt ended.
enum AttemptEnd {
    Done(Outcome),
    /// The attempt was not run; another agent may be tried.
    NotRun(NotRunReason),
    /// The backend server or the link was lost after the start.
    Lost(String),
}

impl Core {
    async fn serve(&self, req: CallerRequest, tx: mpsc::Sender<AnswerEvent>) -> Outcome {
        let Some(cfg) = self.config.borrow().clone() else {
            return not_run(NotRunReason::NoConfiguration);
        };
        let class = match &req.work {
            CallerWork::Service(call) => cfg.class_of_path(&call.path),
            CallerWork::Chat { .. } => req.class.as_ref().and_then(|name| cfg.classes.get(name)),
        };
        let answer_ms = class.map_or(DEFAULT_ANSWER_MS, |c| u64::from(c.answer_within_ms));
        let class_deadline = Timestamp::now() + Duration::from_millis(answer_ms);
        let is_chat = matches!(req.work, CallerWork::Chat { .. });
        let mut progress = Progress {
            tx,
            deadline: req.deadline.map_or(class_deadline, |d| d.min(class_deadline)),
            repeatable: class.map_or(is_chat, |c| c.repeatable),
            started: false,
            delivered: Vec::new(),
        };
        let class = class.map(|c| c.name.clone());
        let class = class.or_else(|| ClassName::try_from(DEFAULT_CLASS).ok());
        let Some(class) = class else { return not_run(NotRunReason::NoBackendServer) };
        let mut reason = NotRunReason::NoBackendServer;
        for _ in 0..MAX_ATTEMPTS {
            if Timestamp::now() >= progress.deadline {
                reason = NotRunReason::DeadlinePassed;
                break;
            }
            match self.attempt(&req, &class, &mut progress).await {
                AttemptEnd::Done(outcome) => return outcome,
                AttemptEnd::NotRun(why) => reason = why,
                AttemptEnd::Lost(message) if progress.repeatable => {
                    log::warn!(request:% = req.id, team:% = req.team; "attempt lost: {message}");
                }
                AttemptEnd::Lost(message) => return Outcome::Unknown { message },
            }
        }
        match progress.started {
            true => Outcome::Failed { message: format!("the answer broke off: {reason}") },
            false => not_run(reason),
        }
    }

    async fn attempt(
        &self,
        req: &CallerRequest,
        class: &ClassName,
        progress: &mut Progress,
    ) -> AttemptEnd {
        let model = match &req.work {
            CallerWork::Chat { model, .. } => Some(model.clone()),
            CallerWork::Service(_) => None,
        };
        let find = FindEligible { team: req.team.clone(), class: class.clone(), model };
        let Ok(Some(eligible)) = self.router.ask(find).await else {
            return AttemptEnd::NotRun(NotRunReason::NoBackendServer);
        };
        let Some((agent, probe, work)) = place(req, &eligible, progress).await else {
            return AttemptEnd::NotRun(NotRunReason::NoBackendServer);
        };
        let engine = match &probe.kind {
            BackendKind::Engine { incarnation, .. } => *incarnation,
            BackendKind::Service => None,
        };
        let run = RunRequest {
            attempt: AttemptId(rand::random()),
            request: req.id,
            team: req.team.clone(),
            priority: eligible.priority,
            start_before: Timestamp::now() + Duration::from_millis(START_LIMIT_MS),
            deadline: progress.deadline,
            config_offset: eligible.config.offset,
            agent: probe.agent,
            engine,
            work,
        };
        run_attempt(&*agent.link, run, progress).await
    }
}

/// Chooses an agent for a request and prepares the work for it.
async fn place(
    req: &CallerRequest,
    eligible: &Eligible,
    progress: &Progress,
) -> Option<(EligibleAgent, ProbeReply, Work)> {
    let names: Vec<_> = eligible.agents.iter().map(|agent| agent.name.clone()).collect();
    let chain_of = |agent: &EligibleAgent| match (&req.work, &agent.description.kind) {
        (CallerWork::Chat { model, messages, .. }, BackendKind::Engine { version, .. }) => {
            PrefixChain::new(&req.team, model, *version, messages)
        }
        _ => PrefixChain::default(),
    };
    let home = eligible.agents.first().map(&chain_of)?;
    let key = home.levels.first().and_then(|&i| home.hashes.get(i as usize)).copied();
    let order = rendezvous_order(key.unwrap_or(PieceHash(req.id.0)), &names);
    let probes = order.iter().take(PROBES).map(|&i| {
        let agent = &eligible.agents[i];
        let probe = ProbeRequest {
            hashes: chain_of(agent).hashes,
            priority: eligible.priority,
            config_offset: eligible.config.offset,
        };
        async move { agent.link.probe(probe).await.ok().map(|reply| (agent, reply)) }
    });
    let replies = futures::future::join_all(probes).await;
    let replies: Vec<_> = replies.into_iter().flatten().filter(|(_, r)| r.accepting).collect();
    let candidates: Vec<_> = replies
        .iter()
        .map(|(agent, reply)| {
            let chain = chain_of(agent);
            let cached = chain.tokens_of(reply.matched as usize);
            Candidate { wait_us: reply.wait_us, uncached_tokens: chain.total_tokens() - cached }
        })
        .collect();
    let (agent, reply) = &replies[placement::choose(&candidates)?];
    let work = match &req.work {
        CallerWork::Service(call) => Work::Service(call.clone()),
        CallerWork::Chat { model, messages, max_tokens } => {
            let BackendKind::Engine { version, .. } = reply.kind else { return None };
            Work::Chat(ChatWork {
                model: model.clone(),
                version,
                messages: messages.clone(),
                prefix: PrefixChain::new(&req.team, model, version, messages),
                max_tokens: *max_tokens,
                resume_after: progress.delivered.clone(),
            })
        }
    };
    Some(((*agent).clone(), reply.clone(), work))
}

/// Starts an attempt and delivers its frames.
async fn run_attempt(link: &dyn AgentApi, run: RunRequest, progress: &mut Progress) -> AttemptEnd {
    let (id, agent, start_before) = (run.attempt, run.agent, run.start_before);
    match link.start(run).await {
        Ok(StartReply::Accepted) => {}
        Ok(StartReply::NotRun { reason, .. }) => return AttemptEnd::NotRun(reason),
        Err(PeerError::Unreachable(_)) => return AttemptEnd::NotRun(NotRunReason::Overloaded),
        Err(PeerError::Lost(message)) => match link.settle(id, agent, start_before).await {
            Ok(SettleReply::Started) => {}
            Ok(SettleReply::NotStarted) => return AttemptEnd::NotRun(NotRunReason::Overloaded),
            Ok(SettleReply::OtherIncarnation) | Err(_) => return AttemptEnd::Lost(message),
        },
    }
    let mut next_seq = 0;
    loop {
        let reply = tokio::select! {
            reply = link.frames(id, next_seq) => reply,
            () = progress.tx.closed() => {
                let _ = link.cancel(id).await;
                return AttemptEnd::Done(Outcome::Failed { message: "the caller left".to_owned() });
            }
        };
        let frames = match reply {
            Ok(FramesReply::Frames(frames)) => frames,
            Ok(FramesReply::NoAttempt) => return AttemptEnd::Lost("agent restarted".to_owned()),
            Err(e) => return AttemptEnd::Lost(e.to_string()),
        };
        for frame in frames {
            if frame.seq != next_seq {
                return AttemptEnd::Lost(format!("frame {} came for {next_seq}", frame.seq));
            }
            next_seq += 1;
            if let Some(end) = deliver(frame.kind, progress).await {
                return end;
            }
        }
    }
}

/// Hands a frame to the caller; returns the end of the attempt if it was the last.
async fn deliver(kind: FrameKind, progress: &mut Progress) -> Option<AttemptEnd> {
    let event = match kind {
        FrameKind::Started { cached_tokens, .. } => {
            if std::mem::replace(&mut progress.started, true) {
                return None;
            }
            AnswerEvent::Started { cached_tokens }
        }
        FrameKind::Token { token, text } => {
            progress.delivered.push(token);
            AnswerEvent::Text(text)
        }
        FrameKind::Response { status, content_type, body } => {
            AnswerEvent::Response { status, content_type, body }
        }
        FrameKind::End { finish, usage } => {
            let _ = progress.tx.send(AnswerEvent::End { finish, usage }).await;
            return Some(AttemptEnd::Done(Outcome::Answered));
        }
        FrameKind::Error { outcome: Outcome::NotRun { reason, .. }, .. } => {
            return Some(AttemptEnd::NotRun(reason));
        }
        FrameKind::Error { outcome, backend_lost: true } => {
            return Some(AttemptEnd::Lost(format!("{outcome:?}")));
        }
        FrameKind::Error { outcome, backend_lost: false } => {
            return Some(AttemptEnd::Done(outcome));
        }
    };
    let _ = progress.tx.send(event).await;
    None
}

fn not_run(reason: NotRunReason) -> Outcome {
    Outcome::NotRun { reason, retry_at: Some(Timestamp::now() + Duration::from_secs(1)) }
}
