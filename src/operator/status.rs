//! `status`: prints which configuration each node applies.

use std::{net::SocketAddr, process::ExitCode};

use dogwoodway_log::HttpLog;
use dogwoodway_peer::{AgentApi, TarpcAgent};
use dogwoodway_types::LogOffset;
use dogwoodway_vms::{HttpVmList, Vm, VmList, VmRole};
use serde::Serialize;

use crate::{
    cli::{EXIT_UNKNOWN, Output, StatusArgs},
    operator::{fail, reader::read_state},
};

#[derive(Serialize)]
struct Status {
    /// Position of the configuration that the log gives.
    accepted: LogOffset,
    /// Position from which on all nodes that answered apply the configuration.
    in_force: Option<LogOffset>,
    nodes: Vec<NodeStatus>,
}

#[derive(Serialize)]
struct NodeStatus {
    address: SocketAddr,
    role: VmRole,
    /// Position of the configuration that the node applies; absent if it did not say.
    offset: Option<LogOffset>,
}

/// Asks all agents on the list of VMs.
pub(crate) async fn status(args: &StatusArgs) -> ExitCode {
    let state = match read_state(&HttpLog::new(args.log.log_url.clone())).await {
        Ok(state) => state,
        Err(e) => return fail(e),
    };
    let vms = match HttpVmList::new(args.vms_url.clone()).list().await {
        Ok(vms) => vms,
        Err(e) => return fail(e),
    };
    let nodes = futures::future::join_all(vms.into_iter().map(ask)).await;
    let offsets = nodes.iter().filter(|node| node.role == VmRole::Agent).map(|node| node.offset);
    let in_force = offsets.min().flatten();
    let status = Status { accepted: state.configuration.offset, in_force, nodes };
    print(&status, args.log.output);
    match status.in_force == Some(status.accepted) {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_UNKNOWN),
    }
}

async fn ask(vm: Vm) -> NodeStatus {
    let offset = match vm.role {
        VmRole::Agent => {
            TarpcAgent::new(vm.address).describe().await.ok().map(|agent| agent.config_offset)
        }
        VmRole::Entry => None,
    };
    NodeStatus { address: vm.address, role: vm.role, offset }
}

fn print(status: &Status, output: Output) {
    if output == Output::Json {
        match serde_json::to_string_pretty(status) {
            Ok(text) => println!("{text}"),
            Err(e) => eprintln!("dogwoodway: {e}"),
        }
        return;
    }
    println!("accepted: {}", status.accepted);
    match status.in_force {
        Some(offset) => println!("in force at all agents: {offset}"),
        None => println!("in force at all agents: unknown"),
    }
    for node in &status.nodes {
        let note = match node.offset {
            Some(offset) if offset < status.accepted => format!("{offset} (lags)"),
            Some(offset) => offset.to_string(),
            None if node.role == VmRole::Agent => "no answer".to_owned(),
            None => "entries report it in their metrics".to_owned(),
        };
        println!("{} {:?} {note}", node.address, node.role);
    }
}
