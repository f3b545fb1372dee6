//! Chooses the agent that runs an attempt.
//!
//! The agents that are likely to have the prompt cached are probed, and the one with the lowest
//! cost is chosen; see [`dogwoodway_routing::placement`]. Claimed requests are placed by the
//! rendezvous order of their claim instead.

use std::time::Duration;

use dogwoodway_caller::{CallerRequest, CallerWork};
use dogwoodway_peer::{BackendKind, ProbeReply, ProbeRequest};
use dogwoodway_routing::{
    placement::{self, Candidate},
    rendezvous::{self, Server, ServerKey},
};
use dogwoodway_types::{
    BackendServerName, ChatWork, ClaimRequest, PieceHash, PrefixChain, Timestamp, WeightsVersion,
    Work,
};
use futures::{StreamExt, stream::FuturesUnordered};
use kameo::actor::ActorRef;

use crate::entry::{
    agent_registry::{EligibleAgent, EligibleAgents},
    dispatch::{
        probe_selector::{ProbeSelector, SelectProbeTargets},
        request_state::RequestState,
    },
    idempotency,
};

/// Time limit in milliseconds for a probe of the first round.
const PROBE_TIMEOUT_MS: u64 = 150;

/// Time limit in milliseconds for a probe of the second round, which follows if no probed agent
/// accepted the request in time.
const SECOND_ROUND_TIMEOUT_MS: u64 = 900;

/// Maximum number of agents that are probed in the second round.
const MAX_SECOND_ROUND_PROBES: usize = 16;

/// Label that holds a backend server's capacity relative to others, a whole number; 1 if absent.
const CAPACITY_LABEL: &str = "capacity";

/// Chooses an agent for a request and builds the work for it; `None` if no agent accepts work.
pub(super) async fn place(
    probe_selector: &ActorRef<ProbeSelector>,
    req: &CallerRequest,
    eligible: &EligibleAgents,
    state: &RequestState,
) -> Option<(EligibleAgent, ProbeReply, Work)> {
    let mut chains = PrefixChains { req, chains: Vec::new() };
    if let Some(claim) = &state.claim {
        return place_claimed(claim, eligible, chains, state).await;
    }
    let chain = chains.for_kind(&eligible.agents.first()?.description.kind);
    let key = placement::shared_level(chain).unwrap_or(PieceHash(req.id.0));
    let servers = eligible.agents.iter().map(rendezvous_server).collect();
    let seed = rand::random();
    let probed = probe_selector.ask(SelectProbeTargets { key, servers, seed }).await.ok()?;
    let mut replies = probe_all(&probed, eligible, &mut chains).await;
    if replies.is_empty() {
        replies = probe_any(&probed, eligible, &mut chains).await;
    }
    let preferred_servers = probed.iter().take(placement::PREFERRED_PROBES);
    let preferred_servers: Vec<_> = preferred_servers.map(|&i| &eligible.agents[i].name).collect();
    let slack = state.deadline - Timestamp::now();
    let (agent, reply) = &replies[choose(&replies, &preferred_servers, &mut chains, slack)?];
    let work = chains.build_work(reply, state)?;
    Some(((*agent).clone(), reply.clone(), work))
}

/// Chooses the first agent that accepts work, in the rendezvous order of a claim.
///
/// The agents are probed one after the other, so that copies of the request are sent to the same
/// agent wherever possible.
async fn place_claimed(
    claim: &ClaimRequest,
    eligible: &EligibleAgents,
    mut chains: PrefixChains<'_>,
    state: &RequestState,
) -> Option<(EligibleAgent, ProbeReply, Work)> {
    let servers: Vec<_> = eligible.agents.iter().map(rendezvous_server).collect();
    let order = rendezvous::top_servers(idempotency::placement_key(claim), &servers, servers.len());
    let mut replies = Vec::new();
    for i in &order {
        replies = probe_all(&[*i], eligible, &mut chains).await;
        if !replies.is_empty() {
            break;
        }
    }
    if replies.is_empty() {
        replies = probe_any(&order, eligible, &mut chains).await;
    }
    let (agent, reply) = replies.first()?;
    let work = chains.build_work(reply, state)?;
    Some(((*agent).clone(), reply.clone(), work))
}

/// The request's prefix chains, computed when first needed for a weights version.
struct PrefixChains<'a> {
    req: &'a CallerRequest,
    chains: Vec<(Option<WeightsVersion>, PrefixChain)>,
}

impl PrefixChains<'_> {
    /// Returns the chain for a backend server; it is empty for a plain service.
    fn for_kind(&mut self, kind: &BackendKind) -> &PrefixChain {
        let version = match kind {
            BackendKind::Engine { version, .. } => Some(*version),
            BackendKind::Service => None,
        };
        let known = self.chains.iter().position(|(v, _)| *v == version);
        let i = known.unwrap_or_else(|| {
            self.chains.push((version, self.compute(version)));
            self.chains.len() - 1
        });
        &self.chains[i].1
    }

    fn compute(&self, version: Option<WeightsVersion>) -> PrefixChain {
        match (&self.req.work, version) {
            (CallerWork::Chat { model, messages, .. }, Some(version)) => {
                PrefixChain::new(&self.req.team, model, version, messages)
            }
            _ => PrefixChain::default(),
        }
    }

    /// Builds the work for the agent that sent `reply`; `None` for a chat at a plain service.
    fn build_work(&mut self, reply: &ProbeReply, state: &RequestState) -> Option<Work> {
        match (&self.req.work, &reply.kind) {
            (CallerWork::Service(call), _) => Some(Work::Service(call.clone())),
            (CallerWork::Chat { .. }, BackendKind::Service) => None,
            (
                CallerWork::Chat { model, messages, max_tokens },
                BackendKind::Engine { version, .. },
            ) => Some(Work::Chat(ChatWork {
                model: model.clone(),
                version: *version,
                messages: messages.clone(),
                prefix: self.for_kind(&reply.kind).clone(),
                max_tokens: *max_tokens,
                resume_after: state.stream.delivered().to_vec(),
            })),
        }
    }
}

fn rendezvous_server(agent: &EligibleAgent) -> Server {
    let weight = agent.description.labels.get(CAPACITY_LABEL);
    let weight = weight.and_then(|text| text.parse().ok()).unwrap_or(1);
    Server { key: ServerKey::new(&agent.name), weight }
}

/// Probes agents at the same time and returns the replies of those that accept work.
async fn probe_all<'a>(
    probed: &[usize],
    eligible: &'a EligibleAgents,
    chains: &mut PrefixChains<'_>,
) -> Vec<(&'a EligibleAgent, ProbeReply)> {
    let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
    let probes = probed.iter().filter_map(|&i| eligible.agents.get(i));
    let probes: Vec<_> =
        probes.map(|agent| probe(agent, probe_request(agent, eligible, chains), limit)).collect();
    futures::future::join_all(probes).await.into_iter().flatten().collect()
}

/// Probes the agents in `preferred`, and others up to [`MAX_SECOND_ROUND_PROBES`], all at the same
/// time and with a longer time limit. Returns only the first reply that accepts work.
///
/// On a busy network or machine, all probes of the first round may time out. Refusing the request
/// then would turn a short delay into a lost request.
async fn probe_any<'a>(
    preferred: &[usize],
    eligible: &'a EligibleAgents,
    chains: &mut PrefixChains<'_>,
) -> Vec<(&'a EligibleAgent, ProbeReply)> {
    let limit = Duration::from_millis(SECOND_ROUND_TIMEOUT_MS);
    let others = (0..eligible.agents.len()).filter(|i| !preferred.contains(i));
    let probed = preferred.iter().copied().chain(others).take(MAX_SECOND_ROUND_PROBES);
    let mut probes: FuturesUnordered<_> = probed
        .filter_map(|i| eligible.agents.get(i))
        .map(|agent| probe(agent, probe_request(agent, eligible, chains), limit))
        .collect();
    while let Some(reply) = probes.next().await {
        if reply.is_some() {
            return reply.into_iter().collect();
        }
    }
    Vec::new()
}

fn probe_request(
    agent: &EligibleAgent,
    eligible: &EligibleAgents,
    chains: &mut PrefixChains<'_>,
) -> ProbeRequest {
    ProbeRequest {
        hashes: chains.for_kind(&agent.description.kind).hashes.clone(),
        priority: eligible.priority,
        config_offset: eligible.config.offset,
    }
}

async fn probe(
    agent: &EligibleAgent,
    req: ProbeRequest,
    limit: Duration,
) -> Option<(&EligibleAgent, ProbeReply)> {
    let reply = tokio::time::timeout(limit, agent.client.probe(req)).await.ok()?.ok()?;
    (reply.accepting && runs_as_described(agent, &reply)).then_some((agent, reply))
}

/// Returns the index of the reply with the lowest placement cost.
fn choose(
    replies: &[(&EligibleAgent, ProbeReply)],
    preferred_servers: &[&BackendServerName],
    chains: &mut PrefixChains<'_>,
    slack: Duration,
) -> Option<usize> {
    #[cfg(feature = "baselines")]
    if let Some(baseline) = super::baseline::configured() {
        return super::baseline::choose(baseline, replies.iter().map(|(_, reply)| reply));
    }
    let candidates: Vec<_> = replies
        .iter()
        .map(|(agent, reply)| {
            let chain = chains.for_kind(&reply.kind);
            let cached = chain.prefix_tokens(reply.matched as usize);
            Candidate {
                wait_us: reply.wait_us + agent.extra_latency_us,
                uncached_tokens: chain.total_tokens() - cached,
                prefill_ns: reply.prefill_ns,
                is_preferred: preferred_servers.contains(&&agent.name),
            }
        })
        .collect();
    placement::choose(&candidates, slack)
}

/// Returns whether a backend server still serves the model and weights version for which it was
/// found eligible.
fn runs_as_described(agent: &EligibleAgent, reply: &ProbeReply) -> bool {
    let weights = |kind: &BackendKind| match kind {
        BackendKind::Engine { model, version, .. } => Some((model.clone(), *version)),
        BackendKind::Service => None,
    };
    weights(&agent.description.kind) == weights(&reply.kind)
}
