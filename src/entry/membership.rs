//! Background tasks that keep the agent registry up to date.
//!
//! One task reads the platform's list of VMs, the other one triggers the polls of the agents.

use std::{sync::Arc, time::Duration};

use dogwoodway_routing::membership::ListedVm;
use dogwoodway_vms::{Vm, VmList, VmRole, VmState};
use kameo::actor::ActorRef;

use crate::entry::agent_registry::{AgentRegistry, SendDuePolls, UpdateVmList};

/// Interval in milliseconds between reads of the list of VMs.
const LIST_INTERVAL_MS: u64 = 1_000;

/// Interval in milliseconds between checks for polls that are due.
const POLL_CHECK_INTERVAL_MS: u64 = 250;

/// Starts the tasks that follow the list of VMs and poll the agents on it, which run for as long as
/// the registry.
pub(crate) fn spawn_pollers(vms: Arc<dyn VmList>, registry: &ActorRef<AgentRegistry>) {
    let list_registry = registry.clone();
    tokio::spawn(async move {
        loop {
            match vms.list().await {
                Ok(list) => {
                    let agents =
                        list.iter().filter(|vm| vm.role == VmRole::Agent).map(to_listed_vm);
                    if list_registry.tell(UpdateVmList(agents.collect())).await.is_err() {
                        return;
                    }
                }
                Err(e) => log::warn!("{e}"),
            }
            tokio::time::sleep(Duration::from_millis(LIST_INTERVAL_MS)).await;
        }
    });
    let poll_registry = registry.clone();
    tokio::spawn(async move {
        while poll_registry.tell(SendDuePolls).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(POLL_CHECK_INTERVAL_MS)).await;
        }
    });
}

fn to_listed_vm(vm: &Vm) -> ListedVm {
    ListedVm { address: vm.address, leaving: vm.state == VmState::Leaving }
}
