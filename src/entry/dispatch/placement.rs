//! Chooses the agent that runs an attempt.

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
    dispatch::{
        placer::{Placer, Shortlist},
        progress::Progress,
    },
    idempotency,
    router::{Eligible, EligibleAgent},
};

/// Time after which a probe is given up.
const PROBE_TIMEOUT_MS: u64 = 150;

/// Time after which a probe is given up when all probes of a request were late.
const LATE_PROBE_TIMEOUT_MS: u64 = 900;

/// Agents that are probed when all probes of a request were late.
const LATE_PROBES: usize = 16;

/// Label that states a backend server's capacity relative to others.
const CAPACITY_LABEL: &str = "capacity";

/// Chooses an agent for a request and prepares the work for it.
pub(super) async fn place(
    placer: &ActorRef<Placer>,
    req: &CallerRequest,
    eligible: &Eligible,
    progress: &Progress,
) -> Option<(EligibleAgent, ProbeReply, Work)> {
    let mut chains = Chains { req, chains: Vec::new() };
    if let Some(claim) = &progress.claim {
        return place_at_home(claim, eligible, chains, progress).await;
    }
    let home = chains.of(&eligible.agents.first()?.description.kind);
    let key = placement::shared_level(home).unwrap_or(PieceHash(req.id.0));
    let servers = eligible.agents.iter().map(server).collect();
    let seed = rand::random();
    let probed = placer.ask(Shortlist { key, servers, seed }).await.ok()?;
    let mut replies = probe_all(&probed, eligible, &mut chains).await;
    if replies.is_empty() {
        replies = probe_first(&probed, eligible, &mut chains).await;
    }
    let homes = probed.iter().take(placement::HOME_PROBES);
    let homes: Vec<_> = homes.map(|&i| &eligible.agents[i].name).collect();
    let slack = progress.deadline - Timestamp::now();
    let (agent, reply) = &replies[choose(&replies, &homes, &mut chains, slack)?];
    let work = chains.work(reply, progress)?;
    Some(((*agent).clone(), reply.clone(), work))
}

/// Chooses the first agent in the order of a claim that takes work.
async fn place_at_home(
    claim: &ClaimRequest,
    eligible: &Eligible,
    mut chains: Chains<'_>,
    progress: &Progress,
) -> Option<(EligibleAgent, ProbeReply, Work)> {
    let servers: Vec<_> = eligible.agents.iter().map(server).collect();
    let order = rendezvous::top_servers(idempotency::home_key(claim), &servers, servers.len());
    let mut replies = Vec::new();
    for i in &order {
        replies = probe_all(&[*i], eligible, &mut chains).await;
        if !replies.is_empty() {
            break;
        }
    }
    if replies.is_empty() {
        replies = probe_first(&order, eligible, &mut chains).await;
    }
    let (agent, reply) = replies.first()?;
    let work = chains.work(reply, progress)?;
    Some(((*agent).clone(), reply.clone(), work))
}

/// The prompt's pieces for each weights version in use.
struct Chains<'a> {
    req: &'a CallerRequest,
    chains: Vec<(Option<WeightsVersion>, PrefixChain)>,
}

impl Chains<'_> {
    fn of(&mut self, kind: &BackendKind) -> &PrefixChain {
        let version = match kind {
            BackendKind::Engine { version, .. } => Some(*version),
            BackendKind::Service => None,
        };
        let known = self.chains.iter().position(|(v, _)| *v == version);
        let i = known.unwrap_or_else(|| {
            self.chains.push((version, self.cut(version)));
            self.chains.len() - 1
        });
        &self.chains[i].1
    }

    fn cut(&self, version: Option<WeightsVersion>) -> PrefixChain {
        match (&self.req.work, version) {
            (CallerWork::Chat { model, messages, .. }, Some(version)) => {
                PrefixChain::new(&self.req.team, model, version, messages)
            }
            _ => PrefixChain::default(),
        }
    }

    fn work(&mut self, reply: &ProbeReply, progress: &Progress) -> Option<Work> {
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
                prefix: self.of(&reply.kind).clone(),
                max_tokens: *max_tokens,
                resume_after: progress.stream.delivered().to_vec(),
            })),
        }
    }
}

fn server(agent: &EligibleAgent) -> Server {
    let weight = agent.description.labels.get(CAPACITY_LABEL);
    let weight = weight.and_then(|text| text.parse().ok()).unwrap_or(1);
    Server { key: ServerKey::new(&agent.name), weight }
}

/// Probes agents; those that do not reply in time or take no work are left out.
async fn probe_all<'a>(
    probed: &[usize],
    eligible: &'a Eligible,
    chains: &mut Chains<'_>,
) -> Vec<(&'a EligibleAgent, ProbeReply)> {
    let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
    let probes = probed.iter().filter_map(|&i| eligible.agents.get(i));
    let probes: Vec<_> =
        probes.map(|agent| probe(agent, probe_request(agent, eligible, chains), limit)).collect();
    futures::future::join_all(probes).await.into_iter().flatten().collect()
}

/// Probes the agents that come first, and others besides, with more time; takes the first that
/// accepts work.
///
/// On a busy network or machine all probes of a request may be late. Refusing it then would turn a
/// short delay into a lost request.
async fn probe_first<'a>(
    first: &[usize],
    eligible: &'a Eligible,
    chains: &mut Chains<'_>,
) -> Vec<(&'a EligibleAgent, ProbeReply)> {
    let limit = Duration::from_millis(LATE_PROBE_TIMEOUT_MS);
    let others = (0..eligible.agents.len()).filter(|i| !first.contains(i));
    let probed = first.iter().copied().chain(others).take(LATE_PROBES);
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
    eligible: &Eligible,
    chains: &mut Chains<'_>,
) -> ProbeRequest {
    ProbeRequest {
        hashes: chains.of(&agent.description.kind).hashes.clone(),
        priority: eligible.priority,
        config_offset: eligible.config.offset,
    }
}

async fn probe(
    agent: &EligibleAgent,
    req: ProbeRequest,
    limit: Duration,
) -> Option<(&EligibleAgent, ProbeReply)> {
    let reply = tokio::time::timeout(limit, agent.link.probe(req)).await.ok()?.ok()?;
    (reply.accepting && runs_as_described(agent, &reply)).then_some((agent, reply))
}

fn choose(
    replies: &[(&EligibleAgent, ProbeReply)],
    homes: &[&BackendServerName],
    chains: &mut Chains<'_>,
    slack: Duration,
) -> Option<usize> {
    #[cfg(feature = "baselines")]
    if let Some(baseline) = super::baseline::chosen() {
        return super::baseline::choose(baseline, replies.iter().map(|(_, reply)| reply));
    }
    let candidates: Vec<_> = replies
        .iter()
        .map(|(agent, reply)| {
            let chain = chains.of(&reply.kind);
            let cached = chain.prefix_tokens(reply.matched as usize);
            Candidate {
                wait_us: reply.wait_us + agent.distance_us,
                uncached_tokens: chain.total_tokens() - cached,
                prefill_ns: reply.prefill_ns,
                is_home: homes.contains(&&agent.name),
            }
        })
        .collect();
    placement::choose(&candidates, slack)
}

/// Tells whether a backend server still runs the model and version by which it was found eligible.
fn runs_as_described(agent: &EligibleAgent, reply: &ProbeReply) -> bool {
    let weights = |kind: &BackendKind| match kind {
        BackendKind::Engine { model, version, .. } => Some((model.clone(), *version)),
        BackendKind::Service => None,
    };
    weights(&agent.description.kind) == weights(&reply.kind)
}
