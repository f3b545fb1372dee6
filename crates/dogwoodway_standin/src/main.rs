//! The program that runs the stand-ins, the load tool and the benchmarks.

mod load_command;
mod replay_command;

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use clap::{Args, Parser, Subcommand};
use dogwoodway_http::{Handler, ServerLimits, serve};
use dogwoodway_standin::{
    DemoTargets, EngineOptions, OverheadTargets, engine_handler, kv_store_handler, log_handler,
    measure_config_propagation, measure_config_recovery, measure_decisions, measure_overhead,
    measure_scaling, process_usage, run_demo, service_handler, vm_list_handler,
};
use dogwoodway_types::{ModelName, SoftwareVersion, WeightsVersion};
use dogwoodway_vms::Vm;

use crate::{load_command::LoadArgs, replay_command::ReplayArgs};

/// Stand-ins for the systems around dogwoodway, a load tool and benchmarks, for demos, tests and
/// experiments.
#[derive(Debug, Parser)]
struct Cli {
    /// Address on which a stand-in listens; port 0 selects a free port.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a stand-in for a model engine.
    Engine(EngineArgs),
    /// Runs a stand-in for a plain service.
    Service,
    /// Runs a stand-in for the KV store.
    KvStore,
    /// Runs a stand-in for the platform log.
    Log {
        /// Number of records to retain of each stream.
        #[arg(long, default_value_t = 100_000)]
        retained: usize,
    },
    /// Sends the requests of the demo and checks the answers.
    Demo {
        /// Base URL of an entry; may be repeated.
        #[arg(long = "entry")]
        entries: Vec<String>,
        /// Base URL of a stand-in for a plain service; may be repeated.
        #[arg(long = "service")]
        services: Vec<String>,
        /// Bearer key.
        #[arg(long)]
        key: String,
        /// Model to request.
        #[arg(long)]
        model: String,
    },
    /// Measures how memory, encoded size and processor time grow with the amount of state; prints
    /// JSON.
    Slopes,
    /// Observes a process and prints its processor time, memory and network traffic as JSON.
    Usage {
        /// Id of the process to observe.
        #[arg(long)]
        pid: u32,
        /// How long to observe the process, in seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u32,
    },
    /// Measures the time that entry and agent add to the time to first token; prints JSON.
    Overhead {
        /// Base URL of an entry.
        #[arg(long)]
        entry: String,
        /// Base URL of an engine.
        #[arg(long)]
        engine: String,
        /// Bearer key.
        #[arg(long)]
        key: String,
        /// Model to request.
        #[arg(long)]
        model: ModelName,
        /// Number of streams that are open through the entry during the measurement.
        #[arg(long, default_value_t = 200)]
        streams: u32,
        /// Number of pairs of requests to measure.
        #[arg(long, default_value_t = 500)]
        pairs: u32,
    },
    /// Measures the mean time of a placement decision; prints JSON.
    Decisions {
        /// Number of servers to choose from.
        #[arg(long, default_value_t = 9)]
        servers: usize,
        /// Number of decisions to make.
        #[arg(long, default_value_t = 100_000)]
        decisions: u64,
    },
    /// Simulates placement policies under load patterns on a model of engines; prints JSON.
    Replay(ReplayArgs),
    /// Runs a load scenario and writes a report.
    Load(LoadArgs),
    /// Prints the fleet of a scenario as shell variables.
    FleetSizes {
        /// Scenario file, in YAML.
        #[arg(long)]
        scenario: PathBuf,
    },
    /// Prints a table that compares several runs, and plots them.
    Compare {
        /// Report files written by `load`.
        reports: Vec<PathBuf>,
        /// File to write the plot to.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Measures the time from publishing a configuration change until it is in force at many nodes
    /// in this process; prints JSON.
    ConfigPropagation {
        /// Number of nodes.
        #[arg(long, default_value_t = 200)]
        followers: usize,
        /// Number of changes to publish.
        #[arg(long, default_value_t = 100)]
        publishes: usize,
    },
    /// Measures the time until a new node has the configuration, for several numbers of teams;
    /// prints JSON.
    ConfigRecovery,
    /// Runs a stand-in for the platform's list of VMs.
    Vms {
        /// YAML file with the initial list of VMs.
        #[arg(long)]
        file: PathBuf,
    },
}

/// Arguments of the `engine` command.
#[derive(Debug, Args)]
struct EngineArgs {
    /// Model that the engine serves.
    #[arg(long)]
    model: ModelName,
    /// Version of the loaded weights.
    #[arg(long, default_value_t = 1)]
    weights: u32,
    /// Version of the software that the engine states.
    #[arg(long, default_value = "")]
    software: String,
    /// Maximum number of requests in the batch.
    #[arg(long, default_value_t = 16)]
    max_batch: u32,
    /// Time to compute one prompt token, in microseconds.
    #[arg(long, default_value_t = 50)]
    prefill_us: u32,
    /// Time of one decode step of the whole batch, in microseconds.
    #[arg(long, default_value_t = 5_000)]
    decode_us: u32,
    /// Capacity of the prefix cache, in prompt pieces.
    #[arg(long, default_value_t = 200)]
    cache_pieces: usize,
    /// Delay until a cache event can be read, in milliseconds.
    #[arg(long, default_value_t = 200)]
    event_lag_ms: u32,
    /// One in this many cache events is lost; 0 for none.
    #[arg(long, default_value_t = 0)]
    event_gap: u32,
    /// Delay of the reported load, in milliseconds.
    #[arg(long, default_value_t = 250)]
    load_lag_ms: u32,
    /// Factor by which the engine is faster than the configured times.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Base URL of the KV store, if there is one.
    #[arg(long)]
    kv_store_url: Option<String>,
    /// Text that crashes the engine when a prompt contains it, after the first step of the request.
    #[arg(long)]
    poison: Option<String>,
    /// Time to import the KV cache of one prompt token, in microseconds.
    #[arg(long, default_value_t = 5)]
    import_us: u32,
}

impl From<EngineArgs> for EngineOptions {
    fn from(args: EngineArgs) -> EngineOptions {
        EngineOptions {
            model: args.model,
            version: WeightsVersion(args.weights),
            software: SoftwareVersion::from(args.software.as_str()),
            max_batch: args.max_batch,
            prefill_us: args.prefill_us,
            decode_us: args.decode_us,
            cache_pieces: args.cache_pieces,
            event_lag_ms: args.event_lag_ms,
            event_gap: args.event_gap,
            load_lag_ms: args.load_lag_ms,
            kv_store_url: args.kv_store_url,
            poison: args.poison,
            import_us: args.import_us,
            speed: args.speed,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        Command::Demo { entries, services, key, model } => {
            match run_demo(DemoTargets { entries, services, key, model }).await {
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            }
        }
        Command::Overhead { entry, engine, key, model, streams, pairs } => {
            let targets = OverheadTargets { entry, engine, key, model, streams, pairs };
            print_result(measure_overhead(targets).await)
        }
        Command::ConfigPropagation { followers, publishes } => {
            print_result(measure_config_propagation(followers, publishes).await)
        }
        Command::ConfigRecovery => {
            print_result(measure_config_recovery(&[8, 75, 150, 300, 600, 1_200]).await)
        }
        Command::Slopes => print_result(Ok(measure_scaling())),
        Command::Usage { pid, seconds } => {
            print_result(process_usage(pid, seconds).await.map_err(|e| e.to_string()))
        }
        Command::Decisions { servers, decisions } => {
            print_result(Ok(measure_decisions(servers, decisions)))
        }
        Command::Replay(args) => print_result(Ok(args.run())),
        Command::Load(args) => exit_status(load_command::load(&args).await),
        Command::FleetSizes { scenario } => exit_status(load_command::print_fleet_sizes(&scenario)),
        Command::Compare { reports, plot } => {
            exit_status(load_command::compare(&reports, plot.as_deref()))
        }
        standin => serve_standin(cli.listen, standin).await,
    }
}

fn exit_status(result: Result<(), String>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("dogwoodway-standin: {e}");
            ExitCode::FAILURE
        }
    }
}

fn print_result<T>(result: Result<T, String>) -> ExitCode
where
    T: serde::Serialize,
{
    match result.and_then(|value| serde_json::to_string_pretty(&value).map_err(|e| e.to_string())) {
        Ok(json) => {
            println!("{json}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("dogwoodway-standin: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn serve_standin(address: SocketAddr, command: Command) -> ExitCode {
    let handler = match handler(command) {
        Ok(handler) => handler,
        Err(e) => {
            eprintln!("dogwoodway-standin: {e}");
            return ExitCode::FAILURE;
        }
    };
    let listener = match tokio::net::TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(e) => {
            eprintln!("dogwoodway-standin: cannot bind {address}: {e}");
            return ExitCode::FAILURE;
        }
    };
    if let Ok(address) = listener.local_addr() {
        println!("listening on {address}");
    }
    serve(listener, ServerLimits::default(), handler, std::future::pending()).await;
    ExitCode::SUCCESS
}

fn handler(command: Command) -> Result<Handler, String> {
    match command {
        Command::Engine(args) => Ok(engine_handler(args.into())),
        Command::Demo { .. }
        | Command::ConfigPropagation { .. }
        | Command::ConfigRecovery
        | Command::Overhead { .. }
        | Command::Slopes
        | Command::Usage { .. }
        | Command::Decisions { .. }
        | Command::Load(_)
        | Command::Replay(_)
        | Command::FleetSizes { .. }
        | Command::Compare { .. } => Err("this command does not serve requests".to_owned()),
        Command::Service => Ok(service_handler()),
        Command::KvStore => Ok(kv_store_handler()),
        Command::Log { retained } => Ok(log_handler(retained)),
        Command::Vms { file } => {
            let text = std::fs::read_to_string(file).map_err(|e| e.to_string())?;
            let vms: Vec<Vm> = serde_yaml_ng::from_str(&text).map_err(|e| e.to_string())?;
            Ok(vm_list_handler(vms))
        }
    }
}
