//! What an entry does for requests that must not run twice.

use dogwoodway_caller::{CallerRequest, CallerWork};
use dogwoodway_types::{
    ClaimKey, ClaimRequest, NotRunReason, Outcome, PieceHash, RequestFingerprint, TeamName,
};

/// Returns what an agent must claim before it runs a request: only requests that the
/// configuration does not let run twice are claimed, and only if they carry a key.
pub(crate) fn claim_of(req: &CallerRequest, repeatable: bool) -> Option<ClaimRequest> {
    let key = req.key.as_ref().filter(|_| !repeatable)?;
    Some(ClaimRequest {
        key: ClaimKey::new(&req.team, key),
        fingerprint: fingerprint(&req.team, &req.work),
    })
}

/// Digests the content of a request.
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

/// Returns the key of the rendezvous order in which agents are asked to run a claimed request.
///
/// All keys of a partition share it, so that few agents read the partition and copies of one
/// request meet at one agent.
pub(crate) fn home_key(claim: &ClaimRequest) -> PieceHash {
    PieceHash(u128::from(claim.key.partition().0))
}

/// Tells whether no other agent may be tried after an outcome of a claimed request.
pub(crate) fn is_final(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::NotRun { reason, .. } => {
            matches!(reason, NotRunReason::LogUnavailable | NotRunReason::KeyReused)
        }
        Outcome::Unknown { .. } | Outcome::Failed { .. } => true,
        Outcome::Answered => false,
    }
}
