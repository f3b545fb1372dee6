//! Servers whose responses do not always name the request that they answer.
//!
//! On a connection that has carried another request, such a response proves nothing. These servers get
//! a new connection for each request, on which their responses can be believed.

use dogwoodway_routing::direct::fleet::BackendKey;
use kameo::message::{Context, Message};

use crate::{fleet_actor::FleetActor, metric};

/// A server has sent a response that names no request.
pub(crate) struct RecordUnnamedResponse {
    pub(crate) server: BackendKey,
    /// Start time of the process that the request was sent to.
    pub(crate) started_at_ms: u64,
}

impl Message<RecordUnnamedResponse> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: RecordUnnamedResponse, _: &mut Context<Self, Self::Reply>) {
        metrics::counter!(metric::UNNAMED_RESPONSES).increment(1);
        let Some(listing) = self.fleet.listing(msg.server) else { return };
        if listing.started_at_ms != msg.started_at_ms {
            return;
        }
        let name = listing.name.clone();
        if self.unnamed_responses.insert(msg.server, ()).is_none() {
            log::info!(server:% = name; "a response names no request: connections are not reused");
        }
        if let Some(idle) = self.idle_connections.get_mut(msg.server) {
            idle.clear();
        }
    }
}
