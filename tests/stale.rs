//! Attempts that were routed to an engine which has since restarted or changed its weights.

mod fleet;

use std::{collections::HashSet, time::Duration};

use dogwoodway_peer::{
    AgentApi, BackendKind, FramesReply, ProbeReply, ProbeRequest, StartReply, StartRequest,
    TarpcAgent,
};
use dogwoodway_types::{
    AttemptId, ChatMessage, ChatWork, FrameKind, LogOffset, ModelName, NotRunReason, Outcome,
    PrefixChain, Priority, RequestId, TeamName, Timestamp, WeightsVersion, Work,
};
use hyper::Method;
use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetOptions, chat_body};

const REQUEST_TIMEOUT_MS: u64 = 60_000;

fn chat_fleet(engines: usize) -> FleetOptions {
    FleetOptions { engines, services: 0, entries: 1, decode_us: 4_000, ..FleetOptions::default() }
}

/// Sends a `POST` request to an engine, which must succeed.
async fn post(fleet: &Fleet, engine: usize, path: &str, body: &Value) {
    let url = format!("{}{path}", fleet.engines[engine].url());
    let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
    let body = body.to_string().into();
    let reply = fleet.http.call(Method::POST, &url, "application/json", body, timeout).await;
    assert!(reply.unwrap().status.is_success());
}

/// Returns the piece hashes of a prompt as an entry computes them.
fn prefix_chain(team: &str, version: u32, body: &Value) -> PrefixChain {
    let messages: Vec<ChatMessage> = serde_json::from_value(body["messages"].clone()).unwrap();
    let model = ModelName::try_from("demo-model").unwrap();
    let team = TeamName::try_from(team).unwrap();
    PrefixChain::new(&team, &model, WeightsVersion(version), &messages)
}

async fn probe(agent: &TarpcAgent, prefix_chain: &PrefixChain) -> ProbeReply {
    let hashes = prefix_chain.hashes.clone();
    let req = ProbeRequest { hashes, priority: Priority(5), config_offset: LogOffset(1) };
    agent.probe(req).await.unwrap()
}

/// Starts a chat at an agent like an entry that has received `probe_reply`, and returns the frames
/// without their sequence numbers, or the reason for which the start was refused.
async fn run_chat(
    agent: &TarpcAgent,
    probe_reply: &ProbeReply,
    version: u32,
    body: &Value,
) -> Result<Vec<FrameKind>, NotRunReason> {
    let BackendKind::Engine { incarnation, .. } = probe_reply.kind else {
        panic!("the backend server is not an engine")
    };
    let attempt = AttemptId(rand::random());
    let req = StartRequest {
        attempt,
        request: RequestId(rand::random()),
        team: TeamName::try_from("demo").unwrap(),
        priority: Priority(5),
        start_before: Timestamp::now() + Duration::from_secs(5),
        deadline: Timestamp::now() + Duration::from_secs(30),
        config_offset: probe_reply.config_offset,
        agent: probe_reply.agent,
        engine: incarnation,
        claim: None,
        is_suspect: false,
        work: Work::Chat(ChatWork {
            model: ModelName::try_from("demo-model").unwrap(),
            version: WeightsVersion(version),
            messages: serde_json::from_value(body["messages"].clone()).unwrap(),
            prefix: prefix_chain("demo", version, body),
            max_tokens: u32::try_from(body["max_tokens"].as_u64().unwrap()).unwrap(),
            resume_after: Vec::new(),
        }),
    };
    if let StartReply::NotRun { reason, .. } = agent.start(req).await.unwrap() {
        return Err(reason);
    }
    let mut kinds: Vec<FrameKind> = Vec::new();
    while !kinds.last().is_some_and(FrameKind::is_last) {
        match agent.frames(attempt, kinds.len() as u64).await.unwrap() {
            FramesReply::Frames { frames, .. } => kinds.extend(frames.into_iter().map(|f| f.kind)),
            FramesReply::NoAttempt => panic!("the agent does not know the attempt"),
        }
    }
    Ok(kinds)
}

/// Returns whether a chat was refused at the start as stale, or ended with an error as its only
/// frame.
fn is_stale(result: &Result<Vec<FrameKind>, NotRunReason>) -> bool {
    match result {
        Err(reason) => *reason == NotRunReason::StaleBackendServer,
        Ok(kinds) => {
            matches!(
                &kinds[..],
                [FrameKind::Error { outcome: Outcome::NotRun { .. } | Outcome::Failed { .. }, .. }]
            )
        }
    }
}

#[tokio::test]
async fn engine_restart_between_probe_and_start_is_detected() {
    let fleet = Fleet::start(chat_fleet(1)).await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let body = chat_body(&"billet ".repeat(3_000), 3);
    assert_eq!(fleet.chat(0, &body).await.status, 200);
    let prefix = prefix_chain("demo", 1, &body);
    let mut probe_reply = probe(&agent, &prefix).await;
    while probe_reply.matched == 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        probe_reply = probe(&agent, &prefix).await;
    }
    assert_eq!(probe(&agent, &prefix_chain("other", 1, &body)).await.matched, 0);
    assert_eq!(probe(&agent, &prefix_chain("demo", 2, &body)).await.matched, 0);
    post(&fleet, 0, "/crash", &json!(null)).await;
    assert!(is_stale(&run_chat(&agent, &probe_reply, 1, &body).await));
    let mut current = probe(&agent, &prefix).await;
    while current.kind == probe_reply.kind {
        current = probe(&agent, &prefix).await;
    }
    assert_eq!(current.matched, 0);
    assert!(is_stale(&run_chat(&agent, &probe_reply, 1, &body).await));
    assert!(run_chat(&agent, &current, 1, &body).await.is_ok_and(|kinds| kinds.len() == 5));
}

#[tokio::test]
async fn changed_weights_are_detected_at_the_start_or_by_the_first_frame() {
    let fleet = Fleet::start(chat_fleet(1)).await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let body = chat_body("weights", 3);
    let probe_reply = probe(&agent, &prefix_chain("demo", 1, &body)).await;
    for version in 2..12 {
        post(&fleet, 0, "/control", &json!({"version": version})).await;
        assert!(is_stale(&run_chat(&agent, &probe_reply, 1, &body).await));
    }
}

#[tokio::test]
async fn no_response_mixes_weights_that_change_while_requests_wait() {
    let fleet = Fleet::start(chat_fleet(2)).await;
    let body = chat_body("compare", 40);
    let text = |reply: dogwoodway_http::HttpResponse| {
        assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
        let answer: Value = serde_json::from_slice(&reply.body).unwrap();
        answer["choices"][0]["message"]["content"].as_str().unwrap().to_owned()
    };
    let change_weights = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        post(&fleet, 0, "/control", &json!({"version": 2})).await;
    };
    let chats = futures::future::join_all((0..60).map(|_| fleet.chat(0, &body)));
    let (replies, ()) = tokio::join!(chats, change_weights);
    let answers: HashSet<_> = replies.into_iter().map(text).collect();
    let mut expected = HashSet::new();
    for (agent, version) in [(1, 1), (0, 2)] {
        let agent = TarpcAgent::new(fleet.agents[agent].address);
        let probe_reply = probe(&agent, &prefix_chain("demo", version, &body)).await;
        let kinds = run_chat(&agent, &probe_reply, version, &body).await.unwrap();
        let tokens = kinds.iter().map(|kind| match kind {
            FrameKind::Token { text, .. } => text.as_str(),
            _ => "",
        });
        expected.insert(tokens.collect::<String>());
    }
    assert!(answers.is_subset(&expected), "{answers:?}");
}
