//! Actor that keeps track of the agents of the fleet and finds those that may run a request.
//!
//! Agents are found on the platform's list of VMs and polled for their descriptions. The calls of
//! requests report further observations, see [`observed_agent`](crate::entry::observed_agent).

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
    entry::observed_agent::{CallObservation, ObservedAgent},
};

/// Latency in microseconds that a call to an agent in another zone is assumed to add.
const CROSS_ZONE_LATENCY_US: u64 = 1_000;

/// The agents that an entry knows, with their descriptions and health.
#[derive(Actor)]
pub(crate) struct AgentRegistry {
    /// Zone of the entry.
    zone: AvailabilityZone,
    config: ConfigWatch,
    members: Membership,
    agents: SecondaryMap<MemberKey, RegisteredAgent>,
}

struct RegisteredAgent {
    /// Client for polls and grants, whose calls are not reported as observations.
    client: Arc<dyn AgentApi>,
    /// Client for probes and attempts, which reports the results of its calls to the registry.
    observed_client: Arc<dyn AgentApi>,
    /// Latest description, `None` until the agent is first reached.
    description: Option<AgentDescription>,
}

impl AgentRegistry {
    /// Creates a registry without agents, for an entry in `zone`.
    pub(crate) fn new(zone: AvailabilityZone, config: ConfigWatch) -> AgentRegistry {
        let members = Membership::new(rand::random());
        AgentRegistry { zone, config, members, agents: SecondaryMap::new() }
    }

    /// Sends the polls that are due, each in a task of its own.
    fn send_due_polls(&mut self, now: Timestamp, registry: &ActorRef<AgentRegistry>) {
        for poll in self.members.due_polls(now) {
            let Some(agent) = self.agents.get(poll.key) else { continue };
            metrics::counter!("dogwoodway_agent_descriptions_total").increment(1);
            let (client, registry) = (agent.client.clone(), registry.clone());
            tokio::spawn(async move {
                let called_at = Instant::now();
                let reply = client.describe().await;
                let call = match &reply {
                    Ok(_) => CallResult::Replied { latency: called_at.elapsed() },
                    Err(_) => CallResult::Failed,
                };
                registry.tell(PollCompleted { poll, call, reply }).await
            });
        }
    }

    fn handle_probe(&mut self, now: Timestamp, key: MemberKey, probe: ProbeObservation) {
        let Some(registered) = self.agents.get_mut(key) else { return };
        match &mut registered.description {
            Some(description) if description.incarnation == probe.agent => {
                description.kind = probe.kind;
            }
            _ => self.members.poll_soon(now, key),
        }
        if !probe.accepting {
            self.members.poll_in_turn(now, key);
        }
    }

    /// Returns the usable agents that a selector allows, ordered by name.
    fn eligible_agents(
        &mut self,
        cfg: &Configuration,
        selector: &Selector,
        model: Option<&ModelName>,
    ) -> Vec<EligibleAgent> {
        let now = Timestamp::now();
        let mut compatible = Vec::new();
        for (key, agent) in &self.agents {
            let Some(d) = &agent.description else { continue };
            if !cfg.is_eligible(selector, &d.name, &d.zone, &d.labels) {
                continue;
            }
            match compatibility(&d.kind, model, selector.version) {
                Compatibility::Compatible => compatible.push(key),
                // The engine may have loaded the requested version since the last poll.
                Compatibility::OtherVersion => self.members.poll_in_turn(now, key),
                Compatibility::Incompatible => {}
            }
        }
        let usable = self.members.usable(now, &compatible).into_iter();
        let mut agents: Vec<_> = usable
            .filter_map(|key| {
                let registered = self.agents.get(key)?;
                let description = registered.description.clone()?;
                let extra_latency_us =
                    if description.zone == self.zone { 0 } else { CROSS_ZONE_LATENCY_US };
                let (name, client) = (description.name.clone(), registered.observed_client.clone());
                Some(EligibleAgent { name, client, description, extra_latency_us })
            })
            .collect();
        agents.sort_by(|a, b| a.name.cmp(&b.name));
        agents
    }
}

/// Whether a backend server can run a request.
enum Compatibility {
    Compatible,
    /// The engine serves the requested model, but with another weights version than the selector
    /// requires.
    OtherVersion,
    Incompatible,
}

fn compatibility(
    kind: &BackendKind,
    model: Option<&ModelName>,
    version: Option<WeightsVersion>,
) -> Compatibility {
    match (kind, model) {
        (BackendKind::Service, None) => Compatibility::Compatible,
        (
            BackendKind::Engine { incarnation: Some(_), model, version: loaded, .. },
            Some(wanted),
        ) if model == wanted => match version.is_none_or(|version| version == *loaded) {
            true => Compatibility::Compatible,
            false => Compatibility::OtherVersion,
        },
        _ => Compatibility::Incompatible,
    }
}

/// Command to apply the platform's current list of agent VMs.
pub(crate) struct UpdateVmList(pub(crate) Vec<ListedVm>);

impl Message<UpdateVmList> for AgentRegistry {
    type Reply = ();

    async fn handle(&mut self, msg: UpdateVmList, cx: &mut Context<Self, Self::Reply>) {
        let now = Timestamp::now();
        self.members.update_vm_list(now, &msg.0);
        for key in self.members.keys() {
            let Some(address) = self.members.address(key) else { continue };
            if self.agents.contains_key(key) {
                continue;
            }
            let client: Arc<dyn AgentApi> = Arc::new(TarpcAgent::new(address));
            let registry = cx.actor_ref().downgrade();
            let observed_client = Arc::new(ObservedAgent::new(client.clone(), key, registry));
            self.agents.insert(key, RegisteredAgent { client, observed_client, description: None });
        }
        for key in self.members.listed_leaving(now) {
            let Some(agent) = self.agents.get(key) else { continue };
            let client = agent.client.clone();
            tokio::spawn(async move { client.notify_leaving().await });
        }
        self.send_due_polls(now, cx.actor_ref());
    }
}

/// Command to send the polls that are due.
pub(crate) struct SendDuePolls;

impl Message<SendDuePolls> for AgentRegistry {
    type Reply = ();

    async fn handle(&mut self, _: SendDuePolls, cx: &mut Context<Self, Self::Reply>) {
        self.send_due_polls(Timestamp::now(), cx.actor_ref());
    }
}

/// Event: a poll was answered or failed.
pub(crate) struct PollCompleted {
    poll: Poll,
    call: CallResult,
    reply: PeerResult<AgentDescription>,
}

impl Message<PollCompleted> for AgentRegistry {
    type Reply = ();

    async fn handle(&mut self, msg: PollCompleted, _: &mut Context<Self, Self::Reply>) {
        let key = msg.poll.key;
        let description = msg.reply.ok();
        let status = description
            .as_ref()
            .map(|d| AgentStatus { incarnation: d.incarnation, leaving: d.leaving });
        let result = PollResult { call: msg.call, status };
        if !self.members.record_poll_result(Timestamp::now(), msg.poll, result) {
            self.agents.remove(key);
            return;
        }
        if let (Some(agent), Some(description)) = (self.agents.get_mut(key), description) {
            agent.description = Some(description);
        }
    }
}

/// Event: a probe or a call that carried work ended.
pub(crate) struct CallObserved {
    pub(crate) key: MemberKey,
    pub(crate) observation: CallObservation,
}

struct ProbeObservation {
    agent: dogwoodway_types::AgentIncarnation,
    kind: BackendKind,
    accepting: bool,
}

impl Message<CallObserved> for AgentRegistry {
    type Reply = ();

    async fn handle(&mut self, msg: CallObserved, cx: &mut Context<Self, Self::Reply>) {
        let (now, key) = (Timestamp::now(), msg.key);
        match msg.observation {
            CallObservation::Result(result) => self.members.record_call(now, key, result),
            CallObservation::Probed { latency, agent, kind, accepting } => {
                self.members.record_call(now, key, CallResult::Replied { latency });
                self.handle_probe(now, key, ProbeObservation { agent, kind, accepting });
            }
            CallObservation::Leaving { agent } => self.members.mark_leaving(key, agent),
            CallObservation::Stale => {
                self.members.poll_soon(now, key);
                self.send_due_polls(now, cx.actor_ref());
            }
        }
    }
}

/// Query for clients of all agents that have described themselves.
///
/// Their keys are the same on every entry, so that all entries compute the same rendezvous order.
pub(crate) struct ListAgents;

impl Message<ListAgents> for AgentRegistry {
    type Reply = Vec<(ServerKey, Arc<dyn AgentApi>)>;

    async fn handle(&mut self, _: ListAgents, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let described = self.agents.values().filter_map(|agent| {
            let name = &agent.description.as_ref()?.name;
            Some((ServerKey::new(name), agent.client.clone()))
        });
        described.collect()
    }
}

/// Query for the agents that may run a request; the reply is `None` if there is no configuration, the
/// team has been removed or no selector applies.
pub(crate) struct FindEligible {
    pub(crate) team: TeamName,
    pub(crate) class: ClassName,
    /// Requested model, `None` for a plain service.
    pub(crate) model: Option<ModelName>,
}

/// The agents that may run a request, and the configuration that they were selected under.
pub(crate) struct EligibleAgents {
    pub(crate) config: Arc<Configuration>,
    pub(crate) priority: Priority,
    /// Ordered by name, possibly empty.
    pub(crate) agents: Vec<EligibleAgent>,
}

/// An agent that may run a request.
#[derive(Clone)]
pub(crate) struct EligibleAgent {
    pub(crate) name: BackendServerName,
    pub(crate) client: Arc<dyn AgentApi>,
    pub(crate) description: AgentDescription,
    /// Latency in microseconds that calls have beyond those to an agent in the entry's own zone.
    pub(crate) extra_latency_us: u64,
}

impl Message<FindEligible> for AgentRegistry {
    type Reply = Option<EligibleAgents>;

    async fn handle(
        &mut self,
        msg: FindEligible,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let cfg = self.config.borrow().clone()?;
        cfg.teams.get(&msg.team)?;
        let selector = cfg.selector_for(&msg.team, &msg.class, msg.model.as_ref())?;
        let class_priority = cfg.classes.get(&msg.class).map(|class| class.priority);
        let priority = selector.priority.or(class_priority).unwrap_or_default();
        let agents = self.eligible_agents(&cfg, selector, msg.model.as_ref());
        Some(EligibleAgents { priority, agents, config: cfg.clone() })
    }
}
