//! The stores of kept KV cache, and what they are believed to keep.
//!
//! The pattern that this answers: engines forget a prefix within seconds, and reading it again takes
//! longer than fetching it. Each prefix has one store, which all routers name by the same hashing:
//! so several stores keep more together than one does.

use std::{net::SocketAddr, time::Duration};

use dogwoodway_types::{AvailabilityZone, PieceHash, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    direct::{
        prompt::{PrefixKey, PrefixSegment},
        table::KvStoreSpec,
        token_lru::TokenLru,
    },
    rendezvous::{self, ServerKey},
};

/// Share of a store's memory that is relied on to hold what it was given last.
const USABLE_CAPACITY_SHARE: f64 = 0.85;

/// Tokens of a prompt's own that are saved for each shared token that the store lacks. An engine
/// saves whole prompts, and what nobody asks for again pushes out what others need.
const MAX_OWN_TOKENS_PER_MISSING_TOKEN: f64 = 2.0;

/// Time for which what a store said of itself is relied on, in milliseconds: some times that
/// between two questions.
const OBSERVATION_TTL_MS: u64 = 1_500;

/// Time after which a save that the store did not tell of counts as failed, in milliseconds.
const SAVE_TIMEOUT_MS: u64 = 1_500;

/// A change of what a store keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvChange {
    /// It keeps a part, or as many tokens of it.
    Stored(PrefixSegment),
    /// It has dropped a part, or some tokens of it.
    Evicted(PrefixKey),
}

#[derive(Clone, Debug)]
struct Store {
    spec: KvStoreSpec,
    key: ServerKey,
    contents: TokenLru,
    /// Until when the store's own word goes before what the router infers.
    observed_until: Timestamp,
    /// Whether the store could be reached the last time.
    is_up: bool,
    /// Saves that the store has not told of yet.
    pending_saves: Vec<(PrefixKey, Timestamp)>,
}

impl Store {
    fn is_observed(&self, now: Timestamp) -> bool {
        now < self.observed_until
    }

    /// Bounds the image while the store does not tell what it drops.
    fn update_capacity(&mut self, now: Timestamp) {
        let capacity = match self.is_observed(now) {
            true => u64::MAX,
            false => (self.spec.kv_tokens as f64 * USABLE_CAPACITY_SHARE) as u64,
        };
        self.contents.set_capacity(capacity);
    }

    /// Notes that an engine saves a prompt.
    fn expect_save(&mut self, now: Timestamp, levels: &[PrefixSegment], saved_at: Timestamp) {
        if !self.is_observed(now) {
            return self.contents.insert(levels, saved_at);
        }
        // The store's own word tells when they can be fetched.
        let new = levels.iter().filter(|level| !self.contents.contains(level.key));
        let give_up_at = saved_at + Duration::from_millis(SAVE_TIMEOUT_MS);
        self.pending_saves.extend(new.map(|level| (level.key, give_up_at)));
        self.contents.insert(levels, Timestamp::MAX);
    }
}

/// The stores that the engines can fetch from and save to.
#[derive(Clone, Debug, Default)]
pub struct KvStores {
    stores: Vec<Store>,
}

impl KvStores {
    /// Takes over the stores of a routing table; what is known of those that stay is kept.
    ///
    /// ```
    /// use dogwoodway_routing::direct::{kv_stores::KvStores, table::KvStoreSpec};
    ///
    /// let address = "10.0.0.9:80".parse().unwrap();
    /// let store = KvStoreSpec { address, zone: None, kv_tokens: 1_000, link_mbps: 1e5 };
    /// let mut stores = KvStores::default();
    /// stores.set(vec![store]);
    /// assert_eq!(stores.address_for(&[]), None);
    /// ```
    pub fn set(&mut self, specs: Vec<KvStoreSpec>) {
        let mut known = std::mem::take(&mut self.stores);
        for spec in specs {
            let place = known.iter().position(|store| store.spec.address == spec.address);
            let mut store = match place {
                Some(i) => Store { spec, ..known.swap_remove(i) },
                None => Store {
                    key: ServerKey(xxh3_64(spec.address.to_string().as_bytes())),
                    spec,
                    contents: TokenLru::default(),
                    observed_until: Timestamp::default(),
                    is_up: true,
                    pending_saves: Vec::new(),
                },
            };
            store.update_capacity(Timestamp::default());
            self.stores.push(store);
        }
    }

    /// Returns the address of the store for a prompt's shared prefixes.
    pub fn address_for(&self, shared: &[PrefixSegment]) -> Option<SocketAddr> {
        self.store_index(shared).map(|i| self.stores[i].spec.address)
    }

    /// Returns the zone of the store for a prompt's shared prefixes.
    pub fn zone_for(&self, shared: &[PrefixSegment]) -> Option<&AvailabilityZone> {
        self.store_index(shared).and_then(|i| self.stores[i].spec.zone.as_ref())
    }

    /// Returns how many of a prompt's shared prefixes can be fetched from their store.
    pub fn ready(&self, shared: &[PrefixSegment], now: Timestamp) -> usize {
        self.store_index(shared).map_or(0, |i| self.stores[i].contents.ready(shared, now))
    }

    /// Returns how many of a prompt's shared prefixes their store keeps or is about to.
    pub fn matched(&self, shared: &[PrefixSegment]) -> usize {
        self.store_index(shared).map_or(0, |i| self.stores[i].contents.matched(shared))
    }

    /// Decides whether an engine saves a prompt, the last level of which is its own: returns the
    /// store's address if so, and notes that the store has it from `saved_at` on.
    pub fn plan_save(
        &mut self,
        now: Timestamp,
        levels: &[PrefixSegment],
        saved_at: Timestamp,
    ) -> Option<SocketAddr> {
        let (own, shared) = levels.split_last()?;
        let place = self.store_index(shared)?;
        let store = &mut self.stores[place];
        let missing = &shared[store.contents.matched(shared)..];
        if missing.is_empty() {
            // A fetch refreshes the store's memory of the prefixes.
            store.contents.insert(shared, Timestamp::MAX);
            return None;
        }
        let missing: u32 = missing.iter().map(|level| level.tokens).sum();
        if f64::from(own.tokens) > f64::from(missing) * MAX_OWN_TOKENS_PER_MISSING_TOKEN {
            return None;
        }
        store.expect_save(now, levels, saved_at);
        Some(store.spec.address)
    }

    /// Notes that another router has an engine save a prompt.
    pub fn record_peer_save(
        &mut self,
        now: Timestamp,
        shared: &[PrefixSegment],
        own: PrefixSegment,
        saved_at: Timestamp,
    ) {
        let Some(place) = self.store_index(shared) else { return };
        let store = &mut self.stores[place];
        if !store.is_observed(now) {
            store.contents.insert(&[own], saved_at);
        }
        store.expect_save(now, shared, saved_at);
    }

    /// Takes in what a store tells of itself; `is_whole` tells that it begins anew.
    pub fn apply_changes(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        is_whole: bool,
        changes: &[KvChange],
    ) {
        let Some(store) = self.find(address) else { return };
        if is_whole || !store.is_observed(now) {
            store.contents.clear();
            store.pending_saves.clear();
        }
        store.is_up = true;
        store.observed_until = now + Duration::from_millis(OBSERVATION_TTL_MS);
        store.update_capacity(now);
        for change in changes {
            match change {
                KvChange::Stored(level) => {
                    store.contents.insert(&[*level], now);
                    store.pending_saves.retain(|(key, _)| *key != level.key);
                }
                KvChange::Evicted(key) => store.contents.remove(*key),
            }
        }
        let failed = store.pending_saves.extract_if(.., |(_, give_up_at)| *give_up_at <= now);
        for (key, _) in failed {
            store.contents.remove(key);
        }
    }

    /// Notes that a store cannot be reached: nothing is fetched from it or saved there.
    pub fn mark_unreachable(&mut self, address: SocketAddr) {
        if let Some(store) = self.find(address) {
            store.is_up = false;
            store.observed_until = Timestamp::default();
            store.contents.clear();
            store.pending_saves.clear();
        }
    }

    fn find(&mut self, address: SocketAddr) -> Option<&mut Store> {
        self.stores.iter_mut().find(|store| store.spec.address == address)
    }

    fn store_index(&self, shared: &[PrefixSegment]) -> Option<usize> {
        let deepest = PieceHash(u128::from(shared.last()?.key.0));
        let cost = |store: &Store| {
            rendezvous::cost(deepest, rendezvous::Server { key: store.key, weight: 1 })
        };
        let stores = self.stores.iter().enumerate().filter(|(_, store)| store.is_up);
        stores.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b))).map(|(i, _)| i)
    }
}
