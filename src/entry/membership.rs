//! Feeds the router with the list of VMs and lets it ask agents in time.

use std::{sync::Arc, time::Duration};

use dogwoodway_routing::membership::ListedVm;
use dogwoodway_vms::{Vm, VmList, VmRole, VmState};
use kameo::actor::ActorRef;

use crate::entry::router::{AskDue, Router, SeeList};

/// Time between two reads of the list.
const LIST_MS: u64 = 1_000;

/// Time between two looks at the questions that are due.
const ASK_MS: u64 = 250;

/// Starts to follow the list of VMs and to ask the agents on it to describe themselves.
pub(crate) fn follow(vms: Arc<dyn VmList>, router: &ActorRef<Router>) {
    let list_router = router.clone();
    tokio::spawn(async move {
        loop {
            match vms.list().await {
                Ok(list) => {
                    let agents = list.iter().filter(|vm| vm.role == VmRole::Agent).map(listed);
                    if list_router.tell(SeeList(agents.collect())).await.is_err() {
                        return;
                    }
                }
                Err(e) => log::warn!("{e}"),
            }
            tokio::time::sleep(Duration::from_millis(LIST_MS)).await;
        }
    });
    let ask_router = router.clone();
    tokio::spawn(async move {
        while ask_router.tell(AskDue).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(ASK_MS)).await;
        }
    });
}

fn listed(vm: &Vm) -> ListedVm {
    ListedVm { address: vm.address, leaving: vm.state == VmState::Leaving }
}
