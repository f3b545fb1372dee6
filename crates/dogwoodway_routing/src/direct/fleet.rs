//! The backend servers that a router knows, and where a request runs among them.

mod membership;
mod placing;
mod requests;
mod sharing;
mod versions;

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use dogwoodway_types::{
    AvailabilityZone, BackendServerName, ModelName, ServiceName, Timestamp, WeightsVersion,
};
use slotmap::{SlotMap, new_key_type};

use crate::{
    direct::{
        admission::QueuePressure,
        distance::{Distance, Regions},
        health::Health,
        kv_stores::{KvChange, KvStores},
        link_pace::LinkPace,
        load::Load,
        table::{EngineSpec, RoutingTable, ServiceKind},
        token_lru::TokenLru,
    },
    rendezvous::ServerKey,
};

pub use self::{
    membership::{Availability, ServerListing},
    placing::{Placement, PlacementRequest, Refusal},
    sharing::{PromptUpdate, ServerLoad, ServerTag},
    versions::VersionAge,
};
use self::{requests::Running, versions::NamedVersion};

new_key_type! {
    /// Identifies a backend server that the router knows.
    pub struct BackendKey;
    /// Identifies a request that the router has sent.
    pub struct RequestKey;
}

/// Time from the first output to the moment at which the store has what the engine saves, in
/// milliseconds.
const SAVED_AFTER_MS: u64 = 60;

/// Milliseconds to compute one prompt token before anything was measured.
const ASSUMED_READ_MS_PER_TOKEN: f64 = 0.018;

/// A server of the fleet.
#[derive(Clone, Debug)]
struct Server {
    listing: ServerListing,
    hash: ServerKey,
    own: Load,
    peers: HashMap<u64, (Load, Timestamp)>,
    peer_sum: Load,
    health: Health,
    link: LinkPace,
    cached: TokenLru,
    loading_until: Timestamp,
    /// When the request that waits longest for its first byte was sent.
    owed: Vec<(RequestKey, Timestamp)>,
    /// Until when a server that is missing from the list is still used.
    missing_until: Option<Timestamp>,
}

impl Server {
    fn load(&self) -> Load {
        self.own + self.peer_sum
    }

    fn version(&self, model: &ModelName) -> Option<WeightsVersion> {
        let weights = self.listing.weights.iter();
        weights.filter(|(name, _)| name == model).map(|(_, version)| *version).next()
    }

    fn is_listed(&self, now: Timestamp) -> bool {
        self.missing_until.is_none_or(|until| now < until)
    }
}

/// The backend servers, and the requests that the router has sent to them.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::{
///     fleet::{Availability, Fleet, PlacementRequest, ServerListing},
///     health::HealthSignal,
/// };
/// use dogwoodway_types::{AvailabilityZone, BackendServerName, ServiceName, Timestamp};
///
/// let zone = AvailabilityZone::try_from("lj-a").unwrap();
/// let service = ServiceName::try_from("desk").unwrap();
/// let now = Timestamp::from_millis(1);
/// let mut fleet = Fleet::new(zone.clone());
/// let listing = ServerListing {
///     name: BackendServerName::try_from("desk-1").unwrap(),
///     service: service.clone(),
///     address: "10.0.0.1:80".parse().unwrap(),
///     zone,
///     slots: 6,
///     availability: Availability::Ready,
///     weights: Vec::new(),
///     started_at_ms: 7,
///     revision: 1,
/// };
/// fleet.apply_listing(now, listing);
/// let query = PlacementRequest {
///     service,
///     prompt: None,
///     isolated_team: None,
///     required_version: None,
///     priority: 0,
///     deadline: now + Duration::from_millis(600),
///     expected_by: now + Duration::from_millis(100),
///     tried: Vec::new(),
///     draw: 1,
/// };
/// let placement = fleet.place(now, &query).unwrap();
/// assert_eq!(placement.name.as_str(), "desk-1");
/// fleet.end_request(now, placement.request, Some(HealthSignal::Answered));
/// assert!(fleet.own_loads().is_empty());
/// ```
#[derive(Debug)]
pub struct Fleet {
    zone: AvailabilityZone,
    regions: Regions,
    routers: u32,
    servers: SlotMap<BackendKey, Server>,
    by_name: HashMap<BackendServerName, BackendKey>,
    by_tag: HashMap<ServerTag, BackendKey>,
    by_service: HashMap<ServiceName, Vec<BackendKey>>,
    engines: HashMap<ServiceName, EngineSpec>,
    stores: KvStores,
    /// Versions named, by model, the oldest first.
    named: HashMap<ModelName, Vec<NamedVersion>>,
    /// Start and revision of servers that have left, so that a late entry does not bring them back.
    departed: HashMap<BackendServerName, (u64, u64)>,
    running: SlotMap<RequestKey, Running>,
    pressure: HashMap<ServiceName, QueuePressure>,
    read_ms_per_token: f64,
    prompt_news: VecDeque<(PromptUpdate, u8)>,
    next_seq: u64,
    heard_seqs: HashMap<u64, u64>,
}

impl Fleet {
    /// Builds an empty fleet for a router in `zone`.
    pub fn new(zone: AvailabilityZone) -> Fleet {
        Fleet {
            zone,
            regions: Regions::default(),
            routers: 1,
            servers: SlotMap::with_key(),
            by_name: HashMap::new(),
            by_tag: HashMap::new(),
            by_service: HashMap::new(),
            engines: HashMap::new(),
            stores: KvStores::default(),
            named: HashMap::new(),
            departed: HashMap::new(),
            running: SlotMap::with_key(),
            pressure: HashMap::new(),
            read_ms_per_token: ASSUMED_READ_MS_PER_TOKEN,
            prompt_news: VecDeque::new(),
            next_seq: 0,
            heard_seqs: HashMap::new(),
        }
    }

    /// Takes over the regions that zones belong to.
    pub fn set_regions(&mut self, regions: Regions) {
        self.regions = regions;
    }

    /// Returns how far a zone is from the router.
    fn distance(&self, zone: &AvailabilityZone) -> Distance {
        self.regions.distance(&self.zone, zone)
    }

    /// Takes over the services of a routing table.
    pub fn set_table(&mut self, table: &RoutingTable) {
        self.engines.clear();
        for service in table.services() {
            if let ServiceKind::Engines(spec) = &service.kind {
                self.engines.insert(service.name.clone(), spec.clone());
            }
        }
        // Each region keeps prefixes for itself, unless only another one has a store.
        let (own, others): (Vec<_>, Vec<_>) = table.kv_stores().cloned().partition(|store| {
            let distance = store.zone.as_ref().map(|zone| self.distance(zone));
            distance.is_none_or(|distance| distance < Distance::OtherRegion)
        });
        self.stores.set(if own.is_empty() { others } else { own });
    }

    /// Takes in what a store of kept KV cache tells of itself; `is_whole` tells that it begins anew.
    pub fn apply_store_changes(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        is_whole: bool,
        changes: &[KvChange],
    ) {
        self.stores.apply_changes(now, address, is_whole, changes);
    }

    /// Notes that a store of kept KV cache cannot be reached.
    pub fn mark_store_unreachable(&mut self, address: SocketAddr) {
        self.stores.mark_unreachable(address);
    }

    /// Notes how many routers share the fleet, this one included.
    pub fn set_router_count(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Returns the names of all servers.
    pub fn server_names(&self) -> Vec<BackendServerName> {
        self.by_name.keys().cloned().collect()
    }

    /// Finds a server by name.
    pub fn find(&self, name: &BackendServerName) -> Option<BackendKey> {
        self.by_name.get(name).copied()
    }

    /// Finds a server by the tag under which routers tell each other of it.
    pub fn find_by_tag(&self, tag: ServerTag) -> Option<BackendKey> {
        self.by_tag.get(&tag).copied()
    }

    /// Returns the listing of a server.
    pub fn listing(&self, key: BackendKey) -> Option<&ServerListing> {
        self.servers.get(key).map(|server| &server.listing)
    }

    /// Returns a figure that is known of some servers, as it is at the given part of them in
    /// ascending order: 2 for the median, 4 for the lower quartile.
    fn quantile<F>(&self, keys: &[BackendKey], part: usize, figure: F) -> Option<f64>
    where
        F: Fn(&Health) -> Option<f64>,
    {
        let servers = keys.iter().filter_map(|key| self.servers.get(*key));
        let mut known: Vec<_> = servers.filter_map(|server| figure(&server.health)).collect();
        let place = known.len().checked_sub(1)? / part;
        Some(*known.select_nth_unstable_by(place, f64::total_cmp).1)
    }
}
