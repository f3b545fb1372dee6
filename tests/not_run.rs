//! What is refused as not run was not run, and `unknown` is said where it is the truth.

mod fleet;

use std::time::Duration;

use assert_matches::assert_matches;
use dogwoodway_peer::{
    AgentApi, FramesReply, ProbeRequest, SettleReply, StartReply, StartRequest, TarpcAgent,
};
use dogwoodway_types::{
    AgentIncarnation, AttemptId, FrameKind, Priority, RequestId, ServiceWork, TeamName, Timestamp,
    Work,
};
use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetOptions};

async fn start_fleet() -> Fleet {
    let options = FleetOptions { engines: 0, services: 1, entries: 1, ..FleetOptions::default() };
    Fleet::start(options).await
}

/// Builds a reservation that can be told from all others by its attempt.
async fn reservation(agent: &TarpcAgent, attempt: u128) -> StartRequest {
    let described = agent.describe().await.unwrap();
    let now = Timestamp::now();
    StartRequest {
        attempt: AttemptId(attempt),
        request: RequestId(attempt),
        team: TeamName::try_from("demo").unwrap(),
        priority: Priority::default(),
        start_before: now + Duration::from_secs(30),
        deadline: now + Duration::from_secs(30),
        config_offset: described.config_offset,
        agent: described.incarnation,
        engine: None,
        claim: None,
        is_suspect: false,
        work: Work::Service(ServiceWork {
            method: "POST".to_owned(),
            path: "/reservations".to_owned(),
            content_type: "application/json".to_owned(),
            body: format!("reservation-{attempt}").into_bytes(),
        }),
    }
}

async fn runs(fleet: &Fleet, attempt: u128) -> usize {
    let body = format!("reservation-{attempt}");
    fleet.service_calls().await.iter().filter(|call| **call == body).count()
}

/// Reads the frames of an attempt until its last one.
async fn read_to_end(agent: &TarpcAgent, id: AttemptId) -> Vec<FrameKind> {
    let mut kinds: Vec<FrameKind> = Vec::new();
    while !kinds.last().is_some_and(FrameKind::is_last) {
        match agent.frames(id, kinds.len() as u64).await.unwrap() {
            FramesReply::Frames { frames, .. } => kinds.extend(frames.into_iter().map(|f| f.kind)),
            FramesReply::NoAttempt => panic!("the agent knows no such attempt"),
        }
    }
    kinds
}

async fn delay_service(fleet: &Fleet, delay_ms: u32) {
    let url = format!("{}/fault", fleet.services[0].url());
    let limit = Duration::from_secs(30);
    let fault = json!({"delay_ms": delay_ms});
    let set: Result<Value, _> = fleet.http.json(hyper::Method::POST, &url, &fault, limit).await;
    set.unwrap();
}

#[tokio::test]
async fn every_refusal_is_a_tombstone() {
    let fleet = start_fleet().await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let good = reservation(&agent, 1).await;
    let refused = [
        StartRequest { agent: AgentIncarnation(0), ..good.clone() },
        StartRequest { attempt: AttemptId(2), deadline: Timestamp(0), ..good.clone() },
        StartRequest { attempt: AttemptId(3), start_before: Timestamp(0), ..good.clone() },
    ];
    for req in refused {
        let copy = StartRequest { attempt: req.attempt, ..good.clone() };
        let late = req.start_before == Timestamp(0);
        let reply = agent.start(req).await.unwrap();
        match late {
            true => assert_eq!(reply, StartReply::Forgotten),
            false => {
                assert_matches!(reply, StartReply::NotRun { .. });
                assert_matches!(agent.start(copy).await.unwrap(), StartReply::NotRun { .. });
            }
        }
    }
    assert_eq!(runs(&fleet, 1).await, 0);
}

#[tokio::test]
async fn a_delayed_copy_does_not_run_after_the_question() {
    let fleet = start_fleet().await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let req = reservation(&agent, 1).await;
    let settled = agent.settle(req.attempt, req.agent, req.start_before).await.unwrap();
    assert_eq!(settled, SettleReply::NotStarted);
    assert_matches!(agent.start(req).await.unwrap(), StartReply::NotRun { .. });
    assert_eq!(runs(&fleet, 1).await, 0);
}

#[tokio::test]
async fn a_lost_reply_to_an_accepted_start_is_found_out_and_the_answer_read() {
    let fleet = start_fleet().await;
    let lost = TarpcAgent::new(fleet.agents[0].address);
    let req = reservation(&lost, 1).await;
    assert_eq!(lost.start(req.clone()).await.unwrap(), StartReply::Accepted);
    drop(lost);
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let settled = agent.settle(req.attempt, req.agent, req.start_before).await.unwrap();
    assert_eq!(settled, SettleReply::Started);
    assert_eq!(agent.start(req.clone()).await.unwrap(), StartReply::Accepted);
    let frames = read_to_end(&agent, req.attempt).await;
    assert_matches!(frames[..], [FrameKind::Response { status: 200, .. }, FrameKind::End { .. }]);
    assert_eq!(runs(&fleet, 1).await, 1);
}

#[tokio::test]
async fn a_copy_of_a_running_attempt_is_not_refused_as_not_run_by_a_leaving_agent() {
    let mut fleet = start_fleet().await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let req = reservation(&agent, 1).await;
    delay_service(&fleet, 2_000).await;
    assert_eq!(agent.start(req.clone()).await.unwrap(), StartReply::Accepted);
    fleet.agents[0].signal("TERM");
    while !agent.describe().await.unwrap().leaving {}
    assert_eq!(agent.start(req.clone()).await.unwrap(), StartReply::Accepted);
    let frames = read_to_end(&agent, req.attempt).await;
    assert_matches!(frames[..], [FrameKind::Response { status: 200, .. }, FrameKind::End { .. }]);
    assert_eq!(runs(&fleet, 1).await, 1);
    assert!(fleet.agents[0].wait());
}

#[tokio::test]
async fn a_reservation_whose_agent_is_replaced_is_unknown_at_once() {
    let mut fleet = start_fleet().await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let req = reservation(&agent, 1).await;
    delay_service(&fleet, 1_500).await;
    let body = json!({"billet": 9});
    let address = fleet.entries[0].url();
    let http = fleet.http.clone();
    let call = tokio::spawn(async move {
        let headers = [("authorization", format!("Bearer {}", fleet::KEY))];
        let url = format!("{address}/services/reservations");
        let limit = Duration::from_secs(60);
        let (post, json) = (hyper::Method::POST, "application/json");
        http.call_with_headers(post, &url, json, body.to_string().into(), &headers, limit).await
    });
    let probe = ProbeRequest {
        hashes: Vec::new(),
        priority: Priority::default(),
        config_offset: req.config_offset,
    };
    while agent.probe(probe.clone()).await.unwrap().load == 0 {}
    fleet.agents[0].restart();
    let reply = call.await.unwrap().unwrap();
    assert_eq!(reply.status, 504);
    let error: Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(error["error"]["type"], "unknown");
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let settled = agent.settle(req.attempt, req.agent, req.start_before).await.unwrap();
    assert_eq!(settled, SettleReply::OtherIncarnation);
}
