//! Followers of the KV cache stores' change events, which tell the fleet what each store holds.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use dogwoodway_routing::direct::table::RoutingTable;
use kameo::actor::ActorRef;
use tokio::{sync::watch, task::JoinHandle};

use crate::{
    fleet_actor::{FleetActor, UpdateKvStore},
    platform_api::KvEventSource,
};

/// Duration of one long poll, in milliseconds. Stores count shorter polls as probes.
const POLL_WAIT_MS: u64 = 300;

/// Pause between two polls, in milliseconds. A busy store has changes all the time, so polls would
/// always return at once, and it answers only a few polls concurrently.
const POLL_PAUSE_MS: u64 = 120;

/// Pause after a poll that failed or was refused because the store is busy, in milliseconds.
const RETRY_PAUSE_MS: u64 = 400;

/// Consecutive failed polls after which the store counts as lost.
const MAX_FAILURES: u32 = 2;

/// Runs one follower for each store in the routing table, until the process stops.
pub(crate) async fn run(
    events: Arc<dyn KvEventSource>,
    mut tables: watch::Receiver<Option<Arc<RoutingTable>>>,
    fleet: ActorRef<FleetActor>,
) {
    let mut followers: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    while tables.changed().await.is_ok() {
        let table = tables.borrow_and_update().clone();
        let Some(table) = table else { continue };
        let stores: Vec<_> = table.kv_stores().map(|store| store.address).collect();
        for (_, task) in followers.extract_if(|address, _| !stores.contains(address)) {
            task.abort();
        }
        for address in stores {
            followers
                .entry(address)
                .or_insert_with(|| tokio::spawn(follow(events.clone(), address, fleet.clone())));
        }
    }
}

/// Polls one store and passes its changes to the fleet actor.
async fn follow(events: Arc<dyn KvEventSource>, address: SocketAddr, fleet: ActorRef<FleetActor>) {
    // Epoch of the store, and number of the next event to read.
    let mut position: Option<(u64, u64)> = None;
    let mut failures = 0;
    loop {
        let since = position.map_or(0, |(_, next)| next);
        let pause_ms = match events.changes(address, since, POLL_WAIT_MS).await {
            Ok(Some(page)) => {
                if failures >= MAX_FAILURES {
                    log::info!(store:% = address; "KV cache store responds again");
                }
                failures = 0;
                let is_reset = position.is_none_or(|(epoch, _)| epoch != page.epoch);
                position = Some((page.epoch, page.next));
                if is_reset || page.has_gap {
                    log::info!(store:% = address, epoch = page.epoch, gap = page.has_gap;
                        "state of a KV cache store was reset or has gaps");
                }
                let changes = Some(page.changes);
                update_fleet(&fleet, UpdateKvStore { address, is_reset, changes }).await;
                POLL_PAUSE_MS
            }
            Ok(None) => RETRY_PAUSE_MS,
            Err(why) => {
                failures += 1;
                if failures == MAX_FAILURES {
                    log::warn!(store:% = address; "KV cache store not reachable: {why}");
                }
                if failures >= MAX_FAILURES {
                    let lost = UpdateKvStore { address, is_reset: true, changes: None };
                    update_fleet(&fleet, lost).await;
                    position = None;
                }
                RETRY_PAUSE_MS
            }
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn update_fleet(fleet: &ActorRef<FleetActor>, update: UpdateKvStore) {
    if let Err(e) = fleet.tell(update).await {
        log::error!("could not update the state of a KV cache store: {e}");
    }
}
