//! `status`: prints which configuration each node applies.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use dogwoodway_caller::ReadyReport;
use dogwoodway_http::HttpClient;
use dogwoodway_log::HttpLog;
use dogwoodway_peer::{AgentApi, TarpcAgent};
use dogwoodway_types::LogOffset;
use dogwoodway_vms::{HttpVmList, Vm, VmList, VmRole};
use hyper::Method;
use serde::Serialize;

use crate::{
    cli::{EXIT_UNKNOWN, Output, StatusArgs},
    operator::{fail, reader::read_state},
};

/// Longest wait for an entry's answer.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

#[derive(Serialize)]
struct Status {
    /// Position of the configuration that the log gives.
    accepted: LogOffset,
    /// Position that all nodes have reached; absent if one did not answer.
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

/// Asks all nodes on the list of VMs.
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
    let in_force = nodes.iter().map(|node| node.offset).min().flatten();
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
        VmRole::Entry => ask_entry(vm.address).await,
    };
    NodeStatus { address: vm.address, role: vm.role, offset }
}

async fn ask_entry(address: SocketAddr) -> Option<LogOffset> {
    let url = format!("http://{address}/readyz");
    let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
    let report = HttpClient::new().json::<_, ReadyReport>(Method::GET, &url, &(), limit).await;
    report.ok()?.configuration
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
        Some(offset) => println!("in force everywhere: {offset}"),
        None => println!("in force everywhere: unknown"),
    }
    for node in &status.nodes {
        let note = match node.offset {
            Some(offset) if offset < status.accepted => format!("{offset} (lags)"),
            Some(offset) => offset.to_string(),
            None => "no answer".to_owned(),
        };
        println!("{} {:?} {note}", node.address, node.role);
    }
}
