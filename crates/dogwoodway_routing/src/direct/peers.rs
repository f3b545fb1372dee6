//! Which routers there are, and which of them are told of this one's load.
//!
//! The load pattern that this answers: each router tells all others of its requests many times a
//! second, and bytes between zones are dear. Routers of the own zone are told directly. Of each
//! other zone one router is told, another one each time, and passes the datagram on in its zone: so
//! the bytes between zones grow with the number of zones instead of the number of routers.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddr,
    time::Duration,
};

use dogwoodway_types::{AvailabilityZone, Timestamp};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{direct::load::router_id, rendezvous};

/// Time without a word after which a router is told less often and passes nothing on, in
/// milliseconds: several times the longest pause between two datagrams.
const SILENT_AFTER_MS: u64 = 2_000;

/// Pause between datagrams to such a router, in milliseconds: it may be back after a partition.
const SILENT_SEND_INTERVAL_MS: u64 = 1_000;

/// Time without a word after which a router no longer counts, in milliseconds.
const EXPIRE_AFTER_MS: u64 = 60_000;

/// Routers that read the store all the time: two, so that one may be cut off.
const WATCHER_COUNT: usize = 2;

/// Stands for a zone in datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneTag(pub u16);

impl From<&AvailabilityZone> for ZoneTag {
    fn from(zone: &AvailabilityZone) -> ZoneTag {
        ZoneTag((xxh3_64(zone.as_str().as_bytes()) >> 48) as u16)
    }
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// Its zone; absent until it is heard of by itself.
    zone: Option<ZoneTag>,
    last_heard_at: Timestamp,
    last_sent_at: Timestamp,
    /// Its place in the order in which routers are watchers; the lowest come first.
    rank: u64,
}

impl Peer {
    fn is_silent(&self, now: Timestamp) -> bool {
        now - self.last_heard_at > Duration::from_millis(SILENT_AFTER_MS)
    }
}

/// A router that is sent a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Whether it is to pass the datagram on in its zone.
    pub should_relay: bool,
}

/// The other routers.
///
/// ```
/// use dogwoodway_routing::direct::peers::{Peers, ZoneTag};
/// use dogwoodway_types::Timestamp;
///
/// let mut peers = Peers::new(ZoneTag(1));
/// let now = Timestamp::from_millis(1);
/// for n in 1..=3 {
///     peers.record_datagram(now, format!("10.0.2.{n}:7340").parse().unwrap(), ZoneTag(2));
/// }
/// let recipients = peers.recipients(now, 7);
/// assert_eq!(recipients.len(), 1);
/// assert!(recipients[0].should_relay);
/// assert_eq!(peers.router_count(), 4);
/// ```
#[derive(Clone, Debug)]
pub struct Peers {
    zone: ZoneTag,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// Builds the knowledge of a router in `zone` that has heard of nobody.
    pub fn new(zone: ZoneTag) -> Peers {
        Peers { zone, peers: BTreeMap::new() }
    }

    /// Notes that a router was announced; returns whether it was unknown.
    pub fn add(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let Entry::Vacant(entry) = self.peers.entry(address) else { return false };
        let last_sent_at = Timestamp::default();
        entry.insert(Peer { zone: None, last_heard_at: now, last_sent_at, rank: rank(address) });
        true
    }

    /// Notes a word of a router; returns whether it was unknown.
    pub fn record_datagram(&mut self, now: Timestamp, address: SocketAddr, zone: ZoneTag) -> bool {
        let is_new = self.add(now, address);
        if let Some(peer) = self.peers.get_mut(&address) {
            (peer.last_heard_at, peer.zone) = (now, Some(zone));
        }
        is_new
    }

    /// Forgets routers that have been silent for long; returns whether there were any.
    pub fn remove_expired(&mut self, now: Timestamp) -> bool {
        let count = self.peers.len();
        self.peers
            .retain(|_, peer| now - peer.last_heard_at < Duration::from_millis(EXPIRE_AFTER_MS));
        self.peers.len() != count
    }

    /// Returns how many routers there are, this one included.
    pub fn router_count(&self) -> u32 {
        self.peers.len() as u32 + 1
    }

    /// Tells whether the router at `own` is one of those that read the store for all; routers that
    /// have fallen silent are passed over.
    pub fn is_watcher(&self, now: Timestamp, own: SocketAddr) -> bool {
        let own_rank = rank(own);
        let comes_first = |peer: &&Peer| !peer.is_silent(now) && peer.rank < own_rank;
        self.peers.values().filter(comes_first).count() < WATCHER_COUNT
    }

    /// Names the routers to send the next datagram to; `draw` is a random number that spreads what
    /// is passed on.
    pub fn recipients(&mut self, now: Timestamp, draw: u64) -> Vec<Recipient> {
        let mut told = Vec::new();
        let mut by_zone: BTreeMap<ZoneTag, Vec<SocketAddr>> = BTreeMap::new();
        for (&address, peer) in &mut self.peers {
            let is_quiet = peer.is_silent(now);
            if let Some(zone) = peer.zone.filter(|zone| *zone != self.zone && !is_quiet) {
                by_zone.entry(zone).or_default().push(address);
                continue;
            }
            if is_quiet && now - peer.last_sent_at < Duration::from_millis(SILENT_SEND_INTERVAL_MS)
            {
                continue;
            }
            peer.last_sent_at = now;
            told.push(Recipient { address, should_relay: false });
        }
        for (zone, addresses) in by_zone {
            let pick = rendezvous::mix(draw ^ u64::from(zone.0)) as usize % addresses.len();
            told.push(Recipient { address: addresses[pick], should_relay: addresses.len() > 1 });
        }
        told
    }

    /// Names the routers of the own zone that a datagram of `origin` is passed on to.
    pub fn relay_targets(&self, now: Timestamp, origin: SocketAddr) -> Vec<SocketAddr> {
        let is_near = |peer: &Peer| peer.zone == Some(self.zone) && !peer.is_silent(now);
        let near = self.peers.iter().filter(|(address, peer)| **address != origin && is_near(peer));
        near.map(|(address, _)| *address).collect()
    }
}

fn rank(address: SocketAddr) -> u64 {
    rendezvous::mix(router_id(address))
}
