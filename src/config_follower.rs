//! Connects the configuration follower to the platform's log and to the agents on the list of VMs.

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

/// Agents that are asked for their configuration at a time.
const ASKED_AT_A_TIME: usize = 4;

/// Agents that are asked before none of them is taken to know more.
const MAX_ASKED: usize = 12;

/// Starts to follow the configuration on the log, and at peers if there is a list of VMs.
pub(crate) fn follow(log_url: &str, vms_url: Option<&str>) -> ConfigHandle {
    let log: Arc<dyn PlatformLog> = Arc::new(HttpLog::new(log_url.to_owned()));
    let peers: Arc<dyn ConfigPeers> = match vms_url {
        Some(url) => Arc::new(ListedAgents::new(url)),
        None => Arc::new(NoPeers),
    };
    dogwoodway_follower::follow(log, peers, rand::random())
}

/// The agents on the list of VMs.
struct ListedAgents {
    vms: HttpVmList,
    /// Addresses of the last list that could be read.
    known: Mutex<Vec<SocketAddr>>,
}

impl ListedAgents {
    fn new(vms_url: &str) -> ListedAgents {
        let vms = HttpVmList::new(vms_url.to_owned());
        ListedAgents { vms, known: Mutex::new(Vec::new()) }
    }

    async fn addresses(&self) -> Vec<SocketAddr> {
        let mut known = self.known.lock().await;
        match self.vms.list().await {
            Ok(list) => {
                let agents = list.iter().filter(|vm| vm.role == VmRole::Agent);
                *known = agents.map(|vm| vm.address).collect();
            }
            Err(e) => log::warn!("{e}"),
        }
        let mut addresses = known.clone();
        addresses.shuffle(&mut rand::rng());
        addresses
    }
}

impl ConfigPeers for ListedAgents {
    fn fetch(&self, newer_than: LogOffset) -> BoxFuture<'_, Vec<Snapshot>> {
        async move {
            let addresses: Vec<_> = self.addresses().await.into_iter().take(MAX_ASKED).collect();
            let mut found = Vec::new();
            for group in addresses.chunks(ASKED_AT_A_TIME) {
                let ask = |address: &SocketAddr| {
                    let agent = TarpcAgent::new(*address);
                    async move { agent.config(newer_than).await.ok().flatten() }
                };
                let answers: FuturesUnordered<_> = group.iter().map(ask).collect();
                found.extend(answers.flat_map(stream::iter).collect::<Vec<_>>().await);
                if !found.is_empty() {
                    break;
                }
            }
            found
        }
        .boxed()
    }
}
