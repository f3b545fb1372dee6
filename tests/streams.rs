//! Streams whose engine, agent, connection, entry or client is lost. An interrupted stream is resumed
//! on another engine and delivers the same tokens, and an abandoned request stops.

mod fleet;

use std::time::Duration;

use serde_json::{Value, json};

use crate::fleet::{
    Fleet, FleetOptions, chat_body,
    proxy::ProxyState,
    stream::{CallerStream, ReceivedStream},
};

/// Tokens of an interrupted stream. A fault is injected after each number of received tokens from 0
/// to this one.
const STREAM_TOKENS: u32 = 4;

/// Decodes slowly enough for a fault to take effect before the stream has ended.
const SLOW_FLEET: FleetOptions = FleetOptions {
    engines: 2,
    services: 0,
    entries: 1,
    decode_us: 40_000,
    kv_store: false,
    proxies: true,
    stray_proxies: false,
    checks_fencing: true,
};

/// Time after which a test fails because it makes no progress.
const TEST_TIMEOUT_SECONDS: u64 = 300;

/// A fault of an engine, of an agent, or of the link between the entries and an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    EngineKilled,
    EngineFrozen,
    AgentKilled,
    AgentFrozen,
    LinkCut,
    LinkFrozen,
}

impl Fault {
    /// Injects the fault at the engine with index `engine`, at its agent, or at the proxy in front
    /// of that agent.
    fn inject(self, fleet: &mut Fleet, engine: usize) {
        match self {
            Fault::EngineKilled => fleet.engines[engine].kill(),
            Fault::EngineFrozen => fleet.engines[engine].signal("STOP"),
            Fault::AgentKilled => fleet.agents[engine].kill(),
            Fault::AgentFrozen => fleet.agents[engine].signal("STOP"),
            Fault::LinkCut => fleet.proxies[engine].set_state(ProxyState::Closed),
            Fault::LinkFrozen => fleet.proxies[engine].set_state(ProxyState::Frozen),
        }
    }

    /// Ends the fault.
    fn revert(self, fleet: &mut Fleet, engine: usize) {
        match self {
            Fault::EngineKilled => fleet.engines[engine].restart(),
            Fault::EngineFrozen => fleet.engines[engine].signal("CONT"),
            Fault::AgentKilled => fleet.agents[engine].restart(),
            Fault::AgentFrozen => fleet.agents[engine].signal("CONT"),
            Fault::LinkCut | Fault::LinkFrozen => {
                fleet.proxies[engine].set_state(ProxyState::Forwarding);
            }
        }
    }
}

/// Sends a chat and returns its stream, which must be complete and free of errors.
async fn complete_stream(fleet: &Fleet, body: &Value) -> ReceivedStream {
    let received = CallerStream::open(fleet, 0, body).finish().await;
    assert!(received.is_done && received.error.is_none(), "{received:?}");
    received
}

/// Injects the fault after each number of received tokens, in a new stream each time. The client must
/// receive the same response each time, and the interrupted attempt must not continue on its engine.
async fn inject_after_each_token(fault: Fault) {
    let test = async {
        let mut fleet = Fleet::start(SLOW_FLEET).await;
        let body = chat_body(&format!("{fault:?}"), STREAM_TOKENS);
        let expected = complete_stream(&fleet, &body).await;
        assert_eq!(expected.tokens.len(), STREAM_TOKENS as usize);
        fleet.wait_until_routed_to(0, 0).await;
        fleet.wait_until_routed_to(0, 1).await;
        for token_count in 0..=STREAM_TOKENS as usize {
            let mut stream = CallerStream::open(&fleet, 0, &body);
            let engine = fleet.wait_for_busy_engine().await;
            stream.wait_for_tokens(token_count).await;
            fault.inject(&mut fleet, engine);
            let received = stream.finish().await;
            assert_eq!(
                received.tokens, expected.tokens,
                "after {token_count} tokens: {received:?}"
            );
            assert!(received.is_done, "after {token_count} tokens: {received:?}");
            assert_eq!(completion_tokens(&received), u64::from(STREAM_TOKENS));
            fault.revert(&mut fleet, engine);
            fleet.wait_until_idle().await;
            fleet.wait_until_routed_to(0, engine).await;
        }
    };
    with_timeout(test).await;
}

/// Returns the number of completion tokens that the entry reported, 0 if it reported none.
fn completion_tokens(received: &ReceivedStream) -> u64 {
    received.usage.as_ref().and_then(|u| u["completion_tokens"].as_u64()).unwrap_or_default()
}

/// Runs a test and panics if it takes longer than [`TEST_TIMEOUT_SECONDS`].
async fn with_timeout<F>(test: F)
where
    F: Future<Output = ()>,
{
    let timeout = Duration::from_secs(TEST_TIMEOUT_SECONDS);
    tokio::time::timeout(timeout, test).await.expect("the test finishes within its timeout");
}

#[tokio::test]
async fn streams_survive_killed_engines() {
    inject_after_each_token(Fault::EngineKilled).await;
}

#[tokio::test]
async fn streams_survive_frozen_engines() {
    inject_after_each_token(Fault::EngineFrozen).await;
}

#[tokio::test]
async fn streams_survive_killed_agents() {
    inject_after_each_token(Fault::AgentKilled).await;
}

#[tokio::test]
async fn streams_survive_frozen_agents() {
    inject_after_each_token(Fault::AgentFrozen).await;
}

#[tokio::test]
async fn streams_survive_cut_links() {
    inject_after_each_token(Fault::LinkCut).await;
}

#[tokio::test]
async fn streams_survive_frozen_links() {
    inject_after_each_token(Fault::LinkFrozen).await;
}

#[tokio::test]
async fn streams_survive_connections_cut_between_and_within_events() {
    let test = async {
        let options = FleetOptions { decode_us: 1_000, ..SLOW_FLEET };
        let fleet = Fleet::start(options).await;
        let body = chat_body("cuts", STREAM_TOKENS);
        let expected = complete_stream(&fleet, &body).await;
        for fault in ["cut-after", "tear-after"] {
            for events in 0..=STREAM_TOKENS + 1 {
                for engine in 0..2 {
                    let fault = json!({"stream": {fault: events}, "streams": 1});
                    fleet.set_fault(engine, &fault).await;
                }
                let received = complete_stream(&fleet, &body).await;
                assert_eq!(received.tokens, expected.tokens, "{fault} {events}");
                assert_eq!(completion_tokens(&received), u64::from(STREAM_TOKENS));
            }
        }
    };
    with_timeout(test).await;
}

#[tokio::test]
async fn stream_that_stalls_on_a_live_engine_is_resumed_on_another() {
    let test = async {
        let fleet = Fleet::start(SLOW_FLEET).await;
        let body = chat_body("stall", STREAM_TOKENS);
        let expected = complete_stream(&fleet, &body).await;
        for engine in 0..2 {
            fleet.set_fault(engine, &json!({"stream": {"stall-after": 3}, "streams": 1})).await;
        }
        let received = complete_stream(&fleet, &body).await;
        assert_eq!(received.tokens, expected.tokens);
        fleet.wait_until_idle().await;
    };
    with_timeout(test).await;
}

#[tokio::test]
async fn stream_is_not_resumed_on_other_weights() {
    let test = async {
        let mut fleet = Fleet::start(SLOW_FLEET).await;
        let body = chat_body("weights", 50);
        let mut stream = CallerStream::open(&fleet, 0, &body);
        let engine = fleet.wait_for_busy_engine().await;
        let other = 1 - engine;
        fleet.engines[other].restart_with(&["--weights", "2"]);
        stream.wait_for_tokens(2).await;
        fleet.engines[engine].kill();
        let received = stream.finish().await;
        assert_eq!(received.error.as_deref(), Some("failed"), "{received:?}");
        assert!(!received.is_done && received.usage.is_none(), "{received:?}");
        let token_count = received.tokens.len();
        assert!((2..50).contains(&token_count), "{received:?}");
    };
    with_timeout(test).await;
}

/// Starts a stream, restarts all but `same` of the other engines with other software, and kills the
/// engine that runs the stream. Returns the stream, and another one that nothing interrupts.
async fn stream_across_a_release(engines: usize, same: usize) -> (ReceivedStream, ReceivedStream) {
    let mut fleet = Fleet::start(FleetOptions { engines, ..SLOW_FLEET }).await;
    let body = chat_body("software", 50);
    let expected = complete_stream(&fleet, &body).await;
    let mut stream = CallerStream::open(&fleet, 0, &body);
    let engine = fleet.wait_for_busy_engine().await;
    for n in 1..engines - same {
        fleet.engines[(engine + n) % engines].restart_with(&["--software", "v2"]);
    }
    stream.wait_for_tokens(2).await;
    fleet.engines[engine].kill();
    (stream.finish().await, expected)
}

#[tokio::test]
async fn stream_is_not_resumed_on_other_software() {
    with_timeout(async {
        let (received, _) = stream_across_a_release(3, 0).await;
        assert_eq!(received.error.as_deref(), Some("failed"), "{received:?}");
        assert!(!received.is_done && received.usage.is_none(), "{received:?}");
        assert!((2..50).contains(&received.tokens.len()), "{received:?}");
    })
    .await;
}

#[tokio::test]
async fn stream_is_resumed_on_the_last_engine_of_its_software() {
    with_timeout(async {
        let (received, expected) = stream_across_a_release(4, 1).await;
        assert_eq!(received.tokens, expected.tokens, "{received:?}");
        assert!(received.is_done, "{received:?}");
    })
    .await;
}

#[tokio::test]
async fn client_disconnect_during_a_stall_cancels_the_request() {
    let test = async {
        let fleet = Fleet::start(SLOW_FLEET).await;
        for engine in 0..2 {
            fleet.set_fault(engine, &json!({"stream": {"stall-after": 1}, "streams": 9})).await;
        }
        let stream = CallerStream::open_with_class(&fleet, 0, &chat_body("left", 100_000), "long");
        let engine = fleet.wait_for_busy_engine().await;
        while fleet.engine_field(engine, "/fault", "streams").await == 9 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        stream.disconnect();
        fleet.wait_until_idle().await;
        // One of the 2 × 9 faults was used, by the only stream that an engine has started.
        let remaining_faults = fleet.engine_field(0, "/fault", "streams").await
            + fleet.engine_field(1, "/fault", "streams").await;
        assert_eq!(
            remaining_faults, 17,
            "the engines started more than one stream for a client that has disconnected"
        );
    };
    with_timeout(test).await;
}

#[tokio::test]
async fn request_stops_when_its_entry_is_killed_or_frozen() {
    let test = async {
        let mut fleet = Fleet::start(FleetOptions { entries: 2, ..SLOW_FLEET }).await;
        for (entry, signal) in [(0, "STOP"), (1, "KILL")] {
            let _stream =
                CallerStream::open_with_class(&fleet, entry, &chat_body(signal, 100_000), "long");
            fleet.wait_for_busy_engine().await;
            fleet.entries[entry].signal(signal);
            fleet.wait_until_idle().await;
        }
        fleet.entries[0].kill();
    };
    with_timeout(test).await;
}
