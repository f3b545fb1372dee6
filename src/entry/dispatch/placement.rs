//! Chooses the agent that runs an attempt.

use dogwoodway_caller::{CallerRequest, CallerWork};
use dogwoodway_peer::{BackendKind, ProbeReply, ProbeRequest};
use dogwoodway_routing::placement::{self, Candidate, rendezvous_order};
use dogwoodway_types::{ChatWork, PieceHash, PrefixChain, Work};

use crate::entry::{
    dispatch::progress::Progress,
    router::{Eligible, EligibleAgent},
};

/// Agents that are probed for one placement.
const PROBES: usize = 3;

/// Chooses an agent for a request and prepares the work for it.
pub(super) async fn place(
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
