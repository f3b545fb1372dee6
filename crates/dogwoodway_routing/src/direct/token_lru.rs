//! A bounded set of prompt prefixes that forgets the least recently used ones first, like the
//! memory that it stands for.

use std::collections::{BTreeMap, HashMap};

use crate::direct::prompt::{PrefixKey, PrefixLevel};

#[derive(Clone, Copy, Debug)]
struct Entry {
    tick: u64,
    tokens: u32,
}

/// Prefixes that a memory of a given size is believed to hold.
#[derive(Clone, Debug, Default)]
pub struct TokenLru {
    capacity: u64,
    held: u64,
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
        self.capacity = capacity;
        self.trim();
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = TokenLru::new(self.capacity);
    }

    /// Notes that a prompt was used: all its prefixes are held, the deepest one forgotten first.
    ///
    /// ```
    /// use dogwoodway_routing::direct::{prompt::{PrefixKey, PrefixLevel}, token_lru::TokenLru};
    ///
    /// let level = |key, tokens| PrefixLevel { key: PrefixKey(key), tokens };
    /// let mut held = TokenLru::new(100);
    /// held.insert(&[level(1, 40), level(2, 40)]);
    /// held.insert(&[level(1, 40), level(3, 40)]);
    /// assert_eq!(held.matched(&[level(1, 40), level(3, 40)]), 2);
    /// assert_eq!(held.matched(&[level(1, 40), level(2, 40)]), 1);
    /// ```
    pub fn insert(&mut self, levels: &[PrefixLevel]) {
        for level in levels.iter().rev() {
            self.tick += 1;
            let entry = Entry { tick: self.tick, tokens: level.tokens };
            if let Some(old) = self.entries.insert(level.key, entry) {
                self.by_tick.remove(&old.tick);
                self.held -= u64::from(old.tokens);
            }
            self.held += u64::from(level.tokens);
            self.by_tick.insert(self.tick, level.key);
        }
        self.trim();
    }

    /// Forgets one prefix.
    pub fn remove(&mut self, key: PrefixKey) {
        if let Some(old) = self.entries.remove(&key) {
            self.by_tick.remove(&old.tick);
            self.held -= u64::from(old.tokens);
        }
    }

    /// Returns how many of a prompt's prefixes are held, from the start without a gap.
    pub fn matched(&self, levels: &[PrefixLevel]) -> usize {
        levels.iter().take_while(|level| self.entries.contains_key(&level.key)).count()
    }

    fn trim(&mut self) {
        while self.held > self.capacity
            && let Some((_, key)) = self.by_tick.pop_first()
            && let Some(old) = self.entries.remove(&key)
        {
            self.held -= u64::from(old.tokens);
        }
    }
}
