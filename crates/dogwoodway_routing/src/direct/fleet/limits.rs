//! Servers that have stated how many requests they take, and the routers that may send to them.

use dogwoodway_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::direct::{
    fleet::{BackendKey, Fleet, PlacementRequest, ServerTag},
    server_limit::LimitStatement,
    server_notice::StatedLimit,
};

/// What a server said last about its limit, as routers report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The server.
    pub server: ServerTag,
    /// Start time of its process.
    pub started_at_ms: u64,
    /// What it said, by the clock of the router that holds the notice.
    pub statement: LimitStatement,
}

impl LimitNotice {
    /// Converts the time from the clock of the sender to that of the receiver, who takes `sent_at` of
    /// the sender's clock for `received_at` of its own.
    pub fn shifted(mut self, sent_at: Timestamp, received_at: Timestamp) -> LimitNotice {
        self.statement.at = received_at.earlier_by(sent_at - self.statement.at);
        self
    }
}

impl Fleet {
    /// Sets the identifier of this router and those of all routers that are alive, this one included.
    /// Until then, this router sends nothing to servers with a limit.
    pub fn set_routers(&mut self, now: Timestamp, own: u64, routers: Vec<u64>) {
        (self.own_id, self.routers) = (own, routers);
        for server in self.servers.values_mut() {
            server.limit.update_share(now, server.hash, self.own_id, &self.routers);
        }
    }

    /// Applies what an answer of the server process that started at `started_at_ms` says about its
    /// limit. An answer without a limit ends it if the request was sent after the last answer with
    /// one was received; `sent_at` is absent if the answer proves nothing of that kind. Returns the
    /// notice for other routers if the limit or its end is new.
    pub fn apply_limit(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        started_at_ms: u64,
        limit: Option<StatedLimit>,
        sent_at: Option<Timestamp>,
    ) -> Option<LimitNotice> {
        let known = self.servers.get(key)?.limit.statement();
        let statement = match limit {
            Some(limit) => LimitStatement::new(now, limit),
            None => LimitStatement { has_ended: true, at: sent_at?, ..known? },
        };
        self.apply_statement(now, key, started_at_ms, statement).then(|| self.limit_notice(key))?
    }

    /// Applies another router's report. Returns a notice for the other routers if this one knows a
    /// newer statement that differs.
    pub fn apply_limit_notice(
        &mut self,
        now: Timestamp,
        notice: &LimitNotice,
    ) -> Option<LimitNotice> {
        let key = self.find_by_tag(notice.server)?;
        self.apply_statement(now, key, notice.started_at_ms, notice.statement);
        let own = self.limit_notice(key)?;
        let differs = (own.statement.rate, own.statement.has_ended)
            != (notice.statement.rate, notice.statement.has_ended);
        (differs && own.started_at_ms == notice.started_at_ms).then_some(own)
    }

    fn apply_statement(
        &mut self,
        now: Timestamp,
        key: BackendKey,
        started_at_ms: u64,
        statement: LimitStatement,
    ) -> bool {
        let server = self.servers.get_mut(key);
        let server = server.filter(|server| server.listing.started_at_ms == started_at_ms);
        let Some(server) = server else { return false };
        server.limit.apply(now, statement, server.hash, self.own_id, &self.routers)
    }

    /// Returns the statements of all servers whose limits have not ended.
    pub fn limit_notices(&self) -> Vec<LimitNotice> {
        let limited = self.servers.iter().filter(|(_, server)| server.limit.is_stated());
        limited.filter_map(|(key, _)| self.limit_notice(key)).collect()
    }

    fn limit_notice(&self, key: BackendKey) -> Option<LimitNotice> {
        let server = self.servers.get(key)?;
        let statement = server.limit.statement()?;
        let started_at_ms = server.listing.started_at_ms;
        Some(LimitNotice { server: server.hash.into(), started_at_ms, statement })
    }

    /// Returns whether a server has stated a limit that has not ended.
    pub fn has_limit(&self, key: BackendKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.limit.is_stated())
    }

    /// Returns the earliest time at which a server accepts a request that none accepts now: the end
    /// of a pause, or the next request that the limit of a server allows this router.
    pub(super) fn first_acceptance(
        &self,
        now: Timestamp,
        request: &PlacementRequest,
    ) -> Option<Timestamp> {
        let keys = self.by_service.get(&request.service)?;
        let servers = keys.iter().filter_map(|key| self.servers.get(*key));
        let accepted_at = servers.filter_map(|server| {
            let at = server.paused_until.max(server.limit.next_send_at(now)?);
            (at > now && self.accepts_requests(at, server, request)).then_some(at)
        });
        accepted_at.min()
    }
}
