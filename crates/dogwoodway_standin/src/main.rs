//! The stand-ins as processes.

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
use dogwoodway_types::{ModelName, WeightsVersion};
use dogwoodway_vms::Vm;

use crate::{load_command::LoadArgs, replay_command::ReplayArgs};

/// Stand-ins of the systems around dogwoodway, for demos, tests and experiments.
#[derive(Debug, Parser)]
struct Cli {
    /// Address to listen on.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// A model engine.
    Engine(EngineArgs),
    /// A plain service.
    Service,
    /// The store of kept KV cache.
    KvStore,
    /// The platform's log.
    Log {
        /// Records kept of each stream.
        #[arg(long, default_value_t = 100_000)]
        retained: usize,
    },
    /// Sends the requests of the demonstration and checks the answers.
    Demo {
        /// Base URL of an entry; may be repeated.
        #[arg(long = "entry")]
        entries: Vec<String>,
        /// Base URL of a plain-service stand-in; may be repeated.
        #[arg(long = "service")]
        services: Vec<String>,
        /// Bearer key.
        #[arg(long)]
        key: String,
        /// Model to ask for.
        #[arg(long)]
        model: String,
    },
    /// Measures how state and processor time grow with sizes; prints JSON.
    Slopes,
    /// Observes a process; prints its processor time, memory and traffic as JSON.
    Usage {
        /// Process to observe.
        #[arg(long)]
        pid: u32,
        /// Seconds to observe.
        #[arg(long, default_value_t = 20)]
        seconds: u32,
    },
    /// Measures what entry and agent add to the time to first token; prints JSON.
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
        /// Model to ask for.
        #[arg(long)]
        model: ModelName,
        /// Streams that are open through the entry meanwhile.
        #[arg(long, default_value_t = 200)]
        streams: u32,
        /// Pairs to measure.
        #[arg(long, default_value_t = 500)]
        pairs: u32,
    },
    /// Times single routing decisions.
    Decisions {
        /// Servers to choose from.
        #[arg(long, default_value_t = 9)]
        servers: usize,
        /// Decisions to make.
        #[arg(long, default_value_t = 100_000)]
        decisions: u64,
    },
    /// Replays a load against a model of engines, in simulated time; prints JSON.
    Replay(ReplayArgs),
    /// Runs a scenario and measures it.
    Load(LoadArgs),
    /// Prints the sizes of a scenario's fleet as shell variables.
    FleetSizes {
        /// The scenario.
        #[arg(long)]
        scenario: PathBuf,
    },
    /// Prints the table of several runs and writes their plot.
    Compare {
        /// Reports written by `load`.
        reports: Vec<PathBuf>,
        /// File for the plot.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Measures the time from publishing to in force at many nodes in this process; prints JSON.
    ConfigPropagation {
        /// Nodes that follow.
        #[arg(long, default_value_t = 200)]
        followers: usize,
        /// Changes to publish.
        #[arg(long, default_value_t = 100)]
        publishes: usize,
    },
    /// Measures the recovery of a cold node against the number of teams; prints JSON.
    ConfigRecovery,
    /// The platform's list of VMs.
    Vms {
        /// YAML file with the VMs at the start.
        #[arg(long)]
        file: PathBuf,
    },
}

#[derive(Debug, Args)]
struct EngineArgs {
    /// Model loaded.
    #[arg(long)]
    model: ModelName,
    /// Weights version loaded.
    #[arg(long, default_value_t = 1)]
    weights: u32,
    /// Requests that run together.
    #[arg(long, default_value_t = 16)]
    max_batch: u32,
    /// Microseconds to compute one prompt token.
    #[arg(long, default_value_t = 50)]
    prefill_us: u32,
    /// Microseconds of one decoding step of the whole batch.
    #[arg(long, default_value_t = 5_000)]
    decode_us: u32,
    /// Pieces that the cache holds.
    #[arg(long, default_value_t = 200)]
    cache_pieces: usize,
    /// Milliseconds after which a cache event can be read.
    #[arg(long, default_value_t = 200)]
    event_lag_ms: u32,
    /// Every how many-th cache event is lost; 0 for none.
    #[arg(long, default_value_t = 0)]
    event_gap: u32,
    /// Milliseconds by which the reported load lags.
    #[arg(long, default_value_t = 250)]
    load_lag_ms: u32,
    /// Factor by which the engine runs faster than its stated times.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Base URL of the store of kept KV cache.
    #[arg(long)]
    kv_store_url: Option<String>,
    /// Text in a prompt that crashes the engine after its first step.
    #[arg(long)]
    poison: Option<String>,
    /// Microseconds to import one prompt token.
    #[arg(long, default_value_t = 5)]
    import_us: u32,
}

impl From<EngineArgs> for EngineOptions {
    fn from(args: EngineArgs) -> EngineOptions {
        EngineOptions {
            model: args.model,
            version: WeightsVersion(args.weights),
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
        Command::Load(args) => exit_code(load_command::load(&args).await),
        Command::FleetSizes { scenario } => exit_code(load_command::print_fleet_sizes(&scenario)),
        Command::Compare { reports, plot } => {
            exit_code(load_command::compare(&reports, plot.as_deref()))
        }
        server => serve_standin(cli.listen, server).await,
    }
}

fn exit_code(result: Result<(), String>) -> ExitCode {
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
            eprintln!("dogwoodway-standin: {address} could not be bound: {e}");
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
        | Command::Compare { .. } => Err("not a server".to_owned()),
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
