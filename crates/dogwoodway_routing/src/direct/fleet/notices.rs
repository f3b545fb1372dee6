//! Servers that are shutting down or have asked for a pause.

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::direct::{
    fleet::{Availability, BackendKey, Fleet, ServerTag, membership::MAX_REMEMBERED},
    server_notice::ServerNotice,
};

/// A server process that is shutting down, as routers report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingServer {
    /// The server.
    pub server: ServerTag,
    /// Start time of its process.
    pub started_at_ms: u64,
}

impl Fleet {
    /// Applies the notice in a response of the server process that started at `started_at_ms`.
    /// Returns whether the process is newly known to be shutting down, and the end of the pause if
    /// that has changed.
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

    /// Records that the server process that started at `started_at_ms` is shutting down, so that it
    /// gets no new requests. Returns whether this is new.
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

    /// Returns the report of a server to other routers; `None` if it is not shutting down.
    pub fn leaving_server(&self, key: BackendKey) -> Option<LeavingServer> {
        let server = self.servers.get(key).filter(|server| server.is_leaving)?;
        let started_at_ms = server.listing.started_at_ms;
        Some(LeavingServer { server: server.hash.into(), started_at_ms })
    }

    /// Returns whether a server may stop at any time without a crash: it said so, or it is not listed
    /// any more.
    pub fn is_expected_to_stop(&self, key: BackendKey) -> bool {
        self.servers.get(key).is_none_or(|server| {
            server.is_leaving || server.listing.availability == Availability::Draining
        })
    }

    /// Returns whether a server is neither shutting down nor paused.
    pub fn wants_requests(&self, now: Timestamp, key: BackendKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.wants_requests(now))
    }
}
