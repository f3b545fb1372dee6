//! Keeps the router's view of agents up to date.

use std::{sync::Arc, time::Duration};

use dogwoodway_vms::{VmList, VmRole};
use kameo::actor::ActorRef;

use crate::entry::router::{Router, SeeAddresses, SeeAgent};

const LIST_MS: u64 = 1_000;

/// Starts to follow the list of VMs and to ask the agents on it to describe themselves.
pub(crate) fn follow(vms: Arc<dyn VmList>, router: &ActorRef<Router>) {
    let router = router.clone();
    tokio::spawn(async move {
        let mut addresses = Vec::new();
        loop {
            match vms.list().await {
                Ok(list) => {
                    let agents = list.iter().filter(|vm| vm.role == VmRole::Agent);
                    addresses = agents.map(|vm| vm.address).collect();
                }
                Err(e) => log::warn!("{e}"),
            }
            let Ok(links) = router.ask(SeeAddresses(addresses.clone())).await else { return };
            for (address, link) in links {
                let router = router.clone();
                tokio::spawn(async move {
                    let description = link.describe().await.ok();
                    router.tell(SeeAgent { address, description }).await
                });
            }
            tokio::time::sleep(Duration::from_millis(LIST_MS)).await;
        }
    });
}
