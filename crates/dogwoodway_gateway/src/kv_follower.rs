//! Follows what the stores of kept KV cache tell of themselves.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use dogwoodway_routing::direct::table::RoutingTable;
use kameo::actor::ActorRef;
use tokio::{sync::watch, task::JoinHandle};

use crate::{
    fleet_actor::{FleetActor, UpdateKvStore},
    platform_api::KvEventSource,
};

/// Longest wait for a change, in milliseconds. Shorter waits count as probes.
const POLL_WAIT_MS: u64 = 300;

/// Pause between two questions, in milliseconds. A busy store has changes all the time, and answers
/// only some questions at once.
const POLL_PAUSE_MS: u64 = 120;

/// Pause after a question that failed or was turned away, in milliseconds.
const RETRY_PAUSE_MS: u64 = 400;

/// Questions in a row that may fail before the store counts as lost.
const MAX_FAILURES: u32 = 2;

/// Follows the stores that the routing table names, until the process ends.
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

async fn follow(events: Arc<dyn KvEventSource>, address: SocketAddr, fleet: ActorRef<FleetActor>) {
    let mut position: Option<(u64, u64)> = None;
    let mut failures = 0;
    loop {
        let since = position.map_or(0, |(_, next)| next);
        let pause_ms = match events.changes(address, since, POLL_WAIT_MS).await {
            Ok(Some(page)) => {
                if failures >= MAX_FAILURES {
                    log::info!(store:% = address; "store of KV cache reached again");
                }
                failures = 0;
                let is_reset = position.is_none_or(|(epoch, _)| epoch != page.epoch);
                position = Some((page.epoch, page.next));
                if is_reset || page.has_gap {
                    log::info!(store:% = address, epoch = page.epoch, gap = page.has_gap;
                        "what a store of KV cache keeps is read anew");
                }
                let changes = Some(page.changes);
                update_fleet(&fleet, UpdateKvStore { address, is_reset, changes }).await;
                POLL_PAUSE_MS
            }
            Ok(None) => RETRY_PAUSE_MS,
            Err(why) => {
                failures += 1;
                if failures == MAX_FAILURES {
                    log::warn!(store:% = address; "store of KV cache lost: {why}");
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
        log::error!("what a store keeps was not noted: {e}");
    }
}
