//! The KV store of a simulation.

use std::collections::HashSet;

use dogwoodway_routing::direct::{kv_stores::KvChange, prompt::PrefixKey, token_lru::TokenLru};
use dogwoodway_types::Timestamp;

use crate::simulation::engine::EngineRequest;

/// The KV store that all engines fetch from and save to.
pub(in crate::simulation) struct KvStore {
    pub(in crate::simulation) contents: TokenLru,
    /// Changes that routers have not polled, and when each was made.
    pub(super) changes: Vec<(Timestamp, KvChange)>,
    /// Keys in `contents`, to find out which ones an insertion evicts.
    pub(super) stored_keys: HashSet<PrefixKey>,
}

impl KvStore {
    pub(super) fn save(&mut self, now: Timestamp, engine_request: &EngineRequest) {
        self.contents.insert(&engine_request.segments, now);
        self.stored_keys.extend(engine_request.segments.iter().map(|segment| segment.key));
        for segment in &engine_request.segments {
            self.changes.push((now, KvChange::Stored(*segment)));
        }
        let evicted: Vec<_> =
            self.stored_keys.extract_if(|key| !self.contents.contains(*key)).collect();
        self.changes.extend(evicted.into_iter().map(|key| (now, KvChange::Evicted(key))));
    }

    pub(super) fn take_changes(&mut self, until: Timestamp) -> Vec<KvChange> {
        let due = self.changes.partition_point(|(at, _)| *at <= until);
        self.changes.drain(..due).map(|(_, change)| change).collect()
    }
}
