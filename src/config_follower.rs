//! Starts the configuration follower, with the platform's log and the listed agents as its sources.

use std::{net::SocketAddr, sync::Arc};

use dogwoodway_control::Snapshot;
use dogwoodway_follower::{ConfigPeers, NoPeers};
use dogwoodway_log::{HttpLog, PlatformLog};
use dogwoodway_peer::{AgentApi, TarpcAgent};
use dogwoodway_types::LogOffset;
use dogwoodway_vms::{HttpVmList, VmList, VmRole};
use futures::{
    FutureExt, StreamExt,
    future::BoxFuture,
    stream::{self, FuturesUnordered},
};
use rand::seq::SliceRandom;
use tokio::sync::Mutex;

pub(crate) use dogwoodway_follower::{ConfigHandle, ConfigWatch};

/// Number of agents that are asked for their configuration at the same time.
const PEERS_PER_BATCH: usize = 4;

/// Number of agents that are asked before the search for a newer configuration is given up.
const MAX_PEERS: usize = 12;

/// Starts to follow the configuration on the log and, if the URL of a list of VMs is given, at the
/// agents on that list.
pub(crate) fn follow(log_url: &str, vms_url: Option<&str>) -> ConfigHandle {
    let log: Arc<dyn PlatformLog> = Arc::new(HttpLog::new(log_url.to_owned()));
    let peers: Arc<dyn ConfigPeers> = match vms_url {
        Some(url) => Arc::new(AgentPeers::new(url)),
        None => Arc::new(NoPeers),
    };
    dogwoodway_follower::follow(log, peers, rand::random())
}

/// The agents on the list of VMs, which can be asked for the configuration if the log does not have
/// it.
struct AgentPeers {
    vms: HttpVmList,
    /// Addresses on the last list that was read, which are used while the list cannot be read.
    last_addresses: Mutex<Vec<SocketAddr>>,
}

impl AgentPeers {
    fn new(vms_url: &str) -> AgentPeers {
        let vms = HttpVmList::new(vms_url.to_owned());
        AgentPeers { vms, last_addresses: Mutex::new(Vec::new()) }
    }

    /// Returns the addresses of all listed agents in random order.
    async fn addresses(&self) -> Vec<SocketAddr> {
        let mut last_addresses = self.last_addresses.lock().await;
        match self.vms.list().await {
            Ok(list) => {
                let agents = list.iter().filter(|vm| vm.role == VmRole::Agent);
                *last_addresses = agents.map(|vm| vm.address).collect();
            }
            Err(e) => log::warn!("{e}"),
        }
        let mut addresses = last_addresses.clone();
        addresses.shuffle(&mut rand::rng());
        addresses
    }
}

impl ConfigPeers for AgentPeers {
    fn fetch(&self, newer_than: LogOffset) -> BoxFuture<'_, Vec<Snapshot>> {
        async move {
            let addresses: Vec<_> = self.addresses().await.into_iter().take(MAX_PEERS).collect();
            let mut snapshots = Vec::new();
            for batch in addresses.chunks(PEERS_PER_BATCH) {
                let fetch = |address: &SocketAddr| {
                    let agent = TarpcAgent::new(*address);
                    async move { agent.config(newer_than).await.ok().flatten() }
                };
                let replies: FuturesUnordered<_> = batch.iter().map(fetch).collect();
                snapshots.extend(replies.flat_map(stream::iter).collect::<Vec<_>>().await);
                if !snapshots.is_empty() {
                    break;
                }
            }
            snapshots
        }
        .boxed()
    }
}
