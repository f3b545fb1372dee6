//! Streams that lose their engine, agent, link or caller at any point.

mod fleet;

use std::time::Duration;

use serde_json::{Value, json};

use crate::fleet::{
    Fleet, FleetOptions, chat_body,
    link::LinkState,
    stream::{CallerStream, Seen},
};

/// Tokens of a stream whose processes are killed, one between any two of its frames.
const TOKENS: u32 = 4;

const SLOW: FleetOptions = FleetOptions {
    engines: 2,
    services: 0,
    entries: 1,
    decode_us: 40_000,
    kv_store: false,
    links: true,
    checks_fencing: true,
};

/// Longest time that a test may take before it counts as hanging.
const HANG_SECONDS: u64 = 300;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    EngineKilled,
    EngineFrozen,
    AgentKilled,
    AgentFrozen,
    LinkCut,
    LinkFrozen,
}

impl Loss {
    fn strike(self, fleet: &mut Fleet, at: usize) {
        match self {
            Loss::EngineKilled => fleet.engines[at].kill(),
            Loss::EngineFrozen => fleet.engines[at].signal("STOP"),
            Loss::AgentKilled => fleet.agents[at].kill(),
            Loss::AgentFrozen => fleet.agents[at].signal("STOP"),
            Loss::LinkCut => fleet.links[at].set(LinkState::Cut),
            Loss::LinkFrozen => fleet.links[at].set(LinkState::Frozen),
        }
    }

    fn mend(self, fleet: &mut Fleet, at: usize) {
        match self {
            Loss::EngineKilled => fleet.engines[at].restart(),
            Loss::EngineFrozen => fleet.engines[at].signal("CONT"),
            Loss::AgentKilled => fleet.agents[at].restart(),
            Loss::AgentFrozen => fleet.agents[at].signal("CONT"),
            Loss::LinkCut | Loss::LinkFrozen => fleet.links[at].set(LinkState::Open),
        }
    }
}

async fn whole(fleet: &Fleet, body: &Value) -> Seen {
    let seen = CallerStream::open(fleet, 0, body).ended().await;
    assert!(seen.is_done && seen.error.is_none(), "{seen:?}");
    seen
}

/// Strikes at each frame boundary of a stream; the caller must see the same answer each time, and
/// the lost attempt must not go on at its engine.
async fn strike_everywhere(loss: Loss) {
    let test = async {
        let mut fleet = Fleet::start(SLOW).await;
        let body = chat_body(&format!("{loss:?}"), TOKENS);
        let wanted = whole(&fleet, &body).await;
        assert_eq!(wanted.tokens.len(), TOKENS as usize);
        fleet.wait_until_used(0, 0).await;
        fleet.wait_until_used(0, 1).await;
        for boundary in 0..=TOKENS as usize {
            let mut stream = CallerStream::open(&fleet, 0, &body);
            let at = fleet.busy_engine().await;
            stream.has_read(boundary).await;
            loss.strike(&mut fleet, at);
            let seen = stream.ended().await;
            assert_eq!(seen.tokens, wanted.tokens, "boundary {boundary}: {seen:?}");
            assert!(seen.is_done, "boundary {boundary}: {seen:?}");
            assert_eq!(completion_tokens(&seen), u64::from(TOKENS));
            loss.mend(&mut fleet, at);
            fleet.wait_until_idle().await;
            fleet.wait_until_used(0, at).await;
        }
    };
    bounded(test).await;
}

fn completion_tokens(seen: &Seen) -> u64 {
    seen.usage.as_ref().and_then(|u| u["completion_tokens"].as_u64()).unwrap_or_default()
}

async fn bounded<F>(test: F)
where
    F: Future<Output = ()>,
{
    let limit = Duration::from_secs(HANG_SECONDS);
    tokio::time::timeout(limit, test).await.expect("the test hangs");
}

#[tokio::test]
async fn streams_survive_killed_engines() {
    strike_everywhere(Loss::EngineKilled).await;
}

#[tokio::test]
async fn streams_survive_frozen_engines() {
    strike_everywhere(Loss::EngineFrozen).await;
}

#[tokio::test]
async fn streams_survive_killed_agents() {
    strike_everywhere(Loss::AgentKilled).await;
}

#[tokio::test]
async fn streams_survive_frozen_agents() {
    strike_everywhere(Loss::AgentFrozen).await;
}

#[tokio::test]
async fn streams_survive_cut_links() {
    strike_everywhere(Loss::LinkCut).await;
}

#[tokio::test]
async fn streams_survive_frozen_links() {
    strike_everywhere(Loss::LinkFrozen).await;
}

#[tokio::test]
async fn streams_survive_cuts_and_torn_events_of_the_engine() {
    let test = async {
        let options = FleetOptions { decode_us: 1_000, ..SLOW };
        let fleet = Fleet::start(options).await;
        let body = chat_body("cuts", TOKENS);
        let wanted = whole(&fleet, &body).await;
        for fault in ["cut-after", "tear-after"] {
            for events in 0..=TOKENS + 1 {
                for engine in 0..2 {
                    let fault = json!({"stream": {fault: events}, "streams": 1});
                    fleet.set_fault(engine, &fault).await;
                }
                let seen = whole(&fleet, &body).await;
                assert_eq!(seen.tokens, wanted.tokens, "{fault} {events}");
                assert_eq!(completion_tokens(&seen), u64::from(TOKENS));
            }
        }
    };
    bounded(test).await;
}

#[tokio::test]
async fn a_stream_that_stalls_on_a_living_engine_is_resumed_elsewhere() {
    let test = async {
        let fleet = Fleet::start(SLOW).await;
        let body = chat_body("stall", TOKENS);
        let wanted = whole(&fleet, &body).await;
        for engine in 0..2 {
            fleet.set_fault(engine, &json!({"stream": {"stall-after": 3}, "streams": 1})).await;
        }
        let seen = whole(&fleet, &body).await;
        assert_eq!(seen.tokens, wanted.tokens);
        fleet.wait_until_idle().await;
    };
    bounded(test).await;
}

#[tokio::test]
async fn an_answer_is_not_continued_on_other_weights() {
    let test = async {
        let mut fleet = Fleet::start(SLOW).await;
        let body = chat_body("weights", 50);
        let mut stream = CallerStream::open(&fleet, 0, &body);
        let at = fleet.busy_engine().await;
        let other = 1 - at;
        fleet.engines[other].restart_with(&["--weights", "2"]);
        stream.has_read(2).await;
        fleet.engines[at].kill();
        let seen = stream.ended().await;
        assert_eq!(seen.error.as_deref(), Some("failed"), "{seen:?}");
        assert!(!seen.is_done && seen.usage.is_none(), "{seen:?}");
        let index = seen.tokens.len();
        assert!((2..50).contains(&index), "{seen:?}");
    };
    bounded(test).await;
}

#[tokio::test]
async fn a_caller_that_leaves_while_no_token_comes_ends_the_work() {
    let test = async {
        let fleet = Fleet::start(SLOW).await;
        for engine in 0..2 {
            fleet.set_fault(engine, &json!({"stream": {"stall-after": 1}, "streams": 9})).await;
        }
        let stream = CallerStream::open_in_class(&fleet, 0, &chat_body("left", 100_000), "long");
        let at = fleet.busy_engine().await;
        while fleet.engine_number(at, "/fault", "streams").await == 9 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        stream.leave();
        fleet.wait_until_idle().await;
        let left = fleet.engine_number(0, "/fault", "streams").await
            + fleet.engine_number(1, "/fault", "streams").await;
        assert_eq!(left, 17, "the request was run again for nobody");
    };
    bounded(test).await;
}

#[tokio::test]
async fn an_answer_whose_entry_is_killed_or_frozen_does_not_run_on() {
    let test = async {
        let mut fleet = Fleet::start(FleetOptions { entries: 2, ..SLOW }).await;
        for (entry, signal) in [(0, "STOP"), (1, "KILL")] {
            let _stream =
                CallerStream::open_in_class(&fleet, entry, &chat_body(signal, 100_000), "long");
            fleet.busy_engine().await;
            fleet.entries[entry].signal(signal);
            fleet.wait_until_idle().await;
        }
        fleet.entries[0].kill();
    };
    bounded(test).await;
}
