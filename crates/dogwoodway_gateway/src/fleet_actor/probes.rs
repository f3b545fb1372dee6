//! Probe connections to servers whose health is in doubt.

use std::{net::SocketAddr, time::Duration};

use dogwoodway_routing::direct::{
    fleet::BackendKey,
    process_end::{EndSign, ProbeResult},
};
use kameo::{
    actor::ActorRef,
    message::{Context, Message},
};

use crate::{
    clock,
    connection::{Connection, probe_result},
    fleet_actor::FleetActor,
};

/// Time for which a probe connection to a server that has lost one must stay open, in milliseconds.
/// A relay without a server closes it within some milliseconds.
const OPEN_TIME_MS: u64 = 40;

impl FleetActor {
    /// Opens a connection to a server whose health is in doubt; the result arrives as
    /// [`ProbeCompleted`].
    pub(super) fn probe(&self, key: BackendKey, actor: &ActorRef<FleetActor>) {
        let Some(listing) = self.fleet.listing(key) else { return };
        let (address, started_at_ms) = (listing.address, listing.started_at_ms);
        let must_stay_open = !self.fleet.is_up(key) || self.crash_tracker.has_suspects(key);
        let actor = actor.clone();
        tokio::spawn(async move {
            let (result, connection) = probe(address, must_stay_open).await;
            let result = ProbeCompleted { key, started_at_ms, connection, result };
            if let Err(e) = actor.tell(result).await {
                log::debug!("could not deliver the result of a probe: {e}");
            }
        });
    }
}

async fn probe(address: SocketAddr, must_stay_open: bool) -> (ProbeResult, Option<Connection>) {
    match Connection::open(address).await {
        Ok(mut connection) => {
            let limit = Duration::from_millis(OPEN_TIME_MS);
            match must_stay_open && connection.is_closed_within(limit).await {
                true => (ProbeResult::Closed, None),
                false => (ProbeResult::Open, Some(connection)),
            }
        }
        Err(e) => (probe_result(&e), None),
    }
}

/// Result of a probe.
pub(crate) struct ProbeCompleted {
    key: BackendKey,
    /// Start time of the process that was listed when the probe began.
    started_at_ms: u64,
    /// Absent unless the connection stayed open.
    connection: Option<Connection>,
    result: ProbeResult,
}

impl ProbeCompleted {
    /// Creates the result of a probe that reached its server.
    pub(crate) fn reached(
        key: BackendKey,
        started_at_ms: u64,
        connection: Connection,
    ) -> ProbeCompleted {
        let (connection, result) = (Some(connection), ProbeResult::Open);
        ProbeCompleted { key, started_at_ms, connection, result }
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
        let has_ended = self.crash_tracker.record_probe(now, msg.key, msg.result);
        match msg.connection {
            Some(connection) => {
                if !was_up {
                    self.lost_signals.remove(msg.key);
                    log::info!(server:? = server; "backend server reached again");
                }
                self.store_idle(now, msg.key, connection);
            }
            None => {
                // A server that has as many connections as it takes closes new ones, and runs on.
                if msg.result != ProbeResult::Closed {
                    self.mark_lost(msg.key);
                }
                if was_up {
                    log::warn!(server:? = server, probe:? = msg.result; "backend server lost");
                }
                if has_ended {
                    let sign = match msg.result {
                        ProbeResult::Refused => EndSign::Refused,
                        _ => EndSign::Closed,
                    };
                    self.confirm_crash(now, msg.key, msg.started_at_ms, sign);
                }
            }
        }
    }
}
