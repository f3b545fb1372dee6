//! Merges what the routers of a zone report into digests.
//!
//! If each of hundreds of routers sent its state to all others, a router would spend more time on
//! the state of others than on requests. Therefore a router reports only to one router of its zone,
//! the aggregator. Aggregators send each other a digest of their zone, and each sends the routers of
//! its own zone one digest of the fleet. So what a router receives depends on the number of
//! backend servers and requests, not on the number of routers.
//!
//! A digest contains sums of loads. A router that receives it takes out its own part, which it knows
//! by the sequence number of the report that the digest includes.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::direct::fleet::{OriginPrompt, PromptFilter, ServerLoad, subtract_loads, sum_loads};

/// Time for which a report counts, in milliseconds: several times the longest interval between two
/// reports of a router.
const REPORT_TTL_MS: u64 = 800;

/// Digests in which each prompt is sent, because datagrams may be lost.
const SENDS_PER_PROMPT: u8 = 2;

/// Most prompts in one digest, so that it fits into a datagram. The others follow in the next one.
const MAX_PROMPTS_PER_DIGEST: usize = 400;

/// Most prompts that wait to be sent; the oldest are dropped first.
const MAX_PENDING_PROMPTS: usize = 2_000;

/// Most own reports that a router remembers until a digest includes them.
const MAX_REMEMBERED_REPORTS: usize = 64;

/// The load and the prompts that a digest contains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Sums of loads by backend server.
    pub loads: Vec<ServerLoad>,
    /// Prompts that were placed recently.
    pub prompts: Vec<OriginPrompt>,
    /// Reports that are part of the loads: the router and the sequence number of its report. Empty
    /// in digests for other zones.
    pub included: Vec<(SocketAddr, u64)>,
}

#[derive(Clone, Debug)]
struct Report {
    seq: u64,
    loads: Vec<ServerLoad>,
    expires_at: Timestamp,
}

/// Prompts that are to be sent, and how often each was sent.
#[derive(Clone, Debug, Default)]
struct PromptQueue(VecDeque<(OriginPrompt, u8)>);

impl PromptQueue {
    fn push(&mut self, prompt: OriginPrompt) {
        if self.0.len() >= MAX_PENDING_PROMPTS {
            self.0.pop_front();
        }
        self.0.push_back((prompt, 0));
    }

    fn take(&mut self) -> Vec<OriginPrompt> {
        let mut taken = Vec::new();
        for (prompt, sends) in self.0.iter_mut().take(MAX_PROMPTS_PER_DIGEST) {
            *sends += 1;
            taken.push(prompt.clone());
        }
        self.0.retain(|(_, sends)| *sends < SENDS_PER_PROMPT);
        taken
    }
}

/// What an aggregator knows of the routers of its zone and of the other zones.
///
/// ```
/// use dogwoodway_routing::direct::{aggregation::Aggregator, fleet::{ServerLoad, ServerTag}, load::Load};
/// use dogwoodway_types::Timestamp;
///
/// let load = |running| ServerLoad::new(ServerTag(7), Load { running, ..Load::default() });
/// let address = |n| format!("10.0.0.{n}:7340").parse().unwrap();
/// let now = Timestamp::from_millis(1);
/// let mut aggregator = Aggregator::default();
/// aggregator.apply_report(now, address(1), 1, vec![load(2)], Vec::new());
/// aggregator.apply_report(now, address(2), 1, vec![load(3)], Vec::new());
/// assert_eq!(aggregator.zone_digest(now).loads, [load(5)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    /// Last report of each router of the zone, this one included.
    reports: BTreeMap<SocketAddr, Report>,
    /// Last digest of each aggregator of another zone.
    zones: BTreeMap<SocketAddr, Report>,
    filter: PromptFilter,
    for_other_zones: PromptQueue,
    for_own_zone: PromptQueue,
}

impl Aggregator {
    /// Applies the report of a router of the zone.
    pub fn apply_report(
        &mut self,
        now: Timestamp,
        router: SocketAddr,
        seq: u64,
        loads: Vec<ServerLoad>,
        prompts: Vec<OriginPrompt>,
    ) {
        let expires_at = now + Duration::from_millis(REPORT_TTL_MS);
        self.reports.insert(router, Report { seq, loads, expires_at });
        for prompt in self.filter.retain_new(prompts) {
            self.for_other_zones.push(prompt.clone());
            self.for_own_zone.push(prompt);
        }
    }

    /// Applies the digest of another zone.
    pub fn apply_zone(
        &mut self,
        now: Timestamp,
        aggregator: SocketAddr,
        loads: Vec<ServerLoad>,
        prompts: Vec<OriginPrompt>,
    ) {
        let expires_at = now + Duration::from_millis(REPORT_TTL_MS);
        self.zones.insert(aggregator, Report { seq: 0, loads, expires_at });
        for prompt in self.filter.retain_new(prompts) {
            self.for_own_zone.push(prompt);
        }
    }

    /// Returns whether other routers than `own` report to this one.
    pub fn has_members(&self, now: Timestamp, own: SocketAddr) -> bool {
        self.members(now).any(|router| router != own)
    }

    /// Returns the routers of the zone whose reports count, in ascending order.
    pub fn members(&self, now: Timestamp) -> impl Iterator<Item = SocketAddr> + '_ {
        let fresh = self.reports.iter().filter(move |(_, report)| report.expires_at > now);
        fresh.map(|(router, _)| *router)
    }

    /// Builds the digest of the zone for the aggregators of the other zones.
    pub fn zone_digest(&mut self, now: Timestamp) -> Digest {
        self.drop_expired(now);
        let loads = sum_loads(self.reports.values().flat_map(|report| &report.loads));
        Digest { loads, prompts: self.for_other_zones.take(), included: Vec::new() }
    }

    /// Builds the digest of the fleet for the routers of the zone.
    pub fn fleet_digest(&mut self, now: Timestamp) -> Digest {
        self.drop_expired(now);
        let reports = self.reports.values().chain(self.zones.values());
        let loads = sum_loads(reports.flat_map(|report| &report.loads));
        let included = self.reports.iter().map(|(router, report)| (*router, report.seq)).collect();
        Digest { loads, prompts: self.for_own_zone.take(), included }
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.reports.retain(|_, report| report.expires_at > now);
        self.zones.retain(|_, report| report.expires_at > now);
    }
}

/// Own reports of a router, to take its own load out of digests.
#[derive(Clone, Debug, Default)]
pub struct ReportHistory(VecDeque<(u64, Vec<ServerLoad>)>);

impl ReportHistory {
    /// Records a report that is sent now.
    pub fn record(&mut self, seq: u64, loads: Vec<ServerLoad>) {
        if self.0.len() >= MAX_REMEMBERED_REPORTS {
            self.0.pop_front();
        }
        self.0.push_back((seq, loads));
    }

    /// Returns the load of all other routers in a digest. If it is not known what the digest
    /// includes of the router at `own`, all of it counts as the load of others.
    ///
    /// ```
    /// use dogwoodway_routing::direct::{
    ///     aggregation::{Digest, ReportHistory},
    ///     fleet::{ServerLoad, ServerTag},
    ///     load::Load,
    /// };
    ///
    /// let load = |running| ServerLoad::new(ServerTag(7), Load { running, ..Load::default() });
    /// let own = "10.0.0.1:7340".parse().unwrap();
    /// let mut history = ReportHistory::default();
    /// history.record(8, vec![load(2)]);
    /// history.record(9, vec![load(4)]);
    /// let digest = Digest { loads: vec![load(5)], included: vec![(own, 8)], ..Digest::default() };
    /// assert_eq!(history.loads_of_others(&digest, own), [load(3)]);
    /// ```
    pub fn loads_of_others(&mut self, digest: &Digest, own: SocketAddr) -> Vec<ServerLoad> {
        let included = digest.included.iter().find(|(router, _)| *router == own);
        let Some((_, seq)) = included else { return digest.loads.clone() };
        self.0.retain(|(other, _)| other >= seq);
        match self.0.front() {
            Some((first, loads)) if first == seq => subtract_loads(&digest.loads, loads),
            _ => digest.loads.clone(),
        }
    }
}
