//! Claims of requests that must not run twice, and the fingerprints of requests.

use dogwoodway_caller::{CallerRequest, CallerWork};
use dogwoodway_types::{
    ClaimKey, ClaimRequest, NotRunReason, Outcome, PieceHash, RequestFingerprint, TeamName,
};

/// Returns the claim that an agent must make before it runs a request.
///
/// Only requests with an idempotency key are claimed, and only if the configuration does not
/// declare them repeatable.
pub(crate) fn claim_request(req: &CallerRequest, repeatable: bool) -> Option<ClaimRequest> {
    let key = req.idempotency_key.as_ref().filter(|_| !repeatable)?;
    Some(ClaimRequest {
        key: ClaimKey::new(&req.team, key),
        fingerprint: fingerprint(&req.team, &req.work),
    })
}

/// Computes the digest that identifies a request by its content.
pub(crate) fn fingerprint(team: &TeamName, work: &CallerWork) -> RequestFingerprint {
    match work {
        CallerWork::Service(call) => {
            let texts = [&call.method, &call.path, &call.content_type].map(|t| t.as_bytes());
            let [method, path, content_type] = texts;
            RequestFingerprint::new(team, &[b"call", method, path, content_type, &call.body])
        }
        CallerWork::Chat { model, messages, max_tokens } => {
            let max_tokens = max_tokens.to_le_bytes();
            let mut parts: Vec<&[u8]> = vec![b"chat", model.as_str().as_bytes(), &max_tokens];
            for message in messages {
                parts.extend([message.role.as_bytes(), message.content.as_bytes()]);
            }
            RequestFingerprint::new(team, &parts)
        }
    }
}

/// Returns the rendezvous key that determines in which order agents are tried for a claimed
/// request.
///
/// All claim keys of a log partition share it. Only few agents then have to read the partition, and
/// copies of a request that arrive at different entries are sent to the same agent.
pub(crate) fn placement_key(claim: &ClaimRequest) -> PieceHash {
    PieceHash(u128::from(claim.key.partition().0))
}

/// Returns whether an outcome of a claimed request is final, so that no other agent may be tried.
pub(crate) fn is_final(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::NotRun { reason, .. } => {
            matches!(reason, NotRunReason::LogUnavailable | NotRunReason::KeyReused)
        }
        Outcome::Unknown { .. } | Outcome::Failed { .. } => true,
        Outcome::Answered => false,
    }
}
