//! Owner of what is counted for a placement until its request is sent.

use dogwoodway_routing::{
    direct::fleet::{BackendKey, RequestKey},
    part_blame::PartKey,
};
use dogwoodway_types::{ServiceName, Timestamp};
use kameo::{
    actor::ActorRef,
    message::{Context, Message},
};

use crate::{clock, connection::Connection, fleet_actor::FleetActor};

/// What the fleet actor has counted for a placement.
#[derive(Debug)]
pub(super) struct PlacementCounts {
    pub(super) request_key: RequestKey,
    pub(super) server: BackendKey,
    /// An idle connection to the server, if there is one.
    pub(super) connection: Option<Connection>,
    /// The retry that was taken from the budget of a service, and when.
    pub(super) retry: Option<(ServiceName, Timestamp)>,
    /// The part in quarantine that the request tries.
    pub(super) trial: Option<PartKey>,
}

/// Owner of a placement. If it is dropped before the request is sent, for example with a reply that
/// nobody awaits any more, the fleet actor takes back all that it has counted.
pub(crate) struct PlacementClaim {
    fleet: ActorRef<FleetActor>,
    /// Absent once handed over.
    counts: Option<PlacementCounts>,
}

impl PlacementClaim {
    pub(super) fn new(fleet: &ActorRef<FleetActor>, counts: PlacementCounts) -> PlacementClaim {
        PlacementClaim { fleet: fleet.clone(), counts: Some(counts) }
    }

    /// Hands the placement over to the guard of an attempt, which sends the request now. Returns the
    /// idle connection to use.
    pub(crate) fn hand_over(&mut self) -> Option<Connection> {
        self.counts.take()?.connection
    }
}

impl Drop for PlacementClaim {
    fn drop(&mut self) {
        let Some(counts) = self.counts.take() else { return };
        if let Err(e) = self.fleet.tell(CancelPlacement(counts)).try_send() {
            log::warn!("could not cancel a placement: {e}");
        }
    }
}

/// Takes back a placement whose request was not sent.
struct CancelPlacement(PlacementCounts);

impl Message<CancelPlacement> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: CancelPlacement, _: &mut Context<Self, Self::Reply>) {
        let PlacementCounts { request_key, server, connection, retry, trial } = msg.0;
        let now = clock::now();
        self.fleet.cancel_request(now, request_key);
        if let Some(connection) = connection {
            self.store_idle(now, server, connection);
        }
        if let Some((service, taken_at)) = retry {
            self.retry_share(&service).return_retry(taken_at);
        }
        if let Some(part) = trial {
            self.part_evidence.cancel_trial(part);
        }
        self.loads_changed.notify_one();
    }
}
