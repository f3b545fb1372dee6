//! Whether a request may be sent to an engine without exceeding its KV memory.
//!
//! Load pattern: many routers place long prompts on the same engines at the same time and see each
//! other's placements 100 to 500 ms late; outputs become up to twice as long as stated. An engine
//! crashes if the requests that it holds exceed its KV memory.
//!
//! Each router adds at most a fixed number of tokens to an engine while the other routers cannot know it,
//! and leaves room for as many of each other router. So whenever a router sends a request, the tokens at
//! the engine are at most those that it knows, its own, and that room, whatever the others do. Equal
//! shares of the room that is left would not be safe: of two routers that decide half a second apart, the
//! second takes its share of room that the first one has already given away.
//!
//! Placement does not use this yet: it has to limit each engine to a few routers first.

use std::{collections::VecDeque, time::Duration};

use dogwoodway_types::Timestamp;

/// Factor by which an output may be longer than stated.
const OUTPUT_FACTOR: u64 = 2;

/// Returns the tokens that a request holds when its output is complete, at most. Parts of the prompt that
/// other requests share are counted for each.
///
/// ```
/// use dogwoodway_routing::direct::engine_memory::tokens_at_end;
///
/// assert_eq!(tokens_at_end(11_992, 55), 12_102);
/// ```
pub fn tokens_at_end(prompt_tokens: u32, output_tokens: u32) -> u64 {
    u64::from(prompt_tokens) + OUTPUT_FACTOR * u64::from(output_tokens)
}

/// How the routers share the KV memory of an engine. All of them must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineMemory {
    /// Tokens that the engine can hold.
    pub capacity: u64,
    /// Routers that may send requests to the engine, this one included.
    pub routers: u32,
    /// Tokens that one router may add while the others do not know it.
    pub unseen_tokens: u64,
    /// Time after which the other routers know of a request; loads that are older must not be used.
    pub visible_after: Duration,
}

/// Whether a request may be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryVerdict {
    /// It may be sent now.
    Send,
    /// It may be sent from this time on, if the engine is not full then.
    NotBefore(Timestamp),
    /// The engine has no room until other requests end.
    Full,
    /// No router may send a request of this size to the engine, because too many routers share it.
    TooLarge,
}

/// Tokens of this router's requests at an engine that other routers may not know yet.
///
/// ```
/// use std::time::Duration;
///
/// use dogwoodway_routing::direct::engine_memory::{EngineMemory, MemoryVerdict, UnseenTokens};
/// use dogwoodway_types::Timestamp;
///
/// let memory = EngineMemory {
///     capacity: 100_000,
///     routers: 3,
///     unseen_tokens: 10_000,
///     visible_after: Duration::from_millis(500),
/// };
/// let (mut unseen, now) = (UnseenTokens::default(), Timestamp(0));
/// assert_eq!(memory.check(now, 0, &unseen, 8_000), MemoryVerdict::Send);
/// unseen.record(now, &memory, 8_000);
/// let visible_at = now + memory.visible_after;
/// assert_eq!(memory.check(now, 8_000, &unseen, 8_000), MemoryVerdict::NotBefore(visible_at));
/// assert_eq!(memory.check(visible_at, 75_000, &unseen, 8_000), MemoryVerdict::Full);
/// assert_eq!(memory.check(now, 0, &unseen, 12_000), MemoryVerdict::TooLarge);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UnseenTokens {
    /// When each request is known to all routers, and its tokens.
    requests: VecDeque<(Timestamp, u64)>,
}

impl UnseenTokens {
    /// Records a request that is sent now. It counts until it is visible even if it ends before, because
    /// other routers may learn of its end late as well.
    pub fn record(&mut self, now: Timestamp, memory: &EngineMemory, tokens: u64) {
        self.requests.retain(|(visible_at, _)| *visible_at > now);
        self.requests.push_back((now + memory.visible_after, tokens));
    }

    /// Returns the time from which at most `tokens` tokens are unseen.
    fn at_most(&self, now: Timestamp, tokens: u64) -> Timestamp {
        let unseen = || self.requests.iter().filter(|(visible_at, _)| *visible_at > now);
        let mut sum: u64 = unseen().map(|(_, tokens)| tokens).sum();
        for (visible_at, seen) in unseen() {
            if sum <= tokens {
                break;
            }
            sum -= seen;
            if sum <= tokens {
                return *visible_at;
            }
        }
        now
    }
}

impl EngineMemory {
    /// Decides on a request that holds `tokens` tokens when it ends. `known_tokens` is the sum over all
    /// known requests at the engine, as they will be when they end: this router's own, and those that
    /// other routers have reported no longer than [`EngineMemory::visible_after`] ago.
    pub fn check(
        &self,
        now: Timestamp,
        known_tokens: u64,
        unseen: &UnseenTokens,
        tokens: u64,
    ) -> MemoryVerdict {
        let others = u64::from(self.routers.saturating_sub(1)) * self.unseen_tokens;
        if tokens > self.unseen_tokens || others + tokens > self.capacity {
            return MemoryVerdict::TooLarge;
        }
        if known_tokens + others + tokens > self.capacity {
            return MemoryVerdict::Full;
        }
        let send_at = unseen.at_most(now, self.unseen_tokens - tokens);
        if send_at > now { MemoryVerdict::NotBefore(send_at) } else { MemoryVerdict::Send }
    }
}
