//! Probe connections to servers whose health is in doubt.

use dogwoodway_routing::direct::fleet::BackendKey;
use kameo::{
    actor::ActorRef,
    message::{Context, Message},
};

use crate::{clock, connection::Connection, fleet_actor::FleetActor};

impl FleetActor {
    /// Opens a connection to a server whose health is in doubt; the result arrives as
    /// [`ProbeCompleted`].
    pub(super) fn probe(&self, key: BackendKey, actor: &ActorRef<FleetActor>) {
        let Some(listing) = self.fleet.listing(key) else { return };
        let (address, actor) = (listing.address, actor.clone());
        tokio::spawn(async move {
            let connection = Connection::open(address).await;
            let is_refused = connection
                .as_ref()
                .is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused);
            let result = ProbeCompleted { key, connection: connection.ok(), is_refused };
            if let Err(e) = actor.tell(result).await {
                log::debug!("could not deliver the result of a probe: {e}");
            }
        });
    }
}

/// Result of a probe.
pub(crate) struct ProbeCompleted {
    key: BackendKey,
    /// Absent if the probe failed.
    connection: Option<Connection>,
    /// Whether the connection was refused: no process listens at the address, so the server has
    /// crashed or stopped.
    is_refused: bool,
}

impl ProbeCompleted {
    /// Creates the result of a probe that reached its server.
    pub(crate) fn reached(key: BackendKey, connection: Connection) -> ProbeCompleted {
        ProbeCompleted { key, connection: Some(connection), is_refused: false }
    }
}

/// Returns whether a server that is gone has stopped as planned.
pub(crate) struct IsExpectedToStop(pub(crate) BackendKey);

impl Message<IsExpectedToStop> for FleetActor {
    type Reply = bool;

    async fn handle(&mut self, msg: IsExpectedToStop, _: &mut Context<Self, Self::Reply>) -> bool {
        self.fleet.is_expected_to_stop(msg.0)
    }
}

impl Message<ProbeCompleted> for FleetActor {
    type Reply = ();

    async fn handle(&mut self, msg: ProbeCompleted, _: &mut Context<Self, Self::Reply>) {
        let now = clock::now();
        let was_up = self.fleet.is_up(msg.key);
        self.fleet.record_probe(now, msg.key, msg.connection.is_some());
        let server = self.fleet.listing(msg.key).map(|listing| listing.name.clone());
        match msg.connection {
            Some(connection) => {
                if !was_up {
                    self.lost_signals.remove(msg.key);
                    log::info!(server:? = server; "backend server reached again");
                }
                self.store_idle(now, msg.key, connection);
            }
            None => {
                self.mark_lost(msg.key);
                if was_up {
                    log::warn!(server:? = server, refused = msg.is_refused;
                        "backend server lost");
                }
                if msg.is_refused {
                    self.confirm_crash(now, msg.key);
                }
            }
        }
    }
}
