//! The actor that owns what an entry knows of agents.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use dogwoodway_peer::{AgentApi, AgentDescription, BackendKind, TarpcAgent};
use dogwoodway_types::{
    BackendServerName, ClassName, Configuration, ModelName, Priority, TeamName,
};
use kameo::{
    Actor,
    message::{Context, Message},
};

use crate::config_follower::ConfigWatch;

/// What an entry knows of agents; only this actor changes it.
#[derive(Actor)]
pub(crate) struct Router {
    config: ConfigWatch,
    agents: HashMap<SocketAddr, KnownAgent>,
}

struct KnownAgent {
    link: Arc<dyn AgentApi>,
    description: Option<AgentDescription>,
}

impl Router {
    /// Builds a router that knows no agents.
    pub(crate) fn new(config: ConfigWatch) -> Router {
        Router { config, agents: HashMap::new() }
    }
}

/// Tells which agents exist; answers with links to all of them.
pub(crate) struct SeeAddresses(pub(crate) Vec<SocketAddr>);

impl Message<SeeAddresses> for Router {
    type Reply = Vec<(SocketAddr, Arc<dyn AgentApi>)>;

    async fn handle(
        &mut self,
        msg: SeeAddresses,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.agents.retain(|address, _| msg.0.contains(address));
        for address in msg.0 {
            self.agents.entry(address).or_insert_with(|| KnownAgent {
                link: Arc::new(TarpcAgent::new(address)),
                description: None,
            });
        }
        self.agents.iter().map(|(address, agent)| (*address, agent.link.clone())).collect()
    }
}

/// Tells what an agent says of itself, `None` if it cannot be reached.
pub(crate) struct SeeAgent {
    pub(crate) address: SocketAddr,
    pub(crate) description: Option<AgentDescription>,
}

impl Message<SeeAgent> for Router {
    type Reply = ();

    async fn handle(&mut self, msg: SeeAgent, _: &mut Context<Self, Self::Reply>) {
        if let Some(agent) = self.agents.get_mut(&msg.address) {
            agent.description = msg.description;
        }
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
        let fits = |d: &AgentDescription| {
            let kind_fits = match (&d.kind, &msg.model) {
                (BackendKind::Service, None) => true,
                (BackendKind::Engine { model, version, .. }, Some(wanted)) => {
                    model == wanted && selector.version.is_none_or(|v| v == *version)
                }
                _ => false,
            };
            kind_fits && !d.leaving && cfg.is_eligible(selector, &d.name, &d.zone, &d.labels)
        };
        let mut agents: Vec<_> = self
            .agents
            .values()
            .filter_map(|agent| {
                let description = agent.description.as_ref().filter(|d| fits(d))?.clone();
                let name = description.name.clone();
                Some(EligibleAgent { name, link: agent.link.clone(), description })
            })
            .collect();
        agents.sort_by(|a, b| a.name.cmp(&b.name));
        Some(Eligible { priority, agents, config: cfg.clone() })
    }
}
