//! Limits of teams on the whole path.

mod fleet;

use dogwoodway_types::{ConfigEdit, KeyHash};
use serde_json::Value;

use crate::fleet::{Fleet, FleetOptions, KEY, chat_body};

/// Requests of 7,000 tokens each, far beyond the budget.
const MOST_REQUESTS: usize = 50;

#[tokio::test]
async fn team_beyond_its_budget_is_refused_as_not_run() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let hash = String::from(KeyHash::new("pepper", KEY));
    let team = format!(
        "- !team {{name: demo, keys: [{hash}], tokens_per_minute: 6000, max_in_flight: 10}}"
    );
    let edits: Vec<ConfigEdit> = serde_yaml_ng::from_str(&team).unwrap();
    fleet.publish(&edits).await;
    let mut refused = None;
    for case in 0..MOST_REQUESTS {
        let prompt = format!("{case} {}", "billet ".repeat(4_000));
        let reply = fleet.chat(case % 2, &chat_body(&prompt, 2)).await;
        if reply.status != 200 {
            refused = Some(reply);
            break;
        }
    }
    let refused = refused.expect("a request is refused");
    assert_eq!(refused.status, 429);
    let body: Value = serde_json::from_slice(&refused.body).unwrap();
    assert_eq!(body["error"]["type"], "not-run");
    assert_eq!(body["error"]["code"], "team-limit");
}
