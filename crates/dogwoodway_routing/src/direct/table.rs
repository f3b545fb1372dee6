//! The routing table: which requests go to which service, and under which rules.

use std::{collections::HashMap, net::SocketAddr};

use dogwoodway_types::{AvailabilityZone, KeyHash, ModelName, RouteName, ServiceName, TeamName};
use serde::{Deserialize, Serialize};

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
    /// A call that may run once at most.
    AtMostOnce,
    /// A stream of events that may run once at most.
    Stream,
    /// A stream of events that another run may continue after the last event delivered.
    ResumableStream,
}

impl RouteKind {
    /// Tells whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service that the share goes to.
    pub service: ServiceName,
    /// Size of the share relative to the other targets'.
    pub weight: u32,
}

/// A routing rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: RouteName,
    /// Host that requests name, in lower case.
    pub host: String,
    /// Beginning of the paths that it covers; begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// Milliseconds after which a request must have its final answer.
    #[serde(rename = "answer_within_ms")]
    pub timeout_ms: u32,
    /// Milliseconds to the answer, or the first event, that callers expect.
    #[serde(rename = "expected_within_ms")]
    pub target_latency_ms: u32,
    /// Backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Urgency, 0 first.
    #[serde(rename = "urgency")]
    pub priority: u8,
    /// Whether callers need no key.
    pub is_anonymous: bool,
}

impl Route {
    /// Chooses the service of one request; `draw` is a random number.
    ///
    /// Returns `None` for a route without targets.
    pub fn service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            match left.checked_sub(u64::from(target.weight)) {
                Some(rest) => left = rest,
                None => return Some(&target.service),
            }
        }
        None
    }
}

/// What the engines of a service have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that one engine runs together.
    pub slots: u32,
    /// Tokens of KV cache that one engine holds.
    pub kv_tokens: u64,
    /// Bytes of KV cache for one token.
    pub kv_token_bytes: u64,
    /// Speed of an engine's link for KV cache, in megabits a second.
    pub link_mbps: f64,
    /// Models that the engines run.
    pub models: Vec<ModelName>,
}

/// A store of kept KV cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KvStoreSpec {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Option<AvailabilityZone>,
    /// Tokens that it holds.
    pub kv_tokens: u64,
    /// Speed of its link, in megabits a second.
    pub link_mbps: f64,
}

/// What the backend servers of a service are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Plain servers.
    Plain,
    /// Model engines.
    Engines(EngineSpec),
    /// A store of kept KV cache, which takes no requests of callers.
    KvStore(KvStoreSpec),
}

/// A service: backend servers that answer the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name.
    pub name: ServiceName,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// What its servers are.
    pub kind: ServiceKind,
}

/// A team as requests meet it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRule {
    /// Unique name.
    pub name: TeamName,
    /// Urgency that goes before the route's, 0 first.
    #[serde(rename = "urgency")]
    pub priority: Option<u8>,
    /// Whether its KV cache is shared with no other team.
    pub is_isolated: bool,
}

/// Bounds on what a caller may send, and on how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    #[serde(rename = "head_bytes")]
    pub max_header_bytes: u32,
    /// Bytes of a request's body.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: u32,
    /// Milliseconds in which a request's head must arrive.
    #[serde(rename = "head_within_ms")]
    pub header_timeout_ms: u32,
    /// Milliseconds for which a connection may be idle.
    #[serde(rename = "idle_within_ms")]
    pub idle_timeout_ms: u32,
}

/// The parts of a routing table, as read.
#[derive(Clone, Debug, Default)]
pub struct TableParts {
    /// Number that increases with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The teams, each with the hashes of its keys.
    pub teams: Vec<(TeamRule, Vec<KeyHash>)>,
    /// Bounds for callers, if any are set.
    pub limits: Option<CallerLimits>,
}

/// One version of the routing table, ready for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    version: u64,
    routes: Vec<Route>,
    by_host: HashMap<String, Vec<RouteKey>>,
    services: HashMap<ServiceName, Service>,
    teams: Vec<TeamRule>,
    by_key: HashMap<KeyHash, TeamKey>,
    bounds: Option<CallerLimits>,
}

impl From<TableParts> for RoutingTable {
    fn from(parts: TableParts) -> RoutingTable {
        let mut by_host: HashMap<String, Vec<RouteKey>> = HashMap::new();
        for (i, route) in parts.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(RouteKey(i as u32));
        }
        // Longest prefix first, so that the first match is the one in force.
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
            bounds: parts.limits,
        }
    }
}

impl RoutingTable {
    /// Returns the number of the table, which increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Finds the route of a request: among those of its host, the one with the longest prefix.
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

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Finds the team that holds a key.
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

    /// Returns the stores of kept KV cache.
    pub fn kv_stores(&self) -> impl Iterator<Item = &KvStoreSpec> {
        self.services().filter_map(|service| match &service.kind {
            ServiceKind::KvStore(store) => Some(store),
            ServiceKind::Plain | ServiceKind::Engines(_) => None,
        })
    }

    /// Returns the bounds for callers, if any are set.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.bounds
    }
}
