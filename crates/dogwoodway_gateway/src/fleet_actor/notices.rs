//! Messages about servers that shut down or ask for a pause.

use std::time::Duration;

use dogwoodway_routing::direct::{
    fleet::{BackendKey, LeavingServer},
    server_notice::{PauseRequest, ServerNotice},
};
use dogwoodway_types::Timestamp;
use kameo::message::{Context, Message};

use crate::{
    clock,
    fleet_actor::{FleetActor, LEAVING_NOTICE_TTL_MS},
    metric,
};

/// Applies the notice in a server's response.
pub(crate) struct ApplyServerNotice {
    pub(crate) server: BackendKey,
    /// Start time of the process that responded.
    pub(crate) started_at_ms: u64,
    pub(crate) notice: ServerNotice,
    /// When the request was sent; absent if an answer without a limit does not end a limit.
    pub(crate) sent_at: Option<Timestamp>,
}

impl Message<ApplyServerNotice> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyServerNotice, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        let ApplyServerNotice { server, started_at_ms, notice, sent_at } = msg;
        self.apply_limit(now, server, started_at_ms, &notice, sent_at);
        let (is_newly_leaving, paused_until) =
            self.fleet.apply_notice(now, server, started_at_ms, notice);
        if is_newly_leaving {
            self.close_idle_connections(server, "its answer");
            if let Some(leaving) = self.fleet.leaving_server(server) {
                let until = now + Duration::from_millis(LEAVING_NOTICE_TTL_MS);
                self.leaving_notices.push((leaving, until));
                self.loads_changed.notify_one();
            }
        }
        if let Some(until) = paused_until {
            let name = self.fleet.listing(server).map(|listing| listing.name.clone());
            metrics::counter!(metric::SERVER_PAUSES).increment(1);
            log::info!(
                server:? = name, pause_ms = (until - now).as_millis() as u64,
                is_readable = notice.pause != Some(PauseRequest::Unreadable);
                "backend server asked for a pause"
            );
        }
    }
}

/// Applies another router's report of servers that are shutting down.
pub(crate) struct ApplyLeavingServers(pub(crate) Vec<LeavingServer>);

impl Message<ApplyLeavingServers> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ApplyLeavingServers, _: &mut Context<Self, Self::Reply>) {
        for leaving in msg.0 {
            if let Some(key) = self.fleet.find_by_tag(leaving.server)
                && self.fleet.mark_leaving(key, leaving.started_at_ms)
            {
                self.close_idle_connections(key, "another router");
            }
        }
    }
}

impl FleetActor {
    /// Closes the idle connections to a server that is shutting down.
    fn close_idle_connections(&mut self, server: BackendKey, source: &str) {
        if let Some(idle) = self.idle_connections.get_mut(server) {
            idle.clear();
        }
        let name = self.fleet.listing(server).map(|listing| listing.name.clone());
        metrics::counter!(metric::SERVERS_LEAVING).increment(1);
        log::info!(server:? = name, source = source; "backend server is shutting down");
    }
}
