//! The command `status`, which prints the configuration that each node applies.

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
    cli::{EXIT_UNKNOWN, OutputFormat, StatusArgs},
    operator::{fail, reader::read_state},
};

/// Time limit in milliseconds for the reply of an entry.
const ENTRY_TIMEOUT_MS: u64 = 1_000;

/// Result of the command; the field names are part of its JSON output.
#[derive(Serialize)]
struct Status {
    /// Offset of the configuration on the log.
    accepted: LogOffset,
    /// Offset that all nodes have reached, `None` if a node did not answer or has none.
    in_force: Option<LogOffset>,
    nodes: Vec<NodeStatus>,
}

#[derive(Serialize)]
struct NodeStatus {
    address: SocketAddr,
    role: VmRole,
    /// Offset of the configuration that the node applies, `None` if it did not answer or has none.
    offset: Option<LogOffset>,
}

/// Queries all nodes on the list of VMs and prints their configurations.
///
/// Fails with [`EXIT_UNKNOWN`] unless all nodes apply the configuration on the log.
pub(crate) async fn status(args: &StatusArgs) -> ExitCode {
    let state = match read_state(&HttpLog::new(args.log.log_url.clone())).await {
        Ok(state) => state,
        Err(e) => return fail(e),
    };
    let vms = match HttpVmList::new(args.vms_url.clone()).list().await {
        Ok(vms) => vms,
        Err(e) => return fail(e),
    };
    let nodes = futures::future::join_all(vms.into_iter().map(query_node)).await;
    let in_force = nodes.iter().map(|node| node.offset).min().flatten();
    let status = Status { accepted: state.configuration.offset, in_force, nodes };
    print(&status, args.log.output);
    match status.in_force == Some(status.accepted) {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_UNKNOWN),
    }
}

async fn query_node(vm: Vm) -> NodeStatus {
    let offset = match vm.role {
        VmRole::Agent => {
            TarpcAgent::new(vm.address).describe().await.ok().map(|agent| agent.config_offset)
        }
        VmRole::Entry => query_entry(vm.address).await,
    };
    NodeStatus { address: vm.address, role: vm.role, offset }
}

async fn query_entry(address: SocketAddr) -> Option<LogOffset> {
    let url = format!("http://{address}/readyz");
    let limit = Duration::from_millis(ENTRY_TIMEOUT_MS);
    let report = HttpClient::new().json::<_, ReadyReport>(Method::GET, &url, &(), limit).await;
    report.ok()?.configuration
}

fn print(status: &Status, output: OutputFormat) {
    if output == OutputFormat::Json {
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
