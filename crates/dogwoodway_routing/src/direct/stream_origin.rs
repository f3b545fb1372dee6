//! Where streams began, so that they go on only where their events fit.
//!
//! The events that two software versions write do not fit together, and servers do not check that. A
//! client that takes up a broken-off stream names the attempt that brought its first event, at any
//! router. The load pattern behind this: during a release some servers are on another version for as
//! long as it lasts, and a router that dies leaves hundreds of streams, whose clients come to other
//! routers within milliseconds.
//!
//! Each router remembers the [origin](StreamOrigin) of the streams that it began, and tells those of
//! each stream to a few [home routers](homes), in different zones. A router that does not know a
//! stream asks its homes. So each router receives a constant number of messages for each stream that
//! it begins, however many routers there are, and the loss of a router or a zone loses no origin.
//!
//! [`resolve`] decides from all that is known. What is not known for certain is not continued.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    net::SocketAddr,
    time::Duration,
};

use dogwoodway_types::{TeamName, Timestamp, WeightsVersion};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    direct::{
        fleet::ServerTag,
        peers::{RouterInfo, rank},
        software::SoftwareTag,
    },
    rendezvous,
};

/// Zones in which the home routers of a stream are.
pub const HOME_ZONES: usize = 2;

/// Routers that are told the origin of a stream in each of these zones.
pub const TOLD_PER_ZONE: usize = 1;

/// Routers that are asked for an origin in each of these zones: one more, since the router that began
/// the stream may have known another set of routers.
const ASKED_PER_ZONE: usize = 2;

/// Number of other routers up to which all are asked: the one that began a stream remembers it even if
/// its records were lost.
const SMALL_FLEET: usize = 8;

/// Most origins that a router remembers, some 3 MB. The oldest are dropped first: their clients have
/// the least time left.
const MAX_ORIGINS: usize = 32_768;

/// Identifies a stream: a digest of the team and of the id of the attempt that began it. A team that
/// names the id of another one's attempt means another stream.
///
/// ```
/// use dogwoodway_routing::direct::stream_origin::StreamKey;
/// use dogwoodway_types::TeamName;
///
/// let team = TeamName::try_from("desk").unwrap();
/// assert_eq!(StreamKey::new(Some(&team), "r1"), StreamKey::new(Some(&team), "r1"));
/// assert_ne!(StreamKey::new(Some(&team), "r1"), StreamKey::new(None, "r1"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Computes the key of the stream that an attempt of a team began.
    pub fn new(team: Option<&TeamName>, attempt_id: &str) -> StreamKey {
        let seed = team.map_or(0, |team| xxh3_64_with_seed(team.as_str().as_bytes(), 1));
        StreamKey(xxh3_64_with_seed(attempt_id.as_bytes(), seed))
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The server process that brought the first event of a stream, as far as it matters for those that
/// continue the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Software version that began the stream.
    pub software: SoftwareTag,
    /// Version of the weights; absent if it is not known.
    pub weights: Option<WeightsVersion>,
    /// The server and when the stream began; absent if they are not known.
    pub began: Option<StreamBeginning>,
}

/// Server at which a stream began, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBeginning {
    /// The server. Its process may have been replaced since.
    pub server: ServerTag,
    /// When the first event arrived, by the clock of the router that passed it on.
    pub at: Timestamp,
}

/// Longest difference between the clocks of a router and a server, and the time from the start of a
/// process until it is listed.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(2);

impl StreamOrigin {
    /// Returns the origin as it is in view of the process that is listed at the stream's server: one
    /// with `software`, which started at `started_at`. `None` if the stream may have begun at either
    /// process.
    ///
    /// A server may start again under its name with other software, and requests reach the new
    /// process before its entry is read.
    pub fn checked(self, software: SoftwareTag, started_at: Timestamp) -> Option<StreamOrigin> {
        let Some(began) = self.began.filter(|_| self.software != software) else {
            return Some(self);
        };
        if began.at + MAX_CLOCK_DIFFERENCE <= started_at {
            return Some(self);
        }
        let is_of_listed = started_at + MAX_CLOCK_DIFFERENCE <= began.at;
        is_of_listed.then_some(StreamOrigin { software, ..self })
    }
}

/// The origin of one stream, as routers tell it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// Time for which its client may still take it up, in milliseconds.
    pub remaining_ms: u32,
}

/// The origins that a router remembers.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::{
///     software::SoftwareTag,
///     stream_origin::{StreamKey, StreamOrigin, StreamOrigins},
/// };
/// use dogwoodway_types::{ServiceName, SoftwareVersion, Timestamp};
///
/// let service = ServiceName::try_from("llm").unwrap();
/// let software = SoftwareTag::new(&service, &SoftwareVersion::from("v1"));
/// let origin = StreamOrigin { software, weights: None, began: None };
/// let (key, now) = (StreamKey::new(None, "r1"), Timestamp::from_millis(1));
/// let mut origins = StreamOrigins::default();
/// origins.record(now, key, origin, now + Duration::from_secs(3));
/// assert_eq!(origins.find(now, key), Some(origin));
/// assert_eq!(origins.find(now + Duration::from_secs(3), key), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    by_key: HashMap<StreamKey, (StreamOrigin, Timestamp)>,
    /// Keys in the order in which they were recorded.
    order: VecDeque<(StreamKey, Timestamp)>,
}

impl StreamOrigins {
    /// Records where a stream began, until its client cannot take it up any more. The first record
    /// of a stream holds.
    pub fn record(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        origin: StreamOrigin,
        expires_at: Timestamp,
    ) {
        self.remove_expired(now);
        if self.find(now, key).is_some() {
            return;
        }
        if self.order.len() >= MAX_ORIGINS {
            self.remove_oldest();
        }
        self.by_key.insert(key, (origin, expires_at));
        self.order.push_back((key, expires_at));
    }

    /// Returns where a stream began, if it is remembered.
    pub fn find(&self, now: Timestamp, key: StreamKey) -> Option<StreamOrigin> {
        let (origin, expires_at) = self.by_key.get(&key)?;
        (now < *expires_at).then_some(*origin)
    }

    /// Returns the number of origins that are remembered.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while self.order.front().is_some_and(|(_, expires_at)| *expires_at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((key, expires_at)) = self.order.pop_front() else { return };
        // The key may have been recorded again after it expired.
        if self.by_key.get(&key).is_some_and(|(_, other)| *other == expires_at) {
            self.by_key.remove(&key);
        }
    }
}

/// Returns the home routers of a stream: the first `per_zone` in its rendezvous order of each of the
/// first [`HOME_ZONES`] zones. Where there are fewer zones, each has more.
///
/// The zones are ordered by themselves, so that a router that starts or ends changes the homes of
/// its own zone only.
///
/// ```
/// use dogwoodway_routing::direct::{
///     peers::{RouterInfo, ZoneTag},
///     stream_origin::{StreamKey, TOLD_PER_ZONE, homes},
/// };
///
/// let router = |n: u16| RouterInfo {
///     address: format!("10.0.0.{n}:7340").parse().unwrap(),
///     zone: ZoneTag(n % 2),
///     cpu_percent: 20,
///     reaches_store: true,
/// };
/// let routers: Vec<_> = (1..=6).map(router).collect();
/// let homes = homes(routers.iter().copied(), StreamKey::new(None, "r1"), TOLD_PER_ZONE);
/// let zone_of = |address| routers.iter().find(|info| info.address == address).unwrap().zone;
/// assert_ne!(zone_of(homes[0]), zone_of(homes[1]));
/// ```
pub fn homes<I>(routers: I, key: StreamKey, per_zone: usize) -> Vec<SocketAddr>
where
    I: IntoIterator<Item = RouterInfo>,
{
    let order = |info: &RouterInfo| {
        let zone = rendezvous::mix(rendezvous::mix(u64::from(info.zone.0) + 1) ^ key.0);
        (zone, info.zone, rendezvous::mix(rank(info.address) ^ key.0), info.address)
    };
    let mut ordered: Vec<_> = routers.into_iter().map(|info| order(&info)).collect();
    ordered.sort_unstable();
    let zones: Vec<_> = ordered.chunk_by(|a, b| a.1 == b.1).take(HOME_ZONES).collect();
    let per_zone = per_zone * HOME_ZONES / zones.len().max(1);
    let chosen = zones.iter().flat_map(|zone| zone.iter().take(per_zone));
    chosen.map(|(_, _, _, address)| *address).collect()
}

/// Returns the routers to ask for the origin of a stream.
///
/// ```
/// use dogwoodway_routing::direct::{
///     peers::{RouterInfo, ZoneTag},
///     stream_origin::{StreamKey, routers_to_ask},
/// };
///
/// let router = |n: u16| RouterInfo {
///     address: format!("10.0.0.{n}:7340").parse().unwrap(),
///     zone: ZoneTag(n % 3),
///     cpu_percent: 20,
///     reaches_store: true,
/// };
/// let key = StreamKey::new(None, "r1");
/// assert_eq!(routers_to_ask((1..=3).map(router), key).len(), 3);
/// assert_eq!(routers_to_ask((1..=100).map(router), key).len(), 4);
/// ```
pub fn routers_to_ask<I>(routers: I, key: StreamKey) -> Vec<SocketAddr>
where
    I: IntoIterator<Item = RouterInfo>,
{
    let routers: Vec<_> = routers.into_iter().collect();
    match routers.len() <= SMALL_FLEET {
        true => routers.iter().map(|info| info.address).collect(),
        false => homes(routers, key, ASKED_PER_ZONE),
    }
}

/// Age of a router's list of servers up to which the router tells others the sole software of a
/// service. Their own lists must have been followed for longer, so that nothing is missed in between.
pub const MAX_REPORTED_LIST_AGE: Duration = Duration::from_secs(3);

/// What a home router answers when it is asked for the origin of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeAnswer {
    /// Where the stream began; absent if the router does not know.
    pub origin: Option<StreamOrigin>,
    /// The only software of the service for longer than any stream may last, if the router's list of
    /// servers is at most [`MAX_REPORTED_LIST_AGE`] old.
    pub sole_software: Option<SoftwareTag>,
}

/// How the origin of a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This router remembers it.
    Own,
    /// A home router remembers it.
    Home,
    /// No other software has served for longer than any stream may last.
    SoleSoftware,
    /// Like `SoleSoftware`, but only other routers have seen that for long enough.
    ReportedSoleSoftware,
    /// All routers have listed no other software for longer than any stream may last.
    AllRouters,
}

impl OriginSource {
    /// Returns the name of the source in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            OriginSource::Own => "own",
            OriginSource::Home => "home",
            OriginSource::SoleSoftware => "sole-software",
            OriginSource::ReportedSoleSoftware => "reported-sole-software",
            OriginSource::AllRouters => "all-routers",
        }
    }
}

/// What a router knows of the software of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceSoftware {
    /// The versions that are listed now.
    pub listed: Vec<SoftwareTag>,
    /// The only version for longer than any stream may last; absent if there were several, or if the
    /// list of servers was not followed for so long.
    pub sole: Option<SoftwareTag>,
    /// Since when the list has been followed without missing a change.
    pub since: Option<Timestamp>,
}

/// The list of servers of a router, in view of a client that takes up a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListState {
    /// When the client came, before which the stream began.
    pub needed_at: Timestamp,
    /// Last time at which the list is known to have been current.
    pub current_at: Timestamp,
}

impl ListState {
    /// Returns whether the list names each server at which the stream may have begun. A server is
    /// listed before a router sends requests to it.
    pub fn is_newer_than_stream(&self) -> bool {
        self.current_at >= self.needed_at
    }
}

/// Decides where a stream began, from what the homes answer, from the software of the service, and
/// from the only software that all other routers have listed, if they were asked and agree. `None`
/// means that the stream must not be continued: any server might be of another version.
///
/// The list of servers alone says nothing about a stream that may be newer than the list:
/// another router may have begun it at a server that this one does not know yet.
///
/// ```
/// use std::time::Duration;
/// use dogwoodway_routing::direct::{
///     software::SoftwareTag,
///     stream_origin::{ListState, OriginSource, ServiceSoftware, resolve},
/// };
/// use dogwoodway_types::{ServiceName, SoftwareVersion, Timestamp};
///
/// let service = ServiceName::try_from("llm").unwrap();
/// let v1 = SoftwareTag::new(&service, &SoftwareVersion::from("v1"));
/// let software = ServiceSoftware { listed: vec![v1], sole: Some(v1), since: None };
/// let needed_at = Timestamp::from_millis(5_000);
/// let current = ListState { needed_at, current_at: needed_at };
/// let source = |list, others| resolve(&[], &software, list, others).map(|(_, source)| source);
/// assert_eq!(source(current, None), Some(OriginSource::SoleSoftware));
/// let late = ListState { needed_at, current_at: Timestamp::from_millis(4_999) };
/// assert_eq!(source(late, None), None);
/// assert_eq!(source(late, Some(v1)), Some(OriginSource::AllRouters));
/// ```
pub fn resolve(
    answers: &[HomeAnswer],
    software: &ServiceSoftware,
    list: ListState,
    others: Option<SoftwareTag>,
) -> Option<(StreamOrigin, OriginSource)> {
    if let Some(origin) = answers.iter().find_map(|answer| answer.origin) {
        return Some((origin, OriginSource::Home));
    }
    let at_sole = |software| StreamOrigin { software, weights: None, began: None };
    if !list.is_newer_than_stream() {
        let agreed = software.sole.filter(|sole| others == Some(*sole));
        return agreed.map(|software| (at_sole(software), OriginSource::AllRouters));
    }
    if let Some(sole) = software.sole {
        return Some((at_sole(sole), OriginSource::SoleSoftware));
    }
    let &[listed] = software.listed.as_slice() else { return None };
    // The others' lists reach up to the time from which on this router's list tells everything.
    let reaches_back =
        software.since.is_some_and(|since| since + MAX_REPORTED_LIST_AGE <= list.needed_at);
    if !reaches_back {
        return None;
    }
    // One router that has seen other software is enough to make the origin uncertain.
    let is_sole =
        !answers.is_empty() && answers.iter().all(|answer| answer.sole_software == Some(listed));
    is_sole.then(|| (at_sole(listed), OriginSource::ReportedSoleSoftware))
}
