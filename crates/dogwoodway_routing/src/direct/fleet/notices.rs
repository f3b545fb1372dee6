//! What servers say about the requests that they still want.

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::direct::{
    fleet::{BackendKey, Fleet, PlacementRequest, ServerTag, membership::MAX_REMEMBERED},
    server_notice::ServerNotice,
};

/// A process of a server that is about to stop, as routers report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingServer {
    /// The server.
    pub server: ServerTag,
    /// Start time of its process.
    pub started_at_ms: u64,
}

impl Fleet {
    /// Applies what the process of a server that started at `started_at_ms` says in an answer.
    /// Returns whether it was not known to be leaving, and the end of a new or longer pause.
    pub fn apply_notice(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        started_at_ms: u64,
        notice: ServerNotice,
    ) -> (bool, Option<Timestamp>) {
        let is_newly_leaving = notice.is_leaving && self.mark_leaving(key, started_at_ms);
        let server = self.servers.get_mut(key);
        let server = server.filter(|server| server.listing.started_at_ms == started_at_ms);
        let deadline = notice.pause.and_then(|pause| pause.deadline(now));
        let (Some(server), Some(deadline)) = (server, deadline) else {
            return (is_newly_leaving, None);
        };
        let is_longer = deadline > server.paused_until;
        server.paused_until = server.paused_until.max(deadline);
        (is_newly_leaving, is_longer.then_some(deadline))
    }

    /// Records that the process of a server that started at `started_at_ms` is about to stop. It
    /// gets no new requests. Returns whether this was not known.
    pub fn mark_leaving(&mut self, key: BackendKey, started_at_ms: u64) -> bool {
        let server = self.servers.get_mut(key);
        let server = server.filter(|server| server.listing.started_at_ms == started_at_ms);
        let Some(server) = server else { return false };
        if std::mem::replace(&mut server.is_leaving, true) {
            return false;
        }
        if self.leaving.len() >= MAX_REMEMBERED {
            self.leaving.clear();
        }
        self.leaving.insert(server.listing.name.clone(), started_at_ms);
        true
    }

    /// Returns how a server that is leaving is named in reports to other routers.
    pub fn leaving_server(&self, key: BackendKey) -> Option<LeavingServer> {
        let server = self.servers.get(key).filter(|server| server.is_leaving)?;
        let started_at_ms = server.listing.started_at_ms;
        Some(LeavingServer { server: server.hash.into(), started_at_ms })
    }

    /// Returns whether a server wants requests and calls, by what it says itself.
    pub fn wants_requests(&self, now: Timestamp, key: BackendKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.wants_requests(now))
    }

    /// Returns when the first pause ends among the servers that accept a request but for their
    /// pauses.
    pub(super) fn first_pause_end(
        &self,
        now: Timestamp,
        request: &PlacementRequest,
    ) -> Option<Timestamp> {
        let keys = self.by_service.get(&request.service)?;
        let paused = keys.iter().filter_map(|key| self.servers.get(*key)).filter(|server| {
            now < server.paused_until && self.accepts_requests(server.paused_until, server, request)
        });
        paused.map(|server| server.paused_until).min()
    }
}
