//! What a memory for KV cache is believed to hold.
//!
//! The memory forgets the least recently used prefixes first, and so does its image here. A prefix
//! that is still being computed counts as held by its engine, but nobody else can fetch it yet.

use std::collections::{BTreeMap, HashMap};

use dogwoodway_types::Timestamp;

use crate::direct::prompt::{PrefixKey, PrefixSegment};

/// Tokens that a memory rounds a part's length by.
const BLOCK_TOKENS: u32 = 16;

#[derive(Clone, Copy, Debug)]
struct Entry {
    tick: u64,
    tokens: u32,
    ready_at: Timestamp,
}

/// Prefixes that a memory of a given size is believed to hold.
#[derive(Clone, Debug, Default)]
pub struct TokenLru {
    capacity: u64,
    used: u64,
    tick: u64,
    entries: HashMap<PrefixKey, Entry>,
    by_tick: BTreeMap<u64, PrefixKey>,
}

impl TokenLru {
    /// Builds an empty set for `capacity` tokens.
    pub fn new(capacity: u64) -> TokenLru {
        TokenLru { capacity, ..TokenLru::default() }
    }

    /// Changes the capacity.
    pub fn set_capacity(&mut self, capacity: u64) {
        if self.capacity != capacity {
            self.capacity = capacity;
            self.trim();
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = TokenLru::new(self.capacity);
    }

    /// Notes that a prompt is used: all its prefixes are held, computed by `ready_at` at the
    /// latest; the deepest one is forgotten first.
    ///
    /// ```
    /// use dogwoodway_routing::direct::{prompt::{PrefixKey, PrefixSegment}, token_lru::TokenLru};
    /// use dogwoodway_types::Timestamp;
    ///
    /// let level = |key, tokens| PrefixSegment { key: PrefixKey(key), tokens };
    /// let mut held = TokenLru::new(100);
    /// held.insert(&[level(1, 40), level(2, 40)], Timestamp(5));
    /// held.insert(&[level(1, 40), level(3, 40)], Timestamp(9));
    /// assert_eq!(held.matched(&[level(1, 40), level(3, 40)]), 2);
    /// assert_eq!(held.matched(&[level(1, 40), level(2, 40)]), 1);
    /// assert_eq!(held.ready(&[level(1, 40), level(3, 40)], Timestamp(7)), 1);
    /// ```
    pub fn insert(&mut self, levels: &[PrefixSegment], ready_at: Timestamp) {
        for level in levels.iter().rev() {
            self.tick += 1;
            let mut entry = Entry { tick: self.tick, tokens: level.tokens, ready_at };
            if let Some(old) = self.entries.get(&level.key) {
                entry.ready_at = old.ready_at.min(ready_at);
                self.by_tick.remove(&old.tick);
                self.used -= u64::from(old.tokens);
            }
            self.entries.insert(level.key, entry);
            self.used += u64::from(level.tokens);
            self.by_tick.insert(self.tick, level.key);
        }
        self.trim();
    }

    /// Notes that a prompt was not computed after all: forgets those of its prefixes that were not
    /// held before.
    pub fn discard_unfinished(&mut self, levels: &[PrefixSegment], now: Timestamp) {
        for level in levels {
            if self.entries.get(&level.key).is_some_and(|entry| entry.ready_at > now) {
                self.remove(level.key);
            }
        }
    }

    /// Forgets one prefix.
    pub fn remove(&mut self, key: PrefixKey) {
        if let Some(old) = self.entries.remove(&key) {
            self.by_tick.remove(&old.tick);
            self.used -= u64::from(old.tokens);
        }
    }

    /// Tells whether a prefix is held.
    pub fn contains(&self, key: PrefixKey) -> bool {
        self.entries.contains_key(&key)
    }

    /// Returns how many of a prompt's prefixes are held, from the start without a gap.
    pub fn matched(&self, levels: &[PrefixSegment]) -> usize {
        levels.iter().take_while(|level| self.entries.contains_key(&level.key)).count()
    }

    /// Returns how many of a prompt's prefixes can be fetched, from the start without a gap.
    pub fn ready(&self, levels: &[PrefixSegment], now: Timestamp) -> usize {
        let is_ready = |level: &&PrefixSegment| {
            let entry = self.entries.get(&level.key);
            entry.is_some_and(|entry| {
                entry.ready_at <= now && entry.tokens + BLOCK_TOKENS > level.tokens
            })
        };
        levels.iter().take_while(is_ready).count()
    }

    fn trim(&mut self) {
        while self.used > self.capacity
            && let Some((_, key)) = self.by_tick.pop_first()
            && let Some(old) = self.entries.remove(&key)
        {
            self.used -= u64::from(old.tokens);
        }
    }
}
