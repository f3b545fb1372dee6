//! Datagrams between routers, and their encoding.

use std::net::SocketAddr;

use bincode::Options;
use dogwoodway_routing::{
    direct::{
        aggregation::Digest,
        fleet::{LeavingServer, LimitNotice, OriginPrompt, ServerLoad, VersionAge},
        peers::RouterInfo,
        software::SoftwareTag,
        stream_origin::{HomeAnswer, OriginRecord, StreamKey},
        team_quota::QuotaLetter,
    },
    part_blame::PartNotice,
};
use dogwoodway_types::{ServiceName, Timestamp};
use serde::{Deserialize, Serialize};

use crate::{feeds::FeedReports, fleet_actor::WeightsUpdate};

/// First byte of each datagram. Routers ignore datagrams of other versions of the format.
const FORMAT_VERSION: u8 = 4;

/// A datagram and the router that sent it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Datagram {
    pub(super) sender: RouterInfo,
    pub(super) content: Content,
}

/// Further variants come last: routers of an earlier build drop those that they do not know, and
/// read the others.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Content {
    /// Makes the sender known, and asks for the same if `wants_reply` is set.
    Greeting { wants_reply: bool, introduced: Vec<SocketAddr> },
    /// State of the sender, for the aggregator of its zone.
    Report { seq: u64, loads: Vec<ServerLoad>, prompts: Vec<OriginPrompt>, notices: Notices },
    /// State of the sender's zone, for the aggregators of other zones.
    ZoneDigest { digest: Digest, notices: Notices, alive: Vec<RouterInfo> },
    /// State of the fleet, for the routers of the sender's zone.
    FleetDigest { digest: Digest, notices: Notices, alive: Vec<RouterInfo> },
    /// About the origins of streams, between single routers.
    StreamOrigins(OriginMessage),
    /// Tokens of teams' quotas, between single routers.
    Quotas(Vec<QuotaLetter>),
}

/// A message between two routers. Further variants come last, as in [`Content`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum OriginMessage {
    /// Where new streams of the sender began.
    Records(Vec<OriginRecord>),
    /// Asks where a stream of a service began.
    Question { key: StreamKey, service: ServiceName },
    /// Answers such a question.
    Answer { key: StreamKey, answer: HomeAnswer },
    /// Asks which software of a service the receiver has listed.
    SoftwareQuestion { nonce: u64, service: ServiceName },
    /// Answers such a question; empty unless it was one version alone, for longer than any stream may
    /// last.
    SoftwareAnswer { nonce: u64, sole: Option<SoftwareTag> },
}

/// State that each router needs as it is, so that aggregators pass it on unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Notices {
    /// Engines that were recently ordered to load new weights or have loaded them.
    pub(super) weights: Vec<WeightsUpdate>,
    /// Ages of recently published versions.
    pub(super) versions: Vec<VersionAge>,
    /// What routers have last read from the store.
    pub(super) feed_reports: Vec<FeedReports>,
    /// Routers that have just started. Most routers do not read the log that announces them.
    pub(super) introduced: Vec<SocketAddr>,
    /// Servers that have recently announced that they are shutting down.
    pub(super) leaving: Vec<LeavingServer>,
    /// Evidence of prompt parts that crash engines.
    pub(super) parts: Vec<PartNotice>,
    /// Limits that servers state.
    pub(super) limits: Vec<LimitNotice>,
    /// When the notices were sent, by the clock of the times in `parts` and `limits`.
    pub(super) sent_at: Timestamp,
}

impl Notices {
    /// Returns whether an aggregator passes the notices on at once.
    pub(super) fn is_urgent(&self) -> bool {
        !self.parts.is_empty()
            || !self.limits.is_empty()
            || self.feed_reports.iter().any(FeedReports::is_useful)
    }

    /// Converts times and ages to those of this router at `now`. The notices have arrived at
    /// `arrived_at`.
    pub(super) fn received(mut self, arrived_at: Timestamp, now: Timestamp) -> Notices {
        let parts = std::mem::take(&mut self.parts).into_iter();
        self.parts = parts.map(|notice| notice.shifted(self.sent_at, arrived_at)).collect();
        for notice in &mut self.limits {
            *notice = notice.shifted(self.sent_at, arrived_at);
        }
        let waited = now - arrived_at;
        for reports in &mut self.feed_reports {
            *reports = reports.aged(waited);
        }
        for version in &mut self.versions {
            version.age_ms += waited.as_millis() as u64;
        }
        self.sent_at = now;
        self
    }
}

impl Datagram {
    pub(super) fn encode(&self) -> Result<Vec<u8>, bincode::Error> {
        let mut bytes = vec![FORMAT_VERSION];
        codec().serialize_into(&mut bytes, self)?;
        Ok(bytes)
    }

    /// Decodes a datagram; `None` if it is of another version of the format.
    pub(super) fn decode(bytes: &[u8]) -> Option<Result<Datagram, bincode::Error>> {
        let body = bytes.strip_prefix(&[FORMAT_VERSION])?;
        Some(codec().deserialize(body))
    }
}

/// Returns the encoding of datagrams, which writes small integers in few bytes.
fn codec() -> impl Options {
    bincode::DefaultOptions::new()
}
