//! The prefixes that a KV cache is believed to hold, as a least-recently-used set bounded in
//! tokens.
//!
//! The cache evicts the least recently used prefixes first, and so does this model of it. A prefix
//! that is still being computed counts as held by its engine, but no other engine can fetch it yet.

use std::collections::{BTreeMap, HashMap};

use dogwoodway_types::Timestamp;

use crate::direct::prompt::{PrefixKey, PrefixSegment};

/// Block size to which a cache rounds the length of a segment, in tokens.
const BLOCK_TOKENS: u32 = 16;

#[derive(Clone, Copy, Debug)]
struct Entry {
    tick: u64,
    tokens: u32,
    ready_at: Timestamp,
}

/// Prefix segments that a KV cache of a given capacity is believed to hold.
#[derive(Clone, Debug, Default)]
pub struct TokenLru {
    capacity: u64,
    used: u64,
    tick: u64,
    entries: HashMap<PrefixKey, Entry>,
    by_tick: BTreeMap<u64, PrefixKey>,
}

impl TokenLru {
    /// Creates an empty set with a capacity of `capacity` tokens.
    pub fn new(capacity: u64) -> TokenLru {
        TokenLru { capacity, ..TokenLru::default() }
    }

    /// Changes the capacity, in tokens, and evicts segments that no longer fit.
    pub fn set_capacity(&mut self, capacity: u64) {
        if self.capacity != capacity {
            self.capacity = capacity;
            self.trim();
        }
    }

    /// Removes all segments and keeps the capacity.
    pub fn clear(&mut self) {
        *self = TokenLru::new(self.capacity);
    }

    /// Records that a prompt is used: all its segments are held, and computed at `ready_at` at the
    /// latest. The last segment is evicted first.
    ///
    /// ```
    /// use dogwoodway_routing::direct::{prompt::{PrefixKey, PrefixSegment}, token_lru::TokenLru};
    /// use dogwoodway_types::Timestamp;
    ///
    /// let segment = |key, tokens| PrefixSegment { key: PrefixKey(key), tokens };
    /// let mut cache = TokenLru::new(100);
    /// cache.insert(&[segment(1, 40), segment(2, 40)], Timestamp(5));
    /// cache.insert(&[segment(1, 40), segment(3, 40)], Timestamp(9));
    /// assert_eq!(cache.matched(&[segment(1, 40), segment(3, 40)]), 2);
    /// assert_eq!(cache.matched(&[segment(1, 40), segment(2, 40)]), 1);
    /// assert_eq!(cache.ready(&[segment(1, 40), segment(3, 40)], Timestamp(7)), 1);
    /// ```
    pub fn insert(&mut self, segments: &[PrefixSegment], ready_at: Timestamp) {
        for segment in segments.iter().rev() {
            self.tick += 1;
            let mut entry = Entry { tick: self.tick, tokens: segment.tokens, ready_at };
            if let Some(previous) = self.entries.get(&segment.key) {
                entry.ready_at = previous.ready_at.min(ready_at);
                self.by_tick.remove(&previous.tick);
                self.used -= u64::from(previous.tokens);
            }
            self.entries.insert(segment.key, entry);
            self.used += u64::from(segment.tokens);
            self.by_tick.insert(self.tick, segment.key);
        }
        self.trim();
    }

    /// Records that a prompt was not computed after all: removes those of its segments that are not
    /// ready at `now`, because they were not held before.
    pub fn discard_unfinished(&mut self, segments: &[PrefixSegment], now: Timestamp) {
        for segment in segments {
            if self.entries.get(&segment.key).is_some_and(|entry| entry.ready_at > now) {
                self.remove(segment.key);
            }
        }
    }

    /// Removes one segment.
    pub fn remove(&mut self, key: PrefixKey) {
        if let Some(previous) = self.entries.remove(&key) {
            self.by_tick.remove(&previous.tick);
            self.used -= u64::from(previous.tokens);
        }
    }

    /// Returns whether a segment is held.
    pub fn contains(&self, key: PrefixKey) -> bool {
        self.entries.contains_key(&key)
    }

    /// Returns how many leading segments of a prompt are held.
    pub fn matched(&self, segments: &[PrefixSegment]) -> usize {
        segments.iter().take_while(|segment| self.entries.contains_key(&segment.key)).count()
    }

    /// Returns how many leading segments of a prompt are ready to be fetched.
    pub fn ready(&self, segments: &[PrefixSegment], now: Timestamp) -> usize {
        let is_ready = |segment: &&PrefixSegment| {
            let entry = self.entries.get(&segment.key);
            entry.is_some_and(|entry| {
                entry.ready_at <= now && entry.tokens + BLOCK_TOKENS > segment.tokens
            })
        };
        segments.iter().take_while(is_ready).count()
    }

    fn trim(&mut self) {
        while self.used > self.capacity
            && let Some((_, key)) = self.by_tick.pop_first()
            && let Some(previous) = self.entries.remove(&key)
        {
            self.used -= u64::from(previous.tokens);
        }
    }
}
