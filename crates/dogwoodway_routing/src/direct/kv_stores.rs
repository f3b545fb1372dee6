//! The KV stores, and the KV cache that they are believed to hold.
//!
//! Engines evict a prefix within seconds, and computing it again takes longer than fetching it from
//! a store. All routers assign each prefix to the same store by rendezvous hashing, so that several
//! stores hold more in total than one.

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

/// Share of a store's capacity that is assumed to hold the most recent prompts while the store does
/// not report its contents.
const USABLE_CAPACITY_SHARE: f64 = 0.85;

/// Most tokens of a prompt's last part that are saved for each shared token that the store lacks.
/// An engine saves whole prompts, and parts that nobody requests again evict what others need.
const MAX_OWN_TOKENS_PER_MISSING_TOKEN: f64 = 2.0;

/// Time for which a report of a store's contents counts, in milliseconds: several times the
/// interval between requests for it.
const OBSERVATION_TTL_MS: u64 = 1_500;

/// Time after which a save that the store has not reported counts as failed, in milliseconds.
const SAVE_TIMEOUT_MS: u64 = 1_500;

/// A change of the contents of a KV store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvChange {
    /// The store holds this segment, with this number of tokens.
    Stored(PrefixSegment),
    /// The store has evicted this segment, or some of its tokens.
    Evicted(PrefixKey),
}

#[derive(Clone, Debug)]
struct Store {
    spec: KvStoreSpec,
    key: ServerKey,
    contents: TokenLru,
    /// Until when the reports of the store take precedence over what the router infers.
    observed_until: Timestamp,
    /// Whether the store could be reached at the last attempt.
    is_up: bool,
    /// Expected saves that the store has not reported, and when each counts as failed.
    pending_saves: Vec<(PrefixKey, Timestamp)>,
}

impl Store {
    fn is_observed(&self, now: Timestamp) -> bool {
        now < self.observed_until
    }

    /// Limits the inferred contents to the usable capacity, unless the store reports evictions
    /// itself.
    fn update_capacity(&mut self, now: Timestamp) {
        let capacity = match self.is_observed(now) {
            true => u64::MAX,
            false => (self.spec.kv_tokens as f64 * USABLE_CAPACITY_SHARE) as u64,
        };
        self.contents.set_capacity(capacity);
    }

    /// Records that an engine is going to save a prompt.
    fn expect_save(&mut self, now: Timestamp, segments: &[PrefixSegment], saved_at: Timestamp) {
        if !self.is_observed(now) {
            return self.contents.insert(segments, saved_at);
        }
        // The segments can be fetched only once the store has reported them.
        let new_segments = segments.iter().filter(|segment| !self.contents.contains(segment.key));
        let expires_at = saved_at + Duration::from_millis(SAVE_TIMEOUT_MS);
        self.pending_saves.extend(new_segments.map(|segment| (segment.key, expires_at)));
        self.contents.insert(segments, Timestamp::MAX);
    }
}

/// The KV stores that engines can fetch from and save to.
#[derive(Clone, Debug, Default)]
pub struct KvStores {
    stores: Vec<Store>,
}

impl KvStores {
    /// Replaces the stores by those of a routing table. The state of stores that remain is kept.
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
        let mut previous = std::mem::take(&mut self.stores);
        for spec in specs {
            let index = previous.iter().position(|store| store.spec.address == spec.address);
            let mut store = match index {
                Some(i) => Store { spec, ..previous.swap_remove(i) },
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

    /// Returns the address of the store that a prompt's shared prefixes are assigned to.
    pub fn address_for(&self, shared: &[PrefixSegment]) -> Option<SocketAddr> {
        self.store_index(shared).map(|i| self.stores[i].spec.address)
    }

    /// Returns the zone of the store that a prompt's shared prefixes are assigned to.
    pub fn zone_for(&self, shared: &[PrefixSegment]) -> Option<&AvailabilityZone> {
        self.store_index(shared).and_then(|i| self.stores[i].spec.zone.as_ref())
    }

    /// Returns how many leading segments of a prompt's shared prefixes can be fetched from their
    /// store.
    pub fn ready(&self, shared: &[PrefixSegment], now: Timestamp) -> usize {
        self.store_index(shared).map_or(0, |i| self.stores[i].contents.ready(shared, now))
    }

    /// Returns how many leading segments of a prompt's shared prefixes their store holds or is
    /// about to hold.
    pub fn matched(&self, shared: &[PrefixSegment]) -> usize {
        self.store_index(shared).map_or(0, |i| self.stores[i].contents.matched(shared))
    }

    /// Decides whether an engine should save a prompt, of which the last segment is not shared. If
    /// so, returns the address of the store and records that it holds the prompt from `saved_at`
    /// on.
    pub fn plan_save(
        &mut self,
        now: Timestamp,
        segments: &[PrefixSegment],
        saved_at: Timestamp,
    ) -> Option<SocketAddr> {
        let (own, shared) = segments.split_last()?;
        let index = self.store_index(shared)?;
        let store = &mut self.stores[index];
        let missing = &shared[store.contents.matched(shared)..];
        if missing.is_empty() {
            // A fetch marks the prefixes as recently used in the store.
            store.contents.insert(shared, Timestamp::MAX);
            return None;
        }
        let missing_tokens: u32 = missing.iter().map(|segment| segment.tokens).sum();
        if f64::from(own.tokens) > f64::from(missing_tokens) * MAX_OWN_TOKENS_PER_MISSING_TOKEN {
            return None;
        }
        store.expect_save(now, segments, saved_at);
        Some(store.spec.address)
    }

    /// Records that an engine saves a prompt on behalf of another router.
    pub fn record_peer_save(
        &mut self,
        now: Timestamp,
        shared: &[PrefixSegment],
        own: PrefixSegment,
        saved_at: Timestamp,
    ) {
        let Some(index) = self.store_index(shared) else { return };
        let store = &mut self.stores[index];
        if !store.is_observed(now) {
            store.contents.insert(&[own], saved_at);
        }
        store.expect_save(now, shared, saved_at);
    }

    /// Applies changes that a store reports of its contents. `is_snapshot` means that they replace
    /// what was known.
    pub fn apply_changes(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        is_snapshot: bool,
        changes: &[KvChange],
    ) {
        let Some(store) = self.find(address) else { return };
        if is_snapshot || !store.is_observed(now) {
            store.contents.clear();
            store.pending_saves.clear();
        }
        store.is_up = true;
        store.observed_until = now + Duration::from_millis(OBSERVATION_TTL_MS);
        store.update_capacity(now);
        for change in changes {
            match change {
                KvChange::Stored(segment) => {
                    store.contents.insert(&[*segment], now);
                    store.pending_saves.retain(|(key, _)| *key != segment.key);
                }
                KvChange::Evicted(key) => store.contents.remove(*key),
            }
        }
        let failed = store.pending_saves.extract_if(.., |(_, expires_at)| *expires_at <= now);
        for (key, _) in failed {
            store.contents.remove(key);
        }
    }

    /// Records that a store cannot be reached. Nothing is fetched from it or saved to it until it
    /// reports again.
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
        let placement_key = PieceHash(u128::from(shared.last()?.key.0));
        let cost = |store: &Store| {
            rendezvous::cost(placement_key, rendezvous::Server { key: store.key, weight: 1 })
        };
        let stores = self.stores.iter().enumerate().filter(|(_, store)| store.is_up);
        stores.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b))).map(|(i, _)| i)
    }
}
