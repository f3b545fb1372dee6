//! The backend servers that a router knows, and the requests that it has sent to them.

mod gossip;
mod limits;
mod membership;
mod notices;
mod placement;
mod prefix_sources;
mod requests;
mod software;
mod versions;

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
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
        link_slowdown::LinkSlowdown,
        load::Load,
        sampling::PromptRate,
        server_limit::ServerLimit,
        software::{SoftwareHistory, SoftwareTag},
        table::{EngineSpec, RoutingTable, ServiceKind},
        token_lru::TokenLru,
    },
    rendezvous::ServerKey,
};

pub(crate) use self::gossip::{subtract_loads, sum_loads};
pub use self::{
    gossip::{OriginPrompt, PromptFilter, PromptUpdate, ServerLoad, ServerTag},
    limits::LimitNotice,
    membership::{Availability, ServerListing},
    notices::LeavingServer,
    placement::{Placement, PlacementRequest, Refusal},
    versions::{StartLimits, VersionAge},
};
use self::{requests::InFlightRequest, versions::PublishedVersion};

new_key_type! {
    /// Identifies a backend server within one [`Fleet`].
    pub struct BackendKey;
    /// Identifies a request in flight within one [`Fleet`].
    pub struct RequestKey;
}

/// Time from the first output of a prompt until the KV store holds what the engine saves of it, in
/// milliseconds.
const STORE_SAVE_DELAY_MS: u64 = 60;

/// Time to compute one prompt token that is assumed until it has been measured, in milliseconds.
const DEFAULT_PREFILL_MS_PER_TOKEN: f64 = 0.018;

/// Attempts of a client, one after the other, each as long as the route's timeout, after which the
/// client is taken to have given up its stream.
const ATTEMPTS_PER_STREAM: u32 = 2;

#[derive(Clone, Debug)]
struct Server {
    listing: ServerListing,
    software: SoftwareTag,
    hash: ServerKey,
    own_load: Load,
    peer_load_sum: Load,
    health: Health,
    link_slowdown: LinkSlowdown,
    prefix_cache: TokenLru,
    /// Until when no requests are placed on the server, because it loads weights or has refused a
    /// request for a version that it does not serve.
    loading_until: Timestamp,
    /// Requests without output so far, and when each was sent.
    awaiting_output: Vec<(RequestKey, Timestamp)>,
    /// Set while the server is missing from the platform's list: the time until which it is still
    /// used.
    removal_due_at: Option<Timestamp>,
    /// Whether the server has announced that it is shutting down.
    is_leaving: bool,
    /// End of the pause that the server has asked for.
    paused_until: Timestamp,
    limit: ServerLimit,
}

impl Server {
    fn load(&self) -> Load {
        self.own_load + self.peer_load_sum
    }

    fn version(&self, model: &ModelName) -> Option<WeightsVersion> {
        let weights = self.listing.weights.iter();
        weights.filter(|(name, _)| name == model).map(|(_, version)| *version).next()
    }

    /// Returns whether the server is neither shutting down nor paused.
    fn wants_requests(&self, now: Timestamp) -> bool {
        !self.is_leaving && now >= self.paused_until
    }

    /// Returns whether the server is listed or has not been missing from the list for too long.
    fn is_retained(&self, now: Timestamp) -> bool {
        self.removal_due_at.is_none_or(|until| now < until)
    }
}

/// The backend servers that a router knows, and the requests that it has sent to them.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::{
///     fleet::{Availability, Fleet, PlacementRequest, ServerListing},
///     health::HealthSignal,
/// };
/// use dogwoodway_types::{
///     AvailabilityZone, BackendServerName, ServiceName, SoftwareVersion, Timestamp,
/// };
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
///     software: SoftwareVersion::from("v1"),
///     slots: 6,
///     availability: Availability::Ready,
///     weights: Vec::new(),
///     started_at_ms: 7,
///     revision: 1,
/// };
/// fleet.apply_listing(now, listing);
/// let request = PlacementRequest {
///     service,
///     prompt: None,
///     isolated_team: None,
///     required_version: None,
///     preferred_version: None,
///     required_software: None,
///     priority: 0,
///     deadline: now + Duration::from_millis(600),
///     expected_by: now + Duration::from_millis(100),
///     tried: Vec::new(),
///     draw: 1,
/// };
/// let placement = fleet.place(now, &request).unwrap();
/// assert_eq!(placement.name.as_str(), "desk-1");
/// fleet.end_request(now, placement.request, Some(HealthSignal::Answered));
/// assert!(fleet.own_loads().is_empty());
/// ```
#[derive(Debug)]
pub struct Fleet {
    zone: AvailabilityZone,
    regions: Regions,
    router_count: u32,
    servers: SlotMap<BackendKey, Server>,
    by_name: HashMap<BackendServerName, BackendKey>,
    by_tag: HashMap<ServerTag, BackendKey>,
    by_service: HashMap<ServiceName, Vec<BackendKey>>,
    software_histories: HashMap<ServiceName, SoftwareHistory>,
    /// Time for which streams may last, attempts of their clients included; absent until a route is
    /// known whose streams may be resumed.
    stream_lifetime: Option<Duration>,
    /// When the software of all listed servers was last recorded.
    software_observed_at: Timestamp,
    engine_specs: HashMap<ServiceName, EngineSpec>,
    kv_stores: KvStores,
    /// Time after the publication of new weights within which requests may start on old ones.
    stale_weights_limit_ms: u64,
    /// Published versions of the weights of each model, in ascending order.
    published_versions: HashMap<ModelName, Vec<PublishedVersion>>,
    /// Start time and revision of servers that were removed, so that an outdated listing does not
    /// add them again.
    removed: HashMap<BackendServerName, (u64, u64)>,
    /// Start times of the processes that have announced that they are shutting down, so that a server
    /// that is removed and listed again is recognized.
    leaving: HashMap<BackendServerName, u64>,
    /// Limits of servers that were removed, by the start times of their processes.
    removed_limits: HashMap<BackendServerName, (u64, ServerLimit)>,
    /// Identifier of this router.
    own_id: u64,
    /// Identifiers of all routers that are alive; empty until they are known.
    routers: Vec<u64>,
    in_flight: SlotMap<RequestKey, InFlightRequest>,
    queue_pressure: HashMap<ServiceName, QueuePressure>,
    prompt_rates: HashMap<ServiceName, PromptRate>,
    prefill_ms_per_token: f64,
    /// Prompt updates to send to other routers, and how often each was sent.
    prompt_updates: VecDeque<(PromptUpdate, u8)>,
    last_update_seq: u64,
    prompt_filter: PromptFilter,
    /// Load last reported by each other router or digest, by its identifier.
    peer_loads: HashMap<u64, PeerLoads>,
}

/// Loads that another router or a digest reports.
#[derive(Clone, Debug)]
struct PeerLoads {
    received_at: Timestamp,
    by_server: Vec<(BackendKey, Load)>,
}

impl Fleet {
    /// Creates an empty fleet for a router in `zone`. Until more is known, the router counts as the
    /// only one.
    pub fn new(zone: AvailabilityZone) -> Fleet {
        Fleet {
            zone,
            regions: Regions::default(),
            router_count: 1,
            servers: SlotMap::with_key(),
            by_name: HashMap::new(),
            by_tag: HashMap::new(),
            by_service: HashMap::new(),
            software_histories: HashMap::new(),
            stream_lifetime: None,
            software_observed_at: Timestamp::default(),
            engine_specs: HashMap::new(),
            kv_stores: KvStores::default(),
            stale_weights_limit_ms: versions::DEFAULT_STALE_WEIGHTS_LIMIT_MS,
            published_versions: HashMap::new(),
            removed: HashMap::new(),
            leaving: HashMap::new(),
            removed_limits: HashMap::new(),
            own_id: 0,
            routers: Vec::new(),
            in_flight: SlotMap::with_key(),
            queue_pressure: HashMap::new(),
            prompt_rates: HashMap::new(),
            prefill_ms_per_token: DEFAULT_PREFILL_MS_PER_TOKEN,
            prompt_updates: VecDeque::new(),
            last_update_seq: 0,
            prompt_filter: PromptFilter::default(),
            peer_loads: HashMap::new(),
        }
    }

    /// Replaces the mapping from zones to regions.
    pub fn set_regions(&mut self, regions: Regions) {
        self.regions = regions;
    }

    /// Sets the time after the publication of new weights within which requests may start on old
    /// ones, in milliseconds.
    pub fn set_stale_weights_limit(&mut self, limit_ms: u32) {
        self.stale_weights_limit_ms = u64::from(limit_ms);
    }

    fn distance(&self, zone: &AvailabilityZone) -> Distance {
        self.regions.distance(&self.zone, zone)
    }

    /// Replaces the engine specifications and the KV stores by those of a routing table.
    pub fn set_table(&mut self, table: &RoutingTable) {
        if let Some(timeout) = table.resumable_stream_timeout() {
            // Streams that began under an earlier table may last longer.
            self.stream_lifetime = self.stream_lifetime.max(Some(timeout * ATTEMPTS_PER_STREAM));
        }
        self.engine_specs.clear();
        for service in table.services() {
            if let ServiceKind::Engines(spec) = &service.kind {
                self.engine_specs.insert(service.name.clone(), spec.clone());
            }
        }
        // Each region uses its own KV stores, and those of other regions only if it has none.
        let (own, others): (Vec<_>, Vec<_>) = table.kv_stores().cloned().partition(|store| {
            let distance = store.zone.as_ref().map(|zone| self.distance(zone));
            distance.is_none_or(|distance| distance < Distance::OtherRegion)
        });
        self.kv_stores.set(if own.is_empty() { others } else { own });
    }

    /// Applies changes that a KV store reports of its contents. `is_snapshot` means that the
    /// changes describe the complete contents and replace what was known.
    pub fn apply_store_changes(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        is_snapshot: bool,
        changes: &[KvChange],
    ) {
        self.kv_stores.apply_changes(now, address, is_snapshot, changes);
    }

    /// Records that a KV store cannot be reached.
    pub fn mark_store_unreachable(&mut self, address: SocketAddr) {
        self.kv_stores.mark_unreachable(address);
    }

    /// Sets the number of routers that share the fleet, including this one.
    pub fn set_router_count(&mut self, routers: u32) {
        self.router_count = routers.max(1);
    }

    /// Returns the names of all servers, in no particular order.
    pub fn server_names(&self) -> Vec<BackendServerName> {
        self.by_name.keys().cloned().collect()
    }

    /// Finds a server by name.
    pub fn find(&self, name: &BackendServerName) -> Option<BackendKey> {
        self.by_name.get(name).copied()
    }

    /// Finds a server by the tag that identifies it in messages between routers.
    pub fn find_by_tag(&self, tag: ServerTag) -> Option<BackendKey> {
        self.by_tag.get(&tag).copied()
    }

    /// Returns the listing of a server, as last applied.
    pub fn listing(&self, key: BackendKey) -> Option<&ServerListing> {
        self.servers.get(key).map(|server| &server.listing)
    }

    /// Returns the value of a metric at the quantile `1 / divisor` of the servers for which it is
    /// known: 2 gives the median, 4 the lower quartile.
    fn quantile<M>(&self, keys: &[BackendKey], divisor: usize, metric: M) -> Option<f64>
    where
        M: Fn(&Health) -> Option<f64>,
    {
        let servers = keys.iter().filter_map(|key| self.servers.get(*key));
        let mut known: Vec<_> = servers.filter_map(|server| metric(&server.health)).collect();
        let index = known.len().checked_sub(1)? / divisor;
        Some(*known.select_nth_unstable_by(index, f64::total_cmp).1)
    }
}
