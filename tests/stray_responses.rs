//! Responses that answer no request, on the connections between agents and their backend servers.

mod fleet;

use std::time::Duration;

use dogwoodway_http::HttpResponse;
use hyper::Method;
use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetOptions, chat_body};

/// Requests that meet an armed proxy, one after the other.
const ROUNDS: usize = 6;

async fn start_fleet(engines: usize, services: usize) -> Fleet {
    let options = FleetOptions {
        engines,
        services,
        entries: 1,
        stray_proxies: true,
        ..FleetOptions::default()
    };
    Fleet::start(options).await
}

/// Returns how many requests the engines have scheduled, according to their journals.
async fn scheduled(fleet: &Fleet) -> usize {
    let mut count = 0;
    for engine in &fleet.engines {
        let url = format!("{}/journal", engine.url());
        let timeout = Duration::from_secs(10);
        let journal: Vec<Value> =
            fleet.http.json(Method::GET, &url, &(), timeout).await.expect("a journal");
        count += journal.iter().filter(|record| record.to_string().contains("cheduled")).count();
    }
    count
}

fn text(reply: &HttpResponse) -> String {
    format!("{}: {}", reply.status.as_u16(), String::from_utf8_lossy(&reply.body))
}

#[tokio::test]
async fn stray_refusal_of_an_engine_leads_to_no_second_run() {
    let fleet = start_fleet(2, 0).await;
    for status in [404, 429, 400] {
        for round in 0..ROUNDS {
            fleet
                .stray_proxies
                .iter()
                .for_each(|proxy| proxy.arm("POST /v1/chat", status, "stray"));
            let before = scheduled(&fleet).await;
            let body = chat_body(&format!("{status} {round}"), 3);
            let class = [("x-dogwoodway-class", "reservation")];
            let reply = fleet.post(0, "/v1/chat/completions", &body, &class).await;
            let runs = scheduled(&fleet).await - before;
            assert_eq!(runs, 1, "stray {status}: {}", text(&reply));
            assert!(!text(&reply).contains("not-run"), "stray {status}: {}", text(&reply));
        }
    }
}

#[tokio::test]
async fn stray_response_of_a_service_is_not_passed_on() {
    let fleet = start_fleet(0, 2).await;
    for status in [200, 503, 409] {
        for round in 0..ROUNDS {
            fleet
                .stray_proxies
                .iter()
                .for_each(|proxy| proxy.arm("POST /reservations", status, "stray"));
            let body = json!({"billet": format!("{status}-{round}-")});
            let reply = fleet.post(0, "/services/reservations", &body, &[]).await;
            assert!(!text(&reply).contains("stray"), "stray {status}: {}", text(&reply));
            let calls = fleet.service_calls().await;
            let runs = calls.iter().filter(|call| call.contains(&format!("{status}-{round}-")));
            assert_eq!(runs.count(), 1, "stray {status}: {}", text(&reply));
        }
    }
}
