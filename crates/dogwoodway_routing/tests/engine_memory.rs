//! KV memory of an engine that many routers send requests to.

use std::{collections::VecDeque, time::Duration};

use dogwoodway_routing::direct::engine_memory::{
    EngineMemory, MemoryVerdict, UnseenTokens, tokens_at_end,
};
use dogwoodway_types::Timestamp;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 5;
const RUN_MS: u64 = 60_000;
const STEP_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 100;

/// Longest time that a request takes, in milliseconds: the deadline of long prompts.
const MAX_RUN_TIME_MS: u64 = 15_000;

/// A prompt's tokens and its stated output.
const LONG: (u32, u32) = (11_992, 55);
const SHORT: (u32, u32) = (2_368, 3);

#[derive(Default)]
struct Router {
    /// When each request ends, and its tokens.
    requests: Vec<(u64, u64)>,
    unseen: UnseenTokens,
    /// Reports on their way or arrived: when each arrives, and its tokens.
    reports: VecDeque<(u64, u64)>,
    reported: u64,
}

impl Router {
    fn tokens(&self) -> u64 {
        self.requests.iter().map(|(_, tokens)| tokens).sum()
    }
}

#[derive(Debug, Default)]
struct Outcome {
    /// Most tokens at the engine, if all outputs are twice as long as stated.
    peak: u64,
    /// Mean of the tokens at the engine.
    mean: u64,
    sent: u32,
}

/// Plays routers that always have a request to send.
fn play(memory: &EngineMemory, seed: u64, prompts: &[(u32, u32)]) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut routers: Vec<_> = (0..memory.routers).map(|_| Router::default()).collect();
    let (mut outcome, mut sum) = (Outcome::default(), 0);
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        let now = Timestamp(0) + Duration::from_millis(now_ms);
        for router in &mut routers {
            router.requests.retain(|(ends_at, _)| *ends_at > now_ms);
            if now_ms % REPORT_INTERVAL_MS == 0 {
                // With the time until the next report, what others know is 100 to 500 ms old.
                let arrives_at = now_ms + rng.random_range(100..400);
                // An earlier report that is still on its way is overtaken.
                router.reports.retain(|(at, _)| *at <= arrives_at);
                let tokens = router.tokens();
                router.reports.push_back((arrives_at, tokens));
            }
            while router.reports.front().is_some_and(|(at, _)| *at <= now_ms) {
                router.reported = router.reports.pop_front().map_or(0, |(_, tokens)| tokens);
            }
        }
        let reported: u64 = routers.iter().map(|router| router.reported).sum();
        for router in &mut routers {
            let (input, output) = prompts[rng.random_range(0..prompts.len())];
            let tokens = tokens_at_end(input, output);
            let known = reported - router.reported + router.tokens();
            if memory.check(now, known, &router.unseen, tokens) == MemoryVerdict::Send {
                router.unseen.record(now, memory, tokens);
                router.requests.push((now_ms + rng.random_range(50..MAX_RUN_TIME_MS), tokens));
                outcome.sent += 1;
            }
        }
        let held = routers.iter().map(Router::tokens).sum();
        outcome.peak = outcome.peak.max(held);
        sum += held;
    }
    outcome.mean = sum / (RUN_MS / STEP_MS);
    outcome
}

/// Plays all seeds and returns the lowest mean share of the capacity that was in use, in percent.
fn used_percent(name: &str, memory: &EngineMemory, prompts: &[(u32, u32)]) -> u64 {
    let mut lowest = 100;
    for seed in 0..SEEDS {
        let outcome = play(memory, seed, prompts);
        println!("{name}, seed {seed}: {outcome:?} of {}", memory.capacity);
        assert!(outcome.peak <= memory.capacity, "{name}, seed {seed}: {outcome:?}");
        lowest = lowest.min(outcome.mean * 100 / memory.capacity);
    }
    lowest
}

fn memory(capacity: u64, routers: u32, largest: (u32, u32)) -> EngineMemory {
    let unseen_tokens = tokens_at_end(largest.0, largest.1);
    EngineMemory { capacity, routers, unseen_tokens, visible_after: Duration::from_millis(500) }
}

// Guards against an engine that crashes because routers place requests before they see each other's.
#[test]
fn requests_of_routers_that_see_each_other_late_never_exceed_the_memory() {
    let first = memory(296_594, 29, SHORT);
    assert!(used_percent("29 routers, short prompts", &first, &[SHORT]) >= 80);
    let few = memory(296_594, 4, LONG);
    assert!(used_percent("4 routers of 29, all prompts", &few, &[SHORT, LONG]) >= 80);
    let second = memory(195_645, 4, LONG);
    assert!(used_percent("4 routers of 380, all prompts", &second, &[SHORT, LONG]) >= 80);
    let many = memory(195_645, 380, (400, 3));
    assert!(used_percent("380 routers, 406 tokens", &many, &[(400, 3)]) >= 50);
}

// Room for one long prompt of each other router is more than an engine has: such an engine must be left to
// fewer routers.
#[test]
fn too_many_routers_cannot_share_an_engine_for_long_prompts() {
    for (capacity, routers, prompt) in
        [(296_594, 29, LONG), (195_645, 380, LONG), (195_645, 380, SHORT)]
    {
        let memory = memory(capacity, routers, prompt);
        let tokens = tokens_at_end(prompt.0, prompt.1);
        let verdict = memory.check(Timestamp(0), 0, &UnseenTokens::default(), tokens);
        assert_eq!(verdict, MemoryVerdict::TooLarge, "{routers} routers, {prompt:?}");
    }
}
