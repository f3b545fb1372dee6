//! The routers that this one knows, and which of them it sends its load to.
//!
//! Each router tells all others about its requests many times a second, and traffic between zones
//! is expensive. A datagram goes directly to the routers of the own zone. In each other zone it
//! goes to one router, chosen at random each time, which relays it within its zone. So the traffic
//! between zones grows with the number of zones instead of the number of routers.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddr,
    time::Duration,
};

use dogwoodway_types::{AvailabilityZone, Timestamp};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{direct::load::router_id, rendezvous};

/// Time without a datagram from a router after which it is sent to less often and is not used as a
/// relay, in milliseconds; several times the longest pause between two datagrams.
const SILENT_AFTER_MS: u64 = 2_000;

/// Interval between datagrams to a silent router, in milliseconds. It may come back, for example
/// after a network partition.
const SILENT_SEND_INTERVAL_MS: u64 = 1_000;

/// Time without a datagram from a router after which it is removed, in milliseconds.
const EXPIRE_AFTER_MS: u64 = 60_000;

/// Number of routers that read the store continuously: two, so that one may be cut off.
const WATCHER_COUNT: usize = 2;

/// Identifies a zone in datagrams: part of the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneTag(pub u16);

impl From<&AvailabilityZone> for ZoneTag {
    fn from(zone: &AvailabilityZone) -> ZoneTag {
        ZoneTag((xxh3_64(zone.as_str().as_bytes()) >> 48) as u16)
    }
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// Zone of the router; absent until a datagram from it has arrived.
    zone: Option<ZoneTag>,
    last_heard_at: Timestamp,
    last_sent_at: Timestamp,
    /// Whether the router reaches the store, as it last reported.
    reaches_store: bool,
    /// Order in which routers become watchers, the lowest first.
    rank: u64,
}

impl Peer {
    fn is_silent(&self, now: Timestamp) -> bool {
        now - self.last_heard_at > Duration::from_millis(SILENT_AFTER_MS)
    }
}

/// A router to send a datagram to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// Address at which the router receives datagrams.
    pub address: SocketAddr,
    /// Whether the router should relay the datagram to the others of its zone.
    pub should_relay: bool,
}

/// The other routers, as known to one router.
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
    /// Creates the state of a router in `zone` that knows no other router.
    pub fn new(zone: ZoneTag) -> Peers {
        Peers { zone, peers: BTreeMap::new() }
    }

    /// Adds a router that was announced; returns whether it was unknown.
    pub fn add(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let Entry::Vacant(entry) = self.peers.entry(address) else { return false };
        entry.insert(Peer {
            zone: None,
            last_heard_at: now,
            last_sent_at: Timestamp::default(),
            reaches_store: true,
            rank: rank(address),
        });
        true
    }

    /// Records a datagram from a router; returns whether the router was unknown.
    pub fn record_datagram(&mut self, now: Timestamp, address: SocketAddr, zone: ZoneTag) -> bool {
        let is_new = self.add(now, address);
        if let Some(peer) = self.peers.get_mut(&address) {
            (peer.last_heard_at, peer.zone) = (now, Some(zone));
        }
        is_new
    }

    /// Records whether a router reaches the store, as it reports itself.
    pub fn record_store_access(&mut self, address: SocketAddr, reaches_store: bool) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.reaches_store = reaches_store;
        }
    }

    /// Removes routers that have been silent for too long; returns whether there were any.
    pub fn remove_expired(&mut self, now: Timestamp) -> bool {
        let count = self.peers.len();
        self.peers
            .retain(|_, peer| now - peer.last_heard_at < Duration::from_millis(EXPIRE_AFTER_MS));
        self.peers.len() != count
    }

    /// Returns the number of routers, including this one.
    pub fn router_count(&self) -> u32 {
        self.peers.len() as u32 + 1
    }

    /// Returns whether the router at `own` is a watcher, that is, one of those that read the store
    /// on behalf of all. Silent routers are passed over, and so are those that do not reach the
    /// store while any router does.
    ///
    /// ```
    /// use dogwoodway_routing::direct::peers::{Peers, ZoneTag};
    /// use dogwoodway_types::Timestamp;
    ///
    /// let own = "10.0.1.1:7340".parse().unwrap();
    /// let peers = Peers::new(ZoneTag(1));
    /// assert!(peers.is_watcher(Timestamp::from_millis(1), own, true), "it is the only router");
    /// ```
    pub fn is_watcher(&self, now: Timestamp, own: SocketAddr, reaches_store: bool) -> bool {
        let own_rank = rank(own);
        let heard = || self.peers.values().filter(|peer| !peer.is_silent(now));
        let is_lost_for_all = !reaches_store && !heard().any(|peer| peer.reaches_store);
        let comes_first =
            |peer: &&Peer| (peer.reaches_store || is_lost_for_all) && peer.rank < own_rank;
        (reaches_store || is_lost_for_all) && heard().filter(comes_first).count() < WATCHER_COUNT
    }

    /// Returns the routers to send the next datagram to. `draw` is a random number that distributes
    /// the work of relaying.
    pub fn recipients(&mut self, now: Timestamp, draw: u64) -> Vec<Recipient> {
        let mut recipients = Vec::new();
        let mut by_zone: BTreeMap<ZoneTag, Vec<SocketAddr>> = BTreeMap::new();
        for (&address, peer) in &mut self.peers {
            let is_silent = peer.is_silent(now);
            if let Some(zone) = peer.zone.filter(|zone| *zone != self.zone && !is_silent) {
                by_zone.entry(zone).or_default().push(address);
                continue;
            }
            if is_silent && now - peer.last_sent_at < Duration::from_millis(SILENT_SEND_INTERVAL_MS)
            {
                continue;
            }
            peer.last_sent_at = now;
            recipients.push(Recipient { address, should_relay: false });
        }
        for (zone, addresses) in by_zone {
            let index = rendezvous::mix(draw ^ u64::from(zone.0)) as usize % addresses.len();
            recipients
                .push(Recipient { address: addresses[index], should_relay: addresses.len() > 1 });
        }
        recipients
    }

    /// Returns the routers of the own zone to relay a datagram of `origin` to.
    pub fn relay_targets(&self, now: Timestamp, origin: SocketAddr) -> Vec<SocketAddr> {
        let is_relay_target = |peer: &Peer| peer.zone == Some(self.zone) && !peer.is_silent(now);
        let targets = self
            .peers
            .iter()
            .filter(|(address, peer)| **address != origin && is_relay_target(peer));
        targets.map(|(address, _)| *address).collect()
    }
}

fn rank(address: SocketAddr) -> u64 {
    rendezvous::mix(router_id(address))
}
