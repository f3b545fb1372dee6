//! Resource usage of a running process, from the statistics of the kernel.

use std::{collections::HashMap, fs, io, time::Duration};

use serde::Serialize;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Resource usage of a process over an interval.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ProcessUsage {
    /// Length of the interval in seconds.
    pub seconds: f64,
    /// Processor time, in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory at the end of the interval, in units of 1024 bytes.
    pub resident_kb: u64,
    /// Bytes sent and received per second over the TCP connections that are open both at the start
    /// and at the end of the interval.
    pub bytes_per_s: f64,
}

/// Observes the process `pid` for `seconds` seconds. The byte counters come from the `ss` command.
///
/// # Errors
///
/// Fails if the process does not exist or `ss` cannot be run.
pub async fn process_usage(pid: u32, seconds: u32) -> io::Result<ProcessUsage> {
    let (cpu_before, bytes_before) = (cpu_ticks(pid)?, connection_bytes(pid)?);
    tokio::time::sleep(Duration::from_secs(u64::from(seconds))).await;
    let (cpu_after, bytes_after) = (cpu_ticks(pid)?, connection_bytes(pid)?);
    let seconds = f64::from(seconds);
    let transferred = bytes_after.iter().filter_map(|(connection, after)| {
        bytes_before.get(connection).map(|before| after.saturating_sub(*before))
    });
    Ok(ProcessUsage {
        seconds,
        cpu_percent: (cpu_after - cpu_before) as f64 / TICKS_PER_S / seconds * 100.0,
        resident_kb: resident_kb(pid)?,
        bytes_per_s: transferred.sum::<u64>() as f64 / seconds,
    })
}

/// Returns the resident memory of a process, in units of 1024 bytes.
pub(crate) fn resident_kb(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse().ok());
    kb.ok_or_else(|| io::Error::other(format!("/proc/{pid}/status has no VmRSS line")))
}

fn cpu_ticks(pid: u32) -> io::Result<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    // User and system time.
    let ticks = fields.split_whitespace().skip(11).take(2);
    Ok(ticks.filter_map(|n| n.parse::<u64>().ok()).sum())
}

/// Returns the bytes sent and received over each open TCP connection of a process, by its local and
/// remote address.
fn connection_bytes(pid: u32) -> io::Result<HashMap<String, u64>> {
    let output = std::process::Command::new("ss").args(["-tinpH"]).output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let owner = format!("pid={pid},");
    let mut lines = text.lines();
    let mut connections = HashMap::new();
    while let Some(line) = lines.next() {
        let counters = lines.next().unwrap_or_default();
        if !line.contains(&owner) {
            continue;
        }
        let addresses = line.split_whitespace().skip(3).take(2).collect::<Vec<_>>().join(" ");
        let count = |name: &str| {
            let value = counters.split_whitespace().find_map(|word| word.strip_prefix(name));
            value.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0)
        };
        connections.insert(addresses, count("bytes_sent:") + count("bytes_received:"));
    }
    Ok(connections)
}
