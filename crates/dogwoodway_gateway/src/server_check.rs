//! Whether the end of a connection is that of the response that it delimits.
//!
//! The kernel closes the connections of a killed process in good order. A response that has neither
//! a length nor chunks then ends like a complete one, but nobody listens at its server any more.

use std::{io, net::SocketAddr, time::Duration};

use dogwoodway_routing::direct::{
    fleet::BackendKey,
    process_end::{ProbeResult, has_crashed},
};
use kameo::actor::ActorRef;

use crate::{
    clock,
    connection::{Connection, probe_result},
    fleet_actor::{FleetActor, IsExpectedToStop, ProbeCompleted},
};

/// Time for which a connection must last, in milliseconds. While the kernel tears a process down, its
/// listener may accept connections for a moment after the others were closed.
const LISTENER_TEARDOWN_MS: u64 = 20;

/// Checks whether the server of a response still runs.
#[derive(Clone, Debug)]
pub(crate) struct ServerCheck {
    pub(crate) fleet: ActorRef<FleetActor>,
    pub(crate) server: BackendKey,
    /// Start time of the process that the request was sent to.
    pub(crate) started_at_ms: u64,
    pub(crate) address: SocketAddr,
}

impl ServerCheck {
    /// Returns whether the server has crashed: it refuses connections, and was not expected to stop.
    ///
    /// A connection that the server accepts is kept for the next request.
    pub(crate) async fn has_crashed(&self) -> bool {
        let result = match self.connect().await {
            Ok(connection) => {
                let result = ProbeCompleted::reached(self.server, self.started_at_ms, connection);
                if let Err(e) = self.fleet.tell(result).await {
                    log::debug!("could not keep the connection to a checked server: {e}");
                }
                ProbeResult::Open
            }
            Err(e) => {
                log::debug!("could not connect to a server whose response ended: {e}");
                probe_result(&e)
            }
        };
        let is_expected_to_stop = match result {
            ProbeResult::Refused => self.is_expected_to_stop().await,
            ProbeResult::Open | ProbeResult::Closed | ProbeResult::Unanswered => false,
        };
        has_crashed(result, is_expected_to_stop)
    }

    async fn is_expected_to_stop(&self) -> bool {
        self.fleet.ask(IsExpectedToStop(self.server)).await.unwrap_or_else(|e| {
            log::error!("fleet actor did not say whether a server was to stop: {e}");
            false
        })
    }

    /// Connects to the server, again if the connection does not last. A server that has too many
    /// connections resets new ones, but it accepts them.
    async fn connect(&self) -> io::Result<Connection> {
        let connection = Connection::open(self.address).await?;
        clock::sleep_until(clock::now() + Duration::from_millis(LISTENER_TEARDOWN_MS)).await;
        match connection.is_reusable(clock::now()) {
            true => Ok(connection),
            false => Connection::open(self.address).await,
        }
    }
}
