//! Which servers there are, as the platform lists them.

use std::{collections::HashMap, net::SocketAddr};

use dogwoodway_types::{
    AvailabilityZone, BackendServerName, ModelName, ServiceName, Timestamp, WeightsVersion,
};
use serde::{Deserialize, Serialize};

use crate::{
    direct::{
        fleet::{BackendKey, Fleet, Server, ServerTag},
        health::Health,
        link_pace::LinkPace,
        load::Load,
        token_lru::TokenLru,
    },
    rendezvous::ServerKey,
};

/// Servers that have left that are remembered at most.
const MAX_DEPARTED: usize = 4_096;

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// It does.
    Ready,
    /// It is leaving, and finishes what it has.
    Draining,
}

/// A backend server as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerListing {
    /// Unique name; a later server never bears it, except when the same one restarts.
    pub name: BackendServerName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// Requests that it runs together.
    pub slots: u32,
    /// Whether it takes new requests.
    pub availability: Availability,
    /// Models that it runs, with the version of their weights.
    pub weights: Vec<(ModelName, WeightsVersion)>,
    /// Start of its process; another value means that it knows nothing of before.
    pub started_at_ms: u64,
    /// Number of the entry since then; increases with each.
    pub revision: u64,
}

impl ServerListing {
    /// Tells whether the entry was written before another one of the same server.
    fn is_older_than(&self, other: (u64, u64)) -> bool {
        (self.started_at_ms, self.revision) < other
    }
}

impl Fleet {
    /// Takes in a listing, and returns the server's key and whether it is new or has restarted;
    /// `None` for a listing that is older than what is known.
    pub fn apply_listing(
        &mut self,
        now: Timestamp,
        listing: ServerListing,
    ) -> Option<(BackendKey, bool)> {
        if let Some((started_at_ms, revision)) = self.departed.get(&listing.name).copied() {
            if listing.is_older_than((started_at_ms, revision + 1)) {
                return None;
            }
            self.departed.remove(&listing.name);
        }
        if let Some(key) = self.by_name.get(&listing.name).copied()
            && let Some(server) = self.servers.get_mut(key)
        {
            let known = (server.listing.started_at_ms, server.listing.revision);
            if listing.is_older_than(known) {
                return None;
            }
            let has_moved = server.listing.service != listing.service
                || server.listing.address != listing.address;
            if !has_moved {
                server.missing_until = None;
                return Some((key, relist(server, now, listing)));
            }
            self.remove(&listing.name);
            self.departed.remove(&listing.name);
        }
        let hash = ServerKey::new(&listing.name);
        let (name, service) = (listing.name.clone(), listing.service.clone());
        let key = self.servers.insert(Server {
            listing,
            hash,
            own: Load::default(),
            peers: HashMap::new(),
            peer_sum: Load::default(),
            health: Health::new(now),
            link: LinkPace::default(),
            cached: TokenLru::default(),
            loading_until: Timestamp::default(),
            owed: Vec::new(),
            missing_until: None,
        });
        self.by_name.insert(name, key);
        self.by_tag.insert(ServerTag::from(hash), key);
        self.by_service.entry(service).or_default().push(key);
        Some((key, true))
    }

    /// Notes that a server is missing from the list. It is used until `until`: a list that was
    /// away for a while may lack servers that live.
    pub fn mark_missing(&mut self, name: &BackendServerName, until: Timestamp) {
        let key = self.by_name.get(name).copied();
        if let Some(server) = key.and_then(|key| self.servers.get_mut(key)) {
            server.missing_until.get_or_insert(until);
        }
    }

    /// Forgets a server that has left.
    pub fn remove(&mut self, name: &BackendServerName) -> Option<BackendKey> {
        let key = self.by_name.remove(name)?;
        let server = self.servers.remove(key)?;
        self.by_tag.remove(&ServerTag::from(server.hash));
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.clear();
        }
        let last = (server.listing.started_at_ms, server.listing.revision);
        self.departed.insert(name.clone(), last);
        if let Some(keys) = self.by_service.get_mut(&server.listing.service) {
            keys.retain(|other| *other != key);
        }
        Some(key)
    }

    /// Forgets the servers whose time in which they may be listed again has passed.
    pub fn remove_unlisted(&mut self, now: Timestamp) -> Vec<(BackendServerName, BackendKey)> {
        let gone = self.servers.values().filter(|server| !server.is_listed(now));
        let gone: Vec<_> = gone.map(|server| server.listing.name.clone()).collect();
        gone.into_iter().filter_map(|name| Some((name.clone(), self.remove(&name)?))).collect()
    }
}

/// Takes over a new listing of a known server; returns whether the server has restarted.
fn relist(server: &mut Server, now: Timestamp, listing: ServerListing) -> bool {
    if server.listing.started_at_ms != listing.started_at_ms {
        server.health = Health::new(now);
        server.cached.clear();
        server.own = Load::default();
        server.owed.clear();
        server.loading_until = Timestamp::default();
        server.listing = listing;
        return true;
    }
    let mut listing = listing;
    for (model, version) in &mut listing.weights {
        // The list lags behind what the server's own answers said.
        let known = server.listing.weights.iter().find(|(name, _)| name == model);
        match known {
            Some((_, known)) if *known < *version => {
                server.cached.clear();
                server.loading_until = Timestamp::default();
            }
            Some((_, known)) => *version = *known,
            None => {}
        }
    }
    server.listing = listing;
    false
}
