//! Token budgets of teams are enforced by the entries of a running fleet.

mod fleet;

use dogwoodway_types::{ConfigEdit, KeyHash};
use serde_json::Value;

use crate::fleet::{API_KEY, Fleet, FleetOptions, chat_body};

/// Maximum number of requests that are sent until one is refused. Each has about 7,000 tokens, so
/// all of them together are far beyond the budget of 6,000 tokens per minute.
const MAX_REQUESTS: usize = 50;

#[tokio::test]
async fn request_beyond_the_token_budget_of_a_team_is_refused() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let hash = String::from(KeyHash::new("pepper", API_KEY));
    let team = format!(
        "- !team {{name: demo, keys: [{hash}], tokens_per_minute: 6000, max_in_flight: 10}}"
    );
    let edits: Vec<ConfigEdit> = serde_yaml_ng::from_str(&team).unwrap();
    fleet.publish(&edits).await;
    let mut refusal = None;
    for i in 0..MAX_REQUESTS {
        let prompt = format!("{i} {}", "billet ".repeat(4_000));
        let reply = fleet.chat(i % 2, &chat_body(&prompt, 2)).await;
        if reply.status != 200 {
            refusal = Some(reply);
            break;
        }
    }
    let refusal = refusal.expect("one of the requests is refused");
    assert_eq!(refusal.status, 429);
    let body: Value = serde_json::from_slice(&refusal.body).unwrap();
    assert_eq!(body["error"]["type"], "not-run");
    assert_eq!(body["error"]["code"], "team-limit");
}
