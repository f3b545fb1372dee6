//! The actor that owns what an entry knows of agents.

use std::{sync::Arc, time::Instant};

use dogwoodway_peer::{AgentApi, AgentDescription, BackendKind, PeerResult, TarpcAgent};
use dogwoodway_routing::{
    membership::{AgentStatus, ListedVm, MemberKey, Membership, Poll, PollResult},
    outlier::CallResult,
    rendezvous::ServerKey,
};
use dogwoodway_types::{
    AvailabilityZone, BackendServerName, ClassName, Configuration, ModelName, Priority, Selector,
    TeamName, Timestamp, WeightsVersion,
};
use kameo::{
    Actor,
    actor::ActorRef,
    message::{Context, Message},
};
use slotmap::SecondaryMap;

use crate::{
    config_follower::ConfigWatch,
    entry::observed_agent::{News, ObservedAgent},
};

/// Time that a call to another zone takes longer than one within the zone.
const CROSS_ZONE_US: u64 = 1_000;

/// What an entry knows of agents; only this actor changes it.
#[derive(Actor)]
pub(crate) struct Router {
    zone: AvailabilityZone,
    config: ConfigWatch,
    members: Membership,
    agents: SecondaryMap<MemberKey, KnownAgent>,
}

struct KnownAgent {
    link: Arc<dyn AgentApi>,
    observed: Arc<dyn AgentApi>,
    description: Option<AgentDescription>,
}

impl Router {
    /// Builds a router that knows no agents, for an entry in `zone`.
    pub(crate) fn new(zone: AvailabilityZone, config: ConfigWatch) -> Router {
        let members = Membership::new(rand::random());
        Router { zone, config, members, agents: SecondaryMap::new() }
    }

    /// Puts the questions that are due, each in a task of its own.
    fn ask_due(&mut self, now: Timestamp, router: &ActorRef<Router>) {
        for question in self.members.due_polls(now) {
            let Some(agent) = self.agents.get(question.key) else { continue };
            metrics::counter!("dogwoodway_agent_descriptions_total").increment(1);
            let (link, router) = (agent.link.clone(), router.clone());
            tokio::spawn(async move {
                let begun = Instant::now();
                let reply = link.describe().await;
                let call = match &reply {
                    Ok(_) => CallResult::Replied { latency: begun.elapsed() },
                    Err(_) => CallResult::Failed,
                };
                router.tell(SeeAnswer { question, call, reply }).await
            });
        }
    }

    fn see_probed(&mut self, now: Timestamp, key: MemberKey, probed: Probed) {
        let Some(known) = self.agents.get_mut(key) else { return };
        match &mut known.description {
            Some(description) if description.incarnation == probed.agent => {
                description.kind = probed.kind;
            }
            _ => self.members.poll_soon(now, key),
        }
        if !probed.accepting {
            self.members.poll_in_turn(now, key);
        }
    }

    /// Returns the usable agents that a selector allows, by name.
    fn usable(
        &mut self,
        cfg: &Configuration,
        selector: &Selector,
        model: Option<&ModelName>,
    ) -> Vec<EligibleAgent> {
        let now = Timestamp::now();
        let mut fitting = Vec::new();
        for (key, agent) in &self.agents {
            let Some(d) = &agent.description else { continue };
            if !cfg.is_eligible(selector, &d.name, &d.zone, &d.labels) {
                continue;
            }
            match fit(&d.kind, model, selector.version) {
                Fit::Yes => fitting.push(key),
                // It may have loaded the version since.
                Fit::OtherVersion => self.members.poll_in_turn(now, key),
                Fit::No => {}
            }
        }
        let usable = self.members.usable(now, &fitting).into_iter();
        let mut agents: Vec<_> = usable
            .filter_map(|key| {
                let known = self.agents.get(key)?;
                let description = known.description.clone()?;
                let distance_us = if description.zone == self.zone { 0 } else { CROSS_ZONE_US };
                let (name, link) = (description.name.clone(), known.observed.clone());
                Some(EligibleAgent { name, link, description, distance_us })
            })
            .collect();
        agents.sort_by(|a, b| a.name.cmp(&b.name));
        agents
    }
}

/// Whether a backend server can run a request.
enum Fit {
    Yes,
    /// It has another version of the model loaded than the selector asks for.
    OtherVersion,
    No,
}

fn fit(kind: &BackendKind, model: Option<&ModelName>, version: Option<WeightsVersion>) -> Fit {
    match (kind, model) {
        (BackendKind::Service, None) => Fit::Yes,
        (BackendKind::Engine { incarnation: Some(_), model, version: loaded }, Some(wanted))
            if model == wanted =>
        {
            match version.is_none_or(|version| version == *loaded) {
                true => Fit::Yes,
                false => Fit::OtherVersion,
            }
        }
        _ => Fit::No,
    }
}

/// Tells which VMs the platform lists.
pub(crate) struct SeeList(pub(crate) Vec<ListedVm>);

impl Message<SeeList> for Router {
    type Reply = ();

    async fn handle(&mut self, msg: SeeList, cx: &mut Context<Self, Self::Reply>) {
        let now = Timestamp::now();
        self.members.update_vm_list(now, &msg.0);
        for key in self.members.keys() {
            let Some(address) = self.members.address(key) else { continue };
            if self.agents.contains_key(key) {
                continue;
            }
            let link: Arc<dyn AgentApi> = Arc::new(TarpcAgent::new(address));
            let router = cx.actor_ref().downgrade();
            let observed = Arc::new(ObservedAgent::new(link.clone(), key, router));
            self.agents.insert(key, KnownAgent { link, observed, description: None });
        }
        for key in self.members.listed_leaving(now) {
            let Some(agent) = self.agents.get(key) else { continue };
            let link = agent.link.clone();
            tokio::spawn(async move { link.notify_leaving().await });
        }
        self.ask_due(now, cx.actor_ref());
    }
}

/// Puts the questions that are due.
pub(crate) struct AskDue;

impl Message<AskDue> for Router {
    type Reply = ();

    async fn handle(&mut self, _: AskDue, cx: &mut Context<Self, Self::Reply>) {
        self.ask_due(Timestamp::now(), cx.actor_ref());
    }
}

/// Tells what became of a question.
pub(crate) struct SeeAnswer {
    question: Poll,
    call: CallResult,
    reply: PeerResult<AgentDescription>,
}

impl Message<SeeAnswer> for Router {
    type Reply = ();

    async fn handle(&mut self, msg: SeeAnswer, _: &mut Context<Self, Self::Reply>) {
        let key = msg.question.key;
        let description = msg.reply.ok();
        let status = description
            .as_ref()
            .map(|d| AgentStatus { incarnation: d.incarnation, leaving: d.leaving });
        let result = PollResult { call: msg.call, status };
        if !self.members.record_poll_result(Timestamp::now(), msg.question, result) {
            self.agents.remove(key);
            return;
        }
        if let (Some(agent), Some(description)) = (self.agents.get_mut(key), description) {
            agent.description = Some(description);
        }
    }
}

/// Tells what a call with work or a probe showed.
pub(crate) struct SeeCall {
    pub(crate) key: MemberKey,
    pub(crate) news: News,
}

struct Probed {
    agent: dogwoodway_types::AgentIncarnation,
    kind: BackendKind,
    accepting: bool,
}

impl Message<SeeCall> for Router {
    type Reply = ();

    async fn handle(&mut self, msg: SeeCall, cx: &mut Context<Self, Self::Reply>) {
        let (now, key) = (Timestamp::now(), msg.key);
        match msg.news {
            News::Result(result) => self.members.record_call(now, key, result),
            News::Probed { latency, agent, kind, accepting } => {
                self.members.record_call(now, key, CallResult::Replied { latency });
                self.see_probed(now, key, Probed { agent, kind, accepting });
            }
            News::Leaving { agent } => self.members.mark_leaving(key, agent),
            News::Stale => {
                self.members.poll_soon(now, key);
                self.ask_due(now, cx.actor_ref());
            }
        }
    }
}

/// Asks for links to all agents that are known, with keys that are the same on every entry.
pub(crate) struct ListAgents;

impl Message<ListAgents> for Router {
    type Reply = Vec<(ServerKey, Arc<dyn AgentApi>)>;

    async fn handle(&mut self, _: ListAgents, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let named = self.agents.values().filter_map(|agent| {
            let name = &agent.description.as_ref()?.name;
            Some((ServerKey::new(name), agent.link.clone()))
        });
        named.collect()
    }
}

/// Asks which agents may run a request.
pub(crate) struct FindEligible {
    pub(crate) team: TeamName,
    pub(crate) class: ClassName,
    pub(crate) model: Option<ModelName>,
}

/// The agents that may run a request, and how.
pub(crate) struct Eligible {
    pub(crate) config: Arc<Configuration>,
    pub(crate) priority: Priority,
    pub(crate) agents: Vec<EligibleAgent>,
}

/// An agent that may run a request.
#[derive(Clone)]
pub(crate) struct EligibleAgent {
    pub(crate) name: BackendServerName,
    pub(crate) link: Arc<dyn AgentApi>,
    pub(crate) description: AgentDescription,
    /// Time that calls take longer than to an agent of the entry's own zone.
    pub(crate) distance_us: u64,
}

impl Message<FindEligible> for Router {
    type Reply = Option<Eligible>;

    async fn handle(
        &mut self,
        msg: FindEligible,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let cfg = self.config.borrow().clone()?;
        let selector = cfg.selector_for(&msg.team, &msg.class, msg.model.as_ref())?;
        let class_priority = cfg.classes.get(&msg.class).map(|class| class.priority);
        let priority = selector.priority.or(class_priority).unwrap_or_default();
        let agents = self.usable(&cfg, selector, msg.model.as_ref());
        Some(Eligible { priority, agents, config: cfg.clone() })
    }
}
