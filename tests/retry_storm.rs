//! The retry budget bounds the number of attempts when two of three agents are lost under load, which
//! prevents a retry storm.

mod fleet;

use std::{collections::BTreeMap, net::TcpListener, time::Duration};

use dogwoodway_http::HttpClient;
use hyper::Method;

use crate::fleet::{Fleet, FleetOptions, chat_body};

/// Number of requests that are sent at the same time.
const REQUESTS_PER_ROUND: usize = 200;

/// Capacity of an entry's retry budget in retries.
const RETRY_BURST: u64 = 128;

/// Number of requests after which the budget grows by one retry.
const REQUESTS_PER_RETRY: u64 = 5;

/// Sends [`REQUESTS_PER_ROUND`] requests at the same time and counts the statuses of the responses.
async fn send_round(fleet: &Fleet, status_counts: &mut BTreeMap<u16, u64>) {
    let prompts: Vec<_> =
        (0..REQUESTS_PER_ROUND).map(|i| chat_body(&format!("question {i}"), 4)).collect();
    let replies = prompts.iter().map(|body| fleet.chat(0, body));
    for reply in futures::future::join_all(replies).await {
        *status_counts.entry(reply.status.as_u16()).or_default() += 1;
    }
}

/// Returns the sum of a counter over all its labels.
fn counter(page: &str, name: &str) -> u64 {
    let lines = page.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

#[tokio::test]
async fn attempts_stay_within_the_retry_budget_when_agents_are_lost() {
    let options = FleetOptions {
        engines: 3,
        services: 0,
        entries: 1,
        decode_us: 2_000,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(options).await;
    let metrics_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    fleet.entries[0].restart_with_setting(&format!("metrics_listen: {metrics_address}"));
    fleet.http = HttpClient::new();
    while !fleet.chat(0, &chat_body("up?", 1)).await.status.is_success() {}
    let mut status_counts = BTreeMap::new();
    send_round(&fleet, &mut status_counts).await;
    for lost in 0..2 {
        fleet.agents[lost].kill();
        fleet.engines[lost].kill();
    }
    for _ in 0..4 {
        send_round(&fleet, &mut status_counts).await;
    }
    let url = format!("http://{metrics_address}/metrics");
    let timeout = Duration::from_secs(30);
    let page = fleet.http.call(Method::GET, &url, "", Vec::new().into(), timeout).await.unwrap();
    let page = String::from_utf8_lossy(&page.body).into_owned();
    let (requests, attempts) =
        (counter(&page, "dogwoodway_requests_total"), counter(&page, "dogwoodway_attempts_total"));
    let denied = counter(&page, "dogwoodway_retries_denied_total");
    println!(
        "requests {requests}, attempts {attempts}, retries denied {denied}, statuses {status_counts:?}"
    );
    assert!(attempts <= requests + RETRY_BURST + requests / REQUESTS_PER_RETRY);
    assert_eq!(status_counts.values().sum::<u64>(), 5 * REQUESTS_PER_ROUND as u64);
    assert!(
        status_counts.keys().all(|status| [200, 502, 503, 504].contains(status)),
        "{status_counts:?}"
    );
}
