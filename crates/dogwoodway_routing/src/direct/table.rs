//! The routing table: which service each request goes to, and which rules apply to it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use dogwoodway_types::{AvailabilityZone, KeyHash, ModelName, RouteName, ServiceName, TeamName};
use serde::{Deserialize, Serialize};

use crate::direct::team_quota::TeamQuota;

/// Identifies a route of one [`RoutingTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(u32);

/// Identifies a team of one [`RoutingTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TeamKey(u32);

/// How often a request may run, and what its answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// A call that may run any number of times.
    Idempotent,
    /// A call that may run at most once.
    AtMostOnce,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that another run may continue after the last delivered event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service that the share goes to.
    pub service: ServiceName,
    /// Size of the share, relative to the other targets.
    pub weight: u32,
}

/// A rule that matches requests and sends them to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: RouteName,
    /// Host that requests must name, in lower case.
    pub host: String,
    /// Prefix that the path of a request must have; starts and ends with a slash.
    pub prefix: String,
    /// How often a request may run, and what its answer is.
    pub kind: RouteKind,
    /// Services that the requests are distributed over.
    pub targets: Vec<Target>,
    /// Time within which a request must get its final answer, in milliseconds.
    #[serde(rename = "answer_within_ms")]
    pub timeout_ms: u32,
    /// Time within which callers expect the answer or the first event, in milliseconds.
    #[serde(rename = "expected_within_ms")]
    pub target_latency_ms: u32,
    /// Maximum number of attempts that may have run one request, if it may be repeated. Attempts
    /// that are known not to have run it do not count.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the highest.
    #[serde(rename = "urgency")]
    pub priority: u8,
    /// Whether requests need no key.
    pub is_anonymous: bool,
}

impl Route {
    /// Returns the services that get requests.
    pub fn services(&self) -> Vec<ServiceName> {
        let targets = self.targets.iter().filter(|target| target.weight > 0);
        targets.map(|target| target.service.clone()).collect()
    }

    /// Chooses the service for one request. `draw` is a random number.
    ///
    /// Returns `None` for a route without targets.
    pub fn service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remaining = draw.checked_rem(total)?;
        for target in &self.targets {
            match remaining.checked_sub(u64::from(target.weight)) {
                Some(rest) => remaining = rest,
                None => return Some(&target.service),
            }
        }
        None
    }
}

/// What the engines of a service have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Size of the KV cache of one token, in bytes.
    pub kv_token_bytes: u64,
    /// Speed of an engine's link for KV cache, in megabits per second.
    pub link_mbps: f64,
    /// Models that the engines run.
    pub models: Vec<ModelName>,
}

/// A store that holds KV cache which engines have computed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KvStoreSpec {
    /// Address at which engines reach the store.
    pub address: SocketAddr,
    /// Zone of the store, if it is known.
    pub zone: Option<AvailabilityZone>,
    /// Capacity of the store, in tokens.
    pub kv_tokens: u64,
    /// Speed of the store's link, in megabits per second.
    pub link_mbps: f64,
}

/// Kind of a service's backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Servers that answer calls and run no model.
    Plain,
    /// Engines that run models.
    Engines(EngineSpec),
    /// A KV store, which takes no requests from callers.
    KvStore(KvStoreSpec),
}

/// A service: a set of backend servers that answer the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name.
    pub name: ServiceName,
    /// Connections that one server accepts from all routers together.
    pub max_connections: u32,
    /// Kind of the service's servers.
    pub kind: ServiceKind,
}

/// Rules for the requests of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamRule {
    /// Unique name.
    pub name: TeamName,
    /// Priority that takes precedence over that of the route, if set; 0 is the highest.
    #[serde(rename = "urgency")]
    pub priority: Option<u8>,
    /// Whether the team's KV cache is shared with no other team.
    pub is_isolated: bool,
    /// Limit on what the team may send over all routers; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<TeamQuota>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest size of a request's header section, in bytes.
    #[serde(rename = "head_bytes")]
    pub max_header_bytes: u32,
    /// Largest size of a request's body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: u32,
    /// Time within which a request's header section must arrive, in milliseconds.
    #[serde(rename = "head_within_ms")]
    pub header_timeout_ms: u32,
    /// Time for which a connection may be idle, in milliseconds.
    #[serde(rename = "idle_within_ms")]
    pub idle_timeout_ms: u32,
}

/// The contents of a [`RoutingTable`], before they are indexed.
#[derive(Clone, Debug, Default)]
pub struct TableParts {
    /// Version of the configuration; increases with each change.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services, in any order.
    pub services: Vec<Service>,
    /// Teams, each with the hashes of its keys.
    pub teams: Vec<(TeamRule, Vec<KeyHash>)>,
    /// Limits for callers, if any are configured.
    pub limits: Option<CallerLimits>,
}

/// One version of the routing table, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    version: u64,
    routes: Vec<Route>,
    by_host: HashMap<String, Vec<RouteKey>>,
    services: HashMap<ServiceName, Service>,
    teams: Vec<TeamRule>,
    by_key: HashMap<KeyHash, TeamKey>,
    limits: Option<CallerLimits>,
}

impl From<TableParts> for RoutingTable {
    fn from(parts: TableParts) -> RoutingTable {
        let mut by_host: HashMap<String, Vec<RouteKey>> = HashMap::new();
        for (i, route) in parts.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(RouteKey(i as u32));
        }
        // The longest prefix comes first, so that the first match is the most specific one.
        for keys in by_host.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(parts.routes[key.0 as usize].prefix.len()));
        }
        let mut by_key = HashMap::new();
        let mut teams = Vec::new();
        for (i, (team, keys)) in parts.teams.into_iter().enumerate() {
            by_key.extend(keys.into_iter().map(|key| (key, TeamKey(i as u32))));
            teams.push(team);
        }
        let services = parts.services.into_iter().map(|s| (s.name.clone(), s)).collect();
        RoutingTable {
            version: parts.version,
            routes: parts.routes,
            by_host,
            services,
            teams,
            by_key,
            limits: parts.limits,
        }
    }
}

impl RoutingTable {
    /// Returns the version of the table, which increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Finds the route of a request: among the routes of its host, the one with the longest
    /// matching prefix.
    ///
    /// ```
    /// use dogwoodway_routing::direct::table::{Route, RouteKind, RoutingTable, TableParts};
    /// use dogwoodway_types::RouteName;
    ///
    /// let route = |name: &str, prefix: &str| Route {
    ///     name: RouteName::try_from(name).unwrap(),
    ///     host: "desk.example".to_owned(),
    ///     prefix: prefix.to_owned(),
    ///     kind: RouteKind::Idempotent,
    ///     targets: Vec::new(),
    ///     timeout_ms: 600,
    ///     target_latency_ms: 100,
    ///     max_attempts: 2,
    ///     priority: 2,
    ///     is_anonymous: false,
    /// };
    /// let routes = vec![route("all", "/"), route("orders", "/orders/")];
    /// let table = RoutingTable::from(TableParts { routes, ..TableParts::default() });
    /// let key = table.find("Desk.example:80", "/orders/7").unwrap();
    /// assert_eq!(table.route(key).name.as_str(), "orders");
    /// assert!(table.find("other.example", "/orders/7").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let keys = match self.by_host.get(name) {
            Some(keys) => keys,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        keys.iter().copied().find(|key| path.starts_with(&self.route(*key).prefix))
    }

    /// Returns a route of this table.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0 as usize]
    }

    /// Returns the longest timeout of the routes whose streams may be resumed; `None` if there are none.
    pub fn resumable_stream_timeout(&self) -> Option<Duration> {
        let routes = self.routes.iter().filter(|route| route.kind == RouteKind::ResumableStream);
        routes.map(|route| Duration::from_millis(u64::from(route.timeout_ms))).max()
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns all teams.
    pub fn teams(&self) -> &[TeamRule] {
        &self.teams
    }

    /// Finds the team that a key belongs to.
    pub fn team_of(&self, key: &KeyHash) -> Option<TeamKey> {
        self.by_key.get(key).copied()
    }

    /// Returns a team of this table.
    pub fn team(&self, key: TeamKey) -> &TeamRule {
        &self.teams[key.0 as usize]
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the KV stores among the services.
    pub fn kv_stores(&self) -> impl Iterator<Item = &KvStoreSpec> {
        self.services().filter_map(|service| match &service.kind {
            ServiceKind::KvStore(store) => Some(store),
            ServiceKind::Plain | ServiceKind::Engines(_) => None,
        })
    }

    /// Returns the limits for callers, if any are configured.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }
}
