//! Membership of the fleet: the servers that the platform lists.

use std::{net::SocketAddr, time::Duration};

use dogwoodway_types::{
    AvailabilityZone, BackendServerName, ModelName, ServiceName, SoftwareVersion, Timestamp,
    WeightsVersion,
};
use serde::{Deserialize, Serialize};

use crate::{
    direct::{
        fleet::{BackendKey, Fleet, Server, ServerTag},
        health::Health,
        link_slowdown::LinkSlowdown,
        load::Load,
        process_end::{ListingSign, shows_end},
        server_limit::ServerLimit,
        software::SoftwareTag,
        token_lru::TokenLru,
    },
    rendezvous::ServerKey,
};

/// Maximum number of removed servers, and of servers that are shutting down, that are remembered.
/// One more clears the list.
pub(super) const MAX_REMEMBERED: usize = 4_096;

/// Longest time by which the start of a server may lie ahead of the router's clock. A listing with a later
/// one is wrong, and would count as newer than all true ones.
const MAX_START_AHEAD: Duration = Duration::from_secs(24 * 3_600);

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// The server accepts new requests.
    Ready,
    /// The server is shutting down: it finishes running requests and accepts no new ones.
    Draining,
}

/// A backend server as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerListing {
    /// Unique name. It is never reused for another server, but a server keeps it when it restarts.
    pub name: BackendServerName,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Zone that the server runs in.
    pub zone: AvailabilityZone,
    /// Version of the server's software. A service may have servers of several versions.
    pub software: SoftwareVersion,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests; a draining one only finishes those that it runs.
    pub availability: Availability,
    /// Models that the server runs, with the version of their weights; empty for a plain server.
    pub weights: Vec<(ModelName, WeightsVersion)>,
    /// Start time of the server's process. A new value means that the server has restarted and lost
    /// its state.
    pub started_at_ms: u64,
    /// Sequence number of the listing since the server's start; increases with each change.
    pub revision: u64,
}

impl ServerListing {
    /// Returns whether a server can have started at the time that the listing states, to judge by the
    /// router's clock.
    pub fn has_possible_start(&self, now: Timestamp) -> bool {
        self.started_at_ms <= (now + MAX_START_AHEAD).as_millis()
    }

    /// Returns whether the listing is older than the one with the given start time and revision of
    /// the same server.
    fn is_older_than(&self, other: (u64, u64)) -> bool {
        (self.started_at_ms, self.revision) < other
    }
}

impl Fleet {
    /// Adds or updates a server. Returns its key, and whether the server is new or has restarted;
    /// `None` if the listing is older than the known one.
    pub fn apply_listing(
        &mut self,
        now: Timestamp,
        listing: ServerListing,
    ) -> Option<(BackendKey, bool)> {
        if let Some((started_at_ms, revision)) = self.removed.get(&listing.name).copied() {
            if listing.is_older_than((started_at_ms, revision.saturating_add(1))) {
                return None;
            }
            self.removed.remove(&listing.name);
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
                server.removal_due_at = None;
                let has_restarted = update_listing(server, now, listing);
                self.record_software(now, key);
                return Some((key, has_restarted));
            }
            self.remove(&listing.name);
            self.removed.remove(&listing.name);
        }
        let hash = ServerKey::new(&listing.name);
        let (name, service) = (listing.name.clone(), listing.service.clone());
        let is_leaving = self.leaving.get(&name) == Some(&listing.started_at_ms);
        let removed_limit = self.removed_limits.remove(&name);
        let removed_limit =
            removed_limit.filter(|(started_at_ms, _)| *started_at_ms == listing.started_at_ms);
        let limit = removed_limit.map(|(_, limit)| limit).unwrap_or_default();
        let key = self.servers.insert(Server {
            software: SoftwareTag::new(&listing.service, &listing.software),
            listing,
            hash,
            own_load: Load::default(),
            peer_load_sum: Load::default(),
            health: Health::new(now),
            link_slowdown: LinkSlowdown::default(),
            prefix_cache: TokenLru::default(),
            loading_until: Timestamp::default(),
            awaiting_output: Vec::new(),
            removal_due_at: None,
            is_leaving,
            paused_until: Timestamp::default(),
            limit,
        });
        self.by_name.insert(name, key);
        self.by_tag.insert(ServerTag::from(hash), key);
        self.by_service.entry(service).or_default().push(key);
        self.record_software(now, key);
        Some((key, true))
    }

    /// Returns whether a process of a server has ended because the server is listed with another start.
    pub fn has_process_ended(&self, key: BackendKey, started_at_ms: u64) -> bool {
        self.servers.get(key).is_some_and(|server| {
            shows_end(started_at_ms, ListingSign::Itself(server.listing.started_at_ms))
        })
    }

    /// Returns the servers at an address, with their start times, whose processes have ended if it is
    /// true that another server, which started later, is at that address.
    pub fn processes_replaced_at(&self, address: SocketAddr) -> Vec<(BackendKey, u64)> {
        let at_address = self.servers.iter().filter(|(_, s)| s.listing.address == address);
        let starts: Vec<_> = at_address.map(|(key, s)| (key, s.listing.started_at_ms)).collect();
        let is_replaced = |(key, started_at_ms): &(BackendKey, u64)| {
            let mut others = starts.iter().filter(|(other, _)| other != key);
            others.any(|(_, other)| shows_end(*started_at_ms, ListingSign::OtherAtAddress(*other)))
        };
        starts.iter().copied().filter(is_replaced).collect()
    }

    /// Records that a server is missing from the list. It is still used until `until`, because a
    /// list that was unavailable for a while may lack servers that are running.
    pub fn mark_missing(&mut self, name: &BackendServerName, until: Timestamp) {
        let key = self.by_name.get(name).copied();
        if let Some(server) = key.and_then(|key| self.servers.get_mut(key)) {
            server.removal_due_at.get_or_insert(until);
        }
    }

    /// Removes a server, and remembers its last listing so that older ones do not add it again.
    pub fn remove(&mut self, name: &BackendServerName) -> Option<BackendKey> {
        let key = self.by_name.remove(name)?;
        let server = self.servers.remove(key)?;
        self.by_tag.remove(&ServerTag::from(server.hash));
        if self.removed.len() >= MAX_REMEMBERED {
            self.removed.clear();
        }
        let last = (server.listing.started_at_ms, server.listing.revision);
        self.removed.insert(name.clone(), last);
        if server.limit.is_stated() {
            if self.removed_limits.len() >= MAX_REMEMBERED {
                self.removed_limits.clear();
            }
            self.removed_limits.insert(name.clone(), (last.0, server.limit));
        }
        if let Some(keys) = self.by_service.get_mut(&server.listing.service) {
            keys.retain(|other| *other != key);
        }
        Some(key)
    }

    /// Removes the servers that were missing from the list for too long, and returns them.
    pub fn remove_unlisted(&mut self, now: Timestamp) -> Vec<(BackendServerName, BackendKey)> {
        let expired = self.servers.values().filter(|server| !server.is_retained(now));
        let expired: Vec<_> = expired.map(|server| server.listing.name.clone()).collect();
        expired.into_iter().filter_map(|name| Some((name.clone(), self.remove(&name)?))).collect()
    }
}

/// Replaces the listing of a known server; returns whether the server has restarted.
fn update_listing(server: &mut Server, now: Timestamp, listing: ServerListing) -> bool {
    let software = SoftwareTag::new(&listing.service, &listing.software);
    // A process keeps its software; the start time may be unknown.
    if server.listing.started_at_ms != listing.started_at_ms || server.software != software {
        server.health = Health::new(now);
        server.prefix_cache.clear();
        server.own_load = Load::default();
        server.awaiting_output.clear();
        server.loading_until = Timestamp::default();
        server.is_leaving = false;
        server.paused_until = Timestamp::default();
        server.limit = ServerLimit::default();
        server.software = software;
        server.listing = listing;
        return true;
    }
    let mut listing = listing;
    for (model, version) in &mut listing.weights {
        // The list may lag behind the version that the server itself has reported.
        let known = server.listing.weights.iter().find(|(name, _)| name == model);
        match known {
            Some((_, known)) if *known < *version => {
                server.prefix_cache.clear();
                server.loading_until = Timestamp::default();
            }
            Some((_, known)) => *version = *known,
            None => {}
        }
    }
    server.listing = listing;
    false
}
