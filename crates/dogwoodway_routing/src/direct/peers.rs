//! The routers that this one knows, and the roles that some of them have.
//!
//! Each router reports to the aggregator of its zone, see [`aggregation`](crate::direct::aggregation).
//! Two routers, the watchers, read the store on behalf of all. Routers choose both from what they
//! know of the others, without agreement: two aggregators in one zone, or three watchers, cost some
//! traffic and do no harm.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque, btree_map::Entry},
    net::SocketAddr,
    time::Duration,
};

use dogwoodway_types::{AvailabilityZone, Timestamp};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{direct::load::router_id, rendezvous};

/// Time after which a router that nobody has heard from has no role, in milliseconds; several times
/// the interval at which digests name the routers that are alive.
const SILENT_AFTER_MS: u64 = 2_000;

/// Interval between greetings to a silent router, in milliseconds. It may come back, for example
/// after a network partition.
const SILENT_GREETING_INTERVAL_MS: u64 = 1_000;

/// Time without a datagram from a router after which it is greeted rarely, in milliseconds. It has
/// probably been stopped.
const LOST_AFTER_MS: u64 = 60_000;

/// Interval between greetings to a router that is probably stopped, in milliseconds.
const LOST_GREETING_INTERVAL_MS: u64 = 10_000;

/// Number of routers that are still greeted after they were removed; the oldest are forgotten first.
const MAX_REMOVED: usize = 1_024;

/// Interval between greetings to a router that has not answered yet, in milliseconds.
const NEW_GREETING_INTERVAL_MS: u64 = 200;

/// Time after the last digest from a router in which it counts as an aggregator, in milliseconds.
const AGGREGATING_MS: u64 = 1_000;

/// Time for which a router that sent no digests is not chosen as the aggregator, in milliseconds.
const AVOID_MS: u64 = 3_000;

/// Routers that receive digests in a zone of which no aggregator has been heard: the one that should
/// aggregate, and the one that would replace it.
const AGGREGATORS_PER_ZONE: usize = 2;

/// Time without a datagram from a router after which it is removed, in milliseconds. Until then it
/// keeps its part of the limits that all routers share, and may have begun the streams that clients take
/// up, since it may be cut off and go on serving.
const EXPIRE_AFTER_MS: u64 = 600_000;

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

/// What a router tells others about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterInfo {
    /// Address at which the router receives datagrams; identifies it among the routers.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: ZoneTag,
    /// Its share of a processor core in percent. Aggregators are chosen among the largest.
    pub cpu_percent: u8,
    /// Whether its last reads of the store succeeded.
    pub reaches_store: bool,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// Absent until the router has told it.
    info: Option<RouterInfo>,
    last_heard_at: Timestamp,
    last_greeted_at: Timestamp,
    /// When the last digest from it arrived.
    last_digest_at: Timestamp,
    /// Until when it is not chosen as the aggregator, because it did not act as one.
    avoided_until: Timestamp,
    /// Order in which routers become watchers, the lowest first.
    rank: u64,
}

impl Peer {
    fn is_silent(&self, now: Timestamp) -> bool {
        now - self.last_heard_at > Duration::from_millis(SILENT_AFTER_MS)
    }

    fn is_lost(&self, now: Timestamp) -> bool {
        now - self.last_heard_at > Duration::from_millis(LOST_AFTER_MS)
    }

    fn reaches_store(&self) -> bool {
        self.info.is_none_or(|info| info.reaches_store)
    }

    fn is_aggregating(&self, now: Timestamp) -> bool {
        now - self.last_digest_at < Duration::from_millis(AGGREGATING_MS)
    }
}

/// The other routers, as known to one router.
///
/// ```
/// use dogwoodway_routing::direct::peers::{Peers, RouterInfo, ZoneTag};
/// use dogwoodway_types::Timestamp;
///
/// let info = |n: u8, cpu_percent| RouterInfo {
///     address: format!("10.0.1.{n}:7340").parse().unwrap(),
///     zone: ZoneTag(1),
///     cpu_percent,
///     reaches_store: true,
/// };
/// let mut peers = Peers::default();
/// let now = Timestamp::from_millis(1);
/// peers.record_info(now, info(2, 50));
/// assert_eq!(peers.aggregator(now, &info(1, 9)), info(2, 50).address);
/// assert_eq!(peers.router_count(), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<SocketAddr, Peer>,
    /// Routers that were removed and when each was last greeted, the oldest first.
    removed: VecDeque<(SocketAddr, Timestamp)>,
}

impl Peers {
    /// Adds a router that was announced; returns whether it was unknown.
    pub fn add(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        let Entry::Vacant(entry) = self.peers.entry(address) else { return false };
        entry.insert(Peer {
            info: None,
            last_heard_at: now,
            last_greeted_at: Timestamp::default(),
            last_digest_at: Timestamp::default(),
            avoided_until: Timestamp::default(),
            rank: rank(address),
        });
        self.removed.retain(|(removed, _)| *removed != address);
        true
    }

    /// Records that a router is alive and what it tells about itself; returns whether it was
    /// unknown.
    pub fn record_info(&mut self, now: Timestamp, info: RouterInfo) -> bool {
        let is_new = self.add(now, info.address);
        if let Some(peer) = self.peers.get_mut(&info.address) {
            (peer.last_heard_at, peer.info) = (now, Some(info));
        }
        is_new
    }

    /// Records a digest from a router, which shows that it acts as an aggregator.
    pub fn record_digest(&mut self, now: Timestamp, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.last_digest_at = now;
        }
    }

    /// Does not choose a router as the aggregator for some time, since it does not act as one.
    pub fn avoid(&mut self, now: Timestamp, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.avoided_until = now + Duration::from_millis(AVOID_MS);
        }
    }

    /// Removes routers that have been silent for too long; returns whether there were any. They are
    /// still greeted, since a network partition may last longer.
    pub fn remove_expired(&mut self, now: Timestamp) -> bool {
        let count = self.peers.len();
        let is_expired =
            |peer: &Peer| now - peer.last_heard_at >= Duration::from_millis(EXPIRE_AFTER_MS);
        let expired = self.peers.extract_if(.., |_, peer| is_expired(peer));
        self.removed.extend(expired.map(|(address, peer)| (address, peer.last_greeted_at)));
        let excess = self.removed.len().saturating_sub(MAX_REMOVED);
        self.removed.drain(..excess);
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
    /// use dogwoodway_routing::direct::peers::Peers;
    /// use dogwoodway_types::Timestamp;
    ///
    /// let own = "10.0.1.1:7340".parse().unwrap();
    /// let peers = Peers::default();
    /// assert!(peers.is_watcher(Timestamp::from_millis(1), own, true), "it is the only router");
    /// ```
    pub fn is_watcher(&self, now: Timestamp, own: SocketAddr, reaches_store: bool) -> bool {
        let own_rank = rank(own);
        let heard = || self.peers.values().filter(|peer| !peer.is_silent(now));
        let is_lost_for_all = !reaches_store && !heard().any(Peer::reaches_store);
        let comes_first =
            |peer: &&Peer| (peer.reaches_store() || is_lost_for_all) && peer.rank < own_rank;
        (reaches_store || is_lost_for_all) && heard().filter(comes_first).count() < WATCHER_COUNT
    }

    /// Returns the router that aggregates the reports of the zone of `own`: one with the largest
    /// share of a processor, which may be `own` itself.
    pub fn aggregator(&self, now: Timestamp, own: &RouterInfo) -> SocketAddr {
        let usable = self.peers.values().filter(|peer| !peer.is_silent(now));
        let others = usable.filter(|peer| peer.avoided_until <= now).filter_map(|peer| peer.info);
        let of_zone = others.filter(|info| info.zone == own.zone).chain([*own]);
        let first = of_zone.min_by_key(aggregation_order);
        first.map_or(own.address, |info| info.address)
    }

    /// Returns the routers that an aggregator in `zone` sends the digest of its zone to: all that act
    /// as aggregators, and the first ones of each other zone in which none does.
    pub fn digest_targets(&self, now: Timestamp, zone: ZoneTag) -> Vec<SocketAddr> {
        let mut by_zone: BTreeMap<ZoneTag, Vec<RouterInfo>> = BTreeMap::new();
        let mut targets = Vec::new();
        for info in self.infos(now) {
            by_zone.entry(info.zone).or_default().push(info);
        }
        let aggregates = |info: &RouterInfo| self.peers[&info.address].is_aggregating(now);
        for (other_zone, mut infos) in by_zone {
            targets.extend(infos.iter().filter(|info| aggregates(info)).map(|info| info.address));
            if other_zone != zone && !infos.iter().any(aggregates) {
                infos.sort_by_key(aggregation_order);
                infos.truncate(AGGREGATORS_PER_ZONE);
                targets.extend(infos.iter().map(|info| info.address));
            }
        }
        targets
    }

    /// Returns the routers to greet now: those that have not told anything about themselves, and
    /// those that have become silent or were removed, since they may come back.
    pub fn routers_to_greet(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (address, peer) in &mut self.peers {
            let interval_ms = match (peer.info, peer.is_silent(now)) {
                _ if peer.is_lost(now) => LOST_GREETING_INTERVAL_MS,
                (None, false) => NEW_GREETING_INTERVAL_MS,
                (_, true) => SILENT_GREETING_INTERVAL_MS,
                (Some(_), false) => continue,
            };
            if now - peer.last_greeted_at >= Duration::from_millis(interval_ms) {
                peer.last_greeted_at = now;
                addresses.push(*address);
            }
        }
        for (address, last_greeted_at) in &mut self.removed {
            if now - *last_greeted_at >= Duration::from_millis(LOST_GREETING_INTERVAL_MS) {
                *last_greeted_at = now;
                addresses.push(*address);
            }
        }
        addresses
    }

    /// Returns the ranks of the routers that are alive, the one at `own` included, in ascending order.
    /// A rank identifies a router.
    ///
    /// ```
    /// use dogwoodway_routing::direct::peers::{Peers, rank};
    /// use dogwoodway_types::Timestamp;
    ///
    /// let own = "10.0.1.1:7340".parse().unwrap();
    /// assert_eq!(Peers::default().ranks_alive(Timestamp::from_millis(1), own), [rank(own)]);
    /// ```
    pub fn ranks_alive(&self, now: Timestamp, own: SocketAddr) -> Vec<u64> {
        let others = self.peers.values().filter(|peer| peer.info.is_some() && !peer.is_silent(now));
        let mut ranks: Vec<_> = others.map(|peer| peer.rank).chain([rank(own)]).collect();
        ranks.sort_unstable();
        ranks
    }

    /// Returns the addresses of all other routers that are known, also of those that are silent.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.keys().copied()
    }

    /// Returns what the routers that are not silent have told about themselves.
    pub fn infos(&self, now: Timestamp) -> impl Iterator<Item = RouterInfo> + '_ {
        self.peers.values().filter(move |peer| !peer.is_silent(now)).filter_map(|peer| peer.info)
    }
}

/// Order in which routers become aggregators: those with more processor first, then at random.
fn aggregation_order(info: &RouterInfo) -> (Reverse<u8>, u64) {
    (Reverse(info.cpu_percent), rank(info.address))
}

/// Returns the rank of the router at an address, which puts all routers into one random order.
pub fn rank(address: SocketAddr) -> u64 {
    rendezvous::mix(router_id(address))
}
