//! Engines that restart or change weights between a probe, a start and the first frame.

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

const LIMIT_MS: u64 = 60_000;

fn chat_fleet(engines: usize) -> FleetOptions {
    FleetOptions { engines, services: 0, entries: 1, decode_us: 4_000, ..FleetOptions::default() }
}

async fn post(fleet: &Fleet, engine: usize, path: &str, body: &Value) {
    let url = format!("{}{path}", fleet.engines[engine].url());
    let limit = Duration::from_millis(LIMIT_MS);
    let body = body.to_string().into();
    let reply = fleet.http.call(Method::POST, &url, "application/json", body, limit).await;
    assert!(reply.unwrap().status.is_success());
}

fn chain(team: &str, version: u32, body: &Value) -> PrefixChain {
    let messages: Vec<ChatMessage> = serde_json::from_value(body["messages"].clone()).unwrap();
    let model = ModelName::try_from("demo-model").unwrap();
    let team = TeamName::try_from(team).unwrap();
    PrefixChain::new(&team, &model, WeightsVersion(version), &messages)
}

async fn probe(agent: &TarpcAgent, chain: &PrefixChain) -> ProbeReply {
    let hashes = chain.hashes.clone();
    let req = ProbeRequest { hashes, priority: Priority(5), config_offset: LogOffset(1) };
    agent.probe(req).await.unwrap()
}

/// Runs a chat at an agent as an entry would after `probed`; returns the frames' kinds.
async fn run(
    agent: &TarpcAgent,
    probed: &ProbeReply,
    version: u32,
    body: &Value,
) -> Result<Vec<FrameKind>, NotRunReason> {
    let BackendKind::Engine { incarnation, .. } = probed.kind else { panic!("an engine") };
    let attempt = AttemptId(rand::random());
    let req = StartRequest {
        attempt,
        request: RequestId(rand::random()),
        team: TeamName::try_from("demo").unwrap(),
        priority: Priority(5),
        start_before: Timestamp::now() + Duration::from_secs(5),
        deadline: Timestamp::now() + Duration::from_secs(30),
        config_offset: probed.config_offset,
        agent: probed.agent,
        engine: incarnation,
        claim: None,
        is_suspect: false,
        work: Work::Chat(ChatWork {
            model: ModelName::try_from("demo-model").unwrap(),
            version: WeightsVersion(version),
            messages: serde_json::from_value(body["messages"].clone()).unwrap(),
            prefix: chain("demo", version, body),
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
            FramesReply::NoAttempt => panic!("the attempt is forgotten"),
        }
    }
    Ok(kinds)
}

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
async fn restart_between_probe_and_run_is_noticed() {
    let fleet = Fleet::start(chat_fleet(1)).await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let body = chat_body(&"billet ".repeat(3_000), 3);
    assert_eq!(fleet.chat(0, &body).await.status, 200);
    let prompt = chain("demo", 1, &body);
    let mut probed = probe(&agent, &prompt).await;
    while probed.matched == 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        probed = probe(&agent, &prompt).await;
    }
    assert_eq!(probe(&agent, &chain("other", 1, &body)).await.matched, 0);
    assert_eq!(probe(&agent, &chain("demo", 2, &body)).await.matched, 0);
    post(&fleet, 0, "/crash", &json!(null)).await;
    assert!(is_stale(&run(&agent, &probed, 1, &body).await));
    let mut now = probe(&agent, &prompt).await;
    while now.kind == probed.kind {
        now = probe(&agent, &prompt).await;
    }
    assert_eq!(now.matched, 0);
    assert!(is_stale(&run(&agent, &probed, 1, &body).await));
    assert!(run(&agent, &now, 1, &body).await.is_ok_and(|kinds| kinds.len() == 5));
}

#[tokio::test]
async fn changed_weights_are_noticed_at_the_start_and_on_the_first_frame() {
    let fleet = Fleet::start(chat_fleet(1)).await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let body = chat_body("weights", 3);
    let probed = probe(&agent, &chain("demo", 1, &body)).await;
    for version in 2..12 {
        post(&fleet, 0, "/control", &json!({"version": version})).await;
        assert!(is_stale(&run(&agent, &probed, 1, &body).await));
    }
}

#[tokio::test]
async fn no_answer_mixes_weights_when_they_change_under_waiting_requests() {
    let fleet = Fleet::start(chat_fleet(2)).await;
    let body = chat_body("compare", 40);
    let text = |reply: dogwoodway_http::HttpResponse| {
        assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
        let answer: Value = serde_json::from_slice(&reply.body).unwrap();
        answer["choices"][0]["message"]["content"].as_str().unwrap().to_owned()
    };
    let change = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        post(&fleet, 0, "/control", &json!({"version": 2})).await;
    };
    let chats = futures::future::join_all((0..60).map(|_| fleet.chat(0, &body)));
    let (replies, ()) = tokio::join!(chats, change);
    let answers: HashSet<_> = replies.into_iter().map(text).collect();
    let mut pure = HashSet::new();
    for (agent, version) in [(1, 1), (0, 2)] {
        let agent = TarpcAgent::new(fleet.agents[agent].address);
        let probed = probe(&agent, &chain("demo", version, &body)).await;
        let kinds = run(&agent, &probed, version, &body).await.unwrap();
        let tokens = kinds.iter().map(|kind| match kind {
            FrameKind::Token { text, .. } => text.as_str(),
            _ => "",
        });
        pure.insert(tokens.collect::<String>());
    }
    assert!(answers.is_subset(&pure), "{answers:?}");
}
