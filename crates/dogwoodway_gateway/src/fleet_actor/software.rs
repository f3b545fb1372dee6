//! Messages about the software of services.

use dogwoodway_routing::direct::stream_origin::{ServiceSoftware, StreamOrigin};
use dogwoodway_types::ServiceName;
use kameo::{
    Reply,
    message::{Context, Message},
};

use crate::{clock, fleet_actor::FleetActor};

/// Returns the software of a service, now and for the time that streams last.
pub(crate) struct GetServiceSoftware(pub(crate) ServiceName);

/// Reply to [`GetServiceSoftware`].
#[derive(Reply)]
pub(crate) struct ServiceSoftwareReply(pub(crate) ServiceSoftware);

impl Message<GetServiceSoftware> for FleetActor {
    type Reply = ServiceSoftwareReply;

    async fn handle(
        &mut self,
        msg: GetServiceSoftware,
        _: &mut Context<Self, Self::Reply>,
    ) -> ServiceSoftwareReply {
        ServiceSoftwareReply(self.fleet.service_software(clock::now(), &msg.0))
    }
}

/// Begins the history of all services' software anew, because changes of the list of servers were
/// missed.
pub(crate) struct InterruptSoftwareHistories;

impl Message<InterruptSoftwareHistories> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, _: InterruptSoftwareHistories, _: &mut Context<Self, Self::Reply>) {
        self.fleet.interrupt_software_histories();
    }
}

/// Checks the origin of a stream against the process that is listed at its server now. The reply is
/// empty if the stream may have begun at another process.
pub(crate) struct CheckOrigin(pub(crate) StreamOrigin);

impl Message<CheckOrigin> for FleetActor {
    type Reply = Option<StreamOrigin>;

    async fn handle(
        &mut self,
        msg: CheckOrigin,
        _: &mut Context<Self, Self::Reply>,
    ) -> Option<StreamOrigin> {
        self.fleet.check_origin(msg.0)
    }
}
