//! An attempt that is reported as not run never runs, and a request that may have run is reported as
//! unknown.

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

/// Builds an attempt at a reservation. Its number occurs in the request body, by which executions
/// are counted.
async fn reservation(agent: &TarpcAgent, attempt: u128) -> StartRequest {
    let description = agent.describe().await.unwrap();
    let now = Timestamp::now();
    StartRequest {
        attempt: AttemptId(attempt),
        request: RequestId(attempt),
        team: TeamName::try_from("demo").unwrap(),
        priority: Priority::default(),
        start_before: now + Duration::from_secs(30),
        deadline: now + Duration::from_secs(30),
        config_offset: description.config_offset,
        agent: description.incarnation,
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

/// Returns how many times the service executed the reservation with this attempt number.
async fn execution_count(fleet: &Fleet, attempt: u128) -> usize {
    let body = format!("reservation-{attempt}");
    fleet.service_calls().await.iter().filter(|call| **call == body).count()
}

/// Reads the frames of an attempt until its last one.
async fn read_frames(agent: &TarpcAgent, id: AttemptId) -> Vec<FrameKind> {
    let mut kinds: Vec<FrameKind> = Vec::new();
    while !kinds.last().is_some_and(FrameKind::is_last) {
        match agent.frames(id, kinds.len() as u64).await.unwrap() {
            FramesReply::Frames { frames, .. } => kinds.extend(frames.into_iter().map(|f| f.kind)),
            FramesReply::NoAttempt => panic!("the agent does not know attempt {id:?}"),
        }
    }
    kinds
}

async fn delay_service(fleet: &Fleet, delay_ms: u32) {
    let url = format!("{}/fault", fleet.services[0].url());
    let timeout = Duration::from_secs(30);
    let fault = json!({"delay_ms": delay_ms});
    let set: Result<Value, _> = fleet.http.json(hyper::Method::POST, &url, &fault, timeout).await;
    set.unwrap();
}

#[tokio::test]
async fn refused_attempt_never_runs_later() {
    let fleet = start_fleet().await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let valid = reservation(&agent, 1).await;
    let refused = [
        StartRequest { agent: AgentIncarnation(0), ..valid.clone() },
        StartRequest { attempt: AttemptId(2), deadline: Timestamp(0), ..valid.clone() },
        StartRequest { attempt: AttemptId(3), start_before: Timestamp(0), ..valid.clone() },
    ];
    for req in refused {
        let copy = StartRequest { attempt: req.attempt, ..valid.clone() };
        let is_late = req.start_before == Timestamp(0);
        let reply = agent.start(req).await.unwrap();
        match is_late {
            true => assert_eq!(reply, StartReply::Forgotten),
            false => {
                assert_matches!(reply, StartReply::NotRun { .. });
                assert_matches!(agent.start(copy).await.unwrap(), StartReply::NotRun { .. });
            }
        }
    }
    assert_eq!(execution_count(&fleet, 1).await, 0);
}

#[tokio::test]
async fn start_that_arrives_after_settle_does_not_run() {
    let fleet = start_fleet().await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let req = reservation(&agent, 1).await;
    let settle_reply = agent.settle(req.attempt, req.agent, req.start_before).await.unwrap();
    assert_eq!(settle_reply, SettleReply::NotStarted);
    assert_matches!(agent.start(req).await.unwrap(), StartReply::NotRun { .. });
    assert_eq!(execution_count(&fleet, 1).await, 0);
}

#[tokio::test]
async fn settle_finds_a_started_attempt_after_its_start_reply_was_lost() {
    let fleet = start_fleet().await;
    let first_client = TarpcAgent::new(fleet.agents[0].address);
    let req = reservation(&first_client, 1).await;
    assert_eq!(first_client.start(req.clone()).await.unwrap(), StartReply::Accepted);
    drop(first_client);
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let settle_reply = agent.settle(req.attempt, req.agent, req.start_before).await.unwrap();
    assert_eq!(settle_reply, SettleReply::Started);
    assert_eq!(agent.start(req.clone()).await.unwrap(), StartReply::Accepted);
    let frames = read_frames(&agent, req.attempt).await;
    assert_matches!(frames[..], [FrameKind::Response { status: 200, .. }, FrameKind::End { .. }]);
    assert_eq!(execution_count(&fleet, 1).await, 1);
}

#[tokio::test]
async fn leaving_agent_accepts_a_copy_of_a_running_attempt() {
    let mut fleet = start_fleet().await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let req = reservation(&agent, 1).await;
    delay_service(&fleet, 2_000).await;
    assert_eq!(agent.start(req.clone()).await.unwrap(), StartReply::Accepted);
    fleet.agents[0].signal("TERM");
    while !agent.describe().await.unwrap().leaving {}
    assert_eq!(agent.start(req.clone()).await.unwrap(), StartReply::Accepted);
    let frames = read_frames(&agent, req.attempt).await;
    assert_matches!(frames[..], [FrameKind::Response { status: 200, .. }, FrameKind::End { .. }]);
    assert_eq!(execution_count(&fleet, 1).await, 1);
    assert!(fleet.agents[0].exits_successfully());
}

#[tokio::test]
async fn reservation_is_reported_as_unknown_when_its_agent_restarts() {
    let mut fleet = start_fleet().await;
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let req = reservation(&agent, 1).await;
    delay_service(&fleet, 1_500).await;
    let body = json!({"billet": 9});
    let entry_url = fleet.entries[0].url();
    let http = fleet.http.clone();
    let reservation_call = tokio::spawn(async move {
        let headers = [("authorization", format!("Bearer {}", fleet::API_KEY))];
        let url = format!("{entry_url}/services/reservations");
        let timeout = Duration::from_secs(60);
        let (post, json) = (hyper::Method::POST, "application/json");
        http.call_with_headers(post, &url, json, body.to_string().into(), &headers, timeout).await
    });
    let probe = ProbeRequest {
        hashes: Vec::new(),
        priority: Priority::default(),
        config_offset: req.config_offset,
    };
    while agent.probe(probe.clone()).await.unwrap().load == 0 {}
    fleet.agents[0].restart();
    let reply = reservation_call.await.unwrap().unwrap();
    assert_eq!(reply.status, 504);
    let error: Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(error["error"]["type"], "unknown");
    let agent = TarpcAgent::new(fleet.agents[0].address);
    let settle_reply = agent.settle(req.attempt, req.agent, req.start_before).await.unwrap();
    assert_eq!(settle_reply, SettleReply::OtherIncarnation);
}
